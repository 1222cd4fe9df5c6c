"""Steps for the HTTP interface of the platform's service."""

import random

import httpx
import msgspec
import trio
from behave import given, then, when

from crocusvalve.base import CustomerId, DomainId, VersionRef, WriteId
from crocusvalve.exceptions import PlatformError
from crocusvalve.standin import MemoryPlatform, serve_platform
from crocusvalve.standin._endless import EndlessReply, send_endlessly
from crocusvalve.standin._http_server import StandinServer
from crocusvalve.store import GuardSettings, HttpPlatform, RatingRequest, VmInfo, Write
from crocusvalve.store._messages import MSGPACK_TYPE, ObjectReply, encode_message

RATING = RatingRequest(
    customer_id=CustomerId("m/c"),
    class_name="chat",
    version=VersionRef("m/a@1"),
    prompt="p",
    answer="a",
)
SETTINGS = GuardSettings(attempt_timeout_s=5.0, call_timeout_s=20.0, backoff_max_s=0.05)


class HttpSubject:
    """Runs an in-memory platform, its HTTP server and a client in one trio run."""

    def __init__(self):
        self.platform = MemoryPlatform()
        self.faults = ""

    def run(self, work):
        async def main():
            async with trio.open_nursery() as nursery:
                port = await nursery.start(serve_platform, self.platform, "127.0.0.1", 0)
                url = f"http://127.0.0.1:{port}"
                result = await work(url)
                nursery.cancel_scope.cancel()
            return result

        return trio.run(main)

    async def use_client(self, url, work, **client_args):
        if self.faults:
            await self.set_faults(url, self.faults)
        random_state = random.Random(1)
        client_args = {"settings": SETTINGS, "random_state": random_state} | client_args
        async with HttpPlatform(url, **client_args) as client:
            return await work(client)

    @staticmethod
    async def set_faults(url, faults):
        async with httpx.AsyncClient(trust_env=False) as client:
            return (await client.post(f"{url}/faults", content=faults)).status_code

    @staticmethod
    async def make_calls(service):
        write = Write(table="t", key="a/1", value=b"x", write_id=WriteId("w1"), if_version=0)
        await service.put_object("o", b"data")
        return [
            await service.transact([write]),
            await service.transact([msgspec.structs.replace(write, write_id=WriteId("w2"))]),
            await service.get("t", "a/1"),
            await service.get("t", "absent"),
            await service.scan("t", prefix="a/"),
            await service.get_object("o"),
            await service.get_object("absent"),
            await service.list_vms(),
            await service.rate(RATING),
            (await service.reserve(VersionRef("m/a@1"))).is_granted,
        ]


@given("a platform served over HTTP")
def given_served(context):
    context.http = HttpSubject()
    context.http.platform.set_vms([VmInfo("127.0.0.1:1", DomainId("m/d"))])


@given("the fault {faults} is set through the test endpoint")
def given_faults(context, faults):
    context.http.faults = faults


@when("the same calls are made in memory and over HTTP in {coding}")
def when_same_calls(context, coding):
    memory = MemoryPlatform()
    memory.set_vms([VmInfo("127.0.0.1:1", DomainId("m/d"))])
    context.expected = trio.run(HttpSubject.make_calls, memory)
    content_type = f"application/{coding}"

    async def work(url):
        return await context.http.use_client(url, HttpSubject.make_calls, content_type=content_type)

    context.answers = context.http.run(work)


@then("the answers are equal")
def then_equal(context):
    assert context.answers == context.expected, (context.answers, context.expected)


@when("a row is inserted over HTTP")
def when_inserted(context):
    write = Write(table="t", key="k", value=b"x", write_id=WriteId("w"), if_version=0)

    async def insert(client):
        return await client.transact([write])

    context.results = context.http.run(lambda url: context.http.use_client(url, insert))


@then("the insert is reported as applied")
def then_applied(context):
    assert context.results[0].is_applied


