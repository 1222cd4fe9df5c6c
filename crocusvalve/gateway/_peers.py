"""What gateways tell each other, and which of them are alive."""

from collections.abc import Iterable

from msgspec import Struct, field

from crocusvalve.base import NodeId, UpstreamId
from crocusvalve.gateway._outcome_counts import OutcomeCountsRow
from crocusvalve.gateway.base import PrefixPart

__all__ = ["PeerNews", "PeerTable", "ToldParts"]

#: A gateway that was not heard for this long counts as gone; it tells news several times a second.
ALIVE_S = 3.0
#: A host that was not heard for this long is told no news.
FORGET_S = 30.0
#: Hosts named in one message.
MAX_HOSTS = 64


class ToldParts(Struct, frozen=True, array_like=True):
    """Shared parts of a prompt that was sent to an upstream at a time of the teller's clock."""

    at: float
    upstream_id: UpstreamId
    model: str
    parts: tuple[PrefixPart, ...]


class PeerNews(Struct, frozen=True, kw_only=True, array_like=True):
    """News of one gateway; each message holds all of it.

    Attributes
    ----------
    boot : str
        Identity of the process's run.
    inflight : dict
        Requests in flight by upstream.
    outcome_counts : tuple of OutcomeCountsRow
        Its counts of answers and failures.
    crashes : dict
        Incidents by digest of a request that crashes upstreams.
    hosts : tuple of str
        Gateways that it heard lately.
    pending_work : dict
        Work of prompts that are still to be read, by upstream.
    parts : tuple of ToldParts
        Prompts sent lately.
    is_leaving : bool
        Whether it is stopping.
    has_store : bool
        Whether it reaches the store.
    """

    node_id: NodeId
    boot: str
    host: str
    inflight: dict[str, int] = field(default_factory=dict)
    outcome_counts: tuple[OutcomeCountsRow, ...] = ()
    crashes: dict[str, list[str]] = field(default_factory=dict)
    hosts: tuple[str, ...] = ()
    pending_work: dict[str, int] = field(default_factory=dict)
    parts: tuple[ToldParts, ...] = ()
    is_leaving: bool = False
    has_store: bool = True


class _Peer(Struct):
    news: PeerNews
    heard_at: float


class PeerTable:
    """Gateways heard, by node.

    Parameters
    ----------
    node_id : NodeId
        This gateway.
    host : str
        Its host.
    """

    def __init__(self, node_id: NodeId, host: str):
        self.node_id = node_id
        self.host = host
        self._peers: dict[NodeId, _Peer] = {}
        self._hosts: dict[str, float] = {}

    def take(self, news: PeerNews, now: float) -> bool:
        """Take news of a gateway; tell whether it had not been alive."""
        if news.node_id == self.node_id:
            return False
        known = self._peers.get(news.node_id)
        is_new = known is None or now - known.heard_at > ALIVE_S
        self._peers[news.node_id] = _Peer(news, now)
        self._hosts[news.host] = now
        self.add_hosts(news.hosts, now)
        return is_new

    def add_hosts(self, hosts: Iterable[str], now: float) -> None:
        """Take hosts on which gateways may run."""
        for host in hosts:
            if host != self.host:
                self._hosts.setdefault(host, now)

    def list_hosts(self, now: float) -> list[str]:
        """Return the hosts to tell news to; those silent for long are forgotten."""
        for host in [host for host, at in self._hosts.items() if now - at > FORGET_S]:
            del self._hosts[host]
        return list(self._hosts)

    def list_alive(self, now: float) -> list[PeerNews]:
        """Return the newest news of each gateway that is alive, without this one."""
        return [peer.news for peer in self._peers.values() if now - peer.heard_at <= ALIVE_S]

    def list_alive_hosts(self, now: float) -> tuple[str, ...]:
        """Return hosts of gateways that are alive, to be passed on."""
        return tuple(news.host for news in self.list_alive(now))[:MAX_HOSTS]

    def list_informed_hosts(self, now: float) -> list[str]:
        """Return hosts of gateways that reach the store, or of all where none does."""
        alive = self.list_alive(now)
        return [news.host for news in alive if news.has_store] or [news.host for news in alive]

    def has_open_peer(self, now: float) -> bool:
        """Tell whether another gateway is alive and doesn't stop."""
        return any(not news.is_leaving for news in self.list_alive(now))

    def list_nodes(self, now: float) -> list[NodeId]:
        """Return the gateways that may send requests, this one included."""
        return sorted({self.node_id, *(news.node_id for news in self.list_alive(now))})

    def is_leader(self, now: float) -> bool:
        """Tell whether this gateway is the first by name of those that reach the store.

        Two may think so at the same time; what they write is therefore conditional.
        """
        others = (news for news in self.list_alive(now) if news.has_store and not news.is_leaving)
        return all(self.node_id < news.node_id for news in others)

    def sum_loads(self, now: float) -> tuple[dict[str, int], dict[str, int]]:
        """Return the others' requests in flight and pending work, by upstream."""
        inflight: dict[str, int] = {}
        work: dict[str, int] = {}
        for news in self.list_alive(now):
            for total, told in ((inflight, news.inflight), (work, news.pending_work)):
                for upstream_id, n in told.items():
                    total[upstream_id] = total.get(upstream_id, 0) + n
        return inflight, work
