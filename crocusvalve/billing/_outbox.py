"""Bills that are not yet known to be in the ledger."""

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
    """Numbers of bills added, confirmed and repeated."""

    n_added: int = 0
    n_confirmed: int = 0
    n_repeats: int = 0
    n_conflicts: int = 0


class BillOutbox:
    """Table of bills to be flushed, by ledger page and in order of arrival.

    No bill is ever dropped. From ``capacity`` on ``is_full`` is True, and the entry refuses new
    billable requests as not run; so the outbox never grows past ``capacity`` plus the requests
    in flight at that moment.

    Parameters
    ----------
    capacity : int
        Bills from which new work is refused.
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
        """Whether new billable work must be refused."""
        return self._n_bills >= self.capacity

    def add(self, record: BillRecord) -> bool:
        """Hold a bill until it is confirmed; tell whether it was new.

        A repeat is dropped; one that differs is counted, and the first stands.
        """
        page = self._pages.setdefault(find_bill_page(record.request_id), {})
        held = page.get(record.request_id)
        if held is None:
            page[record.request_id] = record
            self._n_bills += 1
            self.counters.n_added += 1
            return True
        self.counters.n_repeats += 1
        self.counters.n_conflicts += held != record
        return False

    def peek_batch(self, n: int) -> list[BillRecord]:
        """Return the bills of the oldest pages, about ``n``, without removing them.

        Pages are not split, so that each costs one write.
        """
        batch: list[BillRecord] = []
        for page in self._pages.values():
            if batch and len(batch) + len(page) > n:
                break
            batch.extend(page.values())
        return batch

    def confirm(self, request_ids: Iterable[RequestId]) -> None:
        """Forget bills that are in the ledger; ids not held are ignored."""
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
        n_open = self.counters.n_added - self.counters.n_confirmed
        if n_open != self._n_bills:
            raise InvariantError(
                f"{n_open} bills were added and not confirmed, {self._n_bills} are held",
                step="confirm_bills",
            )
