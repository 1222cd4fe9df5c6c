"""Execution of upgrades: every gateway checks versions, the leader writes the status."""

from collections.abc import Iterable

import trio

from crocusvalve.exceptions import PlatformError
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway.base import (
    GatewaySettings,
    ServiceName,
    UpgradeOrder,
    UpgradeState,
    UpgradeStatus,
)
from crocusvalve.gateway.decisions._outcome_counts import OutcomeCountsTable
from crocusvalve.gateway.decisions._session_pins import SessionPins, compute_session_point
from crocusvalve.gateway.decisions._upgrades import (
    OutcomeCounts,
    Verdict,
    VersionChoice,
    check_version,
    choose_version,
    compute_next_status,
    is_first_half,
)
from crocusvalve.gateway.shared._gossip_message import UpgradeReport
from crocusvalve.gateway.shared._peers import PeerTable
from crocusvalve.gateway.tables._operator_table import OperatorTableHandler
from crocusvalve.gateway.tables._status_table import StatusTableHandler
from crocusvalve.gateway.tables._store_state import StoreState
from crocusvalve.gateway.tables._tables import GatewayTables
from crocusvalve.store.base import ChangeFeed, FeedRow, StorePosition
from crocusvalve.utils import Clock

__all__ = ["UpgradeController"]

#: Interval between two checks of all upgrades.
CHECK_INTERVAL_S = 0.2
#: Pause after a failed or rejected write of a status.
RETRY_S = 0.4
#: Seconds after its start in which a gateway learns the status of upgrades from its peers, and
#: writes none; peers send gossip several times per second.
LEARN_PERIOD_S = 2.0
#: Two reports whose starts differ by less are of the same upgrade.
SAME_START_S = 0.01


