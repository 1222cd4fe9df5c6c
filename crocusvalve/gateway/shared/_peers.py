"""Table of gateways that are alive, and of their last gossip messages."""

import random
from collections.abc import Iterable

from msgspec import Struct

from crocusvalve.base import DomainId, NodeId
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.shared._domain_loads import LOAD_EXPIRY_S, DomainLoads, DomainLoadTable
from crocusvalve.gateway.shared._gossip_message import GossipMessage, MemberReport, RunCounts
from crocusvalve.gateway.shared._sent_parts import PeerCounts
from crocusvalve.gateway.tables._replica import TablePosition

__all__ = ["PeerTable"]

UNKNOWN_DOMAIN = DomainId("")
#: A gateway without a message for this long, to any gateway as far as known, counts as unavailable.
PEER_TIMEOUT_S = 4.0
#: A report of silent upstreams is used for this long.
SILENCE_EXPIRY_S = 1.5
#: A gateway that lacks bans is answered within this time, which is a little more than a round.
ANSWER_S = 0.5
#: A host without a message for this long is removed and gets no more gossip.
HOST_EXPIRY_S = 30.0


class _Peer(Struct):
    """Last message of a gateway and the local time of its receipt in seconds."""

    message: GossipMessage
    received_at: float


class _Member(Struct, frozen=True):
    """A gateway and the local time in seconds of its last message to any gateway."""

    host: str
    seen_at: float
    is_leaving: bool
    has_store: bool
    domain: DomainId
    requests_per_s: float | None


