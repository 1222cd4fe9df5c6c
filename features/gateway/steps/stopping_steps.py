"""Steps for gateways that stop: which requests they end and when, and the end of the process."""

import heapq
import os
import random
import re
import signal
import socket
import subprocess
import time

import trio
from behave import given, then, when

from crocusvalve.base import NodeId
from crocusvalve.gateway._loop_monitor import LoopMonitor
from crocusvalve.gateway.base import RouteKind, ServiceName
from crocusvalve.gateway.decisions._answer_times import AnswerTimes
from crocusvalve.gateway.flows._stopping import ANSWER_SHARES, OpenRequest, StopPlan
from crocusvalve.gateway.shared._gossip_message import GossipMessage
from crocusvalve.platform import PlatformStore
from crocusvalve.standin import StandinCaller, StoreFault, UpstreamFault
from crocusvalve.standin._caller import CallerAnswer, split_events
from features.gateway.gateway_harness import API_KEY, FRONT_PORT, PEER_PORT, WAIT_TIMEOUT_S
from features.gateway.steps.closure_steps import RepeatedFault

GRACE_S = 8.0
#: Seconds from a stream's first event to the signal.
STREAM_AGE_S = 1.0
N_TOKENS = 40
SIGNAL_DELAY_S = 0.2
#: Time from the signal to the kill; a process that still runs then has failed the scenario.
KILL_S = 10.0
STEP_S = 0.01
#: Time after the signal from which orders that were taken must not be cut.
LATE_S = 2.9
SERVICE = ServiceName("llm")
MODELS = ("", "small", "large")


def make_head(path, attempt_id, last_event_id=""):
    """Return the bytes of a request; one for a stream has a prompt."""
    method = "GET" if path.startswith("/safe") else "POST"
    fields = [
        f"{method} {path} HTTP/1.1",
        "Host: api.example",
        f"X-Attempt-Id: {attempt_id}",
        f"Authorization: Bearer {API_KEY}",
    ]
    if method == "POST":
        fields.append("Content-Length: 0")
    if path.startswith(("/stream", "/once")):
        fields += ["Accept: text/event-stream", "X-Model: *", f"X-Token-Usage: 800,{N_TOKENS}"]
        fields.append(f"X-Prefix-Hash: aa:10,{attempt_id}:5")
    if last_event_id:
        fields.append(f"Last-Event-ID: {last_event_id}")
    return ("\r\n".join(fields) + "\r\n\r\n").encode()


async def exchange(host, path, attempt_id, last_event_id=""):
    """Send a request on a new connection and return the answer as far as it arrives."""
    answer = CallerAnswer()
    stream = await trio.open_tcp_stream(host, FRONT_PORT)
    async with stream:
        await stream.send_all(make_head(path, attempt_id, last_event_id))
        caller = StandinCaller(stream)
        caller.expect_answer("GET" if path.startswith("/safe") else "POST")
        with trio.fail_after(WAIT_TIMEOUT_S):
            await caller.read(answer)
    return answer


def learn_duration(gateway, duration_s):
    """Let a gateway learn how long streams take."""
    now = gateway.clock.now()
    for model in MODELS:
        gateway.attempt_manager.pace.record_stream(SERVICE, model, N_TOKENS, duration_s, now)


async def report_peer(gateway, is_leaving=False):
    """Let a gateway hear from another one, until cancelled."""
    message = GossipMessage(
        node_id=NodeId("gateway-2"), boot_id="b", host="127.0.0.9", is_leaving=is_leaving
    )
    while True:
        gateway.peers.update_peer(message, gateway.clock.now())
        await trio.sleep(1.0)


