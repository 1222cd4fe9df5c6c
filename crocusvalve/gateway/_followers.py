"""Followers of the store's tables: operators' records, upstreams and upgrade status."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec
import trio

from crocusvalve.base import DomainId, UpstreamId
from crocusvalve.exceptions import CrocusvalveError, PlatformError
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway._replica import TableReplica
from crocusvalve.gateway._tables import GatewayTables
from crocusvalve.gateway.base import (
    RecordCodec,
    ServiceName,
    UpgradeOrder,
    UpgradeState,
    UpgradeStatus,
)
from crocusvalve.store import Backoff
from crocusvalve.store.base import ChangeFeed, FeedPage, FeedRow, HistoryLostError
from crocusvalve.utils import Clock

__all__ = [
    "OperatorTableHandler",
    "TableHandler",
    "StatusTableHandler",
    "StoreState",
    "TableFollower",
    "UpstreamTableHandler",
]

#: Time for which missing entries are retained after the store's recovery: those that expired while
#: it was unavailable are registered again within about two seconds.
EXPIRY_GRACE_S = 2.2
#: An upstream that has left permanently must be dropped within the operators' bound (``drain_s``);
#: its entry is retained for at most this fraction of the bound.
EXPIRY_GRACE_FRACTION = 0.85
#: Seconds after a restore of the store within which operators write again what it has lost. Until
#: then the gateway retains evacuations and upgrade orders that the restored tables lack.
REWRITE_PERIOD_S = 15.0
#: Former upgrade orders that are remembered for each service.
MAX_PAST_ORDERS = 16
#: Shortest store outage in which entries may expire. An entry expires after three missed
#: heartbeats, so none expires in an outage of less than two heartbeat intervals of the users'
#: platform.
MIN_OUTAGE_S = 2.4


#: Shortest delay after a failed call.
MIN_RETRY_DELAY_S = 0.05
#: Longest time for which a follower waits for another one to reach the store.
MAX_RECOVERY_WAIT_S = 4.0


class StoreState:
    """Availability of the store as seen by its followers, and an estimate of its clock.

    Attributes
    ----------
    failed_at, answered_at : float
        Local times of the last failed and the last answered call, in seconds; ``-inf`` before the
        first one.
    era : int
        Latest era of the store.
    """

    def __init__(self) -> None:
        self.failed_at = float("-inf")
        self.answered_at = float("-inf")
        self.era = 0
        self._offset_s = 0.0
        self._recovered = trio.Event()

    @property
    def is_up(self) -> bool:
        """Whether the last call was answered."""
        return self.answered_at > self.failed_at

    def record_answer(self, page: FeedPage, now: float) -> bool:
        """Record an answered call; return whether the call before it had failed."""
        was_down = self.failed_at > self.answered_at
        self.answered_at = now
        self.era = max(self.era, page.era)
        self._offset_s = page.time_s - now
        self._recovered.set()
        return was_down

    def record_failure(self, now: float) -> bool:
        """Record a failed call; return whether it is the first since the start or an answer."""
        was_up = self.is_up or self.failed_at == float("-inf")
        self.failed_at = now
        if self._recovered.is_set():
            self._recovered = trio.Event()
        return was_up

    async def wait_until_up(self, timeout_s: float) -> None:
        """Wait until a call is answered, at most for ``timeout_s`` seconds."""
        with trio.move_on_after(timeout_s):
            await self._recovered.wait()

    def compute_time_s(self, now: float) -> float:
        """Return the store's time in seconds at a local time."""
        return now + self._offset_s


