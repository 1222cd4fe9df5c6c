"""Steps for requests that crash upstreams, and for what gateways tell each other of them."""

import random

from behave import given, then, when

from features.gateway.gateway_harness import make_gateway

ROUND_S = 0.4
N_TARGETS = 6
N_CRASHES = 3


class CrashReportSimulation:
    """Gateways that exchange gossip in virtual time, some of its datagrams lost.

    Attributes
    ----------
    cut_off : set of int
        Gateways that get no messages and whose messages reach no other one.
    """

    def __init__(self, n, loss):
        self.rng = random.Random(7)
        self.loss = loss
        self.now = 1000.0
        self.gateways = [make_gateway(number) for number in range(n)]
        self.sends_at = [self.now + self.rng.uniform(0.0, ROUND_S) for _ in range(n)]
        self.cut_off = set()
        self.n_incidents = 0

    def start_gateway(self):
        """Add a gateway that knows nothing."""
        self.gateways.append(make_gateway(len(self.gateways)))
        self.sends_at.append(self.now + ROUND_S)

    def crash(self, digest, number=None):
        """Let a gateway see a crash of an upstream that ran a request."""
        if number is None:
            numbers = [n for n in range(len(self.gateways)) if n not in self.cut_off]
            number = self.rng.choice(numbers)
        self.n_incidents += 1
        self.gateways[number].crashes.record_crash(digest, f"i-{self.n_incidents:010x}#1")

    def run(self, span_s):
        """Let the gateways send their messages for some time."""
        until = self.now + span_s
        while True:
            number = min(range(len(self.sends_at)), key=self.sends_at.__getitem__)
            if self.sends_at[number] > until:
                break
            self.now = self.sends_at[number]
            self.sends_at[number] += ROUND_S
            self._send(number)
        self.now = until

    def _send(self, number):
        message = self.gateways[number].gossip.make_message(self.now)
        others = [n for n in range(len(self.gateways)) if n != number]
        for other in self.rng.sample(others, min(N_TARGETS, len(others))):
            is_cut = {number, other} & self.cut_off
            if not is_cut and self.rng.random() >= self.loss:
                self.gateways[other].peers.update_peer(message, self.now)
                self.gateways[other].gossip.merge(message, self.now)

    def list_accepting(self, digest):
        """Return the gateways that don't refuse a request."""
        return [n for n, gw in enumerate(self.gateways) if not gw.crashes.is_banned(digest)]


@given(
    "{n:d} gateways that know {n_earlier:d} earlier crashes and gossip every 0.4 s, "
    "of which 1 datagram in {loss:d} is lost"
)
def given_crash_reports(context, n, n_earlier, loss):
    context.simulation = simulation = CrashReportSimulation(n, 1 / loss)
    for number in range(n_earlier):
        simulation.crash(f"earlier-{number:024x}")
    simulation.run(10.0)


@when(
    "for {span_s:d} s {rate:d} sound requests per second are lost in crashes, and each second "
    "another request crashes its third upstream within 3 s"
)
def when_crashes(context, span_s, rate):
    simulation, rng = context.simulation, context.simulation.rng
    start = simulation.now
    events = [(start + n / rate, f"sound-{n:026x}") for n in range(span_s * rate)]
    context.banned_at = {}
    for second in range(1, span_s - 3):
        digest = f"bad-{second:028x}"
        times = sorted(start + second + rng.uniform(0.0, 3.0) for _ in range(N_CRASHES))
        events += [(at, digest) for at in times]
        context.banned_at[digest] = times[-1]
    context.events = sorted(events)


@then("each of these requests is refused by every gateway {contact_s:d} s after its third crash")
def then_refused_everywhere(context, contact_s):
    simulation = context.simulation
    checks = [(at + contact_s, "", digest) for digest, at in context.banned_at.items()]
    accepting = {}
    for at, crashed, checked in sorted([(at, d, "") for at, d in context.events] + checks):
        simulation.run(at - simulation.now)
        if crashed:
            simulation.crash(crashed)
        elif simulation.list_accepting(checked):
            accepting[checked] = len(simulation.list_accepting(checked))
    assert not accepting, f"{len(accepting)} of {len(checks)} requests: {accepting}"


@when("{n_banned:d} requests crash three upstreams each while one gateway {event}")
def when_banned_meanwhile(context, n_banned, event):
    simulation = context.simulation
    if event == "is cut off":
        simulation.cut_off = {0}
    context.digests = [f"bad-{number:028x}" for number in range(n_banned)]
    for digest in context.digests:
        for _ in range(N_CRASHES):
            simulation.crash(digest)
        simulation.run(0.05)
    simulation.run(20.0)
    context.late = 0
    if event != "is cut off":
        simulation.start_gateway()
        context.late = len(simulation.gateways) - 1
    simulation.cut_off = set()


