"""Combines independent writes of one process into few transactions."""

from collections import deque
from collections.abc import Sequence

import trio
from msgspec import Struct

from crocusvalve.exceptions import CrocusvalveError, PlatformError
from crocusvalve.store.base import (
    MAX_TRANSACT_WRITES,
    Row,
    TableService,
    Write,
    WriteResult,
    WriteState,
)
from crocusvalve.utils import check_range

__all__ = ["BatcherCounters", "WriteBatcher"]

LINGER_S = 0.005
MAX_QUEUED_WRITES = 5_000
QUEUE_TIMEOUT_S = 3.0


class BatcherCounters(Struct):
    """Numbers of write groups (one per caller) and of the transactions that carried them."""

    n_groups: int = 0
    n_transacts: int = 0
    n_resent: int = 0
    n_refused: int = 0


class _Group:
    """Writes of one call of ``transact``, applied together or not at all."""

    def __init__(self, writes: Sequence[Write]):
        self.writes = tuple(writes)
        self.done = trio.Event()
        self.results: list[WriteResult] = []
        self.error: CrocusvalveError | None = None
        self.is_sent = False

    @property
    def row_keys(self) -> set[tuple[str, str]]:
        return {(write.table, write.key) for write in self.writes}


class WriteBatcher(TableService):
    """Table service that sends the writes of many callers in one transaction.

    The writes of one call form a group and stay in one transaction. If the condition of any write
    fails, the service applies none of the transaction; the groups without a conflict are then sent
    again, without the conflicting groups.

    Parameters
    ----------
    inner : TableService
        Sends the transactions, with retries.
    linger_s : float
        Time that a batch is held open for further groups, in seconds.
    max_writes : int
        Maximum number of writes in a transaction.
    max_queued_writes : int
        Maximum number of queued writes; calls that would exceed it are refused at once.
    queue_timeout_s : float
        Longest wait in the queue, in seconds; a group not sent by then is refused.
    """

    def __init__(
        self,
        inner: TableService,
        *,
        linger_s: float = LINGER_S,
        max_writes: int = MAX_TRANSACT_WRITES,
        max_queued_writes: int = MAX_QUEUED_WRITES,
        queue_timeout_s: float = QUEUE_TIMEOUT_S,
    ):
        check_range("linger_s", linger_s, low=0.0)
        check_range("max_writes", max_writes, low=1, high=MAX_TRANSACT_WRITES)
        self.inner = inner
        self.linger_s = linger_s
        self.max_writes = max_writes
        self.max_queued_writes = max_queued_writes
        self.queue_timeout_s = queue_timeout_s
        self.counters = BatcherCounters()
        self._queue: deque[_Group] = deque()
        self._has_work = trio.Event()

    async def run(self) -> None:
        """Send queued groups until cancelled; groups still queued then fail as not applied."""
        try:
            while True:
                await self._has_work.wait()
                await trio.sleep(self.linger_s)
                await self._send(self._pop_batch())
        finally:
            self._fail_queued()

    async def transact(self, writes: Sequence[Write]) -> list[WriteResult]:
        """Apply all the given writes or none of them."""
        if len(writes) > self.max_writes:
            return await self.inner.transact(writes)
        n_queued = sum(len(group.writes) for group in self._queue)
        if n_queued + len(writes) > self.max_queued_writes:
            self.counters.n_refused += 1
            raise PlatformError("too many writes are queued for the store", step="transact")
        group = _Group(writes)
        self.counters.n_groups += 1
        self._queue.append(group)
        self._has_work.set()
        await self._wait_for(group)
        if group.error is not None:
            raise group.error
        return group.results

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""
        return await self.inner.get(table, key)

    async def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return up to ``limit`` rows with a key prefix, in key order, after the key ``after``."""
        return await self.inner.scan(table, prefix=prefix, after=after, limit=limit)

    async def _wait_for(self, group: _Group) -> None:
        with trio.move_on_after(self.queue_timeout_s):
            await group.done.wait()
            return
        if group.is_sent:
            # A sent transaction is bounded by the timeout of the inner service.
            await group.done.wait()
            return
        self._queue.remove(group)
        self.counters.n_refused += 1
        raise PlatformError("the write timed out in the queue", step="transact")

    def _pop_batch(self) -> list[_Group]:
        """Remove and return groups that touch different rows; the others keep their order."""
        batch: list[_Group] = []
        remaining: deque[_Group] = deque()
        row_keys: set[tuple[str, str]] = set()
        n_writes = 0
        for group in self._queue:
            fits = n_writes + len(group.writes) <= self.max_writes
            if fits and row_keys.isdisjoint(group.row_keys):
                batch.append(group)
                n_writes += len(group.writes)
            else:
                remaining.append(group)
            row_keys |= group.row_keys
        self._queue = remaining
        if not remaining:
            self._has_work = trio.Event()
        return batch

    async def _send(self, batch: list[_Group]) -> None:
        while batch:
            for group in batch:
                group.is_sent = True
            batch = await self._send_once(batch)
            self.counters.n_resent += len(batch)

    async def _send_once(self, batch: list[_Group]) -> list[_Group]:
        """Send groups in one transaction and return those to send again."""
        writes = [write for group in batch for write in group.writes]
        self.counters.n_transacts += 1
        try:
            results = await self.inner.transact(writes)
        except CrocusvalveError as exc:
            _fail(batch, exc)
            return []
        except trio.Cancelled:
            _fail(batch, PlatformError("stopped", step="transact", maybe_applied=True))
            raise
        return _deliver_results(batch, results)

    def _fail_queued(self) -> None:
        _fail(self._queue, PlatformError("stopped", step="transact"))
        self._queue.clear()


def _fail(groups: Sequence[_Group], error: CrocusvalveError) -> None:
    for group in groups:
        group.error = _copy_error(error)
        group.done.set()


def _copy_error(error: CrocusvalveError) -> CrocusvalveError:
    # Each caller gets its own copy, since raising an error changes its traceback.
    if not isinstance(error, PlatformError):
        return error
    return PlatformError(
        error.message, step=error.step, peer=error.peer, maybe_applied=error.maybe_applied
    )


def _deliver_results(batch: list[_Group], results: list[WriteResult]) -> list[_Group]:
    """Deliver results to groups; return groups skipped only because another group conflicted."""
    to_resend = []
    start = 0
    for group in batch:
        group.results = results[start : start + len(group.writes)]
        start += len(group.writes)
        states = {result.state for result in group.results}
        if WriteState.CONFLICT not in states and WriteState.SKIPPED in states:
            to_resend.append(group)
        else:
            group.done.set()
    return to_resend
