"""How far the tables of a gateway are behind those of its peers."""

from collections.abc import Callable, Sequence

from crocusvalve.gateway.shared._peers import PeerTable
from crocusvalve.gateway.tables._replica import TablePosition
from crocusvalve.gateway.tables._table_handler import TableHandler

__all__ = ["LagTracker", "TableLag"]

#: Lag that is reported at the moment at which a change is first known to be missing, in seconds.
MIN_LAG_S = 0.001


class TableLag:
    """For how long a peer has had a change of a table that this gateway lacks.

    Load that it answers: while the store turns one gateway away, or its link is slow, the others
    have changes that it can only get from them.
    """

    def __init__(self) -> None:
        self._missing: TablePosition | None = None
        self._since = 0.0

    def update(self, own: TablePosition, newest: TablePosition | None, now: float) -> float:
        """Return the seconds for which the oldest missing change is known to be missing.

        Parameters
        ----------
        own : TablePosition
            Position up to which this gateway has merged all changes.
        newest : TablePosition or None
            Last change that a peer has merged; None if no peer reports one.
        now : float
            Local time in seconds.
        """
        if self._missing is None or own >= self._missing:
            is_missing = newest is not None and newest > own
            self._missing = newest if is_missing else None
            self._since = now
        return 0.0 if self._missing is None else max(now - self._since, MIN_LAG_S)


class LagTracker:
    """Lags of all followed tables.

    Parameters
    ----------
    handlers : sequence of TableHandler
        Handlers of the tables.
    peers : PeerTable
        Peers with their reported positions.

    Attributes
    ----------
    is_copied : callable
        Returns whether this gateway gets the changes of a table from its peers only.
    """

    def __init__(self, handlers: Sequence[TableHandler], peers: PeerTable):
        self.is_copied: Callable[[str], bool] = lambda table: False
        self.peers = peers
        self._handlers = {handler.table: handler for handler in handlers}
        self._lags = {table: TableLag() for table in self._handlers}
        self._content_lags = {table: TableLag() for table in self._handlers}

    def compute_lag_s(self, table: str, now: float) -> float:
        """Return for how many seconds a table is known to lack a change that a peer has.

        A table that is copied lacks nothing if its peers' entries were only repeated since.
        """
        if self.is_copied(table):
            self._lags[table] = TableLag()
            return self.compute_missing_s(table, now)
        own = self._handlers[table].replica.position
        return self._lags[table].update(own, self.peers.find_last_change(table, now), now)

    def compute_missing_s(self, table: str, now: float) -> float:
        """Return for how many seconds a table is known to lack a change of content."""
        own = self._handlers[table].replica.position
        reports = (message.table_reports.get(table) for message, _ in self.peers.list_messages(now))
        newest = max((report.change for report in reports if report is not None), default=None)
        return self._content_lags[table].update(own, newest, now)

    def list_hosts_ahead(self, table: str, now: float) -> list[str]:
        """Return the hosts of peers that have lately reported a change that a table lacks."""
        own = self._handlers[table].replica.position
        if not self.is_copied(table):
            return self.peers.list_hosts_ahead(table, own, now)
        return [
            message.host
            for message, _ in self.peers.list_messages(now)
            if (report := message.table_reports.get(table)) is not None and report.change > own
        ]
