"""World of a randomised run: entries, agents, callers and faults in virtual time."""

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
from crocusvalve.soak._agent import POISON, SoakAgent
from crocusvalve.soak._checks import SoakChecks
from crocusvalve.soak._document import MEMBER, change_document, make_soak_document
from crocusvalve.soak._entry import SoakEntry
from crocusvalve.soak._faults import SoakFaults
from crocusvalve.soak._scheduler import Scheduler
from crocusvalve.soak._streams import SoakNetwork

__all__ = ["SoakWorld"]

N_ENTRIES = 2
TICK_S = 0.05
REPORT_S = 0.5
MEAN_REQUEST_S = 0.03
SPREAD_S = 2.0
FLUSH_S = 1.0
SESSION_SHARE = 0.2
CASCADE_SHARE = 0.3
GRACE_S = 1.0
#: Time until agents have offered the bills of killed entries.
BILL_GRACE_S = 100.0
BILLS_S = 5.0
LARGE_BATCH = 1_000_000
CLASSES = {
    "lookup": (ClassKind.LOOKUP, Priority.URGENT, 2.0),
    "answer": (ClassKind.ANSWER, Priority.NORMAL, 6.0),
    "assess": (ClassKind.DURABLE, Priority.BATCH, 30.0),
}


class SoakWorld:
    """Runs step by step; each step is one event of the world.

    Parameters
    ----------
    seed : int
        Seed of everything random.
    faults : SoakFaults or None
        Odds of faults.
    """

    def __init__(self, seed: int, *, faults: SoakFaults | None = None):
        self.random_state = random.Random(seed)
        self.faults = faults or SoakFaults()
        self.scheduler = Scheduler()
        self.checks = SoakChecks()
        self.view = DocumentView(make_soak_document(), Revision(1))
        self.checks.note_revision(self.view, self.scheduler.now)
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
        self._lost_by_entries: set[RequestId] = set()
        self._lost_by_agents: set[RequestId] = set()
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
            share=self._share,
        )
        return entry

    def _start(self) -> None:
        for index in range(N_ENTRIES):
            self._repeat(TICK_S, lambda index=index: self.entries[index].tick())
            self._repeat(REPORT_S, lambda index=index: self._report(self.entries[index]))
        self._repeat(FLUSH_S, self._flush)
        self._repeat(BILLS_S, self._collect_bills)
        self._repeat(REPORT_S, self._probe)
        self._add_request()
        odds = self.faults
        self._add_fault("agent_restart", odds.agent_restart_per_s, self._restart_agent)
        self._add_fault("engine_cold", odds.engine_cold_per_s, self._turn_cold)
        self._add_fault("freeze", odds.freeze_per_s, self._freeze)
        self._add_fault("entry_kill", odds.entry_kill_per_s, self._kill_entry)
        self._add_fault("revision", odds.revision_per_s, self._publish)
        self._add_fault("store_outage", odds.store_outage_per_s, self._stop_store)

    def _repeat(self, interval_s: float, call) -> None:
        def run() -> None:
            call()
            self.scheduler.add(interval_s, run)

        self.scheduler.add(self.random_state.uniform(0.0, interval_s), run)

    def _add_fault(self, name: str, rate_per_s: float, call) -> None:
        def run() -> None:
            if not self.is_closing:
                self.faults.note(name)
                call()
                self.scheduler.add(self.random_state.expovariate(rate_per_s), run)

        if rate_per_s > 0.0:
            self.scheduler.add(self.random_state.expovariate(rate_per_s), run)

    def step(self) -> None:
        """Run one event."""
        self.scheduler.run_next()

    def close(self) -> None:
        """Stop requests and faults, let everything end, and check what is left."""
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
        self.checks.check_ledger(self.ledger, self._lost_by_entries & self._lost_by_agents)

    def _add_request(self) -> None:
        if self.is_closing:
            return
        entry = self.random_state.choice(self.entries)
        req = self._make_request()
        self.checks.note_request(req.request_id, req.pinned_version)
        entry.submit(req)
        if self.random_state.random() < self.faults.caller_leaves:
            self.faults.note("caller_leaves")
            leave_s = self.random_state.uniform(0.0, 0.5)
            self.scheduler.add(leave_s, lambda: entry.abandon(req.request_id))
        self.scheduler.add(self.random_state.expovariate(1.0 / MEAN_REQUEST_S), self._add_request)

    def _make_request(self) -> RequestRow:
        rng = self.random_state
        self.n_requests += 1
        class_name = rng.choice(list(CLASSES))
        kind, priority, deadline_s = CLASSES[class_name]
        is_poison = rng.random() < self.faults.poison
        body = b'{"messages":[],"note":"%s"}' % (POISON if is_poison else b"plain")
        is_cascade = rng.random() < CASCADE_SHARE
        steps = ("small", "large") if is_cascade else ("small",)
        customer = rng.randrange(3)
        pinned = ""
        if rng.random() < SESSION_SHARE and not is_cascade:
            pinned = (
                "delta/small@v1"
                if customer == 0
                else rng.choice(("delta/small@v1", "delta/small@v2"))
            )
        if is_poison:
            self.faults.note("poison")
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

    def _report(self, entry: SoakEntry) -> None:
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
                self._take_crashes(entry, report)

    def _take_crashes(self, entry: SoakEntry, report: LoadReport) -> None:
        quarantine = entry.core.policies.get_quarantine(entry.tables)
        quarantine.merge_crash_report(report.upstream_id, report.crashes, self.scheduler.now)

    def _probe(self) -> None:
        for agent in self.agents.values():
            if self.scheduler.now >= agent.frozen_until:
                agent.probe()

    def _publish(self) -> None:
        document = change_document(self.view.document, self.random_state)
        view = DocumentView(document, Revision(self.view.revision + 1))
        self.view = view
        self.checks.note_revision(view, self.scheduler.now)
        for index in range(N_ENTRIES):
            self._spread(lambda index=index: self.entries[index].tables.apply_view(view))
        for agent in self.agents.values():
            self._spread(lambda agent=agent: self._apply_at_agent(agent, view))

    def _spread(self, call) -> None:
        self.scheduler.add(self.random_state.uniform(0.0, SPREAD_S), call)

    @staticmethod
    def _apply_at_agent(agent: SoakAgent, view: DocumentView) -> None:
        if agent.document is None or view.revision > agent.document.revision:
            agent.apply_view(view)

    def _share(self, cmd: ShareQuarantine) -> None:
        for index in range(N_ENTRIES):
            delay_s = self.random_state.uniform(0.0, 0.2)
            self.scheduler.add(delay_s, lambda index=index: self._merge(index, cmd))

    def _merge(self, index: int, cmd: ShareQuarantine) -> None:
        self._merge_into(self.entries[index], cmd.digest, cmd.n_crashes)

    def _merge_into(self, entry: SoakEntry, digest: str, n_crashes: int) -> None:
        quarantine = entry.core.policies.get_quarantine(entry.tables)
        now = self.scheduler.now
        quarantine.merge(QuarantineRow(digest=digest, n_crashes=n_crashes, crashed_at=now), now)

    def _flush(self) -> None:
        if self.scheduler.now < self.store_down_until:
            return
        for entry in self.entries:
            batch = entry.outbox.peek_batch(100)
            for bill in batch:
                self.ledger.setdefault(bill.request_id, bill)
            # The answer of the store is lost now and then: the same bills come again.
            if self.random_state.random() > 0.1:
                request_ids = [bill.request_id for bill in batch]
                entry.outbox.confirm(request_ids)
                for agent in self.agents.values():
                    agent.tables.bills.acknowledge(request_ids)

    def _collect_bills(self) -> None:
        entry = self.random_state.choice(self.entries)
        for agent in self.agents.values():
            for bill in agent.tables.bills.list_due(self.scheduler.now):
                entry.outbox.add(bill)

    def _restart_agent(self) -> None:
        address = self.random_state.choice(list(self.agents))
        held = self.agents[address].tables.bills.list_due(self.scheduler.now, is_draining=True)
        self._lost_by_agents.update(bill.request_id for bill in held)
        self.agents[address].restart()
        self.network.break_all(address)

    def _turn_cold(self) -> None:
        self.agents[self.random_state.choice(list(self.agents))].reset_to_cold()

    def _freeze(self) -> None:
        agent = self.agents[self.random_state.choice(list(self.agents))]
        agent.frozen_until = self.scheduler.now + self.random_state.uniform(0.5, 8.0)

    def _stop_store(self) -> None:
        self.store_down_until = self.scheduler.now + self.random_state.uniform(1.0, 30.0)

    def _kill_entry(self) -> None:
        index = self.random_state.randrange(N_ENTRIES)
        held = self.entries[index].outbox.peek_batch(LARGE_BATCH)
        self._lost_by_entries.update(bill.request_id for bill in held)
        for request_id in self.entries[index].kill():
            self.checks.note_gone(request_id)
        entry = self._make_entry(index)
        for peer in self.entries[:index] + self.entries[index + 1 :]:
            for row in peer.tables.quarantine.values():
                self._merge_into(entry, row.digest, row.n_crashes)
        self.entries[index] = entry
