"""Handler of the table in which upstreams register."""

import msgspec

from crocusvalve.base import UpstreamId
from crocusvalve.gateway.base import GatewayBounds
from crocusvalve.gateway.tables._replica import TableReplica
from crocusvalve.gateway.tables._table_handler import TableHandler
from crocusvalve.store.base import FeedRow

__all__ = ["UpstreamTableHandler"]

#: Time for which missing entries are retained after the store's recovery: those that expired while
#: it was unavailable are registered again within about two seconds.
EXPIRY_GRACE_S = 2.2
#: Time before the operators' bounds hold again after an outage (``contact_s``) by which an upstream
#: that has left in the outage must be dropped.
CONTACT_MARGIN_S = 0.3
#: An entry is retained for at most this fraction of the operators' bound for upstreams that leave
#: (``drain_s``).
EXPIRY_GRACE_FRACTION = 0.85
#: Shortest store outage in which entries may expire. An entry expires after three missed
#: heartbeats, so none expires in an outage of less than two heartbeat intervals of the users'
#: platform.
MIN_OUTAGE_S = 2.4


class UpstreamTableHandler(TableHandler):
    """Handles the table in which upstreams register.

    While the store is unavailable upstreams can't refresh their entries, so these expire although
    the upstreams run. Entries that are missing after an outage are therefore retained for a while.

    Parameters
    ----------
    bounds : GatewayBounds
        Bounds that the operators set.
    """

    def __init__(self, *args, bounds: GatewayBounds):
        super().__init__(*args)
        self.table = self.codec.upstream_table
        self.replica = TableReplica(self._is_refresh)
        self.contact_s = bounds.contact_s
        self.expiry_grace_s = min(EXPIRY_GRACE_S, EXPIRY_GRACE_FRACTION * bounds.drain_s)
        #: End of the grace period of missing entries, as local time in seconds.
        self._expired: dict[UpstreamId, float] = {}
        self._expiry_grace_until: float | None = None
        #: Keys of malformed entries, so that each is logged once and not at every heartbeat.
        self._malformed: set[UpstreamId] = set()

    @property
    def is_settled(self) -> bool:
        """Whether no missing entry is retained, so that peers may copy the table."""
        return not self._expired

    def _is_refresh(self, row: FeedRow) -> bool:
        """Return whether a row only repeats a known entry, as each heartbeat of an upstream does.

        An entry that announces a longer cold period than before is no repetition.
        """
        known = self.tables.upstreams.get(UpstreamId(row.key))
        entry = None if known is None else self.codec.read_upstream(row.key, row.value)
        if entry is None or entry.cold_left_s > known.cold_left_s:
            return False
        repeated = {"sequence": known.sequence, "cold_left_s": known.cold_left_s}
        return msgspec.structs.replace(entry, **repeated) == known

    def handle_store_recovery(self, outage_s: float, now: float) -> None:
        """Start the grace period for entries that may have expired in an outage.

        It ends before the operators' bounds hold again, counted from the earliest time at which the
        store may have returned, which is before it has answered this gateway.
        """
        if outage_s >= MIN_OUTAGE_S:
            bound_at = self.store.returned_after + self.contact_s - CONTACT_MARGIN_S
            self._expiry_grace_until = min(now + self.expiry_grace_s, bound_at)

    def apply_row(self, row: FeedRow, now: float) -> None:
        """Apply a changed row to the gateway's tables."""
        upstream_id = UpstreamId(row.key)
        if row.value is None:
            self._malformed.discard(upstream_id)
            self._handle_removal(upstream_id, now)
            return
        entry = self.codec.read_upstream(row.key, row.value)
        self._expired.pop(upstream_id, None)
        if entry is None:
            if upstream_id not in self._malformed:
                self._malformed.add(upstream_id)
                self.observer.record_decode_error(self.table, row.key, "no entry of an upstream")
            self._drop_upstream(upstream_id, "malformed entry")
            return
        self._malformed.discard(upstream_id)
        previous = self.tables.put_upstream(entry, now)
        if previous is None:
            # The first read returns every upstream; ``finish_page`` logs their counts in one line.
            if self.tables.has_upstreams:
                self.observer.record_upstream_change("registered", entry)
        elif previous.started_ms != entry.started_ms:
            self.observer.record_upstream_change("started again", entry)
            self.tables.mark_cold(upstream_id, now + self.tables.get_cold_s(entry.service))
        elif previous.is_draining != entry.is_draining:
            change = "draining" if entry.is_draining else "in service again"
            self.observer.record_upstream_change(change, entry)

    def apply_restored_row(self, row: FeedRow, now: float) -> None:
        """Apply an entry that may be older than what the gateway knows.

        Running upstreams refresh their entries, so only a later run of a known upstream is applied
        at once. A missing entry is retained until it should have been written again.
        """
        current = self.tables.upstreams.get(UpstreamId(row.key))
        if current is None:
            return
        if row.value is None:
            self._expired.setdefault(current.upstream_id, now + self.expiry_grace_s)
            return
        entry = self.codec.read_upstream(row.key, row.value)
        if entry is not None and entry.started_ms > current.started_ms:
            self.apply_row(row, now)

    def finish_page(self, now: float) -> None:
        """Allow the versions of new services; drop entries whose grace period is over.

        The first call also logs the number of upstreams.
        """
        if not self.tables.has_upstreams:
            self.tables.has_upstreams = True
            rows = self.tables.by_service.items()
            self.observer.record_upstream_counts({service: len(group) for service, group in rows})
        self._learn_versions()
        self._expiry_grace_until = None
        for upstream_id, until in list(self._expired.items()):
            if now >= until:
                del self._expired[upstream_id]
                self._drop_upstream(upstream_id, "lapsed")

    def limit_wait_s(self, wait_s: float, now: float) -> float:
        """Return ``wait_s``, shortened so that expired entries are dropped in time."""
        return min((wait_s, *(until - now for until in self._expired.values())))

    def _learn_versions(self) -> None:
        """Allow the versions of each service that is seen for the first time.

        The target version of an upgrade in progress is excluded.
        """
        tables = self.tables
        for service, rows in tables.by_service.items():
            if rows and service not in tables.allowed_versions:
                order = tables.orders.get(service)
                versions = {row.version for row in rows.values()}
                tables.allowed_versions[service] = versions - {order and order.version}

    def _handle_removal(self, upstream_id: UpstreamId, now: float) -> None:
        row = self.tables.upstreams.get(upstream_id)
        if self._expiry_grace_until is not None and row is not None and not row.is_draining:
            self._expired[upstream_id] = self._expiry_grace_until
            return
        self._expired.pop(upstream_id, None)
        self._drop_upstream(upstream_id, "left")

    def _drop_upstream(self, upstream_id: UpstreamId, reason: str) -> None:
        row = self.tables.drop_upstream(upstream_id)
        if row is not None:
            self.observer.record_upstream_change(reason, row)
