"""Randomised simulation of entries, agents, callers and faults in virtual time."""

import random

from crocusvalve.base import (
    ClassKind,
    CustomerId,
    ModelRef,
    NodeId,
    Priority,
    RequestId,
    Revision,
    SessionId,
    VersionRef,
)
from crocusvalve.config import DocumentView
from crocusvalve.entry._commands import ShareQuarantine
from crocusvalve.exceptions import InvariantError
from crocusvalve.membership import merge_load_report
from crocusvalve.model import QuarantineRow, RequestRow
from crocusvalve.rpc import BillRecord, LoadReport
from crocusvalve.soak._agent import POISON_MARKER, SoakAgent
from crocusvalve.soak._checks import SoakChecks
from crocusvalve.soak._document import MEMBER, change_document, make_soak_document
from crocusvalve.soak._entry import SoakEntry
from crocusvalve.soak._faults import SoakFaults
from crocusvalve.soak._network import SoakNetwork
from crocusvalve.soak._scheduler import Scheduler

__all__ = ["SoakSimulation"]

N_ENTRIES = 2
TICK_INTERVAL_S = 0.05
REPORT_INTERVAL_S = 0.5
MEAN_REQUEST_INTERVAL_S = 0.03
#: Longest time until a process applies a published revision.
MAX_REVISION_DELAY_S = 2.0
FLUSH_INTERVAL_S = 1.0
#: Probability that a request without a cascade belongs to a session with a pinned version.
SESSION_PROBABILITY = 0.2
CASCADE_PROBABILITY = 0.3
#: Time after the latest deadline within which every request must have ended.
GRACE_S = 1.0
#: Time within which agents offer the bills of killed entries to other entries.
BILL_GRACE_S = 100.0
BILL_COLLECTION_INTERVAL_S = 5.0
#: Batch size that is larger than any outbox.
UNLIMITED_BATCH = 1_000_000
#: Kind, priority and deadline in seconds, by class name.
CLASSES = {
    "lookup": (ClassKind.LOOKUP, Priority.URGENT, 2.0),
    "answer": (ClassKind.ANSWER, Priority.NORMAL, 6.0),
    "assess": (ClassKind.DURABLE, Priority.BATCH, 30.0),
}


