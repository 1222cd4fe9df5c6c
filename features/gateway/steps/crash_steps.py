"""Steps for requests whose prompts have a part that crashes upstreams."""

import trio
from behave import given, then, when

from crocusvalve.standin import CallerAnswer, StandinCaller
from features.gateway.gateway_harness import API_KEY, FRONT_PORT, GatewayHarness

CRASH_PART, SHARED_PART = "bad0bad0", "aa01aa01"
CONTACT_S = 3.0
PAUSE_S = 0.05
UPSTREAM_EVENT_PAUSE_S = 0.15


class CrashDay:
    """Requests of one route, some with the part that crashes upstreams.

    Attributes
    ----------
    crashed_at : list of float
        Times of the crashes.
    arrivals : list of (float, str)
        Time at which each request with the part was sent by its caller, once for each arrival at an
        upstream, and its id.
    began : list of (float, bool)
        Time at which each sound request was sent, and whether its answer began.
    """

    def __init__(self, harness, is_first):
        self.harness = harness
        self.is_first = is_first
        self.crashed_at = []
        self.arrivals = []
        self.began = []
        self.sent_at = {}

    def make_prompt(self, number, is_bad):
        """Return the parts of a prompt; the last one is its own."""
        own, document = f"{0xC000 + number:x}", f"{0xD000 + number % 5:x}"
        parts = [SHARED_PART, CRASH_PART if is_bad else document, own]
        if self.is_first and is_bad:
            parts = [CRASH_PART, document, own]
        return ",".join(f"{part}:100" for part in parts)

    def follow(self):
        """Record crashes and arrivals at the upstreams, and let them register when they start."""
        for name, upstream in self.harness.upstreams.items():
            upstream.crash_part = CRASH_PART
            upstream.pause_s = UPSTREAM_EVENT_PAUSE_S
            upstream.on_start = lambda name=name, upstream=upstream: self._register(name, upstream)
            upstream.crash = self._record(upstream, upstream.crash)
            upstream.record_run = self._record_run(upstream)

    def _record(self, upstream, crash):
        def record_crash():
            self.crashed_at.append(trio.current_time())
            crash()

        return record_crash

    def _record_run(self, upstream):
        def record_run(call, fault):
            if upstream.has_crash_part(call):
                self.arrivals.append((self.sent_at[call.attempt_id], call.attempt_id))

        return record_run

    def _register(self, name, upstream):
        for service in self.harness.services[name]:
            entry = upstream.make_entry(service, f"domain-{name}")
            entry["born"] += 1000
            self.harness.store.put("servers", f"{name}-{service}", entry)

    async def run(self, span_s):
        """Send the requests."""
        async with trio.open_nursery() as nursery:
            for number in range(int(span_s / PAUSE_S)):
                nursery.start_soon(self._call, number, number % 3 == 1)
                await trio.sleep(PAUSE_S)

    async def _call(self, number, is_bad):
        attempt_id = f"a{number}"
        self.sent_at[attempt_id] = sent_at = trio.current_time()
        lines = [
            f"GET /once/{number} HTTP/1.1",
            "Host: api.example",
            f"X-Attempt-Id: {attempt_id}",
            f"Authorization: Bearer {API_KEY}",
            "Accept: text/event-stream",
            f"X-Prefix-Hash: {self.make_prompt(number, is_bad)}",
            "X-Token-Usage: 300,20",
        ]
        stream = await trio.open_tcp_stream(self.harness.host, FRONT_PORT)
        answer = CallerAnswer()
        async with stream:
            await stream.send_all(("\r\n".join(lines) + "\r\n\r\n").encode())
            caller = StandinCaller(stream)
            caller.expect_answer("GET")
            with trio.move_on_after(8.0):
                await caller.read(answer)
        if not is_bad:
            self.began.append((sent_at, answer.status == 200))


@given(
    "a gateway with two upstreams that crash when they begin to answer a prompt with a certain part"
)
def given_crashing_upstreams(context):
    context.harness = GatewayHarness()


@when(
    "for {span_s:d} s 20 requests per second arrive, a third of them different ones with that "
    "part, {place}"
)
def when_crashing_requests(context, span_s, place):
    async def act(harness):
        context.day = CrashDay(harness, is_first="beginning" in place)
        context.day.follow()
        await context.day.run(span_s)

    context.harness.run(act)


@then(
    "at most {n:d} requests with the part reach upstreams later than {after_s:d} s after the fifth crash"
)
def then_few_reach(context, n, after_s):
    day = context.day
    assert len(day.crashed_at) >= 3, day.crashed_at
    if len(day.crashed_at) < 5:
        return
    late = [row for row in day.arrivals if row[0] > day.crashed_at[4] + after_s]
    assert len(late) <= n, (len(late), len(day.crashed_at))


@then(
    "of the sound requests from {after_s:d} s after the fifth crash on at least half begin at the "
    "first attempt"
)
def then_sound_served(context, after_s):
    day = context.day
    since = (day.crashed_at[4] if len(day.crashed_at) >= 5 else day.crashed_at[-1]) + after_s
    since = min(since, max(sent_at for sent_at, _ in day.began) - 1.0)
    began = [is_begun for sent_at, is_begun in day.began if sent_at >= since]
    assert len(began) >= 10 and sum(began) >= len(began) / 2, (sum(began), len(began))
