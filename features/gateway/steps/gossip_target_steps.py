"""Steps for the choice of the gateways that get gossip, and for the slot of learned speeds."""

import random

import msgspec
from behave import given, then, when

from crocusvalve.base import DomainId, NodeId, UpstreamId
from crocusvalve.gateway.decisions._capacity import SpeedReport
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.shared._gossip_message import GossipMessage
from crocusvalve.gateway.shared._gossip_targets import TargetQuery, choose_targets
from crocusvalve.gateway.shared._peers import PeerTable
from features.gateway.gateway_harness import make_gateway

STATES = {
    "2.9 s after its start": {"uptime_s": 2.9},
    "though it hears from nobody": {"is_heard": False},
    "without a failure domain": {"domain": DomainId("")},
}


class TargetRounds:
    """Targets that gateways choose in successive rounds.

    Attributes
    ----------
    rounds : dict of str to list of Targets
        Choices by host.
    """

    def __init__(self, n, n_domains):
        self.rng = random.Random(3)
        self.domains = {
            f"127.0.1.{number}": DomainId(f"domain-{number % n_domains}") for number in range(n)
        }
        self.rounds = {}

    def run(self, host, n_rounds, **changes):
        """Let a gateway choose its targets."""
        query = TargetQuery(
            host=host,
            domain=self.domains[host],
            domains={other: name for other, name in self.domains.items() if other != host},
            round_number=0,
            uptime_s=100.0,
            is_heard=True,
        )
        query = msgspec.structs.replace(query, **changes)
        self.rounds[host] = [
            choose_targets(msgspec.structs.replace(query, round_number=1000 + n), self.rng)
            for n in range(n_rounds)
        ]

    def list_unreached(self, sent, wanted, n_rounds):
        """Return the wanted hosts that some run of successive rounds doesn't reach.

        Parameters
        ----------
        sent : list of set of str
            Hosts reached by round.
        """
        missing = set()
        for start in range(len(sent) - n_rounds + 1):
            missing |= wanted - set().union(*sent[start : start + n_rounds])
        return missing

    def list_others(self, domain):
        """Return the hosts outside a failure domain."""
        return {host for host, name in self.domains.items() if name != domain}


@given("{n:d} gateways in {n_domains:d} failure domains")
def given_domains(context, n, n_domains):
    context.targets = TargetRounds(n, n_domains)


@when("each one chooses its targets for {n:d} rounds")
def when_all_choose(context, n):
    for host in context.targets.domains:
        context.targets.run(host, n)


@when("a gateway chooses its targets for {n:d} rounds {state}")
def when_one_chooses(context, n, state):
    context.targets.run(next(iter(context.targets.domains)), n, **STATES[state])


@then("each round has all others")
def then_all_others(context):
    hosts = set(context.targets.domains)
    for host, rounds in context.targets.rounds.items():
        for targets in rounds:
            assert sorted([*targets.inside, *targets.outside]) == sorted(hosts - {host})


@then("each round has {n:d} hosts in all and together they are all others")
def then_random(context, n):
    for host, rounds in context.targets.rounds.items():
        assert all(len({*each.inside, *each.outside}) == n for each in rounds)
        reached = {target for each in rounds for target in (*each.inside, *each.outside)}
        assert reached == set(context.targets.domains) - {host}


@then("each round has six hosts, five of the own failure domain or all if it has fewer")
def then_counts(context):
    domains = context.targets.domains
    for host, rounds in context.targets.rounds.items():
        n_others = len(context.targets.list_others(domains[host]))
        n_inside = min(5, len(domains) - n_others - 1)
        for targets in rounds:
            assert len(set(targets.inside)) == len(targets.inside) == n_inside, targets
            assert len(set(targets.outside)) == len(targets.outside), targets
            assert len(targets.outside) == min(6 - n_inside, n_others), targets
            assert host not in targets.inside
            assert {domains[target] for target in targets.inside} == {domains[host]}
            assert domains[host] not in {domains[target] for target in targets.outside}


@then("each one reaches every host of its failure domain within {n:d} rounds")
def then_inside(context, n):
    targets = context.targets
    for host, rounds in targets.rounds.items():
        wanted = set(targets.domains) - targets.list_others(targets.domains[host]) - {host}
        missing = targets.list_unreached([set(each.inside) for each in rounds], wanted, n)
        assert not missing, (host, missing)


@then("each one reaches every other host within {n:d} rounds")
def then_outside(context, n):
    targets = context.targets
    for host, rounds in targets.rounds.items():
        wanted = targets.list_others(targets.domains[host])
        missing = targets.list_unreached([set(each.outside) for each in rounds], wanted, n)
        assert not missing, (host, missing)


@then("each failure domain reaches every other host within {n:d} rounds")
def then_domain_outside(context, n):
    targets = context.targets
    for domain in set(targets.domains.values()):
        senders = [host for host, name in targets.domains.items() if name == domain]
        n_rounds = len(targets.rounds[senders[0]])
        sent = [
            {target for host in senders for target in targets.rounds[host][number].outside}
            for number in range(n_rounds)
        ]
        missing = targets.list_unreached(sent, targets.list_others(domain), n)
        assert not missing, (domain, missing)


@given("a table of peers with a heard gateway, a seed and a gateway that is silent for 5 s")
def given_table(context):
    context.peers = PeerTable(NodeId("gateway-0"), "127.0.1.0")
    context.peers.add_hosts(["127.0.1.3"], 100.0)
    for number, at in ((1, 100.0), (2, 95.0)):
        message = GossipMessage(
            node_id=NodeId(f"gateway-{number}"),
            boot_id="b",
            host=f"127.0.1.{number}",
            domain=DomainId("domain-0"),
        )
        context.peers.update_peer(message, at)


@then("only the heard gateway has a failure domain")
def then_one_domain(context):
    domains = context.peers.list_host_domains(100.0)
    assert domains == {"127.0.1.1": "domain-0", "127.0.1.2": "", "127.0.1.3": ""}, domains


@given("two gateways, of which the first knows the speed of an upstream")
def given_speed(context):
    context.report = SpeedReport(UpstreamRun(UpstreamId("u1"), 1), 0.875, 12.0, 400)
    context.first, context.second = make_gateway(1).gossip, make_gateway(2).gossip
    context.first.list_speeds = lambda now: [context.report]
    context.merged = []
    context.second.merge_speeds = lambda *args: context.merged.append(args)


@when("the second one gets a message of the first one")
def when_message(context):
    data = msgspec.msgpack.encode(context.first.make_message(100.0))
    context.second.merge(msgspec.msgpack.decode(data, type=GossipMessage), 100.1)


@then("it merges the speed as the first one's")
def then_merged(context):
    assert context.merged == [("gateway-1", (context.report,), 100.1)], context.merged
