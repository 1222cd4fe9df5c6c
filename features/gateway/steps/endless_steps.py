"""Steps for upstreams whose replies never end."""

import trio
from behave import given, then, when

from crocusvalve.standin import UpstreamFault
from features.gateway.steps.closure_steps import STREAM_FIELDS, RepeatedFault

#: Time within which the connection of an endless reply is closed after the caller's answer.
CLOSE_WITHIN_S = 0.5


class EndlessReplySubject:
    """Faults for the attempts on both upstreams, and the time that the caller's answer took."""

    @staticmethod
    def set_faults(harness, *names):
        """Let the attempts meet faults in the order in which they reach the upstreams."""
        shared = [UpstreamFault(name) for name in names]
        for upstream in harness.upstreams.values():
            upstream.faults = shared

    @staticmethod
    def call(context, path, *, method="GET", **fields):
        """Send a request, and wait until the gateway has closed its connections to upstreams."""

        async def act(harness):
            started_at = trio.current_time()
            await harness.call(path, method=method, **fields)
            context.elapsed_s = trio.current_time() - started_at
            with trio.move_on_after(CLOSE_WITHIN_S):
                await harness.wait_for(lambda: not EndlessReplySubject.count_open(harness))
            context.n_open = EndlessReplySubject.count_open(harness)

        context.harness.run(act)

    @staticmethod
    def count_open(harness):
        """Return the number of open connections to upstreams."""
        return sum(upstream.n_open for upstream in harness.upstreams.values())


@given("the first attempt meets {fault:w}")
def given_first_fault(context, fault):
    EndlessReplySubject.set_faults(context.harness, fault)


@given("the upstreams' plain answers are {n_bytes:d} bytes longer")
def given_long_answers(context, n_bytes):
    for upstream in context.harness.upstreams.values():
        upstream.n_padding_bytes = n_bytes


@when("a caller sends {method} {path} and times the answer")
def when_sent(context, method, path):
    EndlessReplySubject.call(context, path, method=method)


@when("a caller opens a stream at {path} and times the answer")
def when_stream_opened(context, path):
    EndlessReplySubject.call(context, path, method="POST", **STREAM_FIELDS)


@then("it gets a whole answer within {limit_s:g} s")
def then_whole(context, limit_s):
    answer = context.harness.answers[0]
    assert answer.status == 200 and answer.is_complete, answer
    assert answer.is_signed, answer
    assert context.elapsed_s <= limit_s, context.elapsed_s


@then("it gets status {status:d} within {limit_s:g} s")
def then_status(context, status, limit_s):
    answer = context.harness.answers[0]
    assert answer.status == status and answer.is_complete, answer
    assert not answer.is_signed, answer
    assert context.elapsed_s <= limit_s, context.elapsed_s


@then("the upstreams ran {n_runs:d} request(s) in total")
def then_runs(context, n_runs):
    assert len(context.harness.calls) == n_runs, context.harness.calls


@then("its body is as long as the upstream's")
def then_long(context):
    answer = context.harness.answers[0]
    n_padding_bytes = context.harness.upstreams["one"].n_padding_bytes
    assert answer.body.endswith(b"x" * n_padding_bytes), len(answer.body)


@then("the endless reply's connection is closed")
def then_closed(context):
    assert context.n_open == 0, context.n_open


@given("the goal of {prefix} is {goal_ms:d} ms, with up to {n_attempts:d} attempts")
def given_goal(context, prefix, goal_ms, n_attempts):
    for route in context.harness.config["routes"]:
        if route["prefix"] == prefix:
            route.update(goalMs=goal_ms, maxAttempts=n_attempts)


@given("the first attempt meets {first}, and the second {second}")
def given_two_faults(context, first, second):
    EndlessReplySubject.set_faults(context.harness, first, second)


@given("upstream one always meets {fault}")
def given_repeated_fault(context, fault):
    context.harness.upstreams["one"].faults = RepeatedFault([UpstreamFault(fault)])


@when("a caller sends {n:d} requests {method} {path} in turn")
def when_sent_in_turn(context, n, method, path):
    async def act(harness):
        load = harness.gateway.tables.get_load("one-ops")
        context.n_until_suspended = None
        for _ in range(n):
            await harness.call(path, method=method)
            if load.n_consecutive_suspensions:
                context.n_until_suspended = len(harness.upstreams["one"].calls)
                return

    context.harness.run(act)


@then("upstream one is suspended after at most {limit:d} of them")
def then_suspended(context, limit):
    n_requests = context.n_until_suspended
    assert n_requests is not None and n_requests <= limit, n_requests
