"""Follows the store's tables, or relies on the readers of the failure domain, as decided."""

from collections.abc import Callable, Sequence

import trio

from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway.base import GatewaySettings
from crocusvalve.gateway.decisions._table_readers import DomainMember, ReadingReason, TableReaders
from crocusvalve.gateway.shared._gossip_message import GossipMessage, TableReport
from crocusvalve.gateway.shared._lag import LagTracker
from crocusvalve.gateway.shared._peers import PeerTable
from crocusvalve.gateway.tables._replica import TablePosition
from crocusvalve.gateway.tables._store_state import StoreState
from crocusvalve.gateway.tables._table_handler import TableHandler
from crocusvalve.utils import Clock

__all__ = ["TableReading"]

#: Interval of the decision whether this gateway follows the tables itself.
DECISION_INTERVAL_S = 0.1
#: Pause, failed call and retry that a sound follower may take beyond the time for which a call
#: waits. A reader whose last answer is older, and which reports no failure, isn't relied on.
ANSWER_MARGIN_S = 2.5
#: Longest age that is reported; that of a table for which the store has never answered.
MAX_AGE_MS = 10**9
#: A reader reports a failure until its next call is answered: the call that failed has started at
#: most this long before (a time-out of 1 s, a delay of 0.45 s, and the next call).
FAILED_CALL_S = 1.5
#: Maximum number of gateways of a failure domain to which a reader sends in each round. If there
#: are more, those that hear readers too rarely follow the store.
MAX_DOMAIN_HOSTS = 40


