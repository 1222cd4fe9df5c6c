"""Steps about attempts and faults at an agent, with a fake upstream under trio's mock clock."""

from behave import given, then, when
from fakes import BOOT_ID, FakeUpstream, make_request
from faults import FAULTS, collect
from harness import AgentHarness

from crocusvalve.base import ClassKind
from crocusvalve.rpc import Final, Frame


@given("an agent whose engine answers in {n:d} chunks")
def given_agent(context, n):
    script = tuple(f"part{i} ".encode() for i in range(n))
    context.harness = AgentHarness(FakeUpstream(script))


@when("an entry runs an attempt")
def when_run(context):
    async def scenario(agent, upstream):
        return await collect(agent.run(make_request()))

    context.events = context.harness.run(scenario)


@then("the frames and the final event form a complete answer of {n:d} chunks")
def then_complete(context, n):
    frames = [event for event in context.events if isinstance(event, Frame)]
    text = b"".join(frame.data for frame in frames).decode()
    assert text == "".join(f"part{i} " for i in range(n)), text
    final = context.events[-1]
    assert isinstance(final, Final) and final.n_frames == len(frames)


@when("an attempt of each kind encounters {fault}")
def when_fault(context, fault):
    context.results = {}
    for kind in ClassKind:
        harness = AgentHarness()

        async def scenario(agent, upstream, kind=kind):
            req = make_request(kind=kind, boot_id=BOOT_ID)
            return await FAULTS[fault](agent, upstream, req)

        events = harness.run(scenario)
        context.results[kind] = (events, len(harness.upstream.executed), harness.agent)


@then("it ends as {code} with execution status {ran} and {n:d} executions")
def then_ends(context, code, ran, n):
    for kind, (events, n_executed, agent) in context.results.items():
        end = events[-1]
        is_final = isinstance(end, Final)
        outcome = ("Final", "ran") if is_final else (end.code, end.ran.value)
        assert outcome == (code, ran), f"{kind}: {end}"
        assert n_executed == n, f"{kind}: {n_executed} executions"
        assert is_final or (end.step and end.peer), f"{kind}: {end}"
        assert (
            agent.tables.limiter.in_flight == 0
        ), f"{kind}: the attempt still counts against the limit"
