"""Rows of open durable requests as one process sees them."""

from collections.abc import Sequence

from msgspec import Struct

from crocusvalve.base import RequestId
from crocusvalve.durable._records import OpenRecord
from crocusvalve.exceptions import InvariantError

__all__ = ["DurableRow", "DurableTables", "OpenRow"]


class OpenRow(Struct, frozen=True):
    """An open record with the version of its row."""

    record: OpenRecord
    version: int


class DurableRow(Struct, kw_only=True):
    """An open durable request.

    Attributes
    ----------
    record, version : OpenRecord, int
        The row as last seen or written.
    seen_at : float or None
        From when on the row was seen unchanged; None until the scan after the one that found it.
    held_until : float
        Until when this process may act as the holder.
    renewed_at : float
        When this process last wrote the lease.
    is_running : bool
        Whether this process works on the request.
    is_busy : bool
        Whether a command for the row is under way.
    is_finishing : bool
        Whether this process is writing the request's end.
    """

    record: OpenRecord
    version: int
    seen_at: float | None = None
    held_until: float = float("-inf")
    renewed_at: float = float("-inf")
    is_running: bool = False
    is_busy: bool = False
    is_finishing: bool = False


class DurableTables:
    """Open durable requests, and how many this process may work on.

    Parameters
    ----------
    holder : str
        This run of this process.
    max_running : int
        Most requests worked on at once.
    """

    def __init__(self, *, holder: str, max_running: int):
        self.holder = holder
        self.max_running = max_running
        self.rows: dict[RequestId, DurableRow] = {}
        #: Requests whose acceptance is under way; their rows may be found before it returns.
        self.accepting: set[RequestId] = set()

    @property
    def n_running(self) -> int:
        """Number of requests that this process works on or is about to."""
        return sum(row.is_running for row in self.rows.values())

    def start_observing(self, now: float) -> None:
        """Start the count of rows found by an earlier scan; call before each scan."""
        for row in self.rows.values():
            if row.seen_at is None:
                row.seen_at = now

    def merge_page(self, page: Sequence[OpenRow], *, after: str, is_last: bool) -> list[RequestId]:
        """Take a page of a scan; return the requests run here that are lost.

        A request is lost where it is open no more or another process has taken it over.

        Parameters
        ----------
        page : sequence of OpenRow
            Rows by request id, all past ``after``.
        is_last : bool
            Whether no rows follow the page.
        """
        lost = self._drop_gone(page, after, is_last)
        for open_row in page:
            if not self._merge_row(open_row):
                lost.append(open_row.record.request_id)
        return lost

    def put_own(self, record: OpenRecord, version: int, now: float, held_until: float) -> None:
        """Note a row that this process wrote as the holder."""
        row = self.rows.get(record.request_id)
        if row is not None and record.number < row.record.number:
            raise InvariantError(
                f"lease number would go from {row.record.number} to {record.number}",
                step="durable_lease",
                peer=record.request_id,
            )
        if row is None:
            row = self.rows[record.request_id] = DurableRow(record=record, version=version)
        row.record, row.version = record, version
        row.renewed_at, row.held_until = now, held_until
        row.seen_at = now
        row.is_running = True

    def _drop_gone(self, page: Sequence[OpenRow], after: str, is_last: bool) -> list[RequestId]:
        found = {open_row.record.request_id for open_row in page}
        end = None if is_last or not page else page[-1].record.request_id
        lost = []
        for request_id, row in list(self.rows.items()):
            is_covered = request_id > after and (end is None or request_id <= end)
            if not is_covered or request_id in found or row.is_busy or row.is_finishing:
                continue
            if row.is_running:
                lost.append(request_id)
            del self.rows[request_id]
        return lost

    def _merge_row(self, open_row: OpenRow) -> bool:
        """Take one row; tell whether a request run here is still held here."""
        record, version = open_row.record, open_row.version
        row = self.rows.get(record.request_id)
        if row is None:
            self.rows[record.request_id] = DurableRow(record=record, version=version)
            return True
        if version <= row.version or row.is_busy or row.is_finishing:
            return True
        is_own = record.holder == self.holder and record.number == row.record.number
        is_lost = row.is_running and not is_own
        row.record, row.version, row.seen_at = record, version, None
        return not is_lost
