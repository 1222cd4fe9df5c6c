"""Outbox of bills that are not yet confirmed to be in the ledger."""

from collections.abc import Iterable

from msgspec import Struct

from crocusvalve.base import RequestId
from crocusvalve.billing._request_id import find_bill_page
from crocusvalve.exceptions import InvariantError
from crocusvalve.rpc import BillRecord
from crocusvalve.utils import check_range

__all__ = ["BillOutbox", "OutboxCounters"]

OUTBOX_CAPACITY = 50_000


class OutboxCounters(Struct):
    """Counts of bills added, confirmed, added again, and added again with other contents."""

    n_added: int = 0
    n_confirmed: int = 0
    n_repeats: int = 0
    n_conflicts: int = 0


class BillOutbox:
    """Stores bills to be flushed, grouped by ledger page, in order of arrival.

    No bill is ever dropped. Once the outbox contains ``capacity`` bills, ``is_full`` is True and
    the entry refuses new billable requests as not run, so the outbox never grows beyond
    ``capacity`` plus the number of requests in flight at that moment.

    Parameters
    ----------
    capacity : int
        Number of bills from which new requests are refused.
    """

    def __init__(self, *, capacity: int = OUTBOX_CAPACITY):
        check_range("capacity", capacity, low=1)
        self.capacity = capacity
        self.counters = OutboxCounters()
        self._pages: dict[str, dict[RequestId, BillRecord]] = {}
        self._n_bills = 0

    def __len__(self) -> int:
        return self._n_bills

    @property
    def is_full(self) -> bool:
        """Whether new billable requests must be refused."""
        return self._n_bills >= self.capacity

    def add(self, record: BillRecord) -> bool:
        """Store a bill until it is confirmed; return whether it was new.

        A second bill of the same request is dropped and counted, and counted as a conflict if it
        differs from the first one.
        """
        page = self._pages.setdefault(find_bill_page(record.request_id), {})
        existing = page.get(record.request_id)
        if existing is None:
            page[record.request_id] = record
            self._n_bills += 1
            self.counters.n_added += 1
            return True
        self.counters.n_repeats += 1
        self.counters.n_conflicts += existing != record
        return False

    def peek_batch(self, n: int) -> list[BillRecord]:
        """Return the bills of the oldest pages, about ``n``, without removing them.

        Pages are not split, so that each needs one write only.
        """
        batch: list[BillRecord] = []
        for page in self._pages.values():
            if batch and len(batch) + len(page) > n:
                break
            batch.extend(page.values())
        return batch

    def confirm(self, request_ids: Iterable[RequestId]) -> None:
        """Remove bills that are in the ledger; unknown ids are ignored.

        Raises
        ------
        InvariantError
            The number of bills differs from the number added less the number confirmed.
        """
        for request_id in request_ids:
            key = find_bill_page(request_id)
            page = self._pages.get(key)
            if page is None or page.pop(request_id, None) is None:
                continue
            self._n_bills -= 1
            self.counters.n_confirmed += 1
            if not page:
                del self._pages[key]
        self._check_count()

    def _check_count(self) -> None:
        n_expected = self.counters.n_added - self.counters.n_confirmed
        if n_expected != self._n_bills:
            raise InvariantError(
                f"outbox contains {self._n_bills} bills; {n_expected} were added and not confirmed",
                step="confirm_bills",
            )
