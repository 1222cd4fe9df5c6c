"""State that a gateway reports to its peers by gossip, and what it takes from their reports."""

import random
from collections.abc import Callable, Sequence

import msgspec

from crocusvalve.base import NodeId
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway._upgrade_controller import UpgradeController
from crocusvalve.gateway.base import GatewaySettings
from crocusvalve.gateway.decisions._capacity import SpeedReport
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.decisions._outcome_counts import OutcomeCountsTable
from crocusvalve.gateway.decisions._prompts import record_parts
from crocusvalve.gateway.shared._gossip_message import (
    CompactSentParts,
    GossipMessage,
    MemberReport,
    RunCounts,
    SentPromptParts,
)
from crocusvalve.gateway.shared._peers import PeerTable
from crocusvalve.gateway.shared._sent_parts import SentPartsQueue
from crocusvalve.gateway.shared._table_reading import TableReading
from crocusvalve.gateway.tables._store_state import StoreState
from crocusvalve.gateway.tables._table_handler import TableHandler
from crocusvalve.gateway.tables._tables import GatewayTables
from crocusvalve.gateway.upstreams._attempts import AttemptManager

__all__ = ["GossipState"]

#: The peers' loads are summed at most this often, since the cost grows with the number of peers.
LOAD_SUM_INTERVAL_S = 0.1
#: Maximum numbers of request digests in one message that are refused, and of others with crashes.
MAX_GOSSIP_DIGESTS = 32
#: Maximum number of request digests in one message that are cleared of crashes.
MAX_GOSSIP_CLEARED = 16
#: Maximum numbers of parts of prompts in one message that may crash upstreams, and of those that
#: don't.
MAX_GOSSIP_SUSPECT_PARTS = 8
MAX_GOSSIP_SOUND_PARTS = 32
#: Maximum number of leaving upstreams in one message.
MAX_GOSSIP_LEAVING = 64
#: Maximum number of upstreams' limits in one message.
MAX_GOSSIP_LIMITS = 32
#: Numbers of other gateways that one message reports as alive, of the own failure domain and of
#: others: in a message within the failure domain, whose gateways hear from each other themselves,
#: and in one to another failure domain, which hears from most of this one itself. The latter
#: reports others too, since gateways of a failure domain without a seed learn of each other in this
#: way only.
MAX_TOLD_INSIDE_OWN = 2
MAX_TOLD_INSIDE_OTHERS = 8
MAX_TOLD_OUTSIDE_OWN = 1
MAX_TOLD_OUTSIDE_OTHERS = 2
#: Number of other failure domains whose loads one message passes on within the failure domain.
MAX_GOSSIP_DOMAINS = 3
#: Maximum number of silent upstreams in one message.
MAX_GOSSIP_SILENT = 32


