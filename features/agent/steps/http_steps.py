"""Steps about upstreams over HTTP, with a fake transport and one real connection."""

import contextlib
import socket
import struct

import httpx
import msgspec
import trio
from behave import given, then, when
from fakes import InterruptedStream, make_request, make_sse

from crocusvalve.agent import HttpUpstream, UpstreamError, make_http_client
from crocusvalve.base import ClassKind, ExecutionStatus, UpstreamKind
from crocusvalve.exceptions import ErrorCode, RefusedError
from features.support.malformed_heads import MALFORMED_HEADS

TEXTS = ["one ", "two"]
MALFORMED_CHUNK = b"data: {nonsense\n\n"
ERROR_CHUNK = b'data: {"error": {"message": "out of memory"}}\n\n'
ANSWERS = {
    "a complete stream": lambda: httpx.Response(200, content=make_sse(TEXTS)),
    "a stream without an end marker": lambda: httpx.Response(
        200, content=make_sse(TEXTS, done=False)
    ),
    "a stream without a finish reason": lambda: httpx.Response(
        200, content=make_sse(TEXTS, finish_reason="")
    ),
    "an interrupted stream": lambda: httpx.Response(
        200, stream=InterruptedStream(make_sse(TEXTS, finish_reason="", done=False))
    ),
    "a malformed chunk": lambda: httpx.Response(200, content=MALFORMED_CHUNK),
    "an error in the stream": lambda: httpx.Response(200, content=ERROR_CHUNK),
}


class HttpUpstreamHarness:
    """Runs one call against a transport that returns a fixed answer."""

    def __init__(self, kind, answer):
        self.kind = UpstreamKind(kind)
        self.answer = answer
        self.request = None

    def handle(self, request):
        self.request = request
        if self.answer == "no connection":
            raise httpx.ConnectError("refused")
        if self.answer == "an interruption after the send":
            raise httpx.ReadError("cut")
        if self.answer.startswith("status "):
            return httpx.Response(int(self.answer.split()[1]), content=b"body")
        return ANSWERS[self.answer]()

    async def call(self, req):
        parts = []

        async def handle_data(data):
            parts.append(data)

        transport = httpx.MockTransport(self.handle)
        async with httpx.AsyncClient(transport=transport) as http:
            # A refused connection is never written to, so ``on_send`` must not run.
            traces_sends = self.answer == "no connection"
            upstream = HttpUpstream("http://up", http, traces_sends=traces_sends)
            try:
                end = await upstream.call(req, on_send=lambda: None, on_data=handle_data)
            except UpstreamError as exc:
                return exc.code.name, exc.ran, parts
        return "whole", ExecutionStatus.RAN, (parts, end)


@given("an upstream of kind {kind} that responds with {answer}")
def given_upstream(context, kind, answer):
    context.harness = HttpUpstreamHarness(kind, answer)


@when("an attempt is sent to it")
def when_sent(context):
    req = make_request(upstream_kind=context.harness.kind)
    context.result = trio.run(context.harness.call, req)


@when("an attempt whose body names another model is sent to it")
def when_other_model(context):
    body = b'{"model": "delta/assess@v9", "messages": [], "stream": false}'
    context.result = trio.run(context.harness.call, make_request(body=body))


@then("the call ends as {code} with execution status {ran}")
def then_call_ends(context, code, ran):
    outcome, status, parts = context.result
    assert (outcome, status.value) == (code, ran), context.result
    if outcome == "whole" and context.harness.kind is UpstreamKind.ENGINE:
        assert parts[0] == [text.encode() for text in TEXTS]
        assert parts[1].usage.completion_tokens == len(TEXTS)


@then("the request to the engine names the checked version and asks for a stream")
def then_asked(context):
    body = msgspec.json.decode(context.harness.request.content)
    assert body["model"] == "delta/assess@v1" and body["stream"] is True


@when("a call to a plain service over a real connection is refused right before the send")
def when_refused_before_send(context):
    context.received = b""

    async def serve(stream):
        with trio.move_on_after(5):
            context.received += await stream.receive_some()

    def refuse():
        raise RefusedError(ErrorCode.DEADLINE_PASSED, "late")

    async def main():
        async with trio.open_nursery() as nursery, make_http_client() as http:
            listeners = await nursery.start(trio.serve_tcp, serve, 0)
            port = listeners[0].socket.getsockname()[1]
            upstream = HttpUpstream(f"http://127.0.0.1:{port}", http)
            req = make_request(upstream_kind=UpstreamKind.PLAIN, path="/valves/1", body=b"open")
            try:
                await upstream.call(req, on_send=refuse, on_data=None)
            except RefusedError as exc:
                context.error = exc
            nursery.cancel_scope.cancel()

    trio.run(main)


@then("the service has received no bytes and the attempt has not run")
def then_nothing_written(context):
    assert context.received == b"" and context.error.ran is ExecutionStatus.NOT_RUN


@given("a service that closes its connection without notice after the first answer")
def given_closing_service(context):
    context.n_connections = 0

    async def serve(stream):
        context.n_connections += 1
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        # The next request on this connection is read, then the connection closes without an answer.
        await stream.receive_some()

    context.serve = serve


