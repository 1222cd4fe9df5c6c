"""Steps for escalations that leave the largest model to urgent requests, in virtual time."""

import random

from behave import given, then, when

from crocusvalve.gateway.decisions._headroom import must_hold_escalation

STEP_S = 0.05
SPAN_S = 16.0
LONG_GOAL_S, URGENT_GOAL_S = 6.0, 2.0
#: Time in which an upstream reads a long and an urgent prompt, and the urgent prompts' share of the
#: capacity.
LONG_READ_S, URGENT_READ_S = 1.0, 0.5
URGENT_SHARE = 0.25
#: Share of the capacity that long prompts take outside the burst.
LONG_SHARE = 0.5
BURST_AT_S = 2.0


class EscalationBurst:
    """Prompts that wait for upstreams, each of which reads one after the other."""

    def __init__(self, n_upstreams, *, holds):
        self.rng = random.Random(11)
        self.holds = holds
        self.free_at = [0.0] * n_upstreams
        self.held = []
        self.held_s = []
        self.urgent_first_s = []

    def run(self, burst_share, burst_s):
        """Let prompts arrive, and send those that aren't held."""
        now = 0.0
        while now < SPAN_S:
            now += STEP_S
            is_burst = BURST_AT_S <= now < BURST_AT_S + burst_s
            self._arrive(burst_share if is_burst else LONG_SHARE, now)
            self._send_held(now)

    def _arrive(self, long_share, now):
        n = len(self.free_at)
        if self.rng.random() < STEP_S * URGENT_SHARE * n / URGENT_READ_S:
            self.urgent_first_s.append(self._send(URGENT_READ_S, now))
        if self.rng.random() < STEP_S * long_share * n / LONG_READ_S:
            self.held.append(now)

    def _send_held(self, now):
        for arrived_at in list(self.held):
            waits = [max(0.0, at - now) for at in self.free_at]
            mean_s = sum(waits) / len(waits)
            is_held = must_hold_escalation(LONG_GOAL_S, now - arrived_at, URGENT_GOAL_S, mean_s)
            if not (self.holds and is_held):
                self.held.remove(arrived_at)
                self.held_s.append(now - arrived_at)
                self._send(LONG_READ_S, now)

    def _send(self, read_s, now):
        """Send a prompt to the shorter of two queues; return the time to its first event."""
        number = min(self.rng.sample(range(len(self.free_at)), 2), key=self.free_at.__getitem__)
        self.free_at[number] = max(now, self.free_at[number]) + read_s
        return self.free_at[number] - now

    def compute_in_time(self):
        """Return the share of urgent prompts whose first event comes within their goal."""
        return sum(first_s <= URGENT_GOAL_S for first_s in self.urgent_first_s) / len(
            self.urgent_first_s
        )


@given("a request with a goal of {goal_s:g} s that has waited for {elapsed_s:g} s")
def given_request(context, goal_s, elapsed_s):
    context.goal_s, context.elapsed_s = goal_s, elapsed_s


@when("the mean queue takes {wait_s:g} s and the most urgent route has a goal of {urgent}")
def when_queue(context, wait_s, urgent):
    goal_s = None if urgent == "none" else float(urgent)
    context.is_held = must_hold_escalation(context.goal_s, context.elapsed_s, goal_s, wait_s)


@then("its escalation is {decision}")
def then_decision(context, decision):
    assert context.is_held == (decision == "held"), context.is_held


@given("{n:d} upstreams that read one prompt after the other")
def given_pool(context, n):
    context.loads = [EscalationBurst(n, holds=holds) for holds in (True, False)]


@when(
    "long prompts take {share:g} of their capacity for {span_s:d} s, "
    "beside urgent ones with a goal of 2 s"
)
def when_burst(context, share, span_s):
    for load in context.loads:
        load.run(share, span_s)


@then("at least {n:d} in 100 more urgent ones are in time than without holding")
def then_more_in_time(context, n):
    own, baseline = (load.compute_in_time() for load in context.loads)
    assert own >= baseline + n / 100, (own, baseline)


@then("no long prompt is held for more than half of its goal of {goal_s:d} s")
def then_bounded(context, goal_s):
    longest_s = max(context.loads[0].held_s)
    assert longest_s <= goal_s / 2 + 2 * STEP_S, longest_s