class GossipState:
    """Makes this gateway's gossip messages and merges those of its peers.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the process.
    boot_id : str
        Identifier of this run of the process.
    tables : GatewayTables
        Upstreams and their loads.
    store : StoreState
        Whether the gateway reaches the store.
    peers : PeerTable
        Loads and reports of the peers.
    attempt_manager : AttemptManager
        Crashes and recently sent prompts.
    outcome_counts : OutcomeCountsTable
        Counts of answers and failures.
    upgrades : UpgradeController
        Status of the upgrades.
    handlers : sequence of TableHandler
        Tables whose positions are reported.
    reading : TableReading
        Reports of the tables that peers may copy.
    observer : GatewayObserver
        Records what peers report.
    is_leaving : callable
        Returns whether this gateway is stopping.
    random_state : random.Random
        Source of randomness for the choice of members.
    list_speeds : callable
        Returns the speeds of upstreams to report at a local time in seconds.
    merge_speeds : callable
        Called with a peer's node id, the speeds that it reports, and the local time in seconds.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        boot_id: str,
        tables: GatewayTables,
        store: StoreState,
        peers: PeerTable,
        attempt_manager: AttemptManager,
        outcome_counts: OutcomeCountsTable,
        upgrades: UpgradeController,
        handlers: Sequence[TableHandler],
        reading: TableReading,
        observer: GatewayObserver,
        is_leaving: Callable[[], bool],
        random_state: random.Random,
        list_speeds: Callable[[float], Sequence[SpeedReport]] = lambda now: (),
        merge_speeds: Callable[[NodeId, Sequence[SpeedReport], float], None] = lambda *_: None,
    ):
        self.settings = settings
        self.boot_id = boot_id
        self.tables = tables
        self.store = store
        self.peers = peers
        self.attempt_manager = attempt_manager
        self.bans = attempt_manager.bans
        self.crashes = self.bans.crashes
        self.crashing_parts = self.bans.crashing_parts
        self.outcome_counts = outcome_counts
        self.upgrades = upgrades
        self.handlers = handlers
        self.reading = reading
        self.observer = observer
        self.is_leaving = is_leaving
        self.random_state = random_state
        self.list_speeds = list_speeds
        self.merge_speeds = merge_speeds
        self._sent_parts = SentPartsQueue(random_state)
        self._loads_summed_at = float("-inf")

    def make_message(self, now: float) -> GossipMessage:
        """Return this gateway's state at a local time in seconds."""
        loads = self.tables.loads.items()
        own_per_s = self.tables.request_rate.compute(now)
        rates = self.peers.list_request_rates(own_per_s, now)
        self.tables.rate_limits.update_shares(rates, now)
        counts = self.peers.count_alive(now)
        self._sent_parts.add_own(self.attempt_manager.sent_prompt_parts, counts, now)
        parts, outside_parts = self._sent_parts.choose_inside(now)
        is_peer_behind = self.peers.has_other_bans(self.crashes.fingerprint, now)
        return GossipMessage(
            node_id=self.settings.node_id,
            boot_id=self.boot_id,
            host=self.settings.peer.host,
            n_inflight={key: load.n_inflight for key, load in loads if load.n_inflight},
            pending_work={key: int(load.pending_work) for key, load in loads if load.n_inflight},
            parts=parts,
            outcome_counts=self.outcome_counts.list_local() if self.upgrades.is_active() else (),
            crashes=self.crashes.choose_reports(MAX_GOSSIP_DIGESTS, is_peer_behind=is_peer_behind),
            cleared_crashes=self.crashes.choose_cleared_reports(
                MAX_GOSSIP_CLEARED, is_peer_behind=is_peer_behind
            ),
            ban_fingerprint=self.crashes.fingerprint,
            rate_limits=self.tables.rate_limits.choose_reports(MAX_GOSSIP_LIMITS, now),
            requests_per_s=own_per_s,
            domain=self.settings.domain,
            members=(
                *self._sample_members(MAX_TOLD_INSIDE_OTHERS, now, is_inside=False, is_newest=True),
                *self._sample_members(MAX_TOLD_INSIDE_OWN, now, is_inside=True),
            ),
            is_leaving=self.is_leaving(),
            has_store=self.store.is_up,
            leaving=self.tables.closures.choose_leaving(MAX_GOSSIP_LEAVING),
            upgrades=self.upgrades.list_reports(),
            suspect_parts=self.crashing_parts.list_suspects(MAX_GOSSIP_SUSPECT_PARTS, now),
            sound_parts=self.crashing_parts.list_sound(MAX_GOSSIP_SOUND_PARTS, now),
            positions={
                handler.table: handler.replica.last_change
                for handler in self.handlers
                if handler.is_loaded
            },
            table_reports=self.reading.make_reports(now),
            silent=tuple(
                UpstreamRun.of(row)
                for key, load in loads
                if load.silent_until > now and (row := self.tables.upstreams.get(key))
            )[:MAX_GOSSIP_SILENT],
            upstream_speeds=tuple(self.list_speeds(now)),
            domain_loads=self.peers.choose_domain_loads(MAX_GOSSIP_DOMAINS, now),
            outside_parts=tuple(map(CompactSentParts.of, outside_parts)),
        )

    def make_outside_message(self, message: GossipMessage, now: float) -> GossipMessage:
        """Return a message of this round for gateways of other failure domains.

        It has the sums and counts of this failure domain in place of this gateway's own loads.

        Parameters
        ----------
        message : GossipMessage
            Message of this round for gateways of this failure domain.
        """
        own = RunCounts(f"{message.node_id}#{message.boot_id}", message.outcome_counts)
        return msgspec.structs.replace(
            message,
            n_inflight={},
            pending_work={},
            outcome_counts=(),
            parts=(),
            members=(
                *self._sample_members(MAX_TOLD_OUTSIDE_OWN, now, is_inside=True),
                *self._sample_members(MAX_TOLD_OUTSIDE_OTHERS, now, is_inside=False),
            ),
            domain_loads=(
                self.peers.sum_domain_loads(message.n_inflight, message.pending_work, now),
            ),
            table_reports={},
            domain_counts=(
                (own, *self.peers.list_run_counts(now)) if self.upgrades.is_active() else ()
            ),
            outside_parts=tuple(map(CompactSentParts.of, self._sent_parts.choose_outside(now))),
        )

    def _sample_members(
        self, n_members: int, now: float, *, is_inside: bool, is_newest: bool = False
    ) -> tuple[MemberReport, ...]:
        return self.peers.sample_members(
            n_members, self.random_state, now, is_inside=is_inside, is_newest=is_newest
        )

    def merge(self, message: GossipMessage, now: float) -> None:
        """Merge a peer's message that is received now."""
        self.outcome_counts.merge_remote(
            f"{message.node_id}#{message.boot_id}", message.outcome_counts
        )
        for counts in message.domain_counts:
            if counts.run_id != f"{self.settings.node_id}#{self.boot_id}":
                self.outcome_counts.merge_remote(counts.run_id, counts.rows)
        banned_digests = self._merge_crashes(message)
        self._merge_sent_parts(message, now)
        self._merge_leaving(message)
        self._merge_rate_limits(message, now)
        banned_parts = self.crashing_parts.merge(message.suspect_parts, message.sound_parts, now)
        self.observer.crashes.record_banned_parts(banned_parts)
        if banned_digests or banned_parts:
            self.bans.on_change()
        self.upgrades.merge_reports(message.upgrades, now)
        if message.upstream_speeds:
            self.merge_speeds(message.node_id, message.upstream_speeds, now)
        if now - self._loads_summed_at < LOAD_SUM_INTERVAL_S:
            return
        self._loads_summed_at = now
        n_inflight, work = self.peers.sum_peer_loads(now)
        n_silent = self.peers.count_silent(now)
        for upstream_id, load in self.tables.loads.items():
            row = self.tables.upstreams.get(upstream_id)
            load.n_peers_silent = n_silent.get(UpstreamRun.of(row), 0) if n_silent and row else 0
            load.n_peer_inflight = n_inflight.get(upstream_id, 0)
            load.peer_pending_work = work.get(upstream_id, 0)

    def _merge_crashes(self, message: GossipMessage) -> list[str]:
        """Merge a peer's crashes, cleared ones first; return the digests that become refused."""
        crashes, observer = self.crashes, self.observer.crashes
        released = [
            digest
            for digest, incidents in message.cleared_crashes.items()
            if crashes.merge_cleared(digest, incidents)
        ]
        if released:
            observer.record_released_requests(released, crashes.n_banned, message.node_id)
        banned = [
            digest
            for digest, incidents in message.crashes.items()
            if crashes.merge(digest, incidents)
        ]
        if banned:
            observer.record_banned_requests(banned, crashes.n_banned, message.node_id)
        return banned

    def _merge_leaving(self, message: GossipMessage) -> None:
        for run in self.tables.closures.merge_leaving(message.leaving):
            row = self.tables.upstreams.get(run.upstream_id)
            if row is not None and row.started_ms == run.started_ms:
                self.observer.record_upstream_leaving(row)

    def _merge_rate_limits(self, message: GossipMessage, now: float) -> None:
        rate_limits = self.tables.rate_limits
        for report in rate_limits.merge(message.rate_limits, now):
            self.observer.limits.record_limit(
                report.run.upstream_id, report.rate_per_s, rate_limits.n_active, message.node_id
            )

    def _merge_sent_parts(self, message: GossipMessage, now: float) -> None:
        """Record the prompt parts that gateways sent to upstreams as cached there, each once."""
        if not (message.parts or message.outside_parts):
            return
        counts = self.peers.count_alive(now)
        is_from_inside = message.domain == self.settings.domain
        for prompts, is_outside in (
            (message.parts, not is_from_inside),
            (tuple(sent.expand() for sent in message.outside_parts), True),
        ):
            for sent in prompts:
                is_new = self._sent_parts.receive(
                    sent,
                    now,
                    is_outside=is_outside,
                    is_from_inside=is_from_inside,
                    counts=counts,
                )
                if is_new:
                    self._record_sent_parts(sent)

    def _record_sent_parts(self, sent: SentPromptParts) -> None:
        config = self.tables.config
        row = self.tables.upstreams.get(sent.upstream_id)
        service = config and row and config.services.get(row.service)
        if service:
            load = self.tables.get_load(sent.upstream_id)
            record_parts(load, sent.model, sent.parts, service.memory_tokens)
