"""Steps for the HTTP interface of the platform's service."""

import random

import httpx
import msgspec
import trio
from behave import given, then, when

from crocusvalve.base import CustomerId, DomainId, VersionRef, WriteId
from crocusvalve.standin import MemoryPlatform, serve_platform
from crocusvalve.store import GuardSettings, HttpPlatform, RatingRequest, VmInfo, Write

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
        rating = RatingRequest(
            customer_id=CustomerId("m/c"),
            class_name="chat",
            version=VersionRef("m/a@1"),
            prompt="p",
            answer="a",
        )
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
            await service.rate(rating),
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
