"""Runs one durable request: executes it while its lease is held and writes its end once."""

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

__all__ = ["DurableCounters", "DurableRun", "DurableRunner", "Execute"]

logger = logging.getLogger(__name__)

Execute = Callable[[DurableRecord], Awaitable[DurableResult]]


class DurableCounters(Struct):
    """Numbers of durable requests by what became of them here."""

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
    """A request that this process works on.

    Parameters
    ----------
    row : DurableRow
        Its row, held by this process.
    record : DurableRecord or None
        The request; None where it is still to be read.
    """

    def __init__(self, row: DurableRow, record: DurableRecord | None):
        self.row = row
        self.record = record
        self.scope = trio.CancelScope()
        #: Held while the open row is written, so that its version is known to the next writer.
        self.lock = trio.Lock()

    @property
    def request_id(self) -> RequestId:
        """Id of the request."""
        return self.row.record.request_id


class DurableRunner:
    """Executes requests and writes their ends.

    Parameters
    ----------
    store : DurableStore
        Rows of durable requests.
    leases : DurableLeases
        Leases of this process.
    execute : callable
        Runs a request.
    clock : Clock
        Source of the present time.
    backoff : Backoff
        Delays between tries.
    counters : DurableCounters
        Counts what becomes of requests.
    """

    def __init__(
        self,
        store: DurableStore,
        leases: DurableLeases,
        execute: Execute,
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
        """Work on a request until it has ended or is lost; leaves early when cancelled."""
        try:
            with run.scope:
                result = await self._execute(run)
                if await self._finish(run, result):
                    self.counters.n_finished += 1
                else:
                    self.counters.n_lost += 1
        except InvariantError as exc:
            self.counters.n_invariant_errors += 1
            logger.error("durable request %s: %s", run.request_id, exc)
        except Exception:
            # One request must not end the work on all others; it is claimed again or expires.
            self.counters.n_errors += 1
            logger.exception("durable request %s broke off", run.request_id)

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
                self.note_store_error(exc)
            except InvariantError:
                raise
            except CrocusvalveError as exc:
                retry_after_s = getattr(exc, "retry_after_s", None) or 0.0
                logger.info("durable request %s is tried again: %s", run.request_id, exc)
            n_failures += 1
            await trio.sleep(max(retry_after_s, self.backoff.compute_delay_s(n_failures)))

    def _may_start(self, row: DurableRow) -> bool:
        now = self.clock.now()
        return now < row.held_until and now < row.record.deadline

    async def _finish(self, run: DurableRun, result: DurableResult) -> bool:
        async with run.lock:
            run.row.is_finishing = True
            plan = None
            n_failures = 0
            while True:
                try:
                    plan = plan or await self._plan(run, result)
                    if await self.store.finish(plan):
                        return True
                    if not await self.leases.read_back(run.row):
                        return False
                    plan = None
                except PlatformError as exc:
                    self.note_store_error(exc)
                    n_failures += 1
                    await trio.sleep(self.backoff.compute_delay_s(n_failures))

    async def _plan(self, run: DurableRun, result: DurableResult) -> FinishPlan:
        return await self.store.plan_finish(run.record, result, run.row, self.clock.now())

    def note_store_error(self, exc: CrocusvalveError) -> None:
        """Count and log a failure of the store."""
        self.counters.n_store_errors += 1
        logger.info("durable requests: %s", exc)
