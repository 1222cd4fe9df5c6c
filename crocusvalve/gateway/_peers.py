"""Gossip messages between gateways, and the table of gateways that are alive."""

from collections.abc import Iterable

from msgspec import Struct, field

from crocusvalve.base import NodeId, UpstreamId
from crocusvalve.gateway._closures import UpstreamRun
from crocusvalve.gateway._outcome_counts import OutcomeCountsRow
from crocusvalve.gateway.base import PrefixPart, ServiceName, VersionName

__all__ = ["GossipMessage", "PeerTable", "SentPromptParts", "UpgradeReport"]

#: A gateway without a message for this long counts as unavailable; it sends several a second.
PEER_TIMEOUT_S = 3.0
#: A report of silent upstreams is used for this long.
SILENCE_EXPIRY_S = 1.5
#: A host without a message for this long is removed and gets no more gossip.
HOST_EXPIRY_S = 30.0
#: Maximum number of hosts listed in one message.
MAX_GOSSIP_HOSTS = 64


class SentPromptParts(Struct, frozen=True, array_like=True):
    """Parts of a prompt sent to an upstream that other prompts may share.

    Attributes
    ----------
    sent_at : float
        Time of the send in seconds, by the clock of the gateway that sent the prompt.
    upstream_id : UpstreamId
        The upstream that got the prompt.
    model : str
        The model that the prompt was sent to.
    parts : tuple of PrefixPart
        The shared parts, in the order of the prompt.
    """

    sent_at: float
    upstream_id: UpstreamId
    model: str
    parts: tuple[PrefixPart, ...]


class UpgradeReport(Struct, frozen=True, kw_only=True, array_like=True):
    """Status of a service's upgrade as a gateway knows it; see ``UpgradeStatus``."""

    service: ServiceName
    version: VersionName
    state: str
    share: float
    started_s: float


class GossipMessage(Struct, frozen=True, kw_only=True, array_like=True):
    """State of one gateway; each message is complete and replaces the one before.

    Attributes
    ----------
    node_id : NodeId
        Identifier of the gateway.
    boot_id : str
        Identifier of this run of the gateway's process.
    host : str
        Host on which the gateway receives gossip and serves table copies.
    n_inflight : dict
        Number of requests in flight by upstream.
    outcome_counts : tuple of OutcomeCountsRow
        The gateway's counts of answers and failures.
    crashes : dict
        Crash incidents by digest of the request that caused them.
    hosts : tuple of str
        Hosts of gateways from which the gateway recently received gossip.
    pending_work : dict
        Weighted prompt tokens not yet processed, by upstream.
    parts : tuple of SentPromptParts
        Prompt parts recently sent to upstreams.
    is_leaving : bool
        Whether the gateway is stopping.
    has_store : bool
        Whether the gateway reaches the store.
    leaving : tuple of UpstreamRun
        Upstreams that have said that they are about to stop.
    silent : tuple of UpstreamRun
        Upstreams to which the gateway recently could open no connection, or that crashed.
    upgrades : tuple of UpgradeReport
        Status of the operators' current upgrade orders.
    """

    node_id: NodeId
    boot_id: str
    host: str
    n_inflight: dict[str, int] = field(default_factory=dict)
    outcome_counts: tuple[OutcomeCountsRow, ...] = ()
    crashes: dict[str, list[str]] = field(default_factory=dict)
    hosts: tuple[str, ...] = ()
    pending_work: dict[str, int] = field(default_factory=dict)
    parts: tuple[SentPromptParts, ...] = ()
    is_leaving: bool = False
    has_store: bool = True
    leaving: tuple[UpstreamRun, ...] = ()
    upgrades: tuple[UpgradeReport, ...] = ()
    silent: tuple[UpstreamRun, ...] = ()


class _Peer(Struct):
    """Last message of a gateway and the local time of its receipt in seconds."""

    message: GossipMessage
    received_at: float


