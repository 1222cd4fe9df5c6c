"""Moves bills from the outbox to the ledger, each once."""

import logging
from collections import OrderedDict
from collections.abc import Callable

import msgspec
import trio
from msgspec import Struct

from crocusvalve.base import BootId, NodeId
from crocusvalve.billing._ledger import (
    BILL_TABLE,
    TOTALS_TABLE,
    BillPage,
    MergeResult,
    UsageTotals,
    merge_bills,
    sum_bills,
)
from crocusvalve.billing._outbox import BillOutbox
from crocusvalve.billing._request_id import find_bill_page, format_day
from crocusvalve.exceptions import CrocusvalveError, InvariantError, PlatformError
from crocusvalve.rpc import BillRecord
from crocusvalve.store import Row, TableService, Write, WriteIdMaker, WriteResult
from crocusvalve.utils import Clock, check_range

__all__ = ["BillFlusher", "FlusherCounters"]

logger = logging.getLogger(__name__)

FLUSH_INTERVAL_S = 5.0
MAX_BILLS_PER_FLUSH = 2_000
MAX_PAGES_PER_TRANSACT = 20
MAX_ROUNDS = 5
N_ROWS_CACHED = 32
CLOSE_TIMEOUT_S = 3.0

ConfirmListener = Callable[[list[BillRecord]], None]


class FlusherCounters(Struct):
    """Numbers of flushes and of what they found."""

    n_flushes: int = 0
    n_failed: int = 0
    n_bills: int = 0
    n_repeats: int = 0
    n_conflicts: int = 0
    n_rows_written: int = 0
    n_rows_read: int = 0
    n_invariant_errors: int = 0


class _CachedRow(Struct, frozen=True):
    """A row as last seen; version 0 where it was absent."""

    value: bytes
    version: int


