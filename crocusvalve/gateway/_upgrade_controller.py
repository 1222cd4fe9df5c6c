"""Execution of upgrades: every gateway checks versions, the leader writes the status."""

import trio

from crocusvalve.exceptions import PlatformError
from crocusvalve.gateway._followers import StatusTableHandler, StoreState
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway._outcome_counts import OutcomeCountsTable
from crocusvalve.gateway._peers import PeerTable
from crocusvalve.gateway._tables import GatewayTables
from crocusvalve.gateway._upgrades import (
    Verdict,
    VersionChoice,
    check_version,
    choose_version,
    compute_next_status,
)
from crocusvalve.gateway.base import (
    GatewaySettings,
    ServiceName,
    UpgradeOrder,
    UpgradeState,
    UpgradeStatus,
)
from crocusvalve.store.base import ChangeFeed, FeedRow
from crocusvalve.utils import Clock

__all__ = ["UpgradeController"]

#: Interval between two checks of all upgrades.
CHECK_INTERVAL_S = 0.2
#: Pause after a failed or rejected write of a status.
RETRY_S = 0.4


class UpgradeController:
    """Checks the versions of upgrades in progress and advances their status.

    Parameters
    ----------
    status_handler : StatusTableHandler
        Handler of the status table, with the versions of its rows.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        tables: GatewayTables,
        peers: PeerTable,
        outcome_counts: OutcomeCountsTable,
        feed: ChangeFeed,
        status_handler: StatusTableHandler,
        store: StoreState,
        observer: GatewayObserver,
        clock: Clock,
    ):
        self.settings = settings
        self.tables = tables
        self.peers = peers
        self.outcome_counts = outcome_counts
        self.feed = feed
        self.status_handler = status_handler
        self.store = store
        self.observer = observer
        self.clock = clock
        self._bad_revisions: dict[ServiceName, int] = {}

    def is_active(self) -> bool:
        """Return whether an upgrade is in progress."""
        return any(
            (status := self.get_status(order)) is None or status.state is UpgradeState.RUNNING
            for order in self.tables.orders.values()
        )

    def get_status(self, order: UpgradeOrder) -> UpgradeStatus | None:
        """Return the status of an order, or None if the stored one is of an earlier order."""
        status = self.tables.statuses.get(order.service)
        if status is None or status.revision < order.revision:
            return None
        return status if status.version == order.version else None

    def choose_version(self, service: ServiceName, session: str) -> VersionChoice:
        """Choose the version for the requests of a session."""
        order = self.tables.orders.get(service)
        if order is None:
            return VersionChoice()
        return choose_version(order, self.get_status(order), session, self._is_bad(order))

    def _is_bad(self, order: UpgradeOrder) -> bool:
        return self._bad_revisions.get(order.service) == order.revision

    async def run(self) -> None:
        """Check versions and advance upgrades until cancelled."""
        while True:
            for order in list(self.tables.orders.values()):
                self._check_version(order)
                if self.store.is_up and self.peers.is_leader(self.clock.now()):
                    await self._advance_status(order)
            await trio.sleep(CHECK_INTERVAL_S)

    def _check_version(self, order: UpgradeOrder) -> None:
        status = self.get_status(order)
        is_running = status is not None and status.state is UpgradeState.RUNNING
        if not is_running or self._is_bad(order):
            return
        new, old = self.outcome_counts.sum_by_route(order.service, order.version)
        if check_version(new, old) is Verdict.BAD:
            self._bad_revisions[order.service] = order.revision
            counts = "; ".join(
                f"{route} {on_route.n_failures}/{on_route.n_answers}"
                for route, on_route in new.items()
            )
            self.observer.record_bad_version(order.service, order.version, counts)

    async def _advance_status(self, order: UpgradeOrder) -> None:
        status = self.get_status(order)
        rows = self.tables.by_service.get(order.service, {}).values()
        target = compute_next_status(
            order,
            status,
            verdict=Verdict.BAD if self._is_bad(order) else Verdict.UNSURE,
            exposure_share=self.settings.bounds.exposure_share,
            has_upstreams=any(row.version == order.version and not row.is_draining for row in rows),
            now=self.store.compute_time_s(self.clock.now()),
        )
        if target is not None:
            await self._write_status(order, target)

    async def _write_status(self, order: UpgradeOrder, target: UpgradeStatus) -> None:
        key = self.status_handler.codec.make_status_key(order.service)
        value = self.status_handler.codec.make_status(order.service, target)
        known_version = self.status_handler.replica.get_version(key)
        try:
            version = await self.feed.put_row(self.status_handler.table, key, value, known_version)
        except PlatformError as exc:
            # A peer gateway that reaches the store continues as leader.
            self.store.record_failure(self.clock.now())
            self.observer.record_store_state(self.status_handler.table, exc)
            await trio.sleep(RETRY_S)
            return
        if version is None:
            # Another gateway wrote first; its row arrives with the next changes.
            await trio.sleep(RETRY_S)
            return
        self.observer.record_upgrade_status(order.service, target, is_local=True)
        row = FeedRow(key, value, version)
        if self.status_handler.replica.merge_row(row):
            self.status_handler.apply_row(row, self.clock.now())
