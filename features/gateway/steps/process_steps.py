"""Steps for a gateway that runs as a separate process."""

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
from features.gateway.gateway_harness import (
    FRONT_PORT,
    PEER_PORT,
    READY_PORT,
    WAIT_TIMEOUT_S,
    GatewayHarness,
    make_gateway_config,
)
from features.gateway.steps.gateway_steps import REQUEST_FIELDS

#: A field that the gateway does not know and must ignore.
UNKNOWN_FIELD = "aFieldOfTheFuture = { a = 1 }\n"
#: Text to replace in the settings file, and its replacement, by fault.
SETTINGS_FAULTS = {
    "invalid TOML": ("nodeName", "nodeName nodeName"),
    "a missing field": ('nodeName = "gateway-1"\n', ""),
    "a wrong type": ("graceS = 8", 'graceS = "soon"'),
    "a bad address": ('address = "127.0.0.1:1"', 'address = "somewhere"'),
}
STREAM_HEAD = (
    f"POST /stream/1 HTTP/1.1\r\n{REQUEST_FIELDS}Accept: text/event-stream\r\nX-Model: *\r\n"
    "X-Prefix-Hash: aa:10,bb:5\r\nContent-Length: 0\r\n\r\n"
).encode()
#: Pause between events, so that the stream outlasts the time in which a stopping gateway accepts
#: new requests.
EVENT_PAUSE_S = 0.25


class GatewayProcessHarness(GatewayHarness):
    """Stand-ins that run in this process, and a gateway that runs in a child process."""

    def __init__(self, context):
        super().__init__()
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.process = None

    def write_settings(self, port=1, fault=""):
        """Write the settings file, with a fault if one is named; return its path."""
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
        if fault in SETTINGS_FAULTS:
            text = text.replace(*SETTINGS_FAULTS[fault])
        path = self.folder / "settings.toml"
        if fault != "no file":
            path.write_text(text)
        return path

    async def start(self, log):
        """Start the gateway process with its log written to a file; wait until it is ready."""
        path = self.write_settings(self.store.port)
        self.process = await trio.lowlevel.open_process(
            [sys.executable, "-m", "crocusvalve.gateway"],
            stdout=log,
            env=os.environ | {"CROCUSVALVE_BOOT": str(path)},
        )
        await self.wait_until_ready()

    async def wait_until_ready(self):
        """Probe the process until it reports that it is ready."""
        with trio.fail_after(WAIT_TIMEOUT_S):
            while not await self.is_ready():
                await trio.sleep(0.02)

    async def is_ready(self):
        """Return whether the process answers the readiness probe with 200."""
        try:
            answer = await self.send(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", port=READY_PORT)
        except OSError:
            return False
        self.answers.pop()
        return answer.status == 200

    async def _run(self, action):
        with trio.fail_after(3 * WAIT_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for server in (self.store, *self.upstreams.values()):
                    await nursery.start(server.serve)
                self._write_rows()
                try:
                    await action(self)
                finally:
                    if self.process is not None and self.process.returncode is None:
                        self.process.kill()
                nursery.cancel_scope.cancel()


@given("a gateway process with a stand-in store and stand-in upstreams")
def given_process(context):
    context.harness = GatewayProcessHarness(context)


@given("gateway settings with {fault}")
def given_faulty_settings(context, fault):
    context.harness = GatewayProcessHarness(context)
    context.settings_path = context.harness.write_settings(fault=fault)


@when("the process is started")
def when_started(context):
    context.result = subprocess.run(
        [sys.executable, "-m", "crocusvalve.gateway"],
        env=os.environ | {"CROCUSVALVE_BOOT": str(context.settings_path)},
        capture_output=True,
        text=True,
        timeout=60,
    )


@then('the process exits with {code:d} and reports "{text}"')
def then_reports_fault(context, code, text):
    assert context.result.returncode == code, context.result
    assert text in context.result.stderr and context.result.stderr.count("\n") == 1, context.result


@when("the process gets a stop signal while a stream is open")
def when_stop_signal(context):
    context.log = context.harness.folder / "log"

    async def act(harness):
        for upstream in harness.upstreams.values():
            upstream.pause_s = EVENT_PAUSE_S
        with context.log.open("w") as log:
            await harness.start(log)
            stream = await trio.open_tcp_stream(harness.host, FRONT_PORT)
            await stream.send_all(STREAM_HEAD)
            await harness.wait_for(lambda: harness.calls)
            harness.process.send_signal(signal.SIGTERM)
            harness.answers.append(await harness.read(stream, "POST"))
            context.exit_code = await harness.process.wait()

    context.harness.run(act)


@then("the stream is complete and the process exits with {code:d}")
def then_stream_complete(context, code):
    answer = context.harness.answers[0]
    assert answer.is_complete and answer.body.count(b"data:") == 6, answer
    assert context.exit_code == code, context.exit_code


@then("its log records the start, the drain and the stop in this order")
def then_log_order(context):
    messages = [json.loads(line)["message"] for line in context.log.read_text().splitlines()]
    positions = [messages.index(f"gateway {state}") for state in ("started", "drains", "stopped")]
    assert positions == sorted(positions), messages


@when("the process is killed, the configuration changes and the process is restarted")
def when_restarted(context):
    async def act(harness):
        await harness.start(subprocess.DEVNULL)
        await harness.call("/safe/1")
        harness.process.kill()
        await harness.process.wait()
        harness.store.put("op", "config", make_gateway_config(9, routes=[]))
        await harness.start(subprocess.DEVNULL)
        await harness.call("/safe/1")

    context.harness.run(act)


@then("the process serves requests by the new configuration")
def then_new_configuration(context):
    assert [answer.status for answer in context.harness.answers] == [200, 404]


@when("{n:d} requests are sent and nobody reads the process's log")
def when_log_unread(context, n):
    async def act(harness):
        reader, writer = os.pipe()
        await harness.start(writer)
        os.close(writer)
        for number in range(n):
            await harness.call(f"/unsafe/{number}", method="POST", body=b"x")
        os.close(reader)

    context.harness.run(act)


@then("all of them are answered with {status:d}")
def then_all_answered(context, status):
    assert {answer.status for answer in context.harness.answers} == {status}


@when("the process is paused beyond the deadline of a request that it has received")
def when_paused(context):
    async def act(harness):
        await harness.start(subprocess.DEVNULL)
        harness.process.send_signal(signal.SIGSTOP)
        stream = await trio.open_tcp_stream(harness.host, FRONT_PORT)
        request_head = (
            f"POST /unsafe/late HTTP/1.1\r\n{REQUEST_FIELDS}"
            "X-Deadline-Ms: 400\r\nContent-Length: 0\r\n\r\n"
        )
        await stream.send_all(request_head.encode())
        await trio.sleep(0.5)
        # The caller disconnects at its deadline, while the process is still paused.
        await stream.aclose()
        harness.process.send_signal(signal.SIGCONT)
        await harness.call("/unsafe/next", method="POST", body=b"x")

    context.harness.run(act)


@then("the expired request never runs and the next one runs once")
def then_only_next_runs(context):
    assert [call.target for call in context.harness.calls] == ["/unsafe/next"]