class StopOfStream:
    """The decision about one stream, taken at each moment after a stop signal at time 0."""

    def __init__(self, text):
        duration = re.search(r"takes ([\d.]+) s", text)
        self.stream_s = float(duration[1]) if duration else 0.0
        if "longer than expected" in text:
            self.stream_s = 3.0
        self.kind = RouteKind.UNSAFE if "plain" in text else RouteKind.STREAM
        self.plain_s = self.stream_s if "plain" in text else 0.0
        self.is_resumable = "can't be resumed" not in text and "plain" not in text
        self.has_run = "has not run" not in text
        self.has_begun = self.has_run and "without an event" not in text and "plain" not in text
        self.n_events = 39 if "almost complete" in text else 2
        self.position = 0.0 if "first one" in text else 1.0 if "last one" in text else 0.5

    def describe(self, now):
        """Return the stream's state."""
        return OpenRequest(
            kind=self.kind,
            is_resumable=self.is_resumable,
            has_run=self.has_run,
            has_begun=self.has_begun,
            first_s=0.0 if self.has_run else 0.2,
            elapsed_s=now + STREAM_AGE_S if self.has_begun else 0.0,
            plain_s=self.plain_s,
            stream_s=self.stream_s,
            n_events=self.n_events if self.has_begun else 0,
            n_tokens=N_TOKENS,
            position=self.position,
        )

    def find_end(self, plan, has_peer):
        """Return the first time at which the stream is ended."""
        times = (number * STEP_S for number in range(int(GRACE_S / STEP_S)))
        return next(now for now in times if plan.must_end(self.describe(now), has_peer, now))


@given("a stop plan for a grace time of {grace_s:g} s and an open stream that {text}")
def given_plan(context, grace_s, text):
    context.plan = StopPlan.make(0.0, grace_s)
    context.stream = StopOfStream(text)


@given("a stop plan for a grace time of {grace_s:g} s")
def given_plan_only(context, grace_s):
    context.plan = StopPlan.make(0.0, grace_s)


@when(
    "a new {kind:w} request is expected to take {expected_s:g} s "
    "and {peer} other gateway accepts requests"
)
def when_new_request(context, kind, expected_s, peer):
    times = [number * STEP_S for number in range(int(GRACE_S / STEP_S))]
    context.taken_at = [
        now
        for now in times
        if context.plan.is_accepted(RouteKind[kind.upper()], peer == "one", now, expected_s)
    ]


@then("such requests are taken until {until_s:g} s after the signal")
def then_taken_up_to(context, until_s):
    assert context.taken_at[0] == 0.0 and abs(context.taken_at[-1] - until_s) <= 0.02


@when("requests are accepted by {peer} gateway")
def when_peer(context, peer):
    context.end = context.stream.find_end(context.plan, peer == "another")


@then("the stream is ended {end_s:g} s after the signal")
def then_ended(context, end_s):
    assert abs(context.end - end_s) <= 0.02, context.end


@when(
    "the last open requests are ended {ended_s:g} s after a signal "
    "with a grace time of {grace_s:g} s"
)
def when_last_ended(context, ended_s, grace_s):
    plan = StopPlan.make(0.0, grace_s)
    times = [number * STEP_S for number in range(int(grace_s / STEP_S))]
    context.over_s = next(
        now for now in times if plan.is_over(ended_s if now >= ended_s else None, now)
    )


@then("the process ends at most {over_s:g} s after the signal")
def then_over(context, over_s):
    assert abs(context.over_s - over_s) <= 0.015, context.over_s


@given("a process whose event loop was checked every {pause_s:g} s for {length_s:g} s")
def given_checked(context, pause_s, length_s):
    context.monitor = LoopMonitor(0.0)
    for number in range(round(length_s / pause_s) + 1):
        context.monitor.record_check(number * pause_s)
    context.checked_until = length_s


@when("it is suspended for {suspended_s:g} s and handles a stop signal {later_s:g} s later")
def when_suspended(context, suspended_s, later_s):
    resumed_at = context.checked_until + suspended_s
    context.monitor.record_check(resumed_at)
    now = resumed_at + later_s
    context.before_s = now - context.monitor.estimate_signal_time(now)


