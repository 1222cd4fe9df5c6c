"""Steps for orders that run at most once: randomised runs and single fault cases."""

from behave import then, when
from cases import run_case
from harness import UPSTREAMS, OrderHarness
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

FAULTS = st.sampled_from(["ok", "ok", "copied", "lost", "lost_after", "late"])
INDEX = st.integers(0, 1000)
#: Totals over all randomised runs; ``told`` counts the outcomes reported to callers.
TOTALS = {"steps": 0, "faults": 0, "executions": 0, "told": 0}


class OrderMachine(RuleBasedStateMachine):
    """Random interleavings of calls, deliveries, pauses, restarts and store faults."""

    def __init__(self):
        super().__init__()
        self.harness = OrderHarness()

    @property
    def open_calls(self):
        return [call for call in self.harness.calls if call.is_open]

    @rule(key=st.sampled_from(["k1", "k2"]), entry=st.sampled_from(["e1", "e2"]))
    @precondition(lambda self: len(self.open_calls) < 5)
    def start_call(self, key, entry):
        self.harness.start_call(key, entry)

    @rule(index=INDEX, fault=FAULTS, n=st.integers(1, 6))
    @precondition(lambda self: self.open_calls)
    def step_call(self, index, fault, n):
        call = self.open_calls[index % len(self.open_calls)]
        for _ in range(n):
            if call.is_open:
                self.harness.step(call, fault)
                fault = "ok"

    @rule(index=INDEX, fault=st.sampled_from(["ok", "copied"]), is_success=st.booleans())
    @precondition(lambda self: self.open_calls)
    def run_call(self, index, fault, is_success):
        """Advance a call and the agents; copies of its messages may stay in the network."""
        call = self.open_calls[index % len(self.open_calls)]
        for _ in range(6):
            if call.is_open:
                self.harness.step(call, fault)
            for name in UPSTREAMS:
                self.begin(name)
                self.finish(name, is_success)

    @rule(index=INDEX, is_copied=st.booleans())
    @precondition(lambda self: self.harness.network)
    def deliver_late(self, index, is_copied):
        self.harness.deliver(index % len(self.harness.network), is_copied=is_copied)

    @rule(name=st.sampled_from(UPSTREAMS))
    def begin(self, name):
        agent = self.harness.agents[name]
        while agent.admitted:
            agent.begin(self.harness.now)

    @rule(name=st.sampled_from(UPSTREAMS), is_success=st.booleans())
    def finish(self, name, is_success):
        agent = self.harness.agents[name]
        while agent.running:
            agent.finish(is_success)

    @rule(name=st.sampled_from(UPSTREAMS), fault=st.sampled_from(["restart", "close", "open"]))
    def disturb_agent(self, name, fault):
        agent = self.harness.agents[name]
        self.harness.faults[fault] += 1
        if fault == "restart":
            agent.restart()
        else:
            agent.is_closed = fault == "close"

    @rule(index=INDEX)
    @precondition(lambda self: self.open_calls)
    def kill_entry(self, index):
        self.harness.faults["kill"] += 1
        self.open_calls[index % len(self.open_calls)].is_dead = True

    @rule(seconds=st.sampled_from([0.1, 3.0, 6.0, 25.0]))
    def pass_time(self, seconds):
        self.harness.now += seconds
        for agent in self.harness.agents.values():
            agent.guard.expire(self.harness.now)

    @rule()
    @precondition(lambda self: self.harness.store.late_writes)
    def land_late_write(self):
        self.harness.store.write(*self.harness.store.late_writes.pop(0))

    @rule()
    @precondition(lambda self: self.harness.unwritten_claims)
    def settle(self):
        self.harness.settle()

    @invariant()
    def at_most_once_and_told_truly(self):
        TOTALS["steps"] += 1
        self.harness.check()

    def teardown(self):
        self.harness.finish_all()
        self.harness.check()
        TOTALS["faults"] += sum(self.harness.faults.values())
        TOTALS["executions"] += sum(self.harness.executed.values())
        TOTALS["told"] += sum(call.outcome is not None for call in self.harness.calls)


@when("{n:d} randomised runs of {steps:d} steps are made")
def when_randomised(context, n, steps):
    run_state_machine_as_test(
        OrderMachine,
        settings=settings(
            max_examples=int(context.config.userdata.get("runs", n)),
            stateful_step_count=steps,
            derandomize=True,
            database=None,
            deadline=None,
            report_multiple_bugs=False,
            suppress_health_check=list(HealthCheck),
        ),
    )


@then("no order ran twice and every reported outcome was true")
def then_true(context):
    print(TOTALS)
    assert TOTALS["executions"] > 0 and TOTALS["faults"] > 0, TOTALS


def name_outcome(call):
    outcome = call.outcome
    if outcome is None:
        return "nothing"
    if outcome.code is not None:
        return outcome.code.code
    return "answered again" if outcome.is_replay else "answered"


@when("an order encounters {case}")
def when_case(context, case):
    context.first, context.repeat, context.n_executed = run_case(case)


@then("its caller gets {first}, a repeat gets {repeat} and the order ran {n:d} times")
def then_outcomes(context, first, repeat, n):
    actual = (name_outcome(context.first), name_outcome(context.repeat), context.n_executed)
    assert actual == (first, repeat, n), actual