@when("an attempt and then an order are sent to it")
def when_attempt_then_order(context):
    async def handle_data(data):
        pass

    async def main():
        async with trio.open_nursery() as nursery, make_http_client() as http:
            listeners = await nursery.start(trio.serve_tcp, context.serve, 0)
            url = f"http://127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            upstream = HttpUpstream(url, http)
            for kind in (ClassKind.LOOKUP, ClassKind.ORDER):
                req = make_request(kind=kind, upstream_kind=UpstreamKind.PLAIN, body=b"")
                context.end = await upstream.call(req, on_send=lambda: None, on_data=handle_data)
            nursery.cancel_scope.cancel()

    trio.run(main)


@then("the order is answered on a new connection")
def then_new_connection(context):
    assert context.end.status == 200 and context.n_connections == 2


BODY = b"{}"
REFUSAL = b"HTTP/1.1 503 X\r\ncontent-length: 4\r\n\r\nfull"
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
SECOND_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond"


@given("a service that sends its first {reply} once more {time}")
def given_repeated_reply(context, reply, time):
    context.n_requests = 0
    first = {"refusal": REFUSAL, "answer": ANSWER}[reply]
    is_late = time == "as the next request arrives"

    async def serve(stream):
        while await receive_request(stream):
            context.n_requests += 1
            if context.n_requests == 1:
                await stream.send_all(first if is_late else 2 * first)
                continue
            if is_late and context.kept is stream:
                await stream.send_all(first)
            await stream.send_all(SECOND_ANSWER)

    async def serve_first(stream):
        context.kept = getattr(context, "kept", stream)
        with contextlib.suppress(trio.BrokenResourceError):
            await serve(stream)

    context.serve = serve_first


@given("a service whose answer ends after {n:d} bytes")
def given_cut_answer(context, n):
    async def serve(stream):
        await stream.receive_some()
        await stream.send_all(ANSWER[:n])

    context.serve = serve


@given("a service whose answer has {fault}")
def given_malformed_head(context, fault):
    head = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n"

    async def serve(stream):
        await receive_request(stream)
        await stream.send_all(MALFORMED_HEADS[fault](head) + b"ok")
        await stream.receive_some()

    context.serve = serve


async def receive_request(stream):
    """Return whether a whole request has arrived, whose head and body come separately."""
    data = b""
    while not data.endswith(BODY):
        part = await stream.receive_some()
        if not part:
            return False
        data += part
    return True


async def call_real_service(context, kinds, body=BODY):
    """Send attempts over real connections; return how each ended."""
    ends = []
    context.data = []

    async def handle_data(data):
        context.data.append(data)

    async with trio.open_nursery() as nursery, make_http_client() as http:
        listeners = await nursery.start(trio.serve_tcp, context.serve, 0)
        url = f"http://127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        upstream = HttpUpstream(url, http)
        for kind in kinds:
            req = make_request(kind=ClassKind.LOOKUP, upstream_kind=kind, body=body)
            try:
                end = await upstream.call(req, on_send=lambda: None, on_data=handle_data)
            except UpstreamError as exc:
                end = exc
            ends.append(end)
            await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    return ends


EARLY_BODIES = {
    "without a length to": b"\r\nbegun early",
    "with too long a length to": b"content-length: 12\r\n\r\nbegun early",
    "with an unfinished chunk to": b"transfer-encoding: chunked\r\n\r\nc\r\nbegun early",
    "with its length to": b"content-length: 11\r\n\r\nbegun early",
}


@given(
    "a service that answers {kind} an upload at once and resets the connection after {delay_s:g} s"
)
def given_early_reset(context, kind, delay_s):
    async def serve(stream):
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\n" + EARLY_BODIES[kind])
        await trio.sleep(delay_s)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await trio.aclose_forcefully(stream)

    context.serve = serve


@when("{n:d} attempts with an upload of {n_bytes:d} bytes are sent to it")
def when_uploaded(context, n, n_bytes):
    kinds = n * [UpstreamKind.PLAIN]
    context.ends = trio.run(call_real_service, context, kinds, bytes(n_bytes))


@then("each ends as failed, and may have run")
def then_all_may_have_run(context):
    for end in context.ends:
        assert isinstance(end, UpstreamError) and end.ran is ExecutionStatus.UNKNOWN, context.ends


@then("each ends as whole")
def then_all_whole(context):
    assert all(not isinstance(end, UpstreamError) for end in context.ends), context.ends
    assert set(context.data) == {b"begun early"}, context.data


@when("two attempts are sent to it")
def when_two_attempts(context):
    context.ends = trio.run(call_real_service, context, 2 * [UpstreamKind.PLAIN])


@when("an attempt of kind {kind} is sent to this service")
def when_attempt_of_kind(context, kind):
    context.ends = trio.run(call_real_service, context, [UpstreamKind(kind)])


@then("the second one gets its own answer")
def then_own_answer(context):
    assert not isinstance(context.ends[1], UpstreamError), context.ends
    assert context.data[-1] == b"second", context.data


@then("it ends as failed, and may have run")
def then_may_have_run(context):
    (end,) = context.ends
    assert isinstance(end, UpstreamError) and end.ran is ExecutionStatus.UNKNOWN, end
