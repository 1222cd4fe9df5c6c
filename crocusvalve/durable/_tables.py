"""In-memory tables of the open durable requests known to one process."""

from collections.abc import Sequence

from msgspec import Struct

from crocusvalve.base import RequestId
from crocusvalve.durable._records import OpenRecord
from crocusvalve.exceptions import InvariantError

__all__ = ["DurableRow", "DurableTables", "OpenRow"]


class OpenRow(Struct, frozen=True):
    """An open record and the version of its row in the store."""

    record: OpenRecord
    version: int


class DurableRow(Struct, kw_only=True):
    """An open durable request and what this process is doing with it.

    Attributes
    ----------
    record, version : OpenRecord, int
        Value and version of the row as last read or written.
    unchanged_since : float or None
        Time since which the row is known not to have changed, in Unix seconds; None from the
        scan that found or changed it until the start of the next scan.
    held_until : float
        Time until which this process may act as the holder, in Unix seconds.
    renewed_at : float
        Time of this process's last write of the lease, in Unix seconds.
    is_running : bool
        Whether this process holds the request and executes it.
    has_pending_command : bool
        Whether a command for the row is in progress.
    is_finishing : bool
        Whether this process is writing the request's result.
    """

    record: OpenRecord
    version: int
    unchanged_since: float | None = None
    held_until: float = float("-inf")
    renewed_at: float = float("-inf")
    is_running: bool = False
    has_pending_command: bool = False
    is_finishing: bool = False


class DurableTables:
    """Open durable requests by id, and the limit of requests run by this process.

    Parameters
    ----------
    holder : str
        ``node_id/boot_id`` of this process.
    max_running : int
        Maximum number of requests run at once.
    """

    def __init__(self, *, holder: str, max_running: int):
        self.holder = holder
        self.max_running = max_running
        self.rows: dict[RequestId, DurableRow] = {}
        #: Requests whose acceptance is in progress; a scan may find their rows before it returns.
        self.accepting: set[RequestId] = set()

    @property
    def n_running(self) -> int:
        """Number of requests that this process runs or is about to start."""
        return sum(row.is_running for row in self.rows.values())

    def start_observing(self, now: float) -> None:
        """Set ``unchanged_since`` of rows found by an earlier scan; call before each scan.

        A lease expires once its row has not changed for the TTL, counted from this time.
        """
        for row in self.rows.values():
            if row.unchanged_since is None:
                row.unchanged_since = now

    def merge_page(self, page: Sequence[OpenRow], *, after: str, is_last: bool) -> list[RequestId]:
        """Merge a page of a scan; return the lost ones among the requests run by this process.

        A request is lost if it is no longer open or another process has taken it over.

        Parameters
        ----------
        page : sequence of OpenRow
            Rows in order of request id, all greater than ``after``.
        after : str
            Request id after which the page starts; empty for the first page.
        is_last : bool
            Whether the page is the last one of the scan.
        """
        lost = self._remove_closed_rows(page, after, is_last)
        for open_row in page:
            if not self._merge_row(open_row):
                lost.append(open_row.record.request_id)
        return lost

    def put_held_row(self, record: OpenRecord, version: int, now: float, held_until: float) -> None:
        """Store a row that this process has written as the holder of its lease.

        Raises
        ------
        InvariantError
            The lease number would decrease.
        """
        row = self.rows.get(record.request_id)
        if row is not None and record.number < row.record.number:
            raise InvariantError(
                f"lease number would decrease from {row.record.number} to {record.number}",
                step="durable_lease",
                peer=record.request_id,
            )
        if row is None:
            row = self.rows[record.request_id] = DurableRow(record=record, version=version)
        row.record, row.version = record, version
        row.renewed_at, row.held_until = now, held_until
        row.unchanged_since = now
        row.is_running = True

    def _remove_closed_rows(
        self, page: Sequence[OpenRow], after: str, is_last: bool
    ) -> list[RequestId]:
        found = {open_row.record.request_id for open_row in page}
        end = None if is_last or not page else page[-1].record.request_id
        lost = []
        for request_id, row in list(self.rows.items()):
            is_covered = request_id > after and (end is None or request_id <= end)
            if not is_covered or request_id in found or row.has_pending_command or row.is_finishing:
                continue
            if row.is_running:
                lost.append(request_id)
            del self.rows[request_id]
        return lost

    def _merge_row(self, open_row: OpenRow) -> bool:
        """Merge one row; return False if this process ran the request and has lost it."""
        record, version = open_row.record, open_row.version
        row = self.rows.get(record.request_id)
        if row is None:
            self.rows[record.request_id] = DurableRow(record=record, version=version)
            return True
        if version <= row.version or row.has_pending_command or row.is_finishing:
            return True
        is_same_lease = record.holder == self.holder and record.number == row.record.number
        is_lost = row.is_running and not is_same_lease
        row.record, row.version, row.unchanged_since = record, version, None
        return not is_lost
