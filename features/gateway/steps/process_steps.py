"""Steps about the gateway as a process of its own."""

import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import trio
from behave import given, then, when

from crocusvalve.standin import make_settings
from features.gateway.gateway_world import (
    FRONT_PORT,
    LIMIT_S,
    PEER_PORT,
    READY_PORT,
    GatewayWorld,
    make_gateway_config,
)
from features.gateway.steps.gateway_steps import BASE

UNKNOWN_FIELD = "aFieldOfTheFuture = { a = 1 }\n"
FAULTS = {
    "no TOML": ("nodeName", "nodeName nodeName"),
    "a missing field": ('nodeName = "gateway-1"\n', ""),
    "a wrong type": ("graceS = 8", 'graceS = "soon"'),
    "a damaged address": ('address = "127.0.0.1:1"', 'address = "somewhere"'),
}
STREAM_HEAD = (
    f"POST /stream/1 HTTP/1.1\r\n{BASE}Accept: text/event-stream\r\nX-Model: *\r\n"
    "X-Prefix-Hash: aa:10,bb:5\r\nContent-Length: 0\r\n\r\n"
).encode()
#: Longer than the time for which a gateway that stops takes new requests.
EVENT_PAUSE_S = 0.25


class ProcessWorld(GatewayWorld):
    """Stand-ins in this process, the gateway in another one."""

    def __init__(self, context):
        super().__init__()
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.process = None

    def write_settings(self, port=1, fault=""):
        text = UNKNOWN_FIELD + make_settings(
            name="gateway-1",
            host=self.host,
            domain="domain-one",
            peer_port=PEER_PORT,
            front_port=FRONT_PORT,
            ready_port=READY_PORT,
            seeds=[f"{self.host}:18083"],
            grace_s=8,
            drain_s=2.0,
            store=f"127.0.0.1:{port}",
        )
        if fault in FAULTS:
            text = text.replace(*FAULTS[fault])
        path = self.folder / "settings.toml"
        if fault != "no file":
            path.write_text(text)
        return path

    async def start(self, log):
        path = self.write_settings(self.store.port)
        self.process = await trio.lowlevel.open_process(
            [sys.executable, "-m", "crocusvalve.gateway"],
            stdout=log,
            env=os.environ | {"CROCUSVALVE_BOOT": str(path)},
        )
        await self.wait_until_ready()

    async def wait_until_ready(self):
        with trio.fail_after(LIMIT_S):
            while not await self.is_ready():
                await trio.sleep(0.02)

    async def is_ready(self):
        try:
            answer = await self.send(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", port=READY_PORT)
        except OSError:
            return False
        self.answers.pop()
        return answer.status == 200

    async def _run(self, action):
        with trio.fail_after(3 * LIMIT_S):
            async with trio.open_nursery() as nursery:
                for server in (self.store, *self.upstreams.values()):
                    await nursery.start(server.serve)
                self._register()
                try:
                    await action(self)
                finally:
                    if self.process is not None and self.process.returncode is None:
                        self.process.kill()
                nursery.cancel_scope.cancel()


@given("a gateway process between stand-ins")
def given_process(context):
    context.world = ProcessWorld(context)


@given("settings of a gateway with {fault}")
def given_settings(context, fault):
    context.world = ProcessWorld(context)
    context.path = context.world.write_settings(fault=fault)


@when("the process is started")
def when_started(context):
    context.done = subprocess.run(
        [sys.executable, "-m", "crocusvalve.gateway"],
        env=os.environ | {"CROCUSVALVE_BOOT": str(context.path)},
        capture_output=True,
        text=True,
        timeout=60,
    )


@then('it exits with {code:d} and tells "{text}"')
def then_exits(context, code, text):
    assert context.done.returncode == code, context.done
    assert text in context.done.stderr and context.done.stderr.count("\n") == 1, context.done


@when("it is told to stop while a stream runs")
def when_stopped(context):
    context.log = context.world.folder / "log"

    async def act(world):
        for upstream in world.upstreams.values():
            upstream.pause_s = EVENT_PAUSE_S
        with context.log.open("w") as log:
            await world.start(log)
            stream = await trio.open_tcp_stream(world.host, FRONT_PORT)
            await stream.send_all(STREAM_HEAD)
            await world.wait_for(lambda: world.calls)
            world.process.send_signal(signal.SIGTERM)
            world.answers.append(await world.read(stream, "POST"))
            context.code = await world.process.wait()

    context.world.run(act)


@then("the stream comes whole and the process exits with {code:d}")
def then_whole(context, code):
    answer = context.world.answers[0]
    assert answer.is_complete and answer.body.count(b"data:") == 6, answer
    assert context.code == code, context.code


@then("its log tells start, drain and stop")
def then_log(context):
    messages = [json.loads(line)["message"] for line in context.log.read_text().splitlines()]
    places = [messages.index(f"gateway {what}") for what in ("started", "drains", "stopped")]
    assert places == sorted(places), messages


@when("it is killed, the configuration changes and it is started again")
def when_killed(context):
    async def act(world):
        await world.start(subprocess.DEVNULL)
        await world.call("/safe/1")
        world.process.kill()
        await world.process.wait()
        world.store.put("op", "config", make_gateway_config(9, routes=[]))
        await world.start(subprocess.DEVNULL)
        await world.call("/safe/1")

    context.world.run(act)


@then("it serves by the new configuration")
def then_new(context):
    assert [answer.status for answer in context.world.answers] == [200, 404]


@when("{n:d} requests are sent and nobody reads its log")
def when_unread(context, n):
    async def act(world):
        reader, writer = os.pipe()
        await world.start(writer)
        os.close(writer)
        for number in range(n):
            await world.call(f"/unsafe/{number}", method="POST", body=b"x")
        os.close(reader)

    context.world.run(act)


@then("all of them are answered with {status:d}")
def then_all(context, status):
    assert {answer.status for answer in context.world.answers} == {status}


@when("it is paused past the deadline of an order that it has received")
def when_paused(context):
    async def act(world):
        await world.start(subprocess.DEVNULL)
        world.process.send_signal(signal.SIGSTOP)
        stream = await trio.open_tcp_stream(world.host, FRONT_PORT)
        head = (
            f"POST /unsafe/late HTTP/1.1\r\n{BASE}X-Deadline-Ms: 400\r\nContent-Length: 0\r\n\r\n"
        )
        await stream.send_all(head.encode())
        await trio.sleep(0.5)
        # The caller gives up at its deadline, while the process still stands.
        await stream.aclose()
        world.process.send_signal(signal.SIGCONT)
        await world.call("/unsafe/next", method="POST", body=b"x")

    context.world.run(act)


@then("the order never runs and the next one runs once")
def then_never(context):
    assert [call.target for call in context.world.calls] == ["/unsafe/next"]
