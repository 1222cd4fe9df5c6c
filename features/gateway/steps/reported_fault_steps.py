"""Steps for the faults that other operators reported."""

import trio
from behave import given, then, when

from crocusvalve.standin import N_EVENTS, UpstreamFault, make_event
from features.gateway.steps.closure_steps import RepeatedFault
from features.gateway.steps.kept_connection_steps import KeptConnection


@given("every answer is sent again {pause_s:g} s later on the same connection")
def given_second_copies(context, pause_s):
    context.connections = []
    for upstream in context.harness.upstreams.values():
        upstream.faults = RepeatedFault([UpstreamFault.TWICE])
        upstream.silence_s = pause_s
        answer = upstream.answer

        async def record(call, stream, answer=answer):
            # Keeps the stream, so that its identity isn't used again.
            context.connections.append(stream)
            return await answer(call, stream)

        upstream.answer = record


@given("the upstreams pause for {pause_s:g} s before each event")
def given_pause(context, pause_s):
    for upstream in context.harness.upstreams.values():
        upstream.pause_s = pause_s


@given(
    "the first attempt breaks off in an event, the second one encounters {fault} and further ones "
    "{further}"
)
def given_two_faults(context, fault, further):
    faults = [UpstreamFault.BREAK_IN_EVENT, UpstreamFault(fault)]
    if further == "the same":
        faults += 8 * [UpstreamFault(fault)]
    # The upstreams share one list of faults.
    for upstream in context.harness.upstreams.values():
        upstream.faults = faults


@when("one caller sends {n:d} requests for {prefix} on a kept connection, {pause_s:g} s apart")
def when_kept_requests(context, n, prefix, pause_s):
    async def act(harness):
        conn = await KeptConnection.open(harness)
        context.targets = [f"{prefix}{number}" for number in range(n)]
        for target in context.targets:
            harness.answers.append(await conn.request(target))
            await trio.sleep(pause_s)

    context.harness.run(act)


@then("each answer is that to its own request")
def then_own_answers(context):
    answered = [answer.body.split()[1].decode() for answer in context.harness.answers]
    assert answered == context.targets, answered
    assert len(context.harness.calls) == len(context.targets), context.harness.calls


@then("no connection to an upstream carried two requests")
def then_separate_connections(context):
    n_connections = len({id(stream) for stream in context.connections})
    assert n_connections == len(context.connections) == len(context.targets), n_connections


@then("the upstreams ran at most {n:d} requests for it")
def then_runs_at_most(context, n):
    assert len(context.harness.calls) <= n, context.harness.calls


@then("the caller gets all {n:d} events of {target}")
def then_all_events(context, n, target):
    answer = context.harness.answers[0]
    expected = b"".join(make_event(target, number) for number in range(1, N_EVENTS + 1))
    assert n == N_EVENTS and answer.is_complete and answer.body == expected, answer


def make_events(first, last):
    """Return events of the stream as bytes."""
    return b"".join(make_event("/stream/1", number) for number in range(first, last + 1))


@then("the caller gets events 1 to 6, or the first two and a recognizably incomplete answer")
def then_whole_or_cut(context):
    answer = context.harness.answers[0]
    expected = make_events(1, N_EVENTS) if answer.is_complete else make_events(1, 2)
    assert answer.status == 200 and answer.body == expected, answer


@then("the caller gets the first two events and a recognizably incomplete answer")
def then_cut(context):
    answer = context.harness.answers[0]
    assert not answer.is_complete and answer.body == make_events(1, 2), answer
