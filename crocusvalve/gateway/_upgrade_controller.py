"""Carries out upgrades: judges versions on all gateways, writes the status on one."""

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

TICK_S = 0.2
#: Pause after a status could not be written.
RETRY_S = 0.4


class UpgradeController:
    """Follows the upgrades under way.

    Parameters
    ----------
    status_handler : StatusTableHandler
        Rows of the status, with their versions.
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
        """Tell whether an upgrade is under way."""
        return any(
            (status := self.get_status(order)) is None or status.state is UpgradeState.RUNNING
            for order in self.tables.orders.values()
        )

    def get_status(self, order: UpgradeOrder) -> UpgradeStatus | None:
        """Return the status of an order; that of an earlier order isn't its."""
        status = self.tables.statuses.get(order.service)
        if status is None or status.revision < order.revision:
            return None
        return status if status.version == order.version else None

    def choose_version(self, service: ServiceName, session: str) -> VersionChoice:
        """Choose the version on which a session runs."""
        order = self.tables.orders.get(service)
        if order is None:
            return VersionChoice()
        return choose_version(order, self.get_status(order), session, self._is_bad(order))

    def _is_bad(self, order: UpgradeOrder) -> bool:
        return self._bad_revisions.get(order.service) == order.revision

    async def run(self) -> None:
        """Judge and step until cancelled."""
        while True:
            for order in list(self.tables.orders.values()):
                self._check_version(order)
                if self.store.is_up and self.peers.is_leader(self.clock.now()):
                    await self._advance_status(order)
            await trio.sleep(TICK_S)

    def _check_version(self, order: UpgradeOrder) -> None:
        status = self.get_status(order)
        is_running = status is not None and status.state is UpgradeState.RUNNING
        if not is_running or self._is_bad(order):
            return
        new, old = self.outcome_counts.sum_by_route(order.service, order.version)
        if check_version(new, old) is Verdict.BAD:
            self._bad_revisions[order.service] = order.revision
            counts = "; ".join(
                f"{route} {tally.n_failures}/{tally.n_answers}" for route, tally in new.items()
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
        known = self.status_handler.replica.get_version(key)
        try:
            version = await self.feed.put_row(self.status_handler.table, key, value, known)
        except PlatformError as exc:
            # Another gateway that reaches the store takes over.
            self.store.record_failure(self.clock.now())
            self.observer.record_store_state(self.status_handler.table, exc)
            await trio.sleep(RETRY_S)
            return
        if version is None:
            # Another gateway wrote first; the feed brings its row.
            await trio.sleep(RETRY_S)
            return
        self.observer.record_upgrade_status(order.service, target, is_local=True)
        row = FeedRow(key, value, version)
        if self.status_handler.replica.merge_row(row):
            self.status_handler.apply_row(row, self.clock.now())