class SoakSimulation:
    """Simulated entries, agents and callers, run step by step; each step is one scheduled call.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    faults : SoakFaults or None
        Probabilities and rates of faults; None means the defaults.

    Attributes
    ----------
    view : DocumentView
        Latest published revision.
    agents : dict
        Agents by address.
    store_down_until : float
        Virtual time until which bills can't be flushed.
    is_closing : bool
        Whether no new requests and faults are started.
    ledger : dict
        Flushed bills by request.
    """

    def __init__(self, seed: int, *, faults: SoakFaults | None = None):
        self.random_state = random.Random(seed)
        self.faults = faults or SoakFaults()
        self.scheduler = Scheduler()
        self.checks = SoakChecks()
        self.view = DocumentView(make_soak_document(), Revision(1))
        self.checks.record_revision(self.view, self.scheduler.now)
        self.agents = {
            up.cfg.agent: SoakAgent(
                up,
                scheduler=self.scheduler,
                random_state=self.random_state,
                checks=self.checks,
            )
            for up in self.view.upstreams.values()
        }
        self.network = SoakNetwork(
            self.agents,
            scheduler=self.scheduler,
            random_state=self.random_state,
            faults=self.faults,
        )
        for agent in self.agents.values():
            agent.apply_view(self.view)
        self.n_requests = 0
        self.n_entry_boots = 0
        self.store_down_until = 0.0
        self.is_closing = False
        self.ledger: dict[RequestId, BillRecord] = {}
        self._bills_lost_by_entries: set[RequestId] = set()
        self._bills_lost_by_agents: set[RequestId] = set()
        self.entries = [self._make_entry(index) for index in range(N_ENTRIES)]
        self._start()

    def _make_entry(self, index: int) -> SoakEntry:
        self.n_entry_boots += 1
        entry = SoakEntry(
            NodeId(f"entry-{index}.{self.n_entry_boots}"),
            self.view,
            network=self.network,
            scheduler=self.scheduler,
            random_state=self.random_state,
            checks=self.checks,
            share_quarantine=self._share_quarantine,
        )
        return entry

    def _start(self) -> None:
        """Schedule the periodic calls, the first request and the faults."""
        for index in range(N_ENTRIES):
            self._schedule_periodic(TICK_INTERVAL_S, lambda index=index: self.entries[index].tick())
            self._schedule_periodic(
                REPORT_INTERVAL_S, lambda index=index: self._report_load(self.entries[index])
            )
        self._schedule_periodic(FLUSH_INTERVAL_S, self._flush_bills)
        self._schedule_periodic(BILL_COLLECTION_INTERVAL_S, self._collect_bills)
        self._schedule_periodic(REPORT_INTERVAL_S, self._probe)
        self._submit_request()
        faults = self.faults
        self._schedule_fault("agent_restart", faults.agent_restart_per_s, self._restart_agent)
        self._schedule_fault("engine_cold", faults.engine_cold_per_s, self._restart_engine)
        self._schedule_fault("freeze", faults.freeze_per_s, self._freeze_agent)
        self._schedule_fault("entry_kill", faults.entry_kill_per_s, self._kill_entry)
        self._schedule_fault("revision", faults.revision_per_s, self._publish_revision)
        self._schedule_fault("store_outage", faults.store_outage_per_s, self._start_store_outage)

    def _schedule_periodic(self, interval_s: float, call) -> None:
        """Schedule a call at a fixed interval, the first after a random fraction of it."""

        def run() -> None:
            call()
            self.scheduler.add(interval_s, run)

        self.scheduler.add(self.random_state.uniform(0.0, interval_s), run)

    def _schedule_fault(self, name: str, rate_per_s: float, call) -> None:
        """Schedule a fault as a Poisson process."""

        def run() -> None:
            if not self.is_closing:
                self.faults.count_fault(name)
                call()
                self.scheduler.add(self.random_state.expovariate(rate_per_s), run)

        if rate_per_s > 0.0:
            self.scheduler.add(self.random_state.expovariate(rate_per_s), run)

    def step(self) -> None:
        """Run the next scheduled call."""
        self.scheduler.run_next()

    def close(self) -> None:
        """Stop new requests and faults, let open requests end and bills flush, then check both.

        Raises
        ------
        InvariantError
            If a request has not ended, or a bill was not flushed, is missing or has no answer.
        """
        self.is_closing = True
        until = self.scheduler.now + max(row[2] for row in CLASSES.values()) + GRACE_S
        until += BILL_GRACE_S
        self.store_down_until = 0.0
        while self.scheduler.now < until:
            self.scheduler.run_next()
        open_requests = self.checks.list_open()
        if open_requests:
            raise InvariantError(f"requests without an end: {open_requests[:5]}", step="soak")
        n_left = sum(len(entry.outbox) for entry in self.entries)
        if n_left:
            raise InvariantError(f"{n_left} bills were not flushed", step="soak")
        self.checks.check_ledger(
            self.ledger, self._bills_lost_by_entries & self._bills_lost_by_agents
        )

    def _submit_request(self) -> None:
        """Submit a random request and schedule the next one."""
        if self.is_closing:
            return
        entry = self.random_state.choice(self.entries)
        req = self._make_request()
        self.checks.record_request(req.request_id, req.pinned_version)
        entry.submit(req)
        if self.random_state.random() < self.faults.caller_leaves:
            self.faults.count_fault("caller_leaves")
            leave_s = self.random_state.uniform(0.0, 0.5)
            self.scheduler.add(leave_s, lambda: entry.abandon(req.request_id))
        self.scheduler.add(
            self.random_state.expovariate(1.0 / MEAN_REQUEST_INTERVAL_S), self._submit_request
        )

    def _make_request(self) -> RequestRow:
        rng = self.random_state
        self.n_requests += 1
        class_name = rng.choice(list(CLASSES))
        kind, priority, deadline_s = CLASSES[class_name]
        is_poison = rng.random() < self.faults.poison
        body = b'{"messages":[],"note":"%s"}' % (POISON_MARKER if is_poison else b"plain")
        is_cascade = rng.random() < CASCADE_PROBABILITY
        steps = ("small", "large") if is_cascade else ("small",)
        customer = rng.randrange(3)
        pinned = ""
        if rng.random() < SESSION_PROBABILITY and not is_cascade:
            pinned = (
                "delta/small@v1"
                if customer == 0
                else rng.choice(("delta/small@v1", "delta/small@v2"))
            )
        if is_poison:
            self.faults.count_fault("poison")
        digest = f"poison-{rng.randrange(3)}" if is_poison else f"digest-{self.n_requests}"
        return RequestRow(
            request_id=RequestId(f"r{self.n_requests}"),
            customer_id=CustomerId(f"{MEMBER}/customer-{customer}"),
            member=MEMBER,
            class_name=class_name,
            kind=kind,
            priority=priority,
            arrived_at=self.scheduler.now,
            deadline=self.scheduler.now + deadline_s,
            body=body,
            digest=digest,
            steps=tuple(ModelRef(f"{MEMBER}/{name}") for name in steps),
            cascade="both" if is_cascade else "",
            pinned_version=VersionRef(pinned),
            session_id=SessionId("s" if pinned else ""),
            is_stream=rng.random() < 0.5,
            quality_target=0.6,
        )

    def _report_load(self, entry: SoakEntry) -> None:
        """Merge the load reports of all agents that aren't frozen into an entry's tables."""
        for address, agent in self.agents.items():
            tables = agent.tables
            report = LoadReport(
                upstream_id=tables.upstream_id,
                boot_id=tables.boot_id,
                state=tables.state,
                in_flight=tables.limiter.in_flight,
                limit=tables.limiter.limit,
                queued=0,
                ewma_service_s=tables.limiter.ewma_service_s,
                revision=tables.view.revision if tables.view else Revision(0),
                at=self.scheduler.now,
                crashes=tuple(agent.crashes),
            )
            if self.scheduler.now >= agent.frozen_until and address in self.agents:
                merge_load_report(entry.tables, report, self.scheduler.now)
                self._merge_crashes(entry, report)

    def _merge_crashes(self, entry: SoakEntry, report: LoadReport) -> None:
        quarantine = entry.core.policies.get_quarantine(entry.tables)
        quarantine.merge_crash_report(report.upstream_id, report.crashes, self.scheduler.now)

    def _probe(self) -> None:
        for agent in self.agents.values():
            if self.scheduler.now >= agent.frozen_until:
                agent.probe()

    def _publish_revision(self) -> None:
        """Publish a random change of the document, which reaches each process later."""
        document = change_document(self.view.document, self.random_state)
        view = DocumentView(document, Revision(self.view.revision + 1))
        self.view = view
        self.checks.record_revision(view, self.scheduler.now)
        for index in range(N_ENTRIES):
            self._schedule_arrival(lambda index=index: self.entries[index].tables.apply_view(view))
        for agent in self.agents.values():
            self._schedule_arrival(lambda agent=agent: self._apply_at_agent_if_newer(agent, view))

    def _schedule_arrival(self, call) -> None:
        self.scheduler.add(self.random_state.uniform(0.0, MAX_REVISION_DELAY_S), call)

    @staticmethod
    def _apply_at_agent_if_newer(agent: SoakAgent, view: DocumentView) -> None:
        if agent.document is None or view.revision > agent.document.revision:
            agent.apply_view(view)

    def _share_quarantine(self, cmd: ShareQuarantine) -> None:
        """Send a crash count of a digest to all entries."""
        for index in range(N_ENTRIES):
            delay_s = self.random_state.uniform(0.0, 0.2)
            self.scheduler.add(
                delay_s, lambda index=index: self._merge_shared_quarantine(index, cmd)
            )

    def _merge_shared_quarantine(self, index: int, cmd: ShareQuarantine) -> None:
        self._merge_quarantine(self.entries[index], cmd.digest, cmd.n_crashes)

    def _merge_quarantine(self, entry: SoakEntry, digest: str, n_crashes: int) -> None:
        quarantine = entry.core.policies.get_quarantine(entry.tables)
        now = self.scheduler.now
        quarantine.merge(QuarantineRow(digest=digest, n_crashes=n_crashes, crashed_at=now), now)

    def _flush_bills(self) -> None:
        """Write bills of all entries to the ledger, unless the store is down."""
        if self.scheduler.now < self.store_down_until:
            return
        for entry in self.entries:
            batch = entry.outbox.peek_batch(100)
            for bill in batch:
                self.ledger.setdefault(bill.request_id, bill)
            # The store's acknowledgement is sometimes lost, so the same bills are flushed again.
            if self.random_state.random() > 0.1:
                request_ids = [bill.request_id for bill in batch]
                entry.outbox.confirm(request_ids)
                for agent in self.agents.values():
                    agent.tables.bills.acknowledge(request_ids)

    def _collect_bills(self) -> None:
        """Add the due bills of all agents to a random entry's outbox."""
        entry = self.random_state.choice(self.entries)
        for agent in self.agents.values():
            for bill in agent.tables.bills.list_due(self.scheduler.now):
                entry.outbox.add(bill)

    def _restart_agent(self) -> None:
        """Restart a random agent, which loses the bills that it holds."""
        address = self.random_state.choice(list(self.agents))
        pending = self.agents[address].tables.bills.list_due(self.scheduler.now, is_draining=True)
        self._bills_lost_by_agents.update(bill.request_id for bill in pending)
        self.agents[address].restart()
        self.network.break_all_streams(address)

    def _restart_engine(self) -> None:
        self.agents[self.random_state.choice(list(self.agents))].restart_engine()

    def _freeze_agent(self) -> None:
        agent = self.agents[self.random_state.choice(list(self.agents))]
        agent.frozen_until = self.scheduler.now + self.random_state.uniform(0.5, 8.0)

    def _start_store_outage(self) -> None:
        self.store_down_until = self.scheduler.now + self.random_state.uniform(1.0, 30.0)

    def _kill_entry(self) -> None:
        """Kill a random entry, which loses its unflushed bills, and start it again."""
        index = self.random_state.randrange(N_ENTRIES)
        pending = self.entries[index].outbox.peek_batch(UNLIMITED_BATCH)
        self._bills_lost_by_entries.update(bill.request_id for bill in pending)
        for request_id in self.entries[index].kill():
            self.checks.mark_abandoned(request_id)
        entry = self._make_entry(index)
        for peer in self.entries[:index] + self.entries[index + 1 :]:
            for row in peer.tables.quarantine.values():
                self._merge_quarantine(entry, row.digest, row.n_crashes)
        self.entries[index] = entry