class PeerTable:
    """Last gossip message of each peer gateway, and the hosts to send gossip to.

    Parameters
    ----------
    node_id : NodeId
        Identifier of this gateway.
    host : str
        Host of this gateway.
    """

    def __init__(self, node_id: NodeId, host: str):
        self.node_id = node_id
        self.host = host
        self._peers: dict[NodeId, _Peer] = {}
        self._hosts: dict[str, float] = {}

    def update_peer(self, message: GossipMessage, now: float) -> bool:
        """Store a gateway's message; return whether the gateway was unknown or had timed out."""
        if message.node_id == self.node_id:
            return False
        previous = self._peers.get(message.node_id)
        is_new = previous is None or now - previous.received_at > PEER_TIMEOUT_S
        self._peers[message.node_id] = _Peer(message, now)
        self._hosts[message.host] = now
        self.add_hosts(message.hosts, now)
        return is_new

    def add_hosts(self, hosts: Iterable[str], now: float) -> None:
        """Add hosts on which gateways may run."""
        for host in hosts:
            if host != self.host:
                self._hosts.setdefault(host, now)

    def list_hosts(self, now: float) -> list[str]:
        """Return the hosts to send gossip to, after removing those without a recent message."""
        for host in [
            host for host, seen_at in self._hosts.items() if now - seen_at > HOST_EXPIRY_S
        ]:
            del self._hosts[host]
        return list(self._hosts)

    def list_alive(self, now: float) -> list[GossipMessage]:
        """Return the last message of each peer gateway that is alive."""
        return [
            peer.message
            for peer in self._peers.values()
            if now - peer.received_at <= PEER_TIMEOUT_S
        ]

    def list_alive_hosts(self, now: float) -> tuple[str, ...]:
        """Return the hosts of peers that are alive, for this gateway's own gossip."""
        return tuple(message.host for message in self.list_alive(now))[:MAX_GOSSIP_HOSTS]

    def list_copy_sources(self, now: float) -> list[str]:
        """Return the hosts to ask for table copies.

        These are the hosts of peers that reach the store, or of all peers if none does.
        """
        alive = self.list_alive(now)
        return [message.host for message in alive if message.has_store] or [
            message.host for message in alive
        ]

    def has_accepting_peer(self, now: float) -> bool:
        """Return whether a peer gateway is alive and not stopping."""
        return any(not message.is_leaving for message in self.list_alive(now))

    def list_active_nodes(self, now: float) -> list[NodeId]:
        """Return the gateways that may send requests, including this one."""
        return sorted({self.node_id, *(message.node_id for message in self.list_alive(now))})

    def is_leader(self, now: float) -> bool:
        """Return whether this gateway has the lowest node id of those that reach the store.

        Two gateways may consider themselves leader at the same time, so a leader only makes
        conditional writes.
        """
        remote = (
            message
            for message in self.list_alive(now)
            if message.has_store and not message.is_leaving
        )
        return all(self.node_id < message.node_id for message in remote)

    def count_silent(self, now: float) -> dict[UpstreamRun, int]:
        """Return by how many peers each upstream was recently reported as silent."""
        counts: dict[UpstreamRun, int] = {}
        for peer in self._peers.values():
            if now - peer.received_at <= SILENCE_EXPIRY_S:
                for run in peer.message.silent:
                    counts[run] = counts.get(run, 0) + 1
        return counts

    def sum_peer_loads(self, now: float) -> tuple[dict[str, int], dict[str, int]]:
        """Return the peers' total requests in flight and pending work, by upstream."""
        n_inflight: dict[str, int] = {}
        work: dict[str, int] = {}
        for message in self.list_alive(now):
            for total, reported in ((n_inflight, message.n_inflight), (work, message.pending_work)):
                for upstream_id, n in reported.items():
                    total[upstream_id] = total.get(upstream_id, 0) + n
        return n_inflight, work
