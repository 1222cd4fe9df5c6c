"""Steps about upstreams over HTTP, with a fake transport and one real connection."""

import httpx
import msgspec
import trio
from behave import given, then, when
from fakes import BrokenStream, make_request, make_sse

from crocusvalve.agent import HttpUpstream, UpstreamError, make_http_client
from crocusvalve.base import ClassKind, ExecutionStatus, UpstreamKind
from crocusvalve.exceptions import ErrorCode, RefusedError

TEXTS = ["one ", "two"]
DAMAGED = b"data: {nonsense\n\n"
ERROR = b'data: {"error": {"message": "out of memory"}}\n\n'
ANSWERS = {
    "a whole stream": lambda: httpx.Response(200, content=make_sse(TEXTS)),
    "a stream without end mark": lambda: httpx.Response(200, content=make_sse(TEXTS, done=False)),
    "a stream without a reason": lambda: httpx.Response(
        200, content=make_sse(TEXTS, finish_reason="")
    ),
    "a stream that is cut": lambda: httpx.Response(
        200, stream=BrokenStream(make_sse(TEXTS, finish_reason="", done=False))
    ),
    "a damaged chunk": lambda: httpx.Response(200, content=DAMAGED),
    "an error in the stream": lambda: httpx.Response(200, content=ERROR),
}


class HttpUpstreamHarness:
    """Runs one call against a transport that gives a set answer."""

    def __init__(self, kind, answer):
        self.kind = UpstreamKind(kind)
        self.answer = answer
        self.request = None

    def handle(self, request):
        self.request = request
        if self.answer == "no connection":
            raise httpx.ConnectError("refused")
        if self.answer == "a cut after the send":
            raise httpx.ReadError("cut")
        if self.answer.startswith("status "):
            return httpx.Response(int(self.answer.split()[1]), content=b"body")
        return ANSWERS[self.answer]()

    async def call(self, req):
        parts = []

        async def take(data):
            parts.append(data)

        transport = httpx.MockTransport(self.handle)
        async with httpx.AsyncClient(transport=transport) as http:
            # A connection that is refused is never written to.
            traces = self.answer == "no connection"
            upstream = HttpUpstream("http://up", http, traces_sends=traces)
            try:
                end = await upstream.call(req, on_send=lambda: None, on_data=take)
            except UpstreamError as exc:
                return exc.code.name, exc.ran, parts
        return "whole", ExecutionStatus.RAN, (parts, end)


@given("an upstream of kind {kind} that gives {answer}")
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


@then("the call ends as {code} with ran {ran}")
def then_call_ends(context, code, ran):
    told, told_ran, parts = context.result
    assert (told, told_ran.value) == (code, ran), context.result
    if told == "whole" and context.harness.kind is UpstreamKind.ENGINE:
        assert parts[0] == [text.encode() for text in TEXTS]
        assert parts[1].usage.completion_tokens == len(TEXTS)


@then("the engine was asked for the checked version as a stream")
def then_asked(context):
    body = msgspec.json.decode(context.harness.request.content)
    assert body["model"] == "delta/assess@v1" and body["stream"] is True


@when("a plain call over a real connection is refused right before the send")
def when_real(context):
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


@then("the service has received no byte and the attempt is not run")
def then_no_byte(context):
    assert context.received == b"" and context.error.ran is ExecutionStatus.NOT_RUN


@given("a service that closes its connection without a word after the first answer")
def given_closing(context):
    context.n_connections = 0

    async def serve(stream):
        context.n_connections += 1
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        # The next request on this connection is read and dropped.
        await stream.receive_some()

    context.serve = serve


@when("an attempt and then an order are sent to it")
def when_order_follows(context):
    async def take(data):
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
                context.end = await upstream.call(req, on_send=lambda: None, on_data=take)
            nursery.cancel_scope.cancel()

    trio.run(main)


@then("the order is answered on a connection of its own")
def then_own_connection(context):
    assert context.end.status == 200 and context.n_connections == 2