@then("the signal counts as sent {before_s:g} s before that")
def then_sent_before(context, before_s):
    assert abs(context.before_s - before_s) < 0.01, context.before_s


async def open_and_send(harness, data, port=FRONT_PORT, receive_buffer=None):
    """Connect, send bytes and return the connection; its answer isn't read."""
    sock = trio.socket.socket()
    if receive_buffer is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    await sock.connect((harness.host, port))
    stream = trio.SocketStream(sock)
    await stream.send_all(data)
    return stream


class StopObstacle:
    """What may keep a stopping process from its end."""

    def __init__(self, text):
        self.text = text
        self.log = subprocess.DEVNULL
        self.streams = []

    async def prepare(self, harness):
        """Start the process, and set up what doesn't depend on the signal."""
        reader = None
        if self.text == "a full log":
            reader, self.log = os.pipe()
            os.set_blocking(self.log, False)
            try:
                while True:
                    os.write(self.log, bytes(4096))
            except BlockingIOError:
                os.set_blocking(self.log, True)
        await harness.start(self.log)
        for upstream in harness.upstreams.values():
            upstream.pause_s = 2.0
            if self.text == "a caller that reads nothing":
                upstream.n_padding_bytes = 8_000_000
        n_streams = 60 if self.text == "60 open streams" else 1
        for number in range(n_streams):
            self.streams.append(await open_and_send(harness, make_head("/stream/1", f"s{number}")))
        if self.text == "a caller that reads nothing":
            head = make_head("/safe/1", "slow")
            self.streams.append(await open_and_send(harness, head, receive_buffer=4096))
        if self.text == "a request that arrives in part":
            self.streams.append(await open_and_send(harness, make_head("/safe/1", "part")[:40]))
        if self.text == "a peer that doesn't read its table copy":
            self.streams.append(await open_and_send(harness, b"\x91", PEER_PORT, 4096))
        if self.text == "a store that doesn't answer":
            harness.store.fault = StoreFault.SILENT
        await trio.sleep(0.3)

    async def signal_stop(self, process):
        """Send the stop signal; return its time."""
        match = re.search(r"suspension of ([\d.]+) s", self.text)
        if match:
            process.send_signal(signal.SIGSTOP)
            await trio.sleep(SIGNAL_DELAY_S)
        sent_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        if match:
            await trio.sleep(float(match[1]))
            process.send_signal(signal.SIGCONT)
        return sent_at


@when("the process gets a stop signal amid {text}")
def when_stop_amid(context, text):
    async def act(harness):
        obstacle = StopObstacle(text)
        await obstacle.prepare(harness)
        sent_at = await obstacle.signal_stop(harness.process)
        with trio.move_on_after(KILL_S):
            await harness.process.wait()
        context.exit_s = time.monotonic() - sent_at
        context.exit_code = harness.process.returncode

    context.harness.run(act)


@then("it exits with {code:d} at most {limit_s:g} s after the signal")
def then_exits(context, code, limit_s):
    assert context.exit_code == code, (context.exit_code, context.exit_s)
    assert context.exit_s <= limit_s, context.exit_s


class StoppedStream:
    """A caller's stream at a gateway that stops."""

    def __init__(self, path, number):
        self.path = path
        self.attempt_id = f"s{number}"
        self.answer = None
        self.ended_at = None
        self.next_answer = None

    async def run(self, host):
        """Read the stream until it ends, in whatever way."""
        self.answer = await exchange(host, self.path, self.attempt_id)
        self.ended_at = trio.current_time()

    async def resume(self, host):
        """Go on with the stream after its last event."""
        last_id, _ = list(split_events(self.answer.body))[-1]
        self.next_answer = await exchange(host, self.path, f"{self.attempt_id}b", str(last_id))

    @property
    def event_ids(self):
        """Ids of the events that both answers have had."""
        bodies = (self.answer.body, self.next_answer.body if self.next_answer else b"")
        return [number for body in bodies for number, _ in split_events(body)]


