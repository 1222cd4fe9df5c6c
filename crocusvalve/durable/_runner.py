"""Runs durable requests: executes each while its lease is held and writes its result once."""

import logging
from collections.abc import Awaitable, Callable

import trio
from msgspec import Struct

from crocusvalve.base import RequestId
from crocusvalve.durable._lease import DurableLeases
from crocusvalve.durable._records import DurableRecord, DurableResult
from crocusvalve.durable._store import DurableStore, FinishPlan
from crocusvalve.durable._tables import DurableRow
from crocusvalve.exceptions import CrocusvalveError, InvariantError, PlatformError
from crocusvalve.store import Backoff
from crocusvalve.utils import Clock

__all__ = ["DurableCounters", "DurableRun", "DurableRunner", "ExecuteCallback"]

logger = logging.getLogger(__name__)

ExecuteCallback = Callable[[DurableRecord], Awaitable[DurableResult]]


class DurableCounters(Struct):
    """Counts of durable requests and errors in this process.

    Attributes
    ----------
    n_accepted, n_claimed : int
        New requests accepted here, and requests claimed after their lease expired or was
        released.
    n_executions : int
        Calls of the execute callback; a request may need several.
    n_finished, n_lost : int
        Requests whose result was written by this process, and requests run here whose result was
        not, because another process took them over or ended them.
    n_expired : int
        Requests that this process ended as failed after their deadline.
    n_alarms : int
        Alarms raised.
    n_store_errors, n_invariant_errors, n_errors : int
        Failures of the store, violated invariants, and unexpected exceptions of executions.
    """

    n_accepted: int = 0
    n_claimed: int = 0
    n_executions: int = 0
    n_finished: int = 0
    n_lost: int = 0
    n_expired: int = 0
    n_alarms: int = 0
    n_store_errors: int = 0
    n_invariant_errors: int = 0
    n_errors: int = 0


class DurableRun:
    """Execution state of a request that this process holds.

    Parameters
    ----------
    row : DurableRow
        Open row of the request, held by this process.
    record : DurableRecord or None
        The request; None if it has not been read from the store yet.
    """

    def __init__(self, row: DurableRow, record: DurableRecord | None):
        self.row = row
        self.record = record
        self.cancel_scope = trio.CancelScope()
        #: Acquired for each write of the open row, so that the next writer knows its version.
        self.row_lock = trio.Lock()

    @property
    def request_id(self) -> RequestId:
        """Request id from the open row."""
        return self.row.record.request_id


class DurableRunner:
    """Executes durable requests and writes their results.

    Parameters
    ----------
    store : DurableStore
        Rows of durable requests.
    leases : DurableLeases
        Leases held by this process.
    execute : callable
        Executes a request once and returns its result.
    clock : Clock
        Source of the current time.
    backoff : Backoff
        Delays between retries.
    counters : DurableCounters
        Counts requests by outcome.
    """

    def __init__(
        self,
        store: DurableStore,
        leases: DurableLeases,
        execute: ExecuteCallback,
        *,
        clock: Clock,
        backoff: Backoff,
        counters: DurableCounters,
    ):
        self.store = store
        self.leases = leases
        self.execute = execute
        self.clock = clock
        self.backoff = backoff
        self.counters = counters

    async def run(self, run: DurableRun) -> None:
        """Execute a request until it has ended, or return early if it is lost or cancelled."""
        try:
            with run.cancel_scope:
                result = await self._execute(run)
                if await self._finish(run, result):
                    self.counters.n_finished += 1
                else:
                    self.counters.n_lost += 1
        except InvariantError as exc:
            self.counters.n_invariant_errors += 1
            logger.error("durable request %s: %s", run.request_id, exc)
        except Exception:
            # A failure of one request must not stop the others; it is claimed again or expires.
            self.counters.n_errors += 1
            logger.exception("durable request %s failed unexpectedly", run.request_id)

    async def _execute(self, run: DurableRun) -> DurableResult:
        n_failures = 0
        while True:
            retry_after_s = 0.0
            try:
                if run.record is None:
                    run.record = await self.store.get(run.request_id)
                if self._may_start(run.row):
                    self.counters.n_executions += 1
                    return await self.execute(run.record)
            except PlatformError as exc:
                self.record_store_error(exc)
            except InvariantError:
                raise
            except CrocusvalveError as exc:
                retry_after_s = getattr(exc, "retry_after_s", None) or 0.0
                logger.info("durable request %s will be retried: %s", run.request_id, exc)
            n_failures += 1
            await trio.sleep(max(retry_after_s, self.backoff.compute_delay_s(n_failures)))

    def _may_start(self, row: DurableRow) -> bool:
        now = self.clock.now()
        return now < row.held_until and now < row.record.deadline

    async def _finish(self, run: DurableRun, result: DurableResult) -> bool:
        async with run.row_lock:
            run.row.is_finishing = True
            plan = None
            n_failures = 0
            while True:
                try:
                    plan = plan or await self._plan(run, result)
                    if await self.store.finish(plan):
                        return True
                    if not await self.leases.refresh_held_row(run.row):
                        return False
                    plan = None
                except PlatformError as exc:
                    self.record_store_error(exc)
                    n_failures += 1
                    await trio.sleep(self.backoff.compute_delay_s(n_failures))

    async def _plan(self, run: DurableRun, result: DurableResult) -> FinishPlan:
        return await self.store.plan_finish(run.record, result, run.row, self.clock.now())

    def record_store_error(self, exc: CrocusvalveError) -> None:
        """Count and log a failed call of the store."""
        self.counters.n_store_errors += 1
        logger.info("durable requests: store call failed: %s", exc)