class UpgradeController:
    """Checks the versions of upgrades in progress and advances their status.

    Parameters
    ----------
    operator_handler : OperatorTableHandler
        Handler of the operators' table, with the orders that the store has.
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
        operator_handler: OperatorTableHandler,
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
        self.operator_handler = operator_handler
        self.status_handler = status_handler
        self.store = store
        self.observer = observer
        self.clock = clock
        self._bad_orders: dict[ServiceName, StorePosition] = {}
        self._last_verdicts: dict[StorePosition, Verdict] = {}
        self._started_at = clock.now()
        self._pins = SessionPins(settings.bounds.session_s)

    def is_active(self) -> bool:
        """Return whether an upgrade is in progress."""
        return any(
            (status := self.get_status(order)) is None or status.state is UpgradeState.RUNNING
            for order in self.tables.orders.values()
        )

    def get_status(self, order: UpgradeOrder) -> UpgradeStatus | None:
        """Return the status of an order, or None if the known one is of an earlier order."""
        return self.tables.get_status(order.service)

    def choose_version(self, service: ServiceName, session: str) -> VersionChoice:
        """Choose the version for the requests of a session."""
        order = self.tables.orders.get(service)
        status = self.get_status(order) if order is not None else None
        if not self._begin_first_half(order, status):
            self._pins.record_session(service, session, self.clock.now())
        elif self._pins.is_pinned(service, compute_session_point(order.version, session)):
            return VersionChoice(avoid=order.version)
        return choose_version(order, status, session, order is not None and self._is_bad(order))

    def _begin_first_half(self, order: UpgradeOrder | None, status: UpgradeStatus | None) -> bool:
        """Pin sessions if an upgrade is in its first half; return whether it is."""
        if not is_first_half(status, self.settings.bounds.exposure_share):
            return False
        now = self.clock.now()
        self._pins.begin(order.service, order.position, order.version, status.share, now)
        return True

    def _is_bad(self, order: UpgradeOrder) -> bool:
        return self._bad_orders.get(order.service) == order.position

    async def run(self) -> None:
        """Check versions and advance upgrades until cancelled."""
        while True:
            for order in list(self.tables.orders.values()):
                verdict = self._check_version(order)
                if self._may_write(self.clock.now()):
                    await self._advance_status(order, verdict)
            await trio.sleep(CHECK_INTERVAL_S)

    def _may_write(self, now: float) -> bool:
        """Return whether this gateway leads, and knows the status table of the store's era.

        A gateway that has just started doesn't lead: its peers may know a status that the store has
        lost.
        """
        replica = self.status_handler.replica
        return (
            self.store.is_up
            and replica.version is not None
            and replica.era == self.store.era
            and now - self._started_at >= LEARN_PERIOD_S
            and self.peers.is_leader(now)
        )

    def list_reports(self) -> tuple[UpgradeReport, ...]:
        """Return the status of each order, for the other gateways."""
        statuses = ((order, self.get_status(order)) for order in self.tables.orders.values())
        return tuple(
            UpgradeReport(
                service=order.service,
                version=order.version,
                state=status.state.value,
                share=status.share,
                started_s=status.started_s,
                is_bad=self._is_bad(order),
                pinned=(
                    self._pins.list_points(order.service)
                    if self._begin_first_half(order, status)
                    else ()
                ),
            )
            for order, status in statuses
            if status is not None
        )

    def merge_reports(self, reports: Iterable[UpgradeReport], now: float) -> None:
        """Take verdicts and pinned sessions from another gateway, and a status that the store lost.

        Only a gateway that has just started takes a status: all others know the status of an order,
        or have received the order after their peer sent the report.
        """
        may_learn = now - self._started_at < LEARN_PERIOD_S
        for report in reports:
            order = self.tables.orders.get(report.service)
            if order is None or order.version != report.version:
                continue
            if may_learn and self.get_status(order) is None:
                self.tables.statuses[order.service] = UpgradeStatus(
                    version=order.version,
                    state=UpgradeState(report.state),
                    share=report.share,
                    started_s=report.started_s,
                    revision=order.revision,
                    era=order.era,
                )
            status = self.get_status(order)
            if status is not None and abs(status.started_s - report.started_s) < SAME_START_S:
                self._merge_same_upgrade(order, status, report)

    def _merge_same_upgrade(
        self, order: UpgradeOrder, status: UpgradeStatus, report: UpgradeReport
    ) -> None:
        """Take a peer's verdict and pinned sessions in the same upgrade."""
        if self._begin_first_half(order, status):
            self._pins.merge(order.service, report.pinned)
        is_running = status.state is UpgradeState.RUNNING
        if report.is_bad and is_running and not self._is_bad(order):
            self._bad_orders[order.service] = order.position
            self._record_verdict(order, Verdict.BAD, "reported by a peer")

    def _check_version(self, order: UpgradeOrder) -> Verdict:
        """Check the new version of an upgrade in progress; a bad one stays bad."""
        if self._is_bad(order):
            return Verdict.BAD
        status = self.get_status(order)
        if status is None or status.state is not UpgradeState.RUNNING:
            return Verdict.UNSURE
        new, old = self.outcome_counts.sum_by_route(order.service, order.version)
        verdict = check_version(new, old)
        if verdict is Verdict.BAD:
            self._bad_orders[order.service] = order.position
        self._record_verdict(order, verdict, _format_counts(new))
        return verdict

    def _record_verdict(self, order: UpgradeOrder, verdict: Verdict, counts: str) -> None:
        """Log a verdict that differs from the one before."""
        previous = self._last_verdicts.get(order.position, Verdict.UNSURE)
        if verdict is not previous:
            self._last_verdicts[order.position] = verdict
            self.observer.record_verdict(order.service, order.version, verdict.value, counts)

    async def _advance_status(self, order: UpgradeOrder, verdict: Verdict) -> None:
        status = self.get_status(order)
        rows = self.tables.by_service.get(order.service, {}).values()
        target = compute_next_status(
            order,
            status,
            verdict=verdict,
            exposure_share=self.settings.bounds.exposure_share,
            has_upstreams=any(row.version == order.version and not row.is_draining for row in rows),
            now=self.store.compute_time_s(self.clock.now()),
        )
        if target is None and self._is_lost(order, status):
            target = status
        if target is not None:
            await self._write_status(order, target)

    def _is_lost(self, order: UpgradeOrder, status: UpgradeStatus | None) -> bool:
        """Return whether the store has lost a known status, and has the order that it belongs to.

        A status that is older than its order would count as one of an earlier order.
        """
        return (
            status is not None
            and self.operator_handler.has_order(order.service)
            and not self.status_handler.is_stored(order.service, status)
        )

    async def _write_status(self, order: UpgradeOrder, target: UpgradeStatus) -> None:
        key = self.status_handler.codec.make_status_key(order.service)
        value = self.status_handler.codec.make_status(order.service, target)
        known_version = self.status_handler.replica.get_version(key)
        started_at = self.clock.now()
        try:
            position = await self.feed.put_row(self.status_handler.table, key, value, known_version)
        except PlatformError as exc:
            # A peer gateway that reaches the store continues as leader.
            self.store.record_failure(self.status_handler.table, started_at)
            self.observer.record_store_state(self.status_handler.table, exc)
            await trio.sleep(RETRY_S)
            return
        if position is None or position.era != self.status_handler.replica.era:
            # Another gateway wrote first, or the store was restored; the follower reads the row.
            await trio.sleep(RETRY_S)
            return
        self.observer.record_upgrade_status(order.service, target, is_local=True)
        row = FeedRow(key, value, position.version)
        if self.status_handler.replica.merge_row(row):
            self.status_handler.apply_row(row, self.clock.now())


def _format_counts(by_route: dict[str, OutcomeCounts]) -> str:
    """Return failures and answers by route, and slow ones, for the log."""
    return "; ".join(
        f"{route} {counts.n_failures}/{counts.n_answers}, {counts.n_slow} slow"
        for route, counts in by_route.items()
    )