async def stop_amid_streams(context, harness, path, expected_s, pause_s, n):
    """Run streams at the gateway and stop it once all have begun."""
    for upstream in harness.upstreams.values():
        upstream.pause_s = pause_s
    learn_duration(harness.gateway, expected_s)
    context.streams = [StoppedStream(path, number) for number in range(n)]
    async with trio.open_nursery() as nursery:
        for stream in context.streams:
            nursery.start_soon(stream.run, harness.host)
        await harness.wait_for(lambda: len(harness.calls) >= n)
        context.stopped_at = trio.current_time()
        harness.stop.set()


@when(
    "the gateway stops with {n:d} streams of 6 events each {pause_s:g} s at {path}, "
    "{expected_s:g} s expected, and {peer} other gateway accepts requests"
)
def when_stops_amid_streams(context, n, pause_s, path, expected_s, peer):
    async def act(harness):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(report_peer, harness.gateway, peer == "no")
            await stop_amid_streams(context, harness, path, expected_s, pause_s, n)
            nursery.cancel_scope.cancel()

    context.harness.run(act)


@then("they end {state} between {first_s:g} s and {last_s:g} s after the stop")
def then_end_between(context, state, first_s, last_s):
    ends = [stream.ended_at - context.stopped_at for stream in context.streams]
    answers = [stream.answer for stream in context.streams]
    assert all(answer.is_complete == (state == "complete") for answer in answers), answers
    assert first_s <= min(ends) and max(ends) <= last_s, sorted(ends)


@when(
    "the gateway stops with {n:d} streams that last longer than it, "
    "and their callers return to another one"
)
def when_callers_return(context, n):
    async def act(harness):
        async with PlatformStore(harness.store_address) as feed, trio.open_nursery() as nursery:
            await harness.start_second_gateway(feed, nursery)
            await harness.wait_for(harness.second_gateway.is_ready)
            peers = harness.gateway.peers
            await harness.wait_for(lambda: peers.has_accepting_peer(harness.gateway.clock.now()))
            await stop_amid_streams(context, harness, "/stream/1", 12.0, 2.0, n)
            for upstream in harness.upstreams.values():
                upstream.pause_s = 0.0
            async with trio.open_nursery() as returns:
                for stream in context.streams:
                    returns.start_soon(stream.resume, harness.second_gateway.settings.front.host)
            nursery.cancel_scope.cancel()

    context.harness.run(act)


@then("each stream is complete and has each event once")
def then_each_event_once(context):
    assert all(stream.next_answer.is_complete for stream in context.streams)
    ids = [stream.event_ids for stream in context.streams]
    assert all(event_ids == [1, 2, 3, 4, 5, 6] for event_ids in ids), ids


@then(
    "the callers have returned within at least {span_s:g} s, "
    "none before {first_s:g} s after the stop"
)
def then_spread(context, span_s, first_s):
    ends = [stream.ended_at - context.stopped_at for stream in context.streams]
    assert min(ends) >= first_s and max(ends) - min(ends) >= span_s, sorted(ends)


@given("every attempt is rejected as not run")
def given_all_rejected(context):
    for upstream in context.harness.upstreams.values():
        upstream.faults = RepeatedFault([UpstreamFault.FULL])


@when("the gateway stops while a stream that takes {expected_s:g} s waits for an upstream")
def when_stops_amid_wait(context, expected_s):
    async def act(harness):
        learn_duration(harness.gateway, expected_s)

        async def call():
            harness.answers.append(await exchange(harness.host, "/stream/1", "w1"))
            context.refused_s = trio.current_time() - context.stopped_at

        async with trio.open_nursery() as nursery:
            nursery.start_soon(report_peer, harness.gateway)
            async with trio.open_nursery() as calls:
                calls.start_soon(call)
                upstreams = harness.upstreams.values()
                await harness.wait_for(lambda: any(u.n_rejected for u in upstreams))
                context.stopped_at = trio.current_time()
                harness.stop.set()
            nursery.cancel_scope.cancel()

    context.harness.run(act)


