"""State that a gateway reports to its peers by gossip, and what it takes from their reports."""

import random
from collections.abc import Callable, Sequence

from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway._upgrade_controller import UpgradeController
from crocusvalve.gateway.base import GatewaySettings
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.decisions._outcome_counts import OutcomeCountsTable
from crocusvalve.gateway.decisions._prompts import record_parts
from crocusvalve.gateway.shared._gossip_message import GossipMessage
from crocusvalve.gateway.shared._peers import PeerTable
from crocusvalve.gateway.shared._table_reading import TableReading
from crocusvalve.gateway.tables._store_state import StoreState
from crocusvalve.gateway.tables._table_handler import TableHandler
from crocusvalve.gateway.tables._tables import GatewayTables
from crocusvalve.gateway.upstreams._attempts import AttemptManager

__all__ = ["GossipState"]

#: The peers' loads are summed at most this often, since the cost grows with the number of peers.
LOAD_SUM_INTERVAL_S = 0.1
#: A message includes the prompts sent within this time, so that each is included about twice.
SENT_PARTS_WINDOW_S = 1.0
#: Maximum numbers of request digests in one message that are refused, and of others with crashes.
MAX_GOSSIP_DIGESTS = 32
#: Maximum numbers of parts of prompts in one message that may crash upstreams, and of those that
#: don't.
MAX_GOSSIP_SUSPECT_PARTS = 8
MAX_GOSSIP_SOUND_PARTS = 32
#: Maximum number of leaving upstreams in one message.
MAX_GOSSIP_LEAVING = 64
#: Maximum number of upstreams' limits in one message.
MAX_GOSSIP_LIMITS = 32
#: Number of other gateways that one message reports as alive.
MAX_GOSSIP_MEMBERS = 20
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
        self._loads_summed_at = float("-inf")

    def make_message(self, now: float) -> GossipMessage:
        """Return this gateway's state at a local time in seconds."""
        loads = self.tables.loads.items()
        own_per_s = self.tables.request_rate.compute(now)
        rates = self.peers.list_request_rates(own_per_s, now)
        self.tables.rate_limits.update_shares(rates, now)
        is_peer_behind = self.peers.has_other_bans(self.crashes.fingerprint, now)
        return GossipMessage(
            node_id=self.settings.node_id,
            boot_id=self.boot_id,
            host=self.settings.peer.host,
            n_inflight={key: load.n_inflight for key, load in loads if load.n_inflight},
            pending_work={key: int(load.pending_work) for key, load in loads if load.n_inflight},
            parts=tuple(
                sent
                for sent in self.attempt_manager.sent_prompt_parts
                if now - sent.sent_at < SENT_PARTS_WINDOW_S
            ),
            outcome_counts=self.outcome_counts.list_local() if self.upgrades.is_active() else (),
            crashes=self.crashes.choose_reports(MAX_GOSSIP_DIGESTS, is_peer_behind=is_peer_behind),
            ban_fingerprint=self.crashes.fingerprint,
            rate_limits=self.tables.rate_limits.choose_reports(MAX_GOSSIP_LIMITS, now),
            requests_per_s=own_per_s,
            domain=self.settings.domain,
            members=self.peers.sample_members(MAX_GOSSIP_MEMBERS, self.random_state, now),
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
        )

    def merge(self, message: GossipMessage, now: float) -> None:
        """Merge a peer's message that is received now."""
        self.outcome_counts.merge_remote(
            f"{message.node_id}#{message.boot_id}", message.outcome_counts
        )
        banned_digests = [
            digest
            for digest, incidents in message.crashes.items()
            if self.crashes.merge(digest, incidents)
        ]
        if banned_digests:
            self.observer.crashes.record_banned_requests(
                banned_digests, self.crashes.n_banned, message.node_id
            )
        self._merge_sent_parts(message)
        self._merge_leaving(message)
        self._merge_rate_limits(message, now)
        banned_parts = self.crashing_parts.merge(message.suspect_parts, message.sound_parts, now)
        self.observer.crashes.record_banned_parts(banned_parts)
        if banned_digests or banned_parts:
            self.bans.on_change()
        self.upgrades.merge_reports(message.upgrades, now)
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

    def _merge_sent_parts(self, message: GossipMessage) -> None:
        """Record the prompt parts that a peer gateway sent to upstreams as cached there."""
        config = self.tables.config
        for sent in message.parts:
            row = self.tables.upstreams.get(sent.upstream_id)
            service = config and row and config.services.get(row.service)
            if service:
                load = self.tables.get_load(sent.upstream_id)
                record_parts(load, sent.model, sent.parts, service.memory_tokens)