class TableReading:
    """Decides by what peers report whether this gateway follows the store's tables itself.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the process.
    handlers : sequence of TableHandler
        Tables that only readers follow.
    peers : PeerTable
        Gateways that are alive and their reports.
    lags : LagTracker
        Tables that lack a change that a peer has.
    store : StoreState
        Availability of the store.
    observer : GatewayObserver
        Records each change between following and copying.
    clock : Clock
        Clock of this gateway.
    is_leaving : callable
        Returns whether this gateway is stopping.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        handlers: Sequence[TableHandler],
        peers: PeerTable,
        lags: LagTracker,
        store: StoreState,
        observer: GatewayObserver,
        clock: Clock,
        is_leaving: Callable[[], bool],
    ):
        self.domain = settings.domain
        self.handlers = {handler.table: handler for handler in handlers}
        self.peers = peers
        self.lags = lags
        self.store = store
        self.observer = observer
        self.clock = clock
        self.is_leaving = is_leaving
        self.readers = TableReaders(settings.node_id, settings.domain, settings.n_table_readers)
        self.max_age_s = settings.bounds.contact_s + ANSWER_MARGIN_S
        self._reads_since = clock.now()
        self._peers_answered_at = float("-inf")
        self._logged: ReadingReason | None = None

    async def run(self) -> None:
        """Decide again and again until cancelled."""
        while True:
            self.update(self.clock.now())
            await trio.sleep(DECISION_INTERVAL_S)

    def update(self, now: float) -> None:
        """Decide whether this gateway follows the tables; log it if it changes."""
        readers = self.readers
        was_reading = readers.must_read
        members = self._list_members(now)
        self._peers_answered_at = max(
            (member.answered_at for member in members if member.is_reading),
            default=self._peers_answered_at,
        )
        must_read = readers.update(
            members,
            has_store=self.store.is_up,
            is_leaving=self.is_leaving(),
            missing_s=max(self.lags.compute_missing_s(table, now) for table in self.handlers),
            now=now,
        )
        if must_read and not was_reading:
            self._reads_since = now
        is_first_call = self.store.is_up and any(map(self.is_unsure, self.handlers))
        if readers.outage_until is not None and is_first_call:
            self.store.record_peer_outage(readers.outage_until - FAILED_CALL_S)
        if readers.reason is not self._logged:
            self._logged = readers.reason
            self.observer.tables.record_reading(must_read, readers.reason.value)

    def _list_members(self, now: float) -> list[DomainMember]:
        """Return the other live gateways of this one's failure domain."""
        heard = {
            message.node_id: (message, heard_at)
            for message, heard_at in self.peers.list_messages(now)
            if message.domain == self.domain
        }
        members = []
        for node_id, member in self.peers.list_alive(now).items():
            if member.domain != self.domain:
                continue
            changes = {}
            if node_id in heard:
                changes = self._read_reports(*heard[node_id])
            members.append(
                DomainMember(
                    node_id=node_id,
                    has_store=member.has_store,
                    is_leaving=member.is_leaving,
                    **changes,
                )
            )
        return members

    def _read_reports(self, message: GossipMessage, heard_at: float) -> dict[str, float | bool]:
        reports = [message.table_reports.get(table) for table in self.handlers]
        if any(report is None or report.age_ms < 0 for report in reports):
            return {"heard_at": heard_at}
        ages_s = [report.age_ms / 1000 for report in reports]
        return {
            "heard_at": heard_at,
            "is_reading": message.has_store and max(ages_s) <= self.max_age_s,
            "has_lost_store": not message.has_store,
            # The failing table counts: the store may answer for the other one already.
            "answered_at": heard_at - max(ages_s),
            "is_settled": all(report.is_settled for report in reports),
        }

    @property
    def answered_at(self) -> float:
        """Local time in seconds of the store's last answer to this gateway, or to its readers."""
        return max(self.store.answered_at, self._peers_answered_at)

    def must_follow(self, table: str) -> bool:
        """Return whether this gateway follows a table of the store itself now.

        Also one that copies reads the table from the store once at its start. It follows a table
        while its own calls fail, since peers must not count on it until the store answers, and
        while changes are delayed that are carried out with a later page.
        """
        return (
            self.readers.must_read
            or self.store.is_failing(table)
            or self.store.get_answered_at(table) == float("-inf")
            or self.handlers[table].has_delayed_changes(self.clock.now())
        )

    def is_copied(self, table: str) -> bool:
        """Return whether this gateway gets the changes of a table from readers now."""
        return table in self.handlers and not self.must_follow(table)

    def measure_outage_s(self) -> float:
        """Return the length in seconds of an outage of the store that readers have reported."""
        since = self.readers.outage_since
        return 0.0 if since is None else self.clock.now() - since

    def is_unsure(self, table: str) -> bool:
        """Return whether no reader is relied on and the store hasn't answered since."""
        if not self.readers.must_read:
            return False
        return self.store.get_answered_at(table) < self._reads_since

    def make_reports(self, now: float) -> dict[str, TableReport]:
        """Return this gateway's reports of the tables that are loaded."""
        return {
            table: TableReport(
                handler.replica.last_content_change,
                self._compute_age_ms(table, now),
                handler.is_settled,
            )
            for table, handler in self.handlers.items()
            if handler.is_loaded
        }

    def _compute_age_ms(self, table: str, now: float) -> int:
        if not self.must_follow(table):
            return -1
        return round(min(1000 * (now - self.store.get_answered_at(table)), MAX_AGE_MS))

    def estimate_answered_at(self, host: str, table: str, now: float) -> float:
        """Return the local time in seconds of the store's last answer to a peer for a table.

        It is ``-inf`` if the peer copies the table, and ``now`` for a peer that doesn't report it,
        which is one of an earlier release and follows all tables.
        """
        for message, heard_at in self.peers.list_messages(now):
            if message.host == host and (report := message.table_reports.get(table)) is not None:
                return float("-inf") if report.age_ms < 0 else heard_at - report.age_ms / 1000
        return now

    def list_domain_hosts(self, now: float) -> list[str]:
        """Return the hosts that a reader's gossip must reach in each round.

        With gossip to a random sample only, the others would often hear no reader for a second.
        """
        are_all_reading = self.readers.reason in (
            ReadingReason.SWITCHED_OFF,
            ReadingReason.FEW_GATEWAYS,
        )
        if are_all_reading or any(map(self.is_copied, self.handlers)):
            return []
        members = self.peers.list_alive(now).values()
        hosts = [member.host for member in members if member.domain == self.domain]
        return hosts if len(hosts) <= MAX_DOMAIN_HOSTS else []

    def list_reader_hosts(self, table: str, after: TablePosition | None, now: float) -> list[str]:
        """Return the hosts of readers of this failure domain that report a later change.

        ``after`` is None for all readers whose tables can be copied.
        """
        hosts = []
        for message, _ in self.peers.list_messages(now):
            report = message.table_reports.get(table)
            if message.domain != self.domain or report is None or report.age_ms < 0:
                continue
            if report.is_settled and (after is None or report.change > after):
                hosts.append(message.host)
        return hosts
