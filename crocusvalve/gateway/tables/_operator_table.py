"""Handler of the operators' table: configuration, upgrade orders and evacuated domains."""

import msgspec

from crocusvalve.base import DomainId
from crocusvalve.exceptions import CrocusvalveError
from crocusvalve.gateway.base import ServiceName, UpgradeOrder
from crocusvalve.gateway.tables._table_handler import TableHandler
from crocusvalve.store.base import FeedRow

__all__ = ["OperatorTableHandler"]

#: Seconds after a restore of the store within which operators write again what it has lost. Until
#: then the gateway retains evacuations and upgrade orders that the restored tables lack.
REWRITE_PERIOD_S = 15.0
#: Size of a backlog of changes, relative to that of the whole table, above which the table is read.
#: Each change of the configuration repeats it, so a backlog may be many times as long as the table.
#: In the store's encoding a value takes a third more bytes.
MAX_BACKLOG_FACTOR = 1.5 * 4 / 3
#: A shorter backlog is received in any case.
MIN_BACKLOG_BYTES = 65536
#: Former upgrade orders that are remembered for each service.
MAX_PAST_ORDERS = 16


class OperatorTableHandler(TableHandler):
    """Handles the operators' table: configuration, upgrade orders and evacuated domains."""

    def __init__(self, *args):
        super().__init__(*args)
        self.table = self.codec.operator_table
        #: End of the period in which operators write lost rows again, as local time in seconds.
        self._rewrite_until = float("-inf")
        #: Keys of the rows that are retained, or not applied, until then.
        self._held_keys: set[str] = set()
        self._past_orders: dict[ServiceName, list[UpgradeOrder]] = {}
        self._config_era = 0

    def has_order(self, service: ServiceName) -> bool:
        """Return whether the store has an upgrade order of a service."""
        return self.replica.get_version(self.codec.make_status_key(service)) > 0

    def compute_max_backlog(self) -> int | None:
        """Return the longest backlog of changes to receive, in bytes."""
        return max(MIN_BACKLOG_BYTES, int(MAX_BACKLOG_FACTOR * self.replica.count_bytes()))

    def begin_restore(self, now: float) -> None:
        """Start the period in which operators write lost rows again, and maybe others as well."""
        self._rewrite_until = now + REWRITE_PERIOD_S

    def apply_restored_row(self, row: FeedRow, now: float) -> None:
        """Apply a row that may be older than what the gateway knows.

        Configurations have versions of their own, and an evacuation takes effect in any case. An
        order that the gateway knows to be replaced or withdrawn, and lost rows, are left until the
        operators had the time to write them again.
        """
        if row.key == self.codec.config_key:
            self._apply_configuration(row)
        elif row.value is None or self._is_past_order(row):
            self._held_keys.add(row.key)
        else:
            self.apply_row(row, now)

    def finish_page(self, now: float) -> None:
        """Apply the rows that were held back, once operators had the time to write them again."""
        if not self._held_keys or now < self._rewrite_until:
            return
        for key in sorted(self._held_keys):
            value, version = self.replica.get_value(key), self.replica.get_version(key)
            self.apply_row(FeedRow(key, value, version), now)

    def limit_wait_s(self, wait_s: float, now: float) -> float:
        """Return ``wait_s``, shortened so that rows held back are applied in time."""
        return min(wait_s, self._rewrite_until - now) if self._held_keys else wait_s

    def apply_row(self, row: FeedRow, now: float) -> None:
        """Apply a changed row to the gateway's tables."""
        self._held_keys.discard(row.key)
        if row.key == self.codec.config_key:
            self._apply_configuration(row)
            return
        domain = self.codec.read_evacuated_domain(row.key)
        if domain is not None:
            self._apply_domain(domain, row.value is not None, now)
            return
        self._apply_order(row, now)

    def _apply_configuration(self, row: FeedRow) -> None:
        if row.value is None:
            return
        try:
            config = self.codec.read_configuration(row.value)
        except CrocusvalveError as exc:
            self.observer.record_decode_error(self.table, row.key, exc.message)
            return
        is_rewritten = self.replica.era > self._config_era
        if self.tables.apply_configuration(config, is_rewritten=is_rewritten):
            self._config_era = self.replica.era
            self.observer.record_configuration(config)

    def _apply_domain(self, domain: DomainId, is_evacuated: bool, now: float) -> None:
        tables = self.tables
        if is_evacuated == (domain in tables.evacuated_domains):
            return
        if is_evacuated:
            tables.evacuated_domains.add(domain)
        else:
            tables.evacuated_domains.discard(domain)
            for row in tables.upstreams.values():
                if row.domain == domain:
                    tables.mark_cold(row.upstream_id, now + tables.get_cold_s(row.service))
        self.observer.record_domain_state(domain, is_evacuated)

    def _apply_order(self, row: FeedRow, now: float) -> None:
        if row.value is None:
            self._replace_order(self.codec.find_status_service(row.key), None)
            return
        order = self._read_order(row)
        if order is None:
            self.observer.record_decode_error(self.table, row.key, "not a known kind of record")
            return
        current = self.tables.orders.get(order.service)
        is_written_again = now < self._rewrite_until and _are_same_orders(current, order)
        if not is_written_again:
            self._replace_order(order.service, order)
            self.observer.record_upgrade_order(order)

    def _read_order(self, row: FeedRow) -> UpgradeOrder | None:
        order = self.codec.read_order(row.key, row.value, row.version)
        return order and msgspec.structs.replace(order, era=self.replica.era)

    def _replace_order(self, service: ServiceName | None, order: UpgradeOrder | None) -> None:
        previous = self.tables.orders.pop(service, None)
        if previous is not None:
            past = self._past_orders.setdefault(service, [])
            past.append(previous)
            del past[:-MAX_PAST_ORDERS]
        if order is not None:
            self.tables.orders[service] = order

    def _is_past_order(self, row: FeedRow) -> bool:
        """Return whether a row is an order that was replaced or withdrawn before the restore."""
        order = self._read_order(row)
        if order is None:
            return False
        past = self._past_orders.get(order.service, ())
        return any(_are_same_orders(previous, order) for previous in past)


def _are_same_orders(left: UpgradeOrder | None, right: UpgradeOrder) -> bool:
    """Return whether two orders are the same, wherever they stand in the store."""
    return left is not None and (
        (left.service, left.version, left.duration_s)
        == (right.service, right.version, right.duration_s)
    )
