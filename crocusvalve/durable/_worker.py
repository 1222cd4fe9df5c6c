"""Accepts durable requests and runs them until each has ended, exactly once."""

import logging
import random
from collections.abc import Callable

import msgspec
import trio

from crocusvalve.base import BootId, Command, NodeId, RequestId
from crocusvalve.durable._lease import DurableLeases
from crocusvalve.durable._records import (
    ClaimRow,
    DurableRecord,
    DurableRequest,
    DurableResult,
    DurableState,
    ExpireRow,
    MarkAlarm,
    OpenRecord,
    RenewRow,
)
from crocusvalve.durable._runner import DurableCounters, DurableRun, DurableRunner, ExecuteCallback
from crocusvalve.durable._store import (
    ACCEPTED_VERSION,
    AcceptedRequest,
    DurableStore,
    make_open_record,
)
from crocusvalve.durable._system import DurableSystem
from crocusvalve.durable._tables import DurableRow, DurableTables
from crocusvalve.exceptions import CrocusvalveError, ErrorCode, InvariantError, PlatformError
from crocusvalve.store import Backoff
from crocusvalve.utils import Clock, check_range

__all__ = ["DurableWorker"]

logger = logging.getLogger(__name__)

LEASE_TTL_S = 30.0
MAX_RUNNING = 64
TICK_INTERVAL_S = 0.25
SCAN_INTERVAL_S = 5.0
SCAN_PAGE_ROWS = 500
RETRY_BASE_S = 0.2
RETRY_MAX_S = 5.0
RELEASE_TIMEOUT_S = 3.0

AlarmListener = Callable[[OpenRecord], None]


