"""Keeps an entry's upstream rows up to date: load reports, revisions and undelivered bills."""

import logging
from collections.abc import Callable, Sequence

import trio

from crocusvalve.base import RequestId, Revision, UpstreamId
from crocusvalve.billing import BillOutbox
from crocusvalve.control import ConfigCache
from crocusvalve.entry._agents import AgentPool
from crocusvalve.entry._config_sync import push_revision
from crocusvalve.entry._intervals import compute_report_interval_s, compute_silence_timeout_s
from crocusvalve.entry._tables import CoreTables
from crocusvalve.exceptions import CrocusvalveError
from crocusvalve.membership import MembershipSystem, merge_load_report
from crocusvalve.rpc import BillRecord, BillsAck, CrashRecord, Empty, LoadReport
from crocusvalve.utils import Clock, WakeupDelayMonitor

__all__ = ["UpstreamWatcher"]

logger = logging.getLogger(__name__)

WATCHER_UPDATE_INTERVAL_S = 0.5
REPORT_TIMEOUT_S = 1.0
BILLS_INTERVAL_S = 5.0
#: Minimum time without a report after which an upstream counts as down; the time is longer with
#: more upstreams.
MIN_EXPIRY_S = 5.0


class UpstreamWatcher:
    """Requests load reports from the agents of the entry's subset and pushes revisions to them.

    Parameters
    ----------
    tables : CoreTables
        Tables with the upstream rows to update.
    pool : AgentPool
        RPC clients of the agents.
    config_cache : ConfigCache
        Cache of the newest configuration revision.
    membership : MembershipSystem
        Chooses the subset of upstreams and marks upstreams without reports as down.
    outbox : BillOutbox
        Receives bills that agents still hold because the entries that ran the requests ended.
    clock : Clock
        Source of the current time.
    on_crashes : callable
        Called with an upstream and the crashes that its agent reports.
    on_new_agent_boot : callable
        Called with the address of an agent whose reports have a new boot ID.
    """

    def __init__(
        self,
        *,
        tables: CoreTables,
        pool: AgentPool,
        config_cache: ConfigCache,
        membership: MembershipSystem,
        outbox: BillOutbox,
        clock: Clock,
        on_crashes: Callable[[UpstreamId, Sequence[CrashRecord]], None],
        on_new_agent_boot: Callable[[str], None],
    ):
        self.tables = tables
        self.pool = pool
        self.config_cache = config_cache
        self.membership = membership
        self.outbox = outbox
        self.clock = clock
        self.on_crashes = on_crashes
        self.on_new_agent_boot = on_new_agent_boot
        self.report_interval_s = compute_report_interval_s(0)
        self._watcher_scopes: dict[UpstreamId, trio.CancelScope] = {}
        self._last_seen_at: dict[UpstreamId, float] = {}
        self._wakeup_delay_monitor = WakeupDelayMonitor()

    async def run(self) -> None:
        """Watch the upstreams of the revision in force until cancelled."""
        self._watcher_scopes.clear()
        async with trio.open_nursery() as nursery:
            while True:
                self._update_watchers(nursery)
                due_at = self.clock.now() + WATCHER_UPDATE_INTERVAL_S
                await trio.sleep(WATCHER_UPDATE_INTERVAL_S)
                self._wakeup_delay_monitor.record_wakeup(due_at, self.clock.now())

    def _update_watchers(self, nursery: trio.Nursery) -> None:
        # The returned probes are ignored: each upstream, even an unresponsive one, is polled by its
        # own watcher.
        self.membership.run(self.tables, self.clock.now())
        wanted = {ref for ref, row in self.tables.upstreams.items() if row.in_subset}
        self._update_report_interval(len(wanted))
        for upstream_id in wanted - self._watcher_scopes.keys():
            scope = trio.CancelScope()
            self._watcher_scopes[upstream_id] = scope
            nursery.start_soon(self._watch, upstream_id, scope)
        for upstream_id in self._watcher_scopes.keys() - wanted:
            self._watcher_scopes.pop(upstream_id).cancel()
        self.pool.close_unused_clients({row.agent for row in self.tables.upstreams.values()})

    def _update_report_interval(self, n_upstreams: int) -> None:
        self.report_interval_s = compute_report_interval_s(n_upstreams)
        silence_s = compute_silence_timeout_s(self.report_interval_s)
        self.membership.expiry_s = max(MIN_EXPIRY_S, silence_s)

    async def _watch(self, upstream_id: UpstreamId, scope: trio.CancelScope) -> None:
        next_bills_at = self.clock.now()
        self._last_seen_at[upstream_id] = self.clock.now()
        with scope:
            while True:
                await self._request_report(upstream_id)
                if self.clock.now() >= next_bills_at:
                    await self._collect_bills(upstream_id)
                    next_bills_at = self.clock.now() + BILLS_INTERVAL_S
                await trio.sleep(self.report_interval_s)

    async def _request_report(self, upstream_id: UpstreamId) -> None:
        row = self.tables.upstreams.get(upstream_id)
        if row is None:
            return
        client = self.pool.get(row.agent)
        due_at = self.clock.now() + REPORT_TIMEOUT_S
        try:
            with trio.fail_after(REPORT_TIMEOUT_S):
                report = await client.report(Empty())
        except (CrocusvalveError, trio.TooSlowError) as exc:
            self._wakeup_delay_monitor.record_wakeup(due_at, self.clock.now())
            self._handle_missing_report(upstream_id, exc)
            return
        if report.upstream_id != upstream_id:
            logger.error(
                "agent %s reports the load of another upstream, %s", row.agent, report.upstream_id
            )
            return
        self._handle_report(upstream_id, report)
        if report.revision < self.config_cache.revision:
            row.revision = await push_revision(self.config_cache, client, report.revision)

    def _handle_report(self, upstream_id: UpstreamId, report: LoadReport) -> None:
        now = self.clock.now()
        self._last_seen_at[upstream_id] = now
        row = self.tables.upstreams[upstream_id]
        if row.boot_id != report.boot_id:
            self.on_new_agent_boot(row.agent)
        merge_load_report(self.tables, report, now)
        if report.crashes:
            self.on_crashes(upstream_id, report.crashes)

    def _handle_missing_report(self, upstream_id: UpstreamId, exc: Exception) -> None:
        row = self.tables.upstreams.get(upstream_id)
        silence_s = self._wakeup_delay_monitor.compute_silence_s(
            self._last_seen_at[upstream_id], self.clock.now()
        )
        if row is not None and silence_s > compute_silence_timeout_s(self.report_interval_s):
            logger.info(
                "no report from the agent of %s for %.1f s: %s", upstream_id, silence_s, exc
            )
            self.pool.cancel_streams(row.agent)

    async def _collect_bills(self, upstream_id: UpstreamId) -> None:
        row = self.tables.upstreams.get(upstream_id)
        if row is None:
            return
        try:
            reply = await self.pool.get(row.agent).list_bills(Empty())
        except CrocusvalveError:
            return
        for bill in reply.bills:
            self.outbox.add(bill)

    async def acknowledge_bills(self, bills: list[BillRecord]) -> None:
        """Acknowledge bills that are in the ledger to their agents, which then delete them."""
        by_upstream: dict[UpstreamId, list[RequestId]] = {}
        for bill in bills:
            by_upstream.setdefault(bill.upstream_id, []).append(bill.request_id)
        async with trio.open_nursery() as nursery:
            for upstream_id, request_ids in by_upstream.items():
                nursery.start_soon(self._acknowledge, upstream_id, tuple(request_ids))

    async def _acknowledge(
        self, upstream_id: UpstreamId, request_ids: tuple[RequestId, ...]
    ) -> None:
        row = self.tables.upstreams.get(upstream_id)
        if row is None:
            return
        try:
            await self.pool.get(row.agent).acknowledge_bills(BillsAck(request_ids))
        except CrocusvalveError as exc:
            # The agent reports the bills again, and the ledger ignores the duplicates.
            logger.info("failed to acknowledge bills to the agent of %s: %s", upstream_id, exc)

    async def push_to_all(self) -> None:
        """Push the newest revision concurrently to all agents of the subset that lack it."""
        async with trio.open_nursery() as nursery:
            for row in list(self.tables.upstreams.values()):
                if row.in_subset and row.revision < self.config_cache.revision:
                    nursery.start_soon(self._push_one, row.upstream_id, row.revision)

    async def _push_one(self, upstream_id: UpstreamId, peer_revision: Revision) -> None:
        row = self.tables.upstreams.get(upstream_id)
        if row is not None:
            revision = await push_revision(
                self.config_cache, self.pool.get(row.agent), peer_revision
            )
            row.revision = max(row.revision, revision)