@then("the row has version {version:d}")
def then_version(context, version):
    assert trio.run(context.http.platform.get, "t", "k").version == version


@then("the fault {faults} is refused by the test endpoint")
def then_refused(context, faults):
    assert context.http.run(lambda url: HttpSubject.set_faults(url, faults)) == 400


class SlowObjectServer(StandinServer):
    """Answers each read of an object in parts, with pauses between them."""

    def __init__(self, n_parts, pause_s, stops_after=None):
        super().__init__()
        reply = encode_message(ObjectReply(b"x" * 1000), MSGPACK_TYPE)
        size = -(-len(reply) // n_parts)
        self.parts = [reply[start : start + size] for start in range(0, len(reply), size)]
        self.n_bytes = len(reply)
        self.pause_s = pause_s
        self.stops_after = stops_after
        self.n_calls = 0

    async def answer(self, call, stream):
        self.n_calls += 1
        head = f"HTTP/1.1 200 X\r\nContent-Length: {self.n_bytes}\r\n\r\n"
        await stream.send_all(head.encode())
        for number, part in enumerate(self.parts):
            if number == self.stops_after:
                await trio.sleep_forever()
            await stream.send_all(part)
            await trio.sleep(self.pause_s)
        return True


def read_slow_object(context, server):
    """Read an object from a server; keep the object or the error, and the time."""

    async def main():
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve)
            async with HttpPlatform(f"http://{server.address}", settings=context.limits) as client:
                started_at = trio.current_time()
                try:
                    context.result = await client.get_object("o")
                except PlatformError as exc:
                    context.result = exc
                context.elapsed_s = trio.current_time() - started_at
            nursery.cancel_scope.cancel()

    context.server = server
    trio.run(main)


@given("a client with a limit of {answer_s:g} s for an answer and of {call_s:g} s for a call")
def given_limits(context, answer_s, call_s):
    context.limits = GuardSettings(attempt_timeout_s=answer_s, call_timeout_s=call_s)


@when(
    "it reads an object whose answer takes {seconds:g} s and never pauses for longer than "
    "{pause_s:g} s"
)
def when_slow_object(context, seconds, pause_s):
    read_slow_object(context, SlowObjectServer(int(seconds / pause_s), pause_s))


@when("it reads an object whose answer stops after its first bytes")
def when_stopped_object(context):
    read_slow_object(context, SlowObjectServer(10, 0.01, stops_after=2))


@then("the object is received with one call")
def then_object_received(context):
    assert context.result == b"x" * 1000, context.result
    assert context.server.n_calls == 1


@then("the call fails within {bound_s:g} s")
def then_call_fails(context, bound_s):
    assert isinstance(context.result, PlatformError), context.result
    assert context.elapsed_s <= bound_s, context.elapsed_s


class EndlessServer(StandinServer):
    """Answers each call with a reply that never ends."""

    def __init__(self, reply):
        super().__init__()
        self.reply = reply

    async def answer(self, call, stream):
        await send_endlessly(stream, self.reply, b"HTTP/1.1 200 X\r\n")
        return False


@when("it makes the call {call:w} and the answer is the endless reply {reply:w}")
def when_endless(context, call, reply):
    calls = {
        "get": lambda client: client.get("t", "k"),
        "rate": lambda client: client.rate(RATING),
        "reserve": lambda client: client.reserve(VersionRef("m/a@1")),
    }

    async def main():
        server = EndlessServer(EndlessReply[reply])
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve)
            async with HttpPlatform(f"http://{server.address}", settings=context.limits) as client:
                started_at = trio.current_time()
                context.result = None
                with trio.move_on_after(10.0):
                    try:
                        await calls[call](client)
                    except PlatformError as exc:
                        context.result = exc
                context.elapsed_s = trio.current_time() - started_at
            nursery.cancel_scope.cancel()

    trio.run(main)
