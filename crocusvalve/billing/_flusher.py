"""Moves bills from the outbox to the ledger, each exactly once."""

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
MAX_MERGE_ATTEMPTS = 5
MAX_CACHED_ROWS = 32
CLOSE_TIMEOUT_S = 3.0

ConfirmListener = Callable[[list[BillRecord]], None]


class FlusherCounters(Struct):
    """Counts of flushes, bills and rows.

    Attributes
    ----------
    n_flushes, n_failed : int
        Batches started, and those that failed because the store did.
    n_bills, n_repeats, n_conflicts : int
        Bills added to the ledger, bills that it already contained, and those of the latter that
        differ from the stored bill.
    n_rows_written, n_rows_read : int
        Rows of the store.
    n_invariant_errors : int
        Flushes that failed because of a violated invariant.
    """

    n_flushes: int = 0
    n_failed: int = 0
    n_bills: int = 0
    n_repeats: int = 0
    n_conflicts: int = 0
    n_rows_written: int = 0
    n_rows_read: int = 0
    n_invariant_errors: int = 0


class _CachedRow(Struct, frozen=True):
    """A row as last read or written; version 0 if it did not exist."""

    value: bytes
    version: int


class BillFlusher:
    """Writes bills to pages of the ledger, together with this process's totals for the day.

    A page is written only if its version is unchanged, so that a repeated flush, or one by another
    process, adds nothing: the bills are found in the page and confirmed. The totals are written in
    the same transaction as the bills that they count.

    Parameters
    ----------
    tables : TableService
        Table store with the ledger.
    outbox : BillOutbox
        Bills to be flushed.
    node_id, boot_id : NodeId, BootId
        Identify this process and its current boot; together they name its row of totals.
    clock : Clock
        Source of the current time.
    flush_interval_s : float
        Delay between flushes, in seconds.
    max_pages_per_transact : int
        Maximum number of pages written in one transaction.
    write_ids : WriteIdMaker or None
        Generates the ids of writes; None for a default one.
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
        self._row_cache: OrderedDict[tuple[str, str], _CachedRow] = OrderedDict()
        self._listeners: list[ConfirmListener] = []

    def add_listener(self, listener: ConfirmListener) -> None:
        """Add a listener that is called with each list of bills confirmed to be in the ledger."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Flush at intervals until cancelled, then once more within ``CLOSE_TIMEOUT_S``."""
        try:
            while True:
                await trio.sleep(self.flush_interval_s)
                await self.flush_safely()
        finally:
            with trio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                await self.flush_safely()

    async def flush_safely(self) -> bool:
        """Flush all bills; log and count a failure instead of raising it, and return False."""
        try:
            while len(self.outbox):
                await self.flush_once(self.clock.now())
        except PlatformError as exc:
            logger.info(
                "bills not flushed, the store failed: %s; %d bills in the outbox",
                exc,
                len(self.outbox),
            )
            return False
        except InvariantError as exc:
            self.counters.n_invariant_errors += 1
            logger.error("bills not flushed: %s", exc)
            return False
        except CrocusvalveError as exc:
            logger.error("bills not flushed: %s", exc)
            return False
        return True

    async def flush_once(self, now: float) -> int:
        """Flush one batch; return the number of bills confirmed.

        Raises
        ------
        PlatformError
            The store failed; bills that are not confirmed stay in the outbox.
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
        for _ in range(MAX_MERGE_ATTEMPTS):
            merges = {key: await self._merge_page(key, bills) for key, bills in pages.items()}
            updated_pages = {key: merge for key, merge in merges.items() if merge.new_bills}
            if not updated_pages:
                self._count_merges(merges)
                return
            totals = await self._make_totals_write(totals_key, updated_pages)
            writes = [self._make_page_write(key, merge) for key, merge in updated_pages.items()]
            writes.append(totals)
            if await self._transact(writes):
                self._count_merges(merges)
                return
        raise PlatformError(
            f"ledger pages were changed by other writers in {MAX_MERGE_ATTEMPTS} attempts",
            step="flush_bills",
        )

    async def _merge_page(self, key: str, bills: list[BillRecord]) -> MergeResult:
        row = await self._read_row(BILL_TABLE, key)
        page = BillPage.decode(row.value, row.version) if row.version else BillPage()
        return merge_bills(page, bills)

    async def _make_totals_write(self, key: str, merges: dict[str, MergeResult]) -> Write:
        row = await self._read_row(TOTALS_TABLE, key)
        totals = UsageTotals()
        if row.version:
            totals = msgspec.msgpack.decode(row.value, type=UsageTotals)
        for merge in merges.values():
            totals.add_lines(sum_bills(merge.new_bills).lines)
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
                self._row_cache.pop((write.table, write.key), None)
            raise
        for write, result in zip(writes, results, strict=True):
            self._record_result(write, result)
        return all(result.is_applied for result in results)

    def _record_result(self, write: Write, result: WriteResult) -> None:
        self.counters.n_rows_written += result.is_applied
        self._cache_row(write.table, write.key, result.row)

    async def _read_row(self, table: str, key: str) -> _CachedRow:
        cached = self._row_cache.get((table, key))
        if cached is not None:
            return cached
        self.counters.n_rows_read += 1
        return self._cache_row(table, key, await self.tables.get(table, key))

    def _cache_row(self, table: str, key: str, row: Row | None) -> _CachedRow:
        cached = _CachedRow(row.value, row.version) if row else _CachedRow(b"", 0)
        self._row_cache[(table, key)] = cached
        self._row_cache.move_to_end((table, key))
        while len(self._row_cache) > MAX_CACHED_ROWS:
            self._row_cache.popitem(last=False)
        return cached

    def _count_merges(self, merges: dict[str, MergeResult]) -> None:
        for merge in merges.values():
            self.counters.n_bills += len(merge.new_bills)
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
