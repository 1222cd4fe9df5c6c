"""Steps for loads through real HTTP and RPC connections in one process."""

import httpx
import msgspec
import trio
from behave import given, then, when

from crocusvalve.base import VersionRef
from crocusvalve.demo import DemoCluster
from crocusvalve.utils import hash_key
from features.core_builders import make_document

TIMEOUT_S = 30.0
POLL_S = 0.02
KEY = "key"


class OneEngineCluster(DemoCluster):
    """An entry, an agent and one engine that starts with only the first of its versions loaded."""

    def __init__(self, versions):
        document = make_document(1, versions=versions)
        section = document.members["d"]
        customer = msgspec.structs.replace(section.customers["c"], key_sha256=hash_key(KEY))
        section = msgspec.structs.replace(section, customers={"c": customer}, services={})
        super().__init__(msgspec.structs.replace(document, members={"d": section}))
        self.first_version = VersionRef(f"d/m@{versions[0]}")

    async def _start_standin(self, standins, upstream, view):
        port = await super()._start_standin(standins, upstream, view)
        self.engines[upstream.upstream_id].model.loaded = {self.first_version}
        return port

    async def chat(self, version):
        headers = {"Authorization": f"Bearer {KEY}", "X-Crocusvalve-Class": "chat"}
        body = {"model": f"d/m@{version}", "messages": [{"role": "user", "content": "hi"}]}
        async with httpx.AsyncClient(base_url=self.url, timeout=TIMEOUT_S) as client:
            return await client.post("/v1/chat/completions", json=body, headers=headers)

    async def wait_until_routed(self, version):
        with trio.fail_after(TIMEOUT_S):
            while f"d/m@{version}" not in self.entries[0].tables.subset_by_version:
                await trio.sleep(POLL_S)


@given('a running entry with an engine that has loaded "v1" of its versions "{versions}"')
def given_running(context, versions):
    context.cluster = OneEngineCluster(tuple(versions.split()))


@when('a chat request for "{version}" is sent as soon as the entry routes that version')
def when_chat(context, version):
    async def main():
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            await nursery.start(context.cluster.run, stop)
            try:
                await context.cluster.wait_until_routed(version)
                context.reply = await context.cluster.chat(version)
            finally:
                stop.set()

    trio.run(main)


@then('it is answered by "{version}" and the engine received one order')
def then_answered(context, version):
    assert context.reply.status_code == 200, context.reply.text
    assert context.reply.headers["X-Crocusvalve-Version"] == f"d/m@{version}"
    (engine,) = context.cluster.engines.values()
    (order,) = engine.orders
    assert (order.action.value, order.version) == ("load", f"d/m@{version}")
    assert order.number > 0