class BillFlusher:
    """Writes bills to pages of the ledger, together with this process's totals of the day.

    A page is written on the condition of its version, so that a repeated flush, or one by another
    process, adds nothing: the bills are found in the page and confirmed. The totals stand in the
    same transaction as the bills that they count.

    Parameters
    ----------
    tables : TableService
        Holds the ledger.
    outbox : BillOutbox
        Bills to be flushed.
    node_id, boot_id : NodeId, BootId
        This run of this process; names its row of totals.
    clock : Clock
        Source of the present time.
    flush_interval_s : float
        Delay between flushes, in seconds.
    max_pages_per_transact : int
        Pages written in one transaction.
    write_ids : WriteIdMaker or None
        Makes the ids of writes.
    """

    def __init__(
        self,
        tables: TableService,
        outbox: BillOutbox,
        *,
        node_id: NodeId,
        boot_id: BootId,
        clock: Clock,
        flush_interval_s: float = FLUSH_INTERVAL_S,
        max_pages_per_transact: int = MAX_PAGES_PER_TRANSACT,
        write_ids: WriteIdMaker | None = None,
    ):
        check_range("max_pages_per_transact", max_pages_per_transact, low=1, high=90)
        self.tables = tables
        self.outbox = outbox
        self.clock = clock
        self.flush_interval_s = flush_interval_s
        self.max_pages_per_transact = max_pages_per_transact
        self.write_ids = write_ids or WriteIdMaker()
        self.counters = FlusherCounters()
        self._owner = f"{node_id}/{boot_id}"
        self._rows: OrderedDict[tuple[str, str], _CachedRow] = OrderedDict()
        self._listeners: list[ConfirmListener] = []

    def add_listener(self, listener: ConfirmListener) -> None:
        """Call a listener with the bills that are in the ledger."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Flush until cancelled, then once more within a bounded time."""
        try:
            while True:
                await trio.sleep(self.flush_interval_s)
                await self.flush_safely()
        finally:
            with trio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                await self.flush_safely()

    async def flush_safely(self) -> bool:
        """Flush everything; log and count a failure in place of raising it."""
        try:
            while len(self.outbox):
                await self.flush_once(self.clock.now())
        except PlatformError as exc:
            logger.info("bills wait for the store: %s; %d are held", exc, len(self.outbox))
            return False
        except InvariantError as exc:
            self.counters.n_invariant_errors += 1
            logger.error("bills were not flushed: %s", exc)
            return False
        except CrocusvalveError as exc:
            logger.error("bills were not flushed: %s", exc)
            return False
        return True

    async def flush_once(self, now: float) -> int:
        """Flush one batch; return the number of bills confirmed.

        Raises
        ------
        PlatformError
            The store failed; the bills not confirmed stay in the outbox.
        """
        self.counters.n_flushes += 1
        pages = _group_by_page(self.outbox.peek_batch(MAX_BILLS_PER_FLUSH))
        n_confirmed = 0
        keys = list(pages)
        for start in range(0, len(keys), self.max_pages_per_transact):
            chunk = {key: pages[key] for key in keys[start : start + self.max_pages_per_transact]}
            try:
                await self._flush_pages(chunk, format_day(now))
            except PlatformError:
                self.counters.n_failed += 1
                raise
            n_confirmed += self._confirm(chunk)
        return n_confirmed

    async def _flush_pages(self, pages: dict[str, list[BillRecord]], day: str) -> None:
        totals_key = f"{day}/{self._owner}"
        for _ in range(MAX_ROUNDS):
            merges = {key: await self._merge(key, bills) for key, bills in pages.items()}
            changed = {key: merge for key, merge in merges.items() if merge.new}
            if not changed:
                self._count(merges)
                return
            totals = await self._make_totals(totals_key, changed)
            writes = [self._make_page_write(key, merge) for key, merge in changed.items()]
            writes.append(totals)
            if await self._transact(writes):
                self._count(merges)
                return
        raise PlatformError(f"pages changed in {MAX_ROUNDS} rounds", step="flush_bills")

    async def _merge(self, key: str, bills: list[BillRecord]) -> MergeResult:
        row = await self._read(BILL_TABLE, key)
        page = BillPage.decode(row.value, row.version) if row.version else BillPage()
        return merge_bills(page, bills)

    async def _make_totals(self, key: str, merges: dict[str, MergeResult]) -> Write:
        row = await self._read(TOTALS_TABLE, key)
        totals = UsageTotals()
        if row.version:
            totals = msgspec.msgpack.decode(row.value, type=UsageTotals)
        for merge in merges.values():
            totals.add_lines(sum_bills(merge.new).lines)
        return self._make_write(TOTALS_TABLE, key, msgspec.msgpack.encode(totals), row.version)

    def _make_page_write(self, key: str, merge: MergeResult) -> Write:
        return self._make_write(BILL_TABLE, key, merge.page.encode(), merge.page.version)

    def _make_write(self, table: str, key: str, value: bytes, version: int) -> Write:
        write_id = self.write_ids.make()
        return Write(table=table, key=key, value=value, write_id=write_id, if_version=version)

    async def _transact(self, writes: list[Write]) -> bool:
        try:
            results = await self.tables.transact(writes)
        except PlatformError:
            for write in writes:
                self._rows.pop((write.table, write.key), None)
            raise
        for write, result in zip(writes, results, strict=True):
            self._note_result(write, result)
        return all(result.is_applied for result in results)

    def _note_result(self, write: Write, result: WriteResult) -> None:
        self.counters.n_rows_written += result.is_applied
        self._cache(write.table, write.key, result.row)

    async def _read(self, table: str, key: str) -> _CachedRow:
        cached = self._rows.get((table, key))
        if cached is not None:
            return cached
        self.counters.n_rows_read += 1
        return self._cache(table, key, await self.tables.get(table, key))

    def _cache(self, table: str, key: str, row: Row | None) -> _CachedRow:
        cached = _CachedRow(row.value, row.version) if row else _CachedRow(b"", 0)
        self._rows[(table, key)] = cached
        self._rows.move_to_end((table, key))
        while len(self._rows) > N_ROWS_CACHED:
            self._rows.popitem(last=False)
        return cached

    def _count(self, merges: dict[str, MergeResult]) -> None:
        for merge in merges.values():
            self.counters.n_bills += len(merge.new)
            self.counters.n_repeats += merge.n_repeats
            self.counters.n_conflicts += merge.n_conflicts

    def _confirm(self, pages: dict[str, list[BillRecord]]) -> int:
        confirmed = [bill for bills in pages.values() for bill in bills]
        self.outbox.confirm(bill.request_id for bill in confirmed)
        for listener in self._listeners:
            listener(confirmed)
        return len(confirmed)


def _group_by_page(bills: list[BillRecord]) -> dict[str, list[BillRecord]]:
    pages: dict[str, list[BillRecord]] = {}
    for bill in bills:
        pages.setdefault(find_bill_page(bill.request_id), []).append(bill)
    return pages
