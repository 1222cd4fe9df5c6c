"""Base of the handlers that apply the rows of the store's tables to the gateway's tables."""

import math
from abc import ABC, abstractmethod
from collections.abc import Callable

from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway.base import RecordCodec
from crocusvalve.gateway.tables._replica import TableReplica
from crocusvalve.gateway.tables._store_state import StoreState
from crocusvalve.gateway.tables._tables import GatewayTables
from crocusvalve.store.base import FeedPage, FeedRow

__all__ = ["TableHandler"]


class TableHandler(ABC):
    """Applies the rows of one table of the store to the gateway's tables.

    Attributes
    ----------
    table : str
        Name of the table in the store.
    replica : TableReplica
        Rows of the table as last received.
    merged_at : float
        Local time in seconds at which rows were last received from the store, or at which the
        store last answered the peer that they were copied from.
    """

    table: str

    def __init__(
        self,
        tables: GatewayTables,
        codec: RecordCodec,
        observer: GatewayObserver,
        store: StoreState,
    ):
        self.tables = tables
        self.codec = codec
        self.observer = observer
        self.store = store
        self.replica = TableReplica()
        self.merged_at = float("-inf")

    @property
    def is_loaded(self) -> bool:
        """Whether the table was read, so that its changes can be followed from a version on."""
        return self.replica.version is not None

    @property
    def is_settled(self) -> bool:
        """Whether no deleted row is retained, so that peers may copy the table."""
        return True

    def merge_table(self, page: FeedPage, now: float) -> None:
        """Merge a complete table and apply the rows that are new."""
        if page.era < self.replica.era:
            return
        self.merged_at = now
        # The page may be a peer's copy, from which this gateway learns of a restore of the store.
        self.store.era = max(self.store.era, page.era)
        if page.era > self.replica.era and not self.replica.is_empty:
            self.observer.record_store_restore(self.table, page.era, page.version)
            self.begin_restore(now)
            self._apply_each(self.apply_restored_row, self.replica.replace_table(page), now)
            self.finish_page(now)
            return
        self._apply_rows(self.replica.merge_table(page), now)

    def merge_changes(self, page: FeedPage, now: float, answered_at: float | None = None) -> None:
        """Merge changed rows and apply those that are new.

        Parameters
        ----------
        answered_at : float or None
            Local time in seconds at which the store last answered the peer that the page is copied
            from; None if the store has sent it now. In an outage of the store for all gateways a
            copy doesn't show that the table is up to date.
        """
        self.merged_at = max(self.merged_at, now if answered_at is None else answered_at)
        self._apply_rows(self.replica.merge_changes(page), now)

    def _apply_rows(self, rows: list[FeedRow], now: float) -> None:
        self._apply_each(self.apply_row, rows, now)
        self.finish_page(now)

    def _apply_each(
        self, apply: Callable[[FeedRow, float], None], rows: list[FeedRow], now: float
    ) -> None:
        """Apply rows one by one, so that one that can't be applied doesn't hold up the others."""
        for row in rows:
            try:
                apply(row, now)
            except Exception as exc:
                self.observer.tables.record_row_failure(self.table, row.key, exc)

    def compute_max_backlog(self) -> int | None:
        """Return the longest backlog of changes to receive, in bytes; None for any.

        If there is more, the whole table is read.
        """
        return None

    def has_delayed_changes(self, now: float) -> bool:
        """Return whether a later page must carry out changes whose delay has not passed."""
        return self.limit_wait_s(math.inf, now) < math.inf

    @abstractmethod
    def apply_row(self, row: FeedRow, now: float) -> None:
        """Apply a changed row to the gateway's tables."""

    def begin_restore(self, now: float) -> None:  # noqa: B027
        """Prepare for the rows of the table after a restore of the store."""

    @abstractmethod
    def apply_restored_row(self, row: FeedRow, now: float) -> None:
        """Apply a row that differs from the last known one after a restore of the store.

        The row may be older than what the gateway knows, or have been written since the restore; a
        missing one (value None) may have been lost.
        """

    def handle_store_recovery(self, outage_s: float, now: float) -> None:  # noqa: B027
        """Prepare for the next page, which is the first one after failed calls.

        Parameters
        ----------
        outage_s : float
            Time for which changes of the table could not be fetched, in seconds.
        now : float
            Local time in seconds.
        """

    def finish_page(self, now: float) -> None:  # noqa: B027
        """Run after the rows of each page; carries out changes whose delay has passed."""

    def limit_wait_s(self, wait_s: float, now: float) -> float:
        """Return ``wait_s``, shortened so that delayed changes are carried out in time."""
        return wait_s