@then("within {bound_s:d} s it refuses all of them")
def then_refuses_all(context, bound_s):
    context.simulation.run(bound_s)
    crashes = context.simulation.gateways[context.late].crashes
    accepted = [digest for digest in context.digests if not crashes.is_banned(digest)]
    assert not accepted, f"{len(accepted)} of {len(context.digests)} requests"


@when("a request crashes three upstreams and {n:d} sound requests are lost in later crashes")
def when_displaced(context, n):
    for _ in range(N_CRASHES):
        context.simulation.crash("bad")
    for number in range(n):
        context.simulation.crash(f"sound-{number}")


@then("the request is refused")
def then_refused(context):
    assert context.simulation.gateways[0].crashes.is_banned("bad")


@when("{span_s:d} s pass without a crash")
def when_quiet(context, span_s):
    context.simulation.run(span_s)


@then("no message reports a crash")
def then_no_reports(context):
    for gateway in context.simulation.gateways:
        assert not gateway.gossip.make_message(context.simulation.now).crashes


@when(
    "for {span_s:d} s an upstream crashes every {crash_s:g} s under a request that is answered "
    "every {pause_s:g} s"
)
def when_polled(context, span_s, crash_s, pause_s):
    simulation, rng = context.simulation, context.simulation.rng
    start, context.refused_at = simulation.now, []
    crashes = [(start + n * crash_s, n) for n in range(1, int(span_s / crash_s))]
    answers = [(start + n * pause_s, None) for n in range(1, int(span_s / pause_s))]
    for at, number in sorted(crashes + answers, key=lambda event: event[0]):
        simulation.run(at - simulation.now)
        if simulation.list_accepting("polled") != list(range(len(simulation.gateways))):
            context.refused_at.append(at - start)
        if number is None:
            rng.choice(simulation.gateways).crashes.record_answer("polled", at)
            continue
        # The request is open from half of the gateways, each of which sees the crash.
        for gateway in rng.sample(simulation.gateways, (len(simulation.gateways) + 1) // 2):
            if not gateway.crashes.was_answered("polled", at):
                gateway.crashes.record_crash("polled", f"i-{number:010x}#1")
            else:
                gateway.crashes.clear("polled", [f"i-{number:010x}#1"])


@then("no gateway has refused the request")
def then_never_refused(context):
    assert not context.refused_at, context.refused_at


@when("a request that all gateways refuse is answered at one of them while another one is cut off")
def when_released(context):
    simulation = context.simulation
    for _ in range(N_CRASHES):
        simulation.crash("sound")
    simulation.run(20.0)
    assert not simulation.list_accepting("sound")
    simulation.cut_off = {0}
    assert simulation.gateways[1].crashes.record_answer("sound", simulation.now)
    simulation.run(20.0)
    assert simulation.list_accepting("sound")[0] == 1
    simulation.cut_off = set()


@then("within {bound_s:d} s no gateway refuses it")
def then_released(context, bound_s):
    simulation = context.simulation
    simulation.run(bound_s)
    assert len(simulation.list_accepting("sound")) == len(simulation.gateways)
    assert len({gateway.crashes.fingerprint for gateway in simulation.gateways}) == 1


@when("two requests are lost in the same 3 crashes and one of them is answered after each")
def when_lost_together(context):
    simulation = context.simulation
    for number in range(N_CRASHES):
        for digest in ("sound", "bad"):
            simulation.gateways[number].crashes.record_crash(digest, f"i-{number}#1")
        simulation.run(1.0)
        simulation.gateways[3].crashes.record_answer("sound", simulation.now)
    simulation.run(5.0)


@then("every gateway refuses the other one and none the answered one")
def then_other_refused(context):
    simulation = context.simulation
    assert not simulation.list_accepting("bad")
    assert len(simulation.list_accepting("sound")) == len(simulation.gateways)


@when("{n:d} different requests are answered within {span_s:d} s")
def when_answered(context, n, span_s):
    context.digests = [f"answered-{number}" for number in range(n)]
    context.answered_until = 1000.0 + span_s
    for number, digest in enumerate(context.digests):
        now = 1000.0 + span_s * number / n
        context.simulation.gateways[0].crashes.record_answer(digest, now)


@then("at most {n:d} of them are remembered, among them the last one")
def then_remembered(context, n):
    crashes, now = context.simulation.gateways[0].crashes, context.answered_until
    assert sum(crashes.was_answered(digest, now) for digest in context.digests) <= n
    assert crashes.was_answered(context.digests[-1], now)