@then("it was refused within {limit_s:g} s")
def then_refused_within(context, limit_s):
    assert context.refused_s <= limit_s, context.refused_s


class BusyCaller:
    """Sends requests on new connections, one after the other, until the gateway refuses them."""

    PATHS = ("/safe/1", "/unsafe/1", "/stream/1", "/once/1")

    def __init__(self, number):
        self.number = number
        self.answers = []

    async def run(self, host):
        """Send requests until no connection can be opened."""
        for turn in range(100_000):
            attempt_id = f"c{self.number}.{turn}"
            try:
                answer = await exchange(host, self.PATHS[turn % len(self.PATHS)], attempt_id)
            except OSError:
                # The process has ended, or its listener has been closed.
                return
            self.answers.append((trio.current_time(), answer))
            await trio.sleep(answer.retry_after_s or 0.0)


@when("the process gets a stop signal while {n:d} callers send requests one after the other")
def when_stop_under_load(context, n):
    async def act(harness):
        for upstream in harness.upstreams.values():
            upstream.pause_s = 0.05
        await harness.start(subprocess.DEVNULL)
        context.callers = [BusyCaller(number) for number in range(n)]
        async with trio.open_nursery() as nursery:
            for caller in context.callers:
                nursery.start_soon(caller.run, harness.host)
            await trio.sleep(1.0)
            context.stopped_at = trio.current_time()
            harness.process.send_signal(signal.SIGTERM)

    context.harness.run(act)


@then("each request that was sent is answered completely, or refused as not run")
def then_none_cut(context):
    answers = [answer for caller in context.callers for _, answer in caller.answers]
    bad = [a for a in answers if not a.is_complete or a.status not in (200, 503)]
    assert not bad, (len(bad), len(answers), bad[:5])


@then("requests were answered with {status:d} after the signal")
def then_served_after(context, status):
    ends = [item for caller in context.callers for item in caller.answers]
    n = sum(at > context.stopped_at + 0.5 and a.status == status for at, a in ends)
    assert n > 0, len(ends)


class OrderSeries:
    """Orders that are sent at an even pace, each on a connection of its own."""

    PAUSE_S = 0.1

    def __init__(self, harness):
        self.harness = harness
        #: Time at which each order was sent, and its answer.
        self.ends = []

    async def call(self, number):
        sent_at = trio.current_time()
        try:
            answer = await exchange(self.harness.host, "/unsafe/1", f"o{number}")
        except OSError:
            # The gateway's listener has been closed.
            return
        self.ends.append((sent_at, answer))

    async def send(self, numbers):
        async with trio.open_nursery() as nursery:
            for number in numbers:
                nursery.start_soon(self.call, number)
                await trio.sleep(self.PAUSE_S)


@given("the upstreams answer plain requests after {answer_s:g} s")
def given_answer_time(context, answer_s):
    for upstream in context.harness.upstreams.values():
        upstream.silence_s = answer_s
        upstream.faults = RepeatedFault([UpstreamFault.SILENT_FIRST])


@when(
    "the gateway stops after {n:d} orders, and further ones arrive each 0.1 s, "
    "with no other gateway"
)
def when_stops_amid_orders(context, n):
    async def act(harness):
        context.orders = OrderSeries(harness)
        await context.orders.send(range(n))
        context.stopped_at = trio.current_time()
        harness.stop.set()
        await context.orders.send(range(n, n + 75))

    context.harness.run(act)


@then("each order is answered, or refused as not run and told to return after the restart")
def then_orders_end(context):
    ends = [
        (round(at - context.stopped_at, 2), answer.status, answer.retry_after_s)
        for at, answer in context.orders.ends
    ]
    bad = [end for end in ends if end[1] not in (200, 503)]
    assert not bad, (len(bad), bad)
    # The process ends 7.1 s after the signal, and the next one answers 0.8 s later.
    refused = [end for end in ends if end[1] == 503]
    assert refused and all(at + retry_s >= 7.8 for at, _, retry_s in refused), refused
    n_answered = sum(status == 200 for _, status, _ in ends)
    assert len(context.harness.calls) == n_answered, (len(context.harness.calls), n_answered)


