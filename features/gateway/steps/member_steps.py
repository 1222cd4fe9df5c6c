"""Steps for the gossip of many gateways, simulated in virtual time."""

import random

from behave import given, then, when

from crocusvalve.base import NodeId, UpstreamId
from crocusvalve.gateway.decisions._cold_start import compute_cold_quota
from crocusvalve.gateway.shared._gossip_message import GossipMessage
from crocusvalve.gateway.shared._peers import PeerTable

ROUND_S = 0.4
N_MEMBERS = 20


class GossipSimulation:
    """Gateways that exchange gossip, all in one thread and in virtual time."""

    def __init__(self, n_gateways, n_targets, loss):
        self.rng = random.Random(11)
        self.n_targets = n_targets
        self.loss = loss
        self.tables = {
            f"127.0.0.{number}": PeerTable(NodeId(f"gateway-{number:03d}"), f"127.0.0.{number}")
            for number in range(1, n_gateways + 1)
        }
        seeds = list(self.tables)[:3]
        for table in self.tables.values():
            table.add_hosts(seeds, 0.0)
        self.now = 0.0

    def run(self, span_s):
        """Let all gateways send their messages, round by round."""
        end = self.now + span_s
        while self.now < end:
            for host, table in list(self.tables.items()):
                at = self.now + self.rng.uniform(0.0, ROUND_S)
                self._send(host, table, at)
            self.now += ROUND_S

    def _send(self, host, table, at):
        message = GossipMessage(
            node_id=table.node_id,
            boot_id="b",
            host=host,
            members=table.sample_members(N_MEMBERS, self.rng, at),
        )
        hosts = table.list_hosts(at)
        for target in self.rng.sample(hosts, min(self.n_targets, len(hosts))):
            if target in self.tables and self.rng.random() >= self.loss:
                self.tables[target].update_peer(message, at)

    def kill(self):
        """Remove a gateway and return its id."""
        host = next(iter(self.tables))
        return self.tables.pop(host).node_id


@given(
    "{n:d} gateways that each send to {n_targets:d} others every 0.4 s, "
    "of which 1 datagram in {loss:d} is lost"
)
def given_many_gateways(context, n, n_targets, loss):
    context.simulation = GossipSimulation(n, n_targets, 1 / loss)


@when("they run for {span_s:d} s and one of them is killed")
def when_one_killed(context, span_s):
    context.simulation.run(span_s)
    context.killed = context.simulation.kill()


@when("they gossip for {span_s:d} s")
def when_gossip(context, span_s):
    context.simulation.run(span_s)


@then("each one knows at least {share:d} in 100 of the others")
def then_known(context, share):
    simulation = context.simulation
    n_others = len(simulation.tables) - 1
    counts = [len(table.list_alive(simulation.now)) for table in simulation.tables.values()]
    assert min(counts) >= share / 100 * n_others, sorted(counts)[:5]


@then("no gateway knows it {span_s:d} s later")
def then_forgotten(context, span_s):
    simulation = context.simulation
    simulation.run(span_s)
    knowing = [
        table.node_id
        for table in simulation.tables.values()
        if context.killed in table.list_alive(simulation.now)
    ]
    assert not knowing, knowing


@then(
    "together they may send at most {n:d} requests per second "
    "to a cold upstream that can handle {rate:g}"
)
def then_cold_total(context, n, rate):
    simulation = context.simulation
    total = sum(
        compute_cold_quota(
            rate, UpstreamId("u1"), table.node_id, table.list_active_nodes(simulation.now)
        )
        for table in simulation.tables.values()
    )
    assert 0 < total <= n, total
