"""Steps for a caller's kept connection: idle limits, close, unexpected errors, stop."""

import os
import signal
import subprocess
import time

import msgspec
import trio
from behave import given, then, when

from crocusvalve.gateway.flows._stopping import StopPlan
from crocusvalve.standin import CallerAnswer, StandinCaller
from features.gateway.gateway_harness import (
    FRONT_PORT,
    WAIT_TIMEOUT_S,
    GatewayHarness,
    make_gateway_config,
)
from features.gateway.steps.gateway_steps import GRACE_S, REQUEST_FIELDS

STREAM_FIELDS = "Accept: text/event-stream\r\nX-Model: *\r\n"
CLOSED_METRIC = "crocusvalve_gateway_connections_closed_total"


class KeptConnection:
    """A caller's connection that is used for one request after the other."""

    def __init__(self, stream):
        self.stream = stream
        self.caller = StandinCaller(stream)

    @classmethod
    async def open(cls, harness: GatewayHarness):
        """Connect to the gateway."""
        return cls(await trio.open_tcp_stream(harness.host, FRONT_PORT))

    @staticmethod
    def make_request(path="/safe/1", extra=""):
        """Return the bytes of a request."""
        method = "GET" if path.startswith("/safe") else "POST"
        length = "" if method == "GET" else "Content-Length: 0\r\n"
        return f"{method} {path} HTTP/1.1\r\n{REQUEST_FIELDS}{extra}{length}\r\n".encode()

    async def request(self, path="/safe/1", extra=""):
        """Send a request and return its answer."""
        await self.stream.send_all(self.make_request(path, extra))
        return await self.read(path)

    async def read(self, path="/safe/1"):
        """Read the answer to a request that was sent."""
        self.caller.expect_answer("GET" if path.startswith("/safe") else "POST")
        answer = CallerAnswer()
        with trio.fail_after(WAIT_TIMEOUT_S):
            await self.caller.read(answer)
        return answer


async def put_limits(harness, **limits):
    """Change the limits on callers' requests, and wait until the change is in force."""
    version = harness.gateway.tables.config.version + 1
    harness.store.put("op", "config", make_gateway_config(version, limits=limits))
    await harness.wait_for(lambda: harness.gateway.tables.config.version == version)


def make_config_with_idle_limit(idle_s, version=2):
    """Return the configuration of the harness with an idle limit."""
    return make_gateway_config(version, limits={"idleTimeoutMs": idle_s * 1000})


@given("an idle limit of {idle_s:g} s")
def given_idle_limit(context, idle_s):
    context.harness.config = make_config_with_idle_limit(idle_s)


@given("a route timeout of {timeout_s:g} s")
def given_route_timeout(context, timeout_s):
    for route in context.harness.config["routes"]:
        route["timeoutMs"] = timeout_s * 1000


@when(
    "a kept connection waits {wait_s:g} s, and the idle limit becomes {idle_s:g} s "
    "after {after_s:g} s"
)
def when_limit_changes(context, wait_s, idle_s, after_s):
    async def act(harness):
        conn = await KeptConnection.open(harness)
        await conn.request()
        until = trio.current_time() + wait_s
        await trio.sleep(after_s)
        await put_limits(harness, idleTimeoutMs=idle_s * 1000)
        await trio.sleep_until(until)
        context.answer = await conn.request()

    context.harness.run(act)


@when("the idle limit becomes {idle_s:g} s within an answer, and its connection waits {wait_s:g} s")
def when_limit_changes_within(context, idle_s, wait_s):
    async def act(harness):
        for upstream in harness.upstreams.values():
            upstream.pause_s = 0.1
        conn = await KeptConnection.open(harness)
        await conn.stream.send_all(conn.make_request("/once/1", STREAM_FIELDS))
        await harness.wait_for(lambda: harness.calls)
        await trio.sleep(0.15)
        await put_limits(harness, idleTimeoutMs=idle_s * 1000)
        answer = await conn.read("/once/1")
        assert answer.is_complete, answer
        await trio.sleep(wait_s)
        context.answer = await conn.request()

    context.harness.run(act)


@when(
    "the limit on request heads grows to {limit:d} bytes and a waiting connection sends "
    "a head of {size:d}"
)
def when_head_limit_grows(context, limit, size):
    async def act(harness):
        conn = await KeptConnection.open(harness)
        await conn.request()
        await put_limits(harness, maxHeaderBytes=limit)
        head = conn.make_request(extra=f"X-Long: {'x' * size}\r\n")
        # The head arrives in two segments, so that its first part must be kept.
        await conn.stream.send_all(head[:-10])
        await trio.sleep(0.1)
        await conn.stream.send_all(head[-10:])
        context.answer = await conn.read()

    context.harness.run(act)