@then("orders sent until {until_s:g} s after the stop are answered")
def then_answered_until(context, until_s):
    early = [a.status for at, a in context.orders.ends if at <= context.stopped_at + until_s]
    assert set(early) == {200} and len(early) > 12, early


class LateOrders:
    """Orders that arrive in random intervals at gateways that stop, in virtual time."""

    RATE_PER_S = 10.0
    HISTORY_S = 60.0
    ROUTE = "orders"

    def __init__(self, work, seed=45):
        self.work = work
        self.rng = random.Random(seed)
        self.n_taken = self.n_cut = 0
        #: Latest time after the signal at which each gateway still took an order.
        self.last_taken_s = []

    def draw_work_s(self):
        return {
            "0.1 s": lambda: 0.1,
            "0.3 to 1.8 s": lambda: self.rng.uniform(0.3, 1.8),
            "0.2 s, or 2 s in a tenth": lambda: 2.0 if self.rng.random() < 0.1 else 0.2,
            "exponentially 0.5 s": lambda: self.rng.expovariate(2.0),
            "log-normally 1 s": lambda: self.rng.lognormvariate(0.0, 0.5),
        }[self.work]()

    def stop_gateway(self):
        """Play one gateway from 60 s before the signal, at time 0, to its end."""
        times, plan, last_s = AnswerTimes(), StopPlan.make(0.0, GRACE_S), 0.0
        now, answers = -self.HISTORY_S, []
        while (now := now + self.rng.expovariate(self.RATE_PER_S)) < plan.ends_at:
            while answers and answers[0][0] <= now:
                answered_at, work_s = heapq.heappop(answers)
                times.record(self.ROUTE, work_s, answered_at)
            plain_s = times.compute_quantile_s(self.ROUTE, ANSWER_SHARES[RouteKind.UNSAFE], now)
            if now >= 0.0 and not plan.is_accepted(RouteKind.UNSAFE, False, now, plain_s):
                continue
            work_s = self.draw_work_s()
            heapq.heappush(answers, (now + work_s, work_s))
            last_s = now
            if now > LATE_S:
                self.n_taken += 1
                self.n_cut += now + work_s > plan.answers_until
        self.last_taken_s.append(last_s)


@given("a route whose answers take {work}")
def given_work(context, work):
    context.late = LateOrders(work)


@when("{n:d} gateways stop at this load, without other gateways")
def when_gateways_stop(context, n):
    for _ in range(n):
        context.late.stop_gateway()


@then("at most 1 in {n:d} of the orders that they took later than {late_s:g} s is cut")
def then_few_cut(context, n, late_s):
    late = context.late
    assert late_s == LATE_S and late.n_taken > 100, late.n_taken
    assert late.n_cut <= late.n_taken / n, (late.n_cut, late.n_taken)


@then("half of the gateways take orders until {until_s:g} s after the signal, or later")
def then_taken_until(context, until_s):
    median = sorted(context.late.last_taken_s)[len(context.late.last_taken_s) // 2]
    # The last order before that time comes up to some tenths of a second earlier.
    assert median >= until_s - 0.3, median


@when("an order arrives for a route whose requests may take {limit_s:g} s")
def when_short_order(context, limit_s):
    context.harness.run(lambda harness: harness.call("/short/1", method="POST"))


@then("the route's orders are expected to take at least {least_s:g} s")
def then_expected(context, least_s):
    gateway = context.harness.gateway
    times = gateway.attempt_manager.pace.plain_times
    share = ANSWER_SHARES[RouteKind.UNSAFE]
    expected_s = times.compute_quantile_s("short", share, gateway.clock.now())
    assert expected_s >= least_s, expected_s