class TableHandler(ABC):
    """Applies the rows of one table of the store to the gateway's tables.

    Attributes
    ----------
    table : str
        Name of the table in the store.
    replica : TableReplica
        Rows of the table as last received.
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

    @property
    def is_loaded(self) -> bool:
        """Whether the table was read, so that its changes can be followed from a version on."""
        return self.replica.version is not None

    def merge_table(self, page: FeedPage, now: float) -> None:
        """Merge a complete table and apply the rows that are new."""
        if page.era < self.replica.era:
            return
        if page.era > self.replica.era and not self.replica.is_empty:
            self.observer.record_store_restore(self.table, page.era, page.version)
            for row in self.replica.replace_table(page):
                self.apply_restored_row(row, now)
            self.finish_page(now)
            return
        self._apply_rows(self.replica.merge_table(page), now)

    def merge_changes(self, page: FeedPage, now: float) -> None:
        """Merge changed rows and apply those that are new."""
        self._apply_rows(self.replica.merge_changes(page), now)

    def _apply_rows(self, rows: list[FeedRow], now: float) -> None:
        for row in rows:
            self.apply_row(row, now)
        self.finish_page(now)

    @abstractmethod
    def apply_row(self, row: FeedRow, now: float) -> None:
        """Apply a changed row to the gateway's tables."""

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

    def apply_restored_row(self, row: FeedRow, now: float) -> None:
        """Apply a row that may be older than what the gateway knows.

        Configurations have versions of their own, and an evacuation takes effect in any case. An
        order that the gateway knows to be replaced or withdrawn, and lost rows, are left until the
        operators had the time to write them again.
        """
        self._rewrite_until = now + REWRITE_PERIOD_S
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


class UpstreamTableHandler(TableHandler):
    """Handles the table in which upstreams register.

    While the store is unavailable upstreams can't refresh their entries, so these expire although
    the upstreams run. Entries that are missing after an outage are therefore retained for a while.

    Parameters
    ----------
    drain_s : float
        Time in seconds within which a leaving upstream must get no more requests.
    """

    def __init__(self, *args, drain_s: float):
        super().__init__(*args)
        self.table = self.codec.upstream_table
        self.expiry_grace_s = min(EXPIRY_GRACE_S, EXPIRY_GRACE_FRACTION * drain_s)
        #: End of the grace period of missing entries, as local time in seconds.
        self._expired: dict[UpstreamId, float] = {}
        self._expiry_grace_until: float | None = None

    def handle_store_recovery(self, outage_s: float, now: float) -> None:
        """Start the grace period for entries that may have expired in an outage."""
        if outage_s >= MIN_OUTAGE_S:
            self._expiry_grace_until = now + self.expiry_grace_s

    def apply_row(self, row: FeedRow, now: float) -> None:
        """Apply a changed row to the gateway's tables."""
        upstream_id = UpstreamId(row.key)
        if row.value is None:
            self._handle_removal(upstream_id, now)
            return
        entry = self.codec.read_upstream(row.key, row.value)
        self._expired.pop(upstream_id, None)
        if entry is None:
            self._drop_upstream(upstream_id, "malformed entry")
            return
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


class StatusTableHandler(TableHandler):
    """Handles the table in which gateways store the status of upgrades."""

    def __init__(self, *args):
        super().__init__(*args)
        self.table = self.codec.status_table

    def apply_row(self, row: FeedRow, now: float) -> None:
        """Apply a changed row to the gateway's tables."""
        service = self.codec.find_status_service(row.key)
        if service is None:
            return
        status = self._read_status(row)
        if status is None:
            self.tables.statuses.pop(service, None)
        elif self.tables.apply_status(service, status):
            self.observer.record_upgrade_status(service, status, is_local=False)
            if status.state is UpgradeState.COMPLETE:
                self.tables.allowed_versions[service] = {status.version}

    def apply_restored_row(self, row: FeedRow, now: float) -> None:
        """Apply a status that may be older than the known one; a lost one is written again."""
        if row.value is not None:
            self.apply_row(row, now)

    def is_stored(self, service: ServiceName, status: UpgradeStatus) -> bool:
        """Return whether the store has at least the progress of an upgrade's status."""
        key = self.codec.make_status_key(service)
        value = self.replica.get_value(key)
        stored = self._read_status(FeedRow(key, value, self.replica.get_version(key)))
        return (
            stored is not None
            and stored.version == status.version
            and stored.progress >= status.progress
        )

    def _read_status(self, row: FeedRow) -> UpgradeStatus | None:
        status = self.codec.read_status(row.value, row.version) if row.value else None
        return status and msgspec.structs.replace(status, era=self.replica.era)