@then("its next request is answered with {status:d}")
def then_next_answered(context, status):
    assert context.answer.status == status and context.answer.is_complete, context.answer


@when("a kept connection is used, and used again after the gateway began to stop")
def when_stop_between(context):
    async def act(harness):
        conn = await KeptConnection.open(harness)
        first = await conn.request()
        now = harness.gateway.clock.now()
        harness.gateway.request_handler.stop_plan = StopPlan.make(now, GRACE_S)
        context.kept_answers = [first, await conn.request()]

    context.harness.run(act)


@then(
    "the first answer announces {announced_s:d} s, and the last one only that the connection "
    "is closed"
)
def then_announced(context, announced_s):
    first, last = context.kept_answers
    assert first.headers.get("keep-alive") == f"timeout={announced_s}", first
    assert first.headers["connection"] == "keep-alive", first
    assert last.headers["connection"] == "close" and "keep-alive" not in last.headers, last


@when("the route timeouts become {timeout_s:g} s while a kept connection waits for an answer")
def when_timeouts_change(context, timeout_s):
    async def act(harness):
        conn = await KeptConnection.open(harness)
        await conn.stream.send_all(conn.make_request())
        await harness.wait_for(lambda: harness.calls)
        routes = [r | {"timeoutMs": timeout_s * 1000} for r in harness.config["routes"]]
        harness.store.put("op", "config", make_gateway_config(3, routes=routes))
        await harness.wait_for(lambda: harness.gateway.tables.config.version == 3)
        context.answer = await conn.read()

    context.harness.run(act)


@when("a kept connection sends a request just after the gateway closed it as idle")
def when_request_crosses_close(context):
    async def act(harness):
        conn = await KeptConnection.open(harness)
        await conn.request()
        with trio.fail_after(WAIT_TIMEOUT_S):
            assert await conn.stream.receive_some() == b""
        await conn.stream.send_all(conn.make_request())
        await trio.sleep(0.1)
        try:
            await conn.stream.send_all(conn.make_request())
            context.is_reset = False
        except trio.BrokenResourceError:
            context.is_reset = True

    context.harness.run(act)


@then("the bytes are answered by a reset")
def then_reset(context):
    assert context.is_reset


@then("the gateway counted {n:d} connection closed for {reason}, {has_line} a log line")
def then_counted(context, n, reason, has_line):
    harness = context.harness
    registry = harness.gateway.registry
    assert registry.get_sample_value(CLOSED_METRIC, {"reason": reason}) == n
    lines = [r for r in harness.log_records if r.msg.startswith("caller's connection closed")]
    assert len(lines) == (n if has_line == "with" else 0), lines


@when("the process is suspended beyond the idle limit while the first half of a request arrives")
def when_suspended_in_request(context):
    async def act(harness):
        conn = await KeptConnection.open(harness)
        await conn.request()
        limit_s = harness.gateway.request_handler.get_limits().idle_timeout_s
        data = conn.make_request()
        # The gateway begins to wait for the request.
        await trio.sleep(0.1)
        # Sends without a checkpoint: the gateway runs in this thread, and is suspended before it
        # can read.
        os.write(conn.stream.socket.fileno(), data[:30])
        time.sleep(limit_s + 2.0)
        await trio.sleep(0.1)
        await conn.stream.send_all(data[30:])
        context.answer = await conn.read()

    context.harness.run(act)


@when("a stopping gateway gets two requests in one segment")
def when_two_in_one_segment(context):
    async def act(harness):
        now = harness.gateway.clock.now()
        harness.gateway.request_handler.stop_plan = StopPlan.make(now, GRACE_S)
        conn = await KeptConnection.open(harness)
        await conn.stream.send_all(conn.make_request("/safe/1") + conn.make_request("/safe/2"))
        context.kept_answers = [await conn.read(), await conn.read()]

    context.harness.run(act)


@then("both are answered and only the last answer says that the connection is closed")
def then_both_answered(context):
    first, last = context.kept_answers
    assert first.status == last.status == 200, context.kept_answers
    assert first.headers.get("connection") != "close", first
    assert last.headers["connection"] == "close", last


