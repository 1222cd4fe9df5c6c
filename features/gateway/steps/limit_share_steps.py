"""Steps for the gateways' shares of a limit, in virtual time."""

import random

from behave import given, then, when

from crocusvalve.base import UpstreamId
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.decisions._rate_limits import RateLimitReport
from crocusvalve.gateway.decisions._return_schedule import ReturnSchedule
from crocusvalve.platform import PlatformHeaderCodec
from features.gateway.gateway_harness import make_gateway

ROUND_S = 0.4
N_TARGETS = 6
STEP_S = 0.02
SPAN_S = 4.0
#: The users' time from the first answer with a limit until it binds.
CONTACT_S = 3.0
RUN = UpstreamRun(UpstreamId("u1"), 1)


class LimitSimulation:
    """Gateways that send requests to one upstream whose answers name a limit."""

    def __init__(self, n, rate_per_s):
        self.rng = random.Random(5)
        self.rate_per_s = rate_per_s
        self.now = 100.0
        self.gateways = [make_gateway(number) for number in range(n)]
        self.loads = [self.rng.uniform(0.2, 3.0) for _ in range(n)]
        self.sends_at = [self.now + self.rng.uniform(0.0, ROUND_S) for _ in range(n)]
        self.cut_off = None
        self.sent = []

    def run(self, wanted_per_s, span_s):
        """Let requests arrive at the gateways, and let these send them and gossip."""
        until = self.now + span_s
        while self.now < until:
            self.now += STEP_S
            for number in range(len(self.gateways)):
                share = self.loads[number] / sum(self.loads)
                if self.rng.random() < STEP_S * wanted_per_s * share:
                    self._send_request(number)
                if self.sends_at[number] <= self.now:
                    self.sends_at[number] += ROUND_S
                    self._gossip(number)

    def _send_request(self, number):
        tables = self.gateways[number].tables
        tables.request_rate.record_request(self.now)
        if tables.rate_limits.get_next_at(RUN, self.now) <= self.now:
            tables.rate_limits.record_send(RUN, self.now)
            tables.rate_limits.record_answer(RUN, self.rate_per_s, self.now)
            if number != self.cut_off:
                self.sent.append(self.now)

    def _gossip(self, number):
        message = self.gateways[number].gossip.make_message(self.now)
        others = [n for n in range(len(self.gateways)) if n != number]
        for other in self.rng.sample(others, min(N_TARGETS, len(others))):
            if self.cut_off not in (number, other):
                self.gateways[other].peers.update_peer(message, self.now)
                self.gateways[other].gossip.merge(message, self.now)

    def restart(self, number):
        """Replace a gateway by one that knows nothing."""
        self.gateways[number] = make_gateway(number)


@given("{n:d} gateways with uneven load and an upstream that takes {rate:g} requests per second")
def given_gateways(context, n, rate):
    context.simulation = LimitSimulation(n, rate)
    for gateway in context.simulation.gateways:
        gateway.tables.rate_limits.record_answer(RUN, None, 0.0)
    context.simulation.run(5.0, 3.0)
    context.simulation.sent.clear()


@when("they want to send it {wanted:d} requests per second for {span_s:d} s, {event}")
def when_sending(context, wanted, span_s, event):
    simulation = context.simulation
    context.started_at = simulation.now
    for quarter in range(4):
        if event == "and one after the other restarts":
            simulation.restart(quarter % len(simulation.gateways))
        elif event == "and one is cut off for 10 s":
            simulation.cut_off = 0 if quarter == 1 else None
        elif event == "and the load moves to one of them" and quarter == 2:
            simulation.loads = [20.0 if n == 0 else 0.1 for n in range(len(simulation.loads))]
        simulation.run(wanted, span_s / 4)
    context.span_s = span_s


@then("it gets at most one and a half times its limit and 5 requests in any 4 s")
def then_within_limit(context):
    simulation = context.simulation
    times = [at for at in simulation.sent if at >= context.started_at + CONTACT_S]
    n_most = max(sum(start <= at < start + SPAN_S for at in times) for start in times)
    assert n_most <= 1.5 * SPAN_S * simulation.rate_per_s + 5, n_most


@then("it gets at least half of the requests that it takes")
def then_used(context):
    simulation = context.simulation
    n_taken = simulation.rate_per_s * context.span_s
    assert len(simulation.sent) >= n_taken / 2, (len(simulation.sent), n_taken)


@when("an upstream's answer names the limit {value}")
def when_header(context, value):
    headers = [(b"server-limit", value.encode())]
    context.limit = PlatformHeaderCodec().read_reply(200, headers).rate_limit_per_s


@then("the limit is read as {limit}")
def then_read(context, limit):
    assert str(context.limit) == limit, context.limit


@given(
    "a gateway knows by an answer 1.0 s ago that an upstream takes {known:g} requests per second"
)
def given_known(context, known):
    context.limits = make_gateway(1).tables.rate_limits
    context.limits.record_answer(RUN, known, 99.0)


@when("a peer reports {reported} by an answer {age_s:g} s ago")
def when_peer_reports(context, reported, age_s):
    rate_per_s = None if reported == "no limit" else float(reported)
    report = RateLimitReport(RUN, rate_per_s, round(1000 * age_s))
    context.limits.merge((report,), 100.0)


@then("the limit is {result}")
def then_limit(context, result):
    assert str(context.limits.get_rate(RUN)) == result, context.limits.get_rate(RUN)


@given("{n:d} upstreams have named limits to a gateway")
def given_many_limits(context, n):
    context.first, context.second = make_gateway(1), make_gateway(2)
    context.runs = [UpstreamRun(UpstreamId(f"u{number}"), 1) for number in range(n)]
    for run in context.runs:
        context.first.tables.rate_limits.record_answer(run, 1.0, 0.0)
    for _ in range(20):
        context.first.gossip.make_message(1.0)


@when("a gateway that has started since gets {n:d} messages of that one")
def when_limit_messages(context, n):
    for _ in range(n):
        context.second.gossip.merge(context.first.gossip.make_message(2.0), 2.0)


@then("it knows all of the limits")
def then_limits_known(context):
    limits = context.second.tables.rate_limits
    assert all(limits.get_rate(run) == 1.0 for run in context.runs)


@given("the address of upstream one belongs to another upstream")
def given_other_address(context):
    context.harness.upstreams["one"].upstream_id = "another"


@then("no upstream has a limit")
def then_no_limit(context):
    assert context.harness.gateway.tables.rate_limits.n_active == 0


@given(
    "a service whose upstreams take a request every {interval_s:g} s, the next one in {next_s:g} s"
)
def given_schedule(context, interval_s, next_s):
    context.schedule = ReturnSchedule()
    context.interval_s, context.next_at = interval_s, next_s


@when("{n:d} callers come at 0.0 s")
def when_callers(context, n):
    context.told = [
        context.schedule.book(context.next_at, context.interval_s, 0.0) for _ in range(n)
    ]


@then("they are told to return at {times} s")
def then_told(context, times):
    expected = [float(text) for text in times.replace(" and", ",").split(", ")]
    assert [round(at, 3) for at in context.told] == expected, context.told


@then("a further caller that comes at {at:g} s is not served before them")
def then_not_served(context, at):
    assert not context.schedule.take(None, context.interval_s, at)


@then("the one that returns at {at:g} s is served")
def then_served(context, at):
    assert context.schedule.take(None, context.interval_s, at)


@then("one that comes at {at:g} s is served")
def then_late_served(context, at):
    assert context.schedule.take(None, context.interval_s, at)
