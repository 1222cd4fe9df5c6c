"""Choice of the gateways that get gossip in one round."""

import math
import random
from collections.abc import Mapping, Sequence

from msgspec import Struct

from crocusvalve.base import DomainId

__all__ = ["MAX_GOSSIP_PEERS", "TargetQuery", "Targets", "choose_targets"]

#: Maximum number of gateways that get gossip in one round.
MAX_GOSSIP_PEERS = 6
#: Maximum number of them in the own failure domain, if there are more others than that in all.
MAX_OWN_DOMAIN_PEERS = 5
#: Further gateways that get gossip in one round since they lack final facts.
MAX_BEHIND_PEERS = 2
#: Until it has run for this long, a gateway knows few members and their failure domains.
START_S = 3.0


class Targets(Struct, frozen=True):
    """Hosts that get gossip in one round.

    Attributes
    ----------
    inside : sequence of str
        Hosts of the own failure domain.
    outside : sequence of str
        All other hosts.
    summarised : frozenset of str
        Those outside that get the sums of the own failure domain in place of this gateway's loads.
        With at most ``MAX_GOSSIP_PEERS`` others there are none, since each hears from all. A host
        without a known failure domain isn't among them: an earlier release can't read the sums.
    """

    inside: Sequence[str]
    outside: Sequence[str]
    summarised: frozenset[str] = frozenset()


class TargetQuery(Struct, frozen=True, kw_only=True):
    """What the choice of targets depends on.

    Attributes
    ----------
    host : str
        Host of this gateway.
    domain : DomainId
        Failure domain of this gateway; empty if it is unknown.
    domains : mapping of str to DomainId
        Failure domain of each other gateway by host; empty if it is unknown.
    round_number : int
        Number of the round; it increases by one in each round.
    uptime_s : float
        Time since the start of this gateway, in seconds.
    is_heard : bool
        Whether this gateway has lately heard from another one.
    behind : sequence of str
        Hosts whose last messages showed that they lack final facts, or have others.
    """

    host: str
    domain: DomainId
    domains: Mapping[str, DomainId]
    round_number: int
    uptime_s: float
    is_heard: bool
    behind: Sequence[str] = ()


def choose_targets(query: TargetQuery, random_state: random.Random) -> Targets:
    """Return the hosts that get gossip in a round.

    Load that it answers: a message to another failure domain is dear, and with dozens of gateways
    six at random leave one out for several seconds. Each sender goes through its failure domain and
    through the others in turn; senders of a failure domain start at different hosts, so that those
    of another one hear from it evenly. A gateway that has just started would hear from the few that
    know it seldom, so those that hear it lacks final facts answer it.
    """
    targets = _choose_in_turn(query, random_state)
    chosen = {*targets.inside, *targets.outside}
    behind = sorted(set(query.behind) & set(query.domains) - chosen)
    if not behind:
        return targets
    behind = random_state.sample(behind, min(MAX_BEHIND_PEERS, len(behind)))
    return _divide(query, [*targets.inside, *targets.outside, *behind])


def _choose_in_turn(query: TargetQuery, random_state: random.Random) -> Targets:
    domains = query.domains
    if len(domains) <= MAX_GOSSIP_PEERS:
        return _divide(query, sorted(domains))
    if not query.domain or query.uptime_s < START_S or not query.is_heard:
        return _divide(query, random_state.sample(sorted(domains), MAX_GOSSIP_PEERS))
    own = sorted({query.host, *(host for host, name in domains.items() if name == query.domain)})
    rank = own.index(query.host)
    ring = own[rank + 1 :] + own[:rank]
    n_inside = min(len(ring), MAX_OWN_DOMAIN_PEERS)
    first = query.round_number * n_inside
    inside = [ring[(first + n) % len(ring)] for n in range(n_inside)]
    groups: dict[DomainId, list[str]] = {}
    for host in sorted(set(domains) - set(own)):
        groups.setdefault(domains[host], []).append(host)
    n_outside = min(MAX_GOSSIP_PEERS - n_inside, sum(map(len, groups.values())))
    outside = _choose_outside(
        [groups[name] for name in sorted(groups)], n_outside, rank, len(own), query.round_number
    )
    rest = sorted(set(domains) - set(outside) - set(own))
    outside += random_state.sample(rest, n_outside - len(outside))
    return Targets(inside, outside, _choose_summarised(query, outside))


def _divide(query: TargetQuery, hosts: Sequence[str]) -> Targets:
    """Return hosts as targets, by whether they are of the own failure domain."""
    is_inside = {host: bool(query.domain) and query.domains[host] == query.domain for host in hosts}
    outside = [host for host in hosts if not is_inside[host]]
    return Targets(
        [host for host in hosts if is_inside[host]], outside, _choose_summarised(query, outside)
    )


def _choose_summarised(query: TargetQuery, outside: Sequence[str]) -> frozenset[str]:
    if not query.domain or len(query.domains) <= MAX_GOSSIP_PEERS:
        return frozenset()
    return frozenset(host for host in outside if query.domains[host])


def _choose_outside(
    groups: Sequence[Sequence[str]], n_hosts: int, rank: int, n_senders: int, round_number: int
) -> list[str]:
    """Return distinct hosts of other failure domains, at most ``n_hosts``.

    Parameters
    ----------
    groups : sequence of sequence of str
        Hosts by failure domain.
    rank : int
        Position of the sender among the gateways of its failure domain.
    n_senders : int
        Number of gateways of its failure domain.
    """
    chosen: list[str] = []
    for slot in range(round_number * n_hosts, (round_number + 1) * n_hosts):
        visit, number = divmod(slot + rank % len(groups), len(groups))
        hosts = groups[number]
        # In one visit of a failure domain the senders together reach ``n_senders`` successive
        # hosts. A step without a common divisor with the number of hosts takes each sender to all.
        step = n_senders % len(hosts) or 1
        while math.gcd(step, len(hosts)) != 1:
            step += 1
        host = hosts[(rank + visit * step) % len(hosts)]
        if host not in chosen:
            chosen.append(host)
    return chosen