@when("a connection sends {path} and {n:d} further bytes, and is closed")
def when_closed_after_bytes(context, path, n):
    async def act(harness):
        conn = await KeptConnection.open(harness)
        await conn.stream.send_all(conn.make_request(path))
        await harness.wait_for(lambda: harness.calls)
        await conn.stream.send_all(b"x" * n)
        await trio.sleep(0.1)
        await conn.stream.aclose()
        await measure_abandonment(context, harness)

    context.harness.run(act)


@when("a connection sends {path} and ends its sending side")
def when_half_closed(context, path):
    async def act(harness):
        conn = await KeptConnection.open(harness)
        await conn.stream.send_all(conn.make_request(path))
        await harness.wait_for(lambda: harness.calls)
        await conn.stream.send_eof()
        await measure_abandonment(context, harness)

    context.harness.run(act)


async def measure_abandonment(context, harness):
    """Measure the time until an upstream sees its connection closed."""
    since = trio.current_time()
    with trio.move_on_after(2.0):
        await harness.wait_for(lambda: sum(u.n_abandoned for u in harness.upstreams.values()))
    context.abandoned_after_s = trio.current_time() - since


@then("the upstream sees its connection closed within {limit_s:g} s")
def then_abandoned_within(context, limit_s):
    assert context.abandoned_after_s <= limit_s, context.abandoned_after_s


class UnexpectedError(Exception):
    """An error that the gateway doesn't know."""


def raise_unexpected(*args, **kwargs):
    """Raise an error that the gateway doesn't know."""
    raise UnexpectedError("of the test")


@when("the gateway has an unexpected error {when_} and a caller requests {path}")
def when_unexpected_error(context, when_, path):
    async def act(harness):
        handler = harness.gateway.request_handler
        if when_ == "at the admission":
            handler.upgrades.choose_version = raise_unexpected
        elif when_ == "before an attempt":
            handler.attempt_manager.place = raise_unexpected
        else:
            handler.attempt_manager.record_plain_answer = raise_unexpected
        method = "GET" if path.startswith("/safe") else "POST"
        await harness.call(path, method=method)

    context.harness.run(act)


@then("the caller gets {status:d} with code {code}, after {runs:d} runs")
def then_error_after_runs(context, status, code, runs):
    answer = context.harness.answers[0]
    assert answer.status == status and answer.is_complete, answer
    assert msgspec.json.decode(answer.body)["error"]["code"] == code, answer
    assert answer.retry_after_s is None, answer
    assert len(context.harness.calls) == runs


@then("the log names the request and the error")
def then_log_names(context):
    records = [r for r in context.harness.log_records if r.exc_info]
    assert len(records) == 1 and records[0].request_id == "a1", records


@when("the gateway has an unexpected error within a stream's answer")
def when_error_within(context):
    async def act(harness):
        handler = harness.gateway.request_handler
        handler.attempt_manager.pace.record_stream = raise_unexpected
        for upstream in harness.upstreams.values():
            upstream.pause_s = 0.05
        await harness.call("/once/1", method="POST", X_Model="*", Accept="text/event-stream")

    context.harness.run(act)


@then("the caller gets an incomplete answer")
def then_incomplete(context):
    answer = context.harness.answers[0]
    assert answer.status == 200 and not answer.is_complete, answer


@when(
    "the first half of a request arrives {after_s:g} s after the stop signal, "
    "and the rest {gap_s:g} s later"
)
def when_half_before_end(context, after_s, gap_s):
    async def act(harness):
        await harness.start(subprocess.DEVNULL)
        conn = await KeptConnection.open(harness)
        await conn.request()
        harness.process.send_signal(signal.SIGTERM)
        await trio.sleep(after_s)
        data = conn.make_request()
        await conn.stream.send_all(data[:30])
        await trio.sleep(gap_s)
        await conn.stream.send_all(data[30:])
        context.answer = await conn.read()

    context.harness.run(act)


@when("the process gets a stop signal while requests for {first} and {second} run")
def when_stop_while_running(context, first, second):
    async def act(harness):
        await harness.start(subprocess.DEVNULL)
        conns = []
        for path in (first, second):
            conn = await KeptConnection.open(harness)
            await conn.stream.send_all(conn.make_request(path))
            conns.append((conn, path))
        await harness.wait_for(lambda: len(harness.calls) >= 2)
        harness.process.send_signal(signal.SIGTERM)
        context.kept_answers = [await conn.read(path) for conn, path in conns]

    context.harness.run(act)


@then("each of them is answered with {status:d}")
def then_each_answered(context, status):
    answers = context.kept_answers
    assert [a.status for a in answers] == [status] * len(answers), answers
    assert all(a.is_complete for a in answers), answers