class DurableWorker:
    """Accepts durable requests and runs those whose lease this process holds.

    Parameters
    ----------
    store : DurableStore
        Store of durable requests.
    execute : callable
        Executes a request and returns its result; raises ``RefusedError`` if it should be
        retried. It may be called more than once for a request; no call starts after the deadline.
    node_id, boot_id : NodeId, BootId
        Identify this process and its current boot; together they name it as a lease holder.
    clock : Clock
        Source of the current time.
    random_state : random.Random
        Random source for the jitter of the backoff.
    ttl_s : float
        Time to live of a lease, in seconds.
    max_running : int
        Maximum number of requests run at once.
    system : DurableSystem or None
        Scheduling rules; None for the default ones.
    tick_interval_s, scan_interval_s : float
        Delays between evaluations of the rules and between reads of a page, in seconds.
    scan_page_rows : int
        Number of rows per page of a scan.
    on_alarm : callable or None
        Called with the open record of a request when its alarm is raised.
    """

    def __init__(
        self,
        store: DurableStore,
        execute: ExecuteCallback,
        *,
        node_id: NodeId,
        boot_id: BootId,
        clock: Clock,
        random_state: random.Random,
        ttl_s: float = LEASE_TTL_S,
        max_running: int = MAX_RUNNING,
        system: DurableSystem | None = None,
        tick_interval_s: float = TICK_INTERVAL_S,
        scan_interval_s: float = SCAN_INTERVAL_S,
        scan_page_rows: int = SCAN_PAGE_ROWS,
        on_alarm: AlarmListener | None = None,
    ):
        check_range("ttl_s", ttl_s, low=0.001)
        check_range("max_running", max_running, low=0)
        check_range("scan_page_rows", scan_page_rows, low=1)
        self.store = store
        self.clock = clock
        self.tick_interval_s = tick_interval_s
        self.scan_interval_s = scan_interval_s
        self.scan_page_rows = scan_page_rows
        self.on_alarm = on_alarm
        self.system = system or DurableSystem()
        self.tables = DurableTables(holder=f"{node_id}/{boot_id}", max_running=max_running)
        self.leases = DurableLeases(store, self.tables, ttl_s=ttl_s)
        self.counters = DurableCounters()
        self._backoff = Backoff(base_s=RETRY_BASE_S, max_s=RETRY_MAX_S, random_state=random_state)
        self._runner = DurableRunner(
            store,
            self.leases,
            execute,
            clock=clock,
            backoff=self._backoff,
            counters=self.counters,
        )
        self._runs: dict[RequestId, DurableRun] = {}
        self._nursery: trio.Nursery | None = None
        self._scan_after = ""

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled, then release the leases."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._run_scans)
                nursery.start_soon(self._run_ticks)
                task_status.started()
        finally:
            self._nursery = None
            with trio.move_on_after(RELEASE_TIMEOUT_S, shield=True):
                await self._release_all()

    async def accept(self, req: DurableRequest) -> AcceptedRequest:
        """Accept a request and start it if this process has capacity.

        Raises
        ------
        RefusedError
            As in ``DurableStore.accept``.
        """
        now = self.clock.now()
        has_capacity = self.tables.n_running < self.tables.max_running
        holder = self.tables.holder if has_capacity else ""
        ttl_s = self.leases.ttl_s
        self.tables.accepting.add(req.request_id)
        try:
            accepted = await self.store.accept(req, holder=holder, ttl_s=ttl_s, now=now)
        finally:
            self.tables.accepting.discard(req.request_id)
        if accepted.is_new:
            self.counters.n_accepted += 1
            open_record = make_open_record(req, holder, ttl_s)
            record = msgspec.structs.replace(accepted.record, body=req.body)
            self._add_accepted(open_record, record, now)
        return accepted

    def drain(self) -> None:
        """Start no more requests; running ones continue until they end or ``run`` is cancelled."""
        self.tables.max_running = 0

    async def scan_once(self, now: float) -> None:
        """Read the next page of open requests and cancel the runs of lost ones."""
        after = self._scan_after
        self.tables.start_observing(now)
        page = await self.store.list_open(after=after, limit=self.scan_page_rows)
        is_last = len(page) < self.scan_page_rows
        self._scan_after = "" if is_last else page[-1].record.request_id
        for request_id in self.tables.merge_page(page, after=after, is_last=is_last):
            self._cancel(request_id)

    def tick(self, now: float) -> list[Command]:
        """Evaluate the rules once; start and return the commands that are due."""
        commands = self.system.run(self.tables, now)
        for command in commands:
            row = self.tables.rows[command.request_id]
            row.has_pending_command = True
            self._nursery.start_soon(self._run_command, command, row)
        return commands

    async def _run_scans(self) -> None:
        while True:
            try:
                await self.scan_once(self.clock.now())
            except PlatformError as exc:
                self._runner.record_store_error(exc)
            await trio.sleep(self.scan_interval_s)

    async def _run_ticks(self) -> None:
        while True:
            self.tick(self.clock.now())
            await trio.sleep(self.tick_interval_s)

    async def _run_command(self, command: Command, row: DurableRow) -> None:
        try:
            if isinstance(command, ClaimRow):
                await self._claim(row, command.raises_alarm)
            elif isinstance(command, RenewRow):
                await self._renew(row, command.raises_alarm)
            elif isinstance(command, MarkAlarm):
                self._report_alarm(row, await self.leases.mark_alarm(row))
            elif isinstance(command, ExpireRow):
                await self._expire(row)
        except PlatformError as exc:
            self._runner.record_store_error(exc)
            await trio.sleep(self._backoff.compute_delay_s(1))
        except InvariantError as exc:
            self.counters.n_invariant_errors += 1
            logger.error("durable request %s: %s", row.record.request_id, exc)
        finally:
            row.has_pending_command = False

    async def _claim(self, row: DurableRow, raises_alarm: bool) -> None:
        if not await self.leases.claim(row, self.clock.now(), is_alarmed=raises_alarm):
            # Another process claimed the row first; the next scan reads its current state.
            self.tables.rows.pop(row.record.request_id, None)
            return
        self.counters.n_claimed += 1
        self._report_alarm(row, raises_alarm)
        self._start(row.record.request_id, None)

    async def _renew(self, row: DurableRow, raises_alarm: bool) -> None:
        run = self._runs.get(row.record.request_id)
        if run is None:
            return
        async with run.row_lock:
            now = self.clock.now()
            is_held = await self.leases.renew(row, now, is_alarmed=raises_alarm)
        if is_held:
            self._report_alarm(row, raises_alarm)
        else:
            self._cancel(row.record.request_id)

    async def _expire(self, row: DurableRow) -> None:
        request_id = row.record.request_id
        self._cancel(request_id)
        record = await self.store.get_record(request_id)
        open_row = await self.store.read_open(request_id)
        if record is None:
            raise InvariantError("an open row has no durable record", step="expire_durable")
        if record.state is DurableState.OPEN and open_row is not None:
            result = _make_expired_result()
            plan = await self.store.plan_finish(record, result, open_row, self.clock.now())
            if await self.store.finish(plan):
                self.counters.n_expired += 1
                logger.error(
                    "durable request %s ended as failed: its deadline has passed", request_id
                )
        self.tables.rows.pop(request_id, None)

    def _add_accepted(self, open_record: OpenRecord, record: DurableRecord, now: float) -> None:
        request_id = record.request_id
        if open_record.holder:
            self.leases.add_accepted(open_record, ACCEPTED_VERSION, now)
            self._start(request_id, record)
        elif request_id not in self.tables.rows:
            self.tables.rows[request_id] = DurableRow(
                record=open_record, version=ACCEPTED_VERSION, unchanged_since=now
            )

    def _start(self, request_id: RequestId, record: DurableRecord | None) -> None:
        run = DurableRun(self.tables.rows[request_id], record)
        self._runs[request_id] = run
        self._nursery.start_soon(self._run_one, run)

    async def _run_one(self, run: DurableRun) -> None:
        request_id = run.request_id
        try:
            await self._runner.run(run)
            # Not reached if the worker itself is cancelled: ``_release_all`` then needs the row.
            self.tables.rows.pop(request_id, None)
        finally:
            del self._runs[request_id]

    def _cancel(self, request_id: RequestId) -> None:
        run = self._runs.get(request_id)
        if run is not None:
            run.cancel_scope.cancel()

    async def _release_all(self) -> None:
        for row in self.tables.rows.values():
            if not row.is_running:
                continue
            try:
                await self.leases.release(row)
            except CrocusvalveError as exc:
                logger.info(
                    "lease of durable request %s not released: %s", row.record.request_id, exc
                )

    def _report_alarm(self, row: DurableRow, is_raised: bool) -> None:
        if not is_raised:
            return
        self.counters.n_alarms += 1
        logger.error(
            "durable request %s of customer %s is close to its deadline",
            row.record.request_id,
            row.record.customer_id,
        )
        if self.on_alarm is not None:
            self.on_alarm(row.record)


def _make_expired_result() -> DurableResult:
    code = ErrorCode.DEADLINE_PASSED
    return DurableResult(status=code.http_status, error_code=code.code)
