"""Steps about upstreams over HTTP, with a fake transport and one real connection."""

import httpx
import msgspec
import trio
from behave import given, then, when
from fakes import InterruptedStream, make_request, make_sse

from crocusvalve.agent import HttpUpstream, UpstreamError, make_http_client
from crocusvalve.base import ClassKind, ExecutionStatus, UpstreamKind
from crocusvalve.exceptions import ErrorCode, RefusedError

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
        async with (
            trio.open_nursery() as nursery,
            make_http_client() as http,
            make_http_client(reuses_connections=False) as order_http,
        ):
            listeners = await nursery.start(trio.serve_tcp, context.serve, 0)
            url = f"http://127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            upstream = HttpUpstream(url, http, order_http=order_http)
            for kind in (ClassKind.LOOKUP, ClassKind.ORDER):
                req = make_request(kind=kind, upstream_kind=UpstreamKind.PLAIN, body=b"")
                context.end = await upstream.call(req, on_send=lambda: None, on_data=handle_data)
            nursery.cancel_scope.cancel()

    trio.run(main)


@then("the order is answered on a new connection")
def then_new_connection(context):
    assert context.end.status == 200 and context.n_connections == 2
