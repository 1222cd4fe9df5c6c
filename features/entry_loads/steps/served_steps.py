"""Steps about loads through real HTTP and RPC in one process."""

import httpx
import msgspec
import trio
from behave import given, then, when

from crocusvalve.base import VersionRef
from crocusvalve.demo import DemoCluster
from crocusvalve.utils import hash_key
from features.core_builders import make_document

GUARD_S = 30.0
POLL_S = 0.02
KEY = "key"


class OneEngineWorld(DemoCluster):
    """One engine that starts with the first of its versions, an agent and an entry."""

    def __init__(self, versions):
        document = make_document(1, versions=versions)
        section = document.members["d"]
        customer = msgspec.structs.replace(section.customers["c"], key_sha256=hash_key(KEY))
        section = msgspec.structs.replace(section, customers={"c": customer}, services={})
        super().__init__(msgspec.structs.replace(document, members={"d": section}))
        self.first = VersionRef(f"d/m@{versions[0]}")

    async def _start_standin(self, standins, upstream, view):
        port = await super()._start_standin(standins, upstream, view)
        self.engines[upstream.upstream_id].model.loaded = {self.first}
        return port

    async def chat(self, version):
        headers = {"Authorization": f"Bearer {KEY}", "X-Crocusvalve-Class": "chat"}
        body = {"model": f"d/m@{version}", "messages": [{"role": "user", "content": "hi"}]}
        async with httpx.AsyncClient(base_url=self.url, timeout=GUARD_S) as client:
            return await client.post("/v1/chat/completions", json=body, headers=headers)

    async def wait_until_served(self, version):
        with trio.fail_after(GUARD_S):
            while f"d/m@{version}" not in self.entries[0].tables.subset_by_version:
                await trio.sleep(POLL_S)


@given('a served engine that starts with "v1" of "{versions}"')
def given_served(context, versions):
    context.world = OneEngineWorld(tuple(versions.split()))


@when('a chat asks for "{version}" as soon as the entry knows that it is served')
def when_chat(context, version):
    async def main():
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            await nursery.start(context.world.run, stop)
            try:
                await context.world.wait_until_served(version)
                context.reply = await context.world.chat(version)
            finally:
                stop.set()

    trio.run(main)


@then('it is answered by "{version}" and the engine was given one order')
def then_answered(context, version):
    assert context.reply.status_code == 200, context.reply.text
    assert context.reply.headers["X-Crocusvalve-Version"] == f"d/m@{version}"
    (engine,) = context.world.engines.values()
    (order,) = engine.orders
    assert (order.action.value, order.version) == ("load", f"d/m@{version}")
    assert order.number > 0