class TableFollower:
    """Follows the changes of one table and passes them to its handler.

    Parameters
    ----------
    feed : ChangeFeed
        Client of the store.
    handler : TableHandler
        Merges and applies the rows.
    store : StoreState
        Records answered and failed calls.
    backoff : Backoff
        Delays after failed calls.
    clock : Clock
        Clock of this gateway.
    wait_s : float
        Time in seconds for which a call waits for changes.
    pause_s : float
        Pause in seconds after each call, so that frequent changes arrive in batches.
    is_enabled : callable
        Returns whether changes are to be followed now; the first read is made in any case.
    is_probing : bool
        Whether this follower finds out when an unavailable store answers again; the others wait
        for it, since each call is charged, a refused one too.
    """

    def __init__(
        self,
        *,
        feed: ChangeFeed,
        handler: TableHandler,
        store: StoreState,
        backoff: Backoff,
        clock: Clock,
        wait_s: float,
        pause_s: float = 0.0,
        is_enabled: Callable[[], bool] = lambda: True,
        is_probing: bool = True,
    ):
        self.feed = feed
        self.handler = handler
        self.store = store
        self.backoff = backoff
        self.clock = clock
        self.wait_s = wait_s
        self.pause_s = pause_s
        self.is_enabled = is_enabled
        self.is_probing = is_probing
        self._n_failures = 0
        self._outage_since = 0.0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self.handler.is_loaded and not self.is_enabled():
                await trio.sleep(0.2)
                continue
            try:
                await self._read_once()
                pause_s = self.handler.limit_wait_s(self.pause_s, self.clock.now())
                await trio.sleep(max(0.0, pause_s))
            except HistoryLostError:
                # The store is available but has lost its change history, so the complete table is
                # read again.
                self.handler.replica.version = None
            except PlatformError as exc:
                self._record_failure(exc)
                await trio.sleep(MIN_RETRY_DELAY_S)
                if self.is_probing:
                    await trio.sleep(self.backoff.compute_delay_s(self._n_failures))
                else:
                    await self.store.wait_until_up(MAX_RECOVERY_WAIT_S)

    async def _read_once(self) -> None:
        handler = self.handler
        if handler.is_loaded:
            version = handler.replica.version
            wait_s = max(0.0, handler.limit_wait_s(self.wait_s, self.clock.now()))
            if self._n_failures:
                # Fetches the changes of the outage in a page of their own, apart from later ones.
                wait_s = 0.0
            page = await self._wait_for_changes(version, wait_s)
            self._record_answer(page)
            if page.era != handler.replica.era:
                # The rows are changes after a version of another era; the table is read instead.
                handler.replica.version = None
                return
            handler.merge_changes(page, self.clock.now())
        else:
            page = await self.feed.read_table(handler.table)
            self._record_answer(page)
            handler.merge_table(page, self.clock.now())

    async def _wait_for_changes(self, version: int, wait_s: float) -> FeedPage:
        started_at = self.clock.now()
        try:
            return await self.feed.wait_for_changes(self.handler.table, version, wait_s)
        except PlatformError:
            if not self._n_failures:
                # A call that timed out may have been disconnected since its start.
                now = self.clock.now()
                self._outage_since = started_at if now - started_at > wait_s else now
            raise

    def _record_answer(self, page: FeedPage) -> None:
        now = self.clock.now()
        if self._n_failures:
            self.handler.handle_store_recovery(now - self._outage_since, now)
        self._n_failures = 0
        if self.store.record_answer(page, now):
            self.handler.observer.record_store_state(self.handler.table, None)

    def _record_failure(self, exc: PlatformError) -> None:
        self._n_failures += 1
        self.handler.observer.count_store_fault()
        if self.store.record_failure(self.clock.now()):
            self.handler.observer.record_store_state(self.handler.table, exc)