class PeerTable:
    """Gateways that are alive, their last gossip messages, and the hosts to send gossip to.

    Load that it answers: each gateway sends to a few others at a time, so with dozens of gateways
    it hears from each one only every few seconds. Which gateways are alive is therefore passed on.

    Parameters
    ----------
    node_id : NodeId
        Identifier of this gateway.
    host : str
        Host of this gateway.
    domain : DomainId
        Failure domain of this gateway; empty if it is unknown.
    """

    def __init__(self, node_id: NodeId, host: str, domain: DomainId = UNKNOWN_DOMAIN):
        self.node_id = node_id
        self.host = host
        self.domain = domain
        self._domain_loads = DomainLoadTable(domain)
        self._peers: dict[NodeId, _Peer] = {}
        self._members: dict[NodeId, _Member] = {}
        self._hosts: dict[str, float] = {}

    def update_peer(self, message: GossipMessage, now: float) -> bool:
        """Store a gateway's message; return whether the gateway was unknown or had timed out."""
        if message.node_id == self.node_id:
            return False
        is_new = not self._is_alive(message.node_id, now)
        self._peers[message.node_id] = _Peer(message, now)
        self._members[message.node_id] = _Member(
            message.host,
            now,
            message.is_leaving,
            message.has_store,
            message.domain,
            message.requests_per_s,
        )
        for loads in message.domain_loads:
            self._domain_loads.merge(loads, now, is_passed_on=loads.domain != message.domain)
        for report in message.members:
            self._merge_member(report, now)
        self._hosts[message.host] = now
        self.add_hosts(message.hosts, now)
        return is_new

    def _merge_member(self, report: MemberReport, now: float) -> None:
        """Merge what a peer knows of a gateway, unless it is older than what is known here."""
        seen_at = now - max(0, report.age_ms) / 1000
        known = self._members.get(report.node_id)
        if report.node_id == self.node_id or (known is not None and known.seen_at >= seen_at):
            return
        rate = report.requests_per_ks / 1000 if report.requests_per_ks >= 0 else None
        if rate is None and known is not None:
            rate = known.requests_per_s
        self._members[report.node_id] = _Member(
            report.host, seen_at, report.is_leaving, report.has_store, report.domain, rate
        )
        if now - seen_at <= PEER_TIMEOUT_S:
            self._hosts[report.host] = max(seen_at, self._hosts.get(report.host, seen_at))

    def _is_alive(self, node_id: NodeId, now: float) -> bool:
        member = self._members.get(node_id)
        return member is not None and now - member.seen_at <= PEER_TIMEOUT_S

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

    def list_host_domains(self, now: float) -> dict[str, DomainId]:
        """Return the hosts to send gossip to, with the failure domain of the gateway on each.

        The failure domain is empty if it is unknown, or if the gateway isn't alive.
        """
        domains = dict.fromkeys(self.list_hosts(now), DomainId(""))
        for member in self.list_alive(now).values():
            if member.host in domains:
                domains[member.host] = member.domain
        return domains

    def has_recent(self, now: float) -> bool:
        """Return whether a message of a peer has arrived lately."""
        return bool(self._list_recent(now))

    def list_alive(self, now: float) -> dict[NodeId, _Member]:
        """Return the peer gateways that are alive; forgets those that have long been silent."""
        for node_id, member in list(self._members.items()):
            if now - member.seen_at > HOST_EXPIRY_S:
                del self._members[node_id]
                self._peers.pop(node_id, None)
        return {
            node_id: member
            for node_id, member in self._members.items()
            if now - member.seen_at <= PEER_TIMEOUT_S
        }

    def sample_members(
        self,
        n_members: int,
        random_state: random.Random,
        now: float,
        *,
        is_inside: bool | None = None,
        is_newest: bool = False,
    ) -> tuple[MemberReport, ...]:
        """Return a random part of the gateways that are alive, for this gateway's own gossip.

        Parameters
        ----------
        is_inside : bool or None
            Whether they are of this gateway's failure domain; None for all.
        is_newest : bool
            Whether those seen last are chosen, in place of random ones.
        """
        alive = [
            (node_id, member)
            for node_id, member in self.list_alive(now).items()
            if is_inside is None or is_inside == self._is_inside(member.domain)
        ]
        if is_newest:
            chosen = sorted(alive, key=lambda item: -item[1].seen_at)[:n_members]
        else:
            chosen = random_state.sample(alive, min(n_members, len(alive)))
        return tuple(
            MemberReport(
                node_id,
                member.host,
                round((now - member.seen_at) * 1000),
                member.is_leaving,
                member.has_store,
                member.domain,
                -1 if member.requests_per_s is None else round(member.requests_per_s * 1000),
            )
            for node_id, member in chosen
        )

    def list_copy_sources(self, now: float) -> list[str]:
        """Return the hosts to ask for table copies.

        These are the hosts of peers that reach the store, or of all peers if none does.
        """
        alive = self.list_alive(now).values()
        return [member.host for member in alive if member.has_store] or [
            member.host for member in alive
        ]

    def find_last_change(self, table: str, now: float) -> TablePosition | None:
        """Return the last change of a table that a peer has reported lately; None without one."""
        positions = (peer.message.positions.get(table) for peer in self._list_recent(now))
        return max((position for position in positions if position is not None), default=None)

    def list_messages(self, now: float) -> list[tuple[GossipMessage, float]]:
        """Return each live peer's last message and the local time of its receipt in seconds."""
        return [(peer.message, peer.received_at) for peer in self._list_recent(now)]

    def list_hosts_ahead(self, table: str, own: TablePosition, now: float) -> list[str]:
        """Return the hosts of peers that have lately reported a change after a position."""
        return [
            peer.message.host
            for peer in self._list_recent(now)
            if table in peer.message.positions and peer.message.positions[table] > own
        ]

    def list_request_rates(self, own_per_s: float, now: float) -> dict[NodeId, float]:
        """Return the requests per second of each active gateway, including this one.

        A gateway whose rate isn't known counts with the mean of the others.
        """
        rates = {node_id: member.requests_per_s for node_id, member in self.list_alive(now).items()}
        known = [own_per_s, *(rate for rate in rates.values() if rate is not None)]
        mean = sum(known) / len(known)
        return {node_id: mean if rate is None else rate for node_id, rate in rates.items()} | {
            self.node_id: own_per_s
        }

    def has_other_bans(self, fingerprint: int, now: float) -> bool:
        """Return whether a peer has lately reported that it refuses other requests."""
        reported = {peer.message.ban_fingerprint for peer in self._list_recent(now)}
        return bool(reported - {None, fingerprint})

    def list_hosts_behind(self, fingerprint: int | None, now: float) -> list[str]:
        """Return the hosts of peers that have just reported that they refuse other requests."""
        return [
            peer.message.host
            for peer in self._peers.values()
            if now - peer.received_at <= ANSWER_S
            and peer.message.ban_fingerprint not in (None, fingerprint)
        ]

    def _list_recent(self, now: float) -> list[_Peer]:
        return [peer for peer in self._peers.values() if now - peer.received_at <= PEER_TIMEOUT_S]

    def has_accepting_peer(self, now: float) -> bool:
        """Return whether a peer gateway is alive and not stopping."""
        return any(not member.is_leaving for member in self.list_alive(now).values())

    def list_active_nodes(self, now: float) -> list[NodeId]:
        """Return the gateways that may send requests, including this one."""
        return sorted({self.node_id, *self.list_alive(now)})

    def is_leader(self, now: float) -> bool:
        """Return whether this gateway has the lowest node id of those that reach the store.

        Two gateways may consider themselves leader at the same time, so a leader only makes
        conditional writes.
        """
        return all(
            self.node_id < node_id
            for node_id, member in self.list_alive(now).items()
            if member.has_store and not member.is_leaving
        )

    def count_silent(self, now: float) -> dict[UpstreamRun, int]:
        """Return by how many peers each upstream was recently reported as silent."""
        counts: dict[UpstreamRun, int] = {}
        for peer in self._peers.values():
            if now - peer.received_at <= SILENCE_EXPIRY_S:
                for run in peer.message.silent:
                    counts[run] = counts.get(run, 0) + 1
        return counts

    def _is_inside(self, domain: DomainId) -> bool:
        """Return whether a failure domain is the one of this gateway."""
        return bool(self.domain) and domain == self.domain

    def count_alive(self, now: float) -> PeerCounts:
        """Return the numbers of peers that are alive and of their failure domains."""
        domains = [member.domain for member in self.list_alive(now).values()]
        n_inside = sum(map(self._is_inside, domains))
        return PeerCounts(len(domains), n_inside, len(set(domains) - {self.domain}))

    def choose_domain_loads(self, n_domains: int, now: float) -> tuple[DomainLoads, ...]:
        """Return sums of other failure domains for the next message within the own one."""
        return self._domain_loads.choose(n_domains, now)

    def sum_domain_loads(
        self, n_inflight: dict[str, int], pending_work: dict[str, int], now: float
    ) -> DomainLoads:
        """Return the sums of this gateway's failure domain, to be told to other ones.

        Parameters
        ----------
        n_inflight, pending_work : dict
            Loads from this gateway by upstream.
        """
        reports = [(n_inflight, pending_work)]
        for message in self._list_load_reports(now):
            if self._is_inside(message.domain):
                reports.append((message.n_inflight, message.pending_work))
        return DomainLoads.add_up(self.domain, reports)

    def list_run_counts(self, now: float) -> tuple[RunCounts, ...]:
        """Return the outcome counts that peers of this failure domain have lately reported."""
        return tuple(
            RunCounts(f"{peer.message.node_id}#{peer.message.boot_id}", peer.message.outcome_counts)
            for peer in self._list_recent(now)
            if peer.message.outcome_counts and self._is_inside(peer.message.domain)
        )

    def _list_load_reports(self, now: float) -> list[GossipMessage]:
        return [
            peer.message for peer in self._peers.values() if now - peer.received_at <= LOAD_EXPIRY_S
        ]

    def sum_peer_loads(self, now: float) -> tuple[dict[str, int], dict[str, int]]:
        """Return the requests in flight and pending work, by upstream, of all peers.

        Each other failure domain counts with its last sums, or with its gateways' own reports if no
        sums were received lately. So no gateway counts twice.
        """
        reports = [
            (message.domain, message.n_inflight, message.pending_work)
            for message in self._list_load_reports(now)
        ]
        return self._domain_loads.add_up(reports, now)
