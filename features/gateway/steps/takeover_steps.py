"""Steps for the takeover of silent streams."""

import re

import trio
import trio.testing
from behave import given, then, when

from crocusvalve.gateway.flows._takeover import StandbySource, Takeover
from crocusvalve.gateway.upstreams._stream_attempt import AttemptEnd, StreamStep
from crocusvalve.standin import UpstreamFault, make_event
from features.gateway.steps.closure_steps import RepeatedFault, request

#: Time that a further attempt has for its first event, in seconds.
FIRST_EVENT_S = 4.0
FOREVER_S = 1000.0


class FakeAttempt:
    """An attempt that replies, and then has events or ends, at given times.

    Parameters
    ----------
    reply_s, step_s : float
        Times from the start of a read to the head of the reply and to ``step``, in seconds.
    """

    def __init__(self, step, reply_s=0.0, step_s=FOREVER_S):
        self.step = step
        self.reply_s = reply_s
        self.step_s = step_s
        self.has_reply = False
        self.is_closed = False
        self.replied_at = None
        self.closed_at = None
        self.end = None
        self.is_final = False
        self.has_failed = False

    async def send(self):
        await trio.lowlevel.checkpoint()

    async def read_reply(self):
        await trio.sleep(self.reply_s)
        if self.step.end is not None and self.step_s <= self.reply_s:
            self.end = self.step.end
            self.has_failed = True
            return self.step
        self.has_reply = True
        self.replied_at = trio.current_time()
        return None

    async def read_progress(self):
        if not self.has_reply:
            await self.read_reply()
        await trio.sleep(self.step_s - self.reply_s)
        return self.step

    async def close(self):
        self.is_closed = True
        self.closed_at = trio.current_time()

    def record_late(self):
        """A gateway would record this as the upstream's outcome."""


class FakeSource(StandbySource):
    """Attempts that were made beforehand; the last one is repeated."""

    def __init__(self, make_attempts):
        self.make_attempts = make_attempts
        self.attempts = []

    def may_start_standby(self):
        return True

    def start_standby(self, silent):
        make = self.make_attempts[min(len(self.attempts), len(self.make_attempts) - 1)]
        if make is None:
            return None
        self.attempts.append(make())
        return self.attempts[-1]

    def compute_first_event_s(self, attempt):
        return FIRST_EVENT_S

    def record_failure(self, attempt, end):
        """A gateway would not ask this upstream again."""


def parse_attempt(text):
    """Return a function that makes the attempt that a text describes; None if it can't start."""
    seconds = float(number.group()) if (number := re.search(r"[\d.]+", text)) else FOREVER_S
    if text.startswith("can't"):
        return None
    if "rejected" in text:
        return lambda: FakeAttempt(StreamStep(end=AttemptEnd.NOT_RUN), 0.01, 0.01)
    if "break" in text:
        return lambda: FakeAttempt(StreamStep(end=AttemptEnd.LOST), seconds, seconds)
    if "nothing" in text:
        return lambda: FakeAttempt(StreamStep(["event"]), FOREVER_S)
    reply_s = 0.0 if "reply" in text else seconds
    return lambda: FakeAttempt(StreamStep(["event"]), reply_s, seconds)


@given("a silent attempt that {text}")
def given_silent(context, text):
    context.current = parse_attempt(text)()
    context.current.has_reply = True
    context.current.reply_s = 0.0


@given("an attempt without a reply that {text}")
def given_without_reply(context, text):
    context.current = parse_attempt(text)()


@given("further attempts that {text}")
def given_standbys(context, text):
    context.source = FakeSource([parse_attempt(part) for part in text.split(", then ")])


@when("a takeover is sought")
def when_sought(context):
    async def run():
        started_at = trio.current_time()
        context.result = await Takeover(context.current, context.source).run()
        context.elapsed_s = trio.current_time() - started_at
        context.ended_at = trio.current_time()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.0))


@then("{winner} goes on after {seconds:g} s and all other attempts are closed")
def then_winner(context, winner, seconds):
    result, attempts = context.result, context.source.attempts
    number = re.search(r"\d+", winner)
    expected = attempts[int(number.group()) - 1] if number else context.current
    assert result.attempt is expected, (result, attempts)
    assert (winner == "none") == (result.step is not None and result.step.end is not None), result
    assert seconds - 0.05 <= context.elapsed_s <= seconds + 0.25, context.elapsed_s
    others = {context.current, *attempts} - {expected}
    assert not expected.is_closed and all(attempt.is_closed for attempt in others)


@then("two upstreams have worked on the stream at once for at most {seconds:g} s")
def then_overlap(context, seconds):
    current_until = context.current.closed_at or context.ended_at
    for attempt in context.source.attempts:
        if attempt.replied_at is not None:
            until = min(current_until, attempt.closed_at or context.ended_at)
            assert until - attempt.replied_at <= seconds, (attempt.replied_at, until)


@given("both upstreams are silent for {silence_s:g} s within each stream")
def given_both_silent(context, silence_s):
    for upstream in context.harness.upstreams.values():
        upstream.faults = RepeatedFault([UpstreamFault.SILENT])
        upstream.silence_s = silence_s


@when("callers open {n:d} streams at {path} at once")
def when_open_streams(context, n, path):
    async def act(harness):
        async with trio.open_nursery() as nursery:
            for _ in range(n):
                nursery.start_soon(request, harness, path)

    context.harness.run(act)


@then("each caller gets events 1 to {last:d} after one run")
def then_each_whole(context, last):
    harness = context.harness
    expected = b"".join(make_event("/stream/1", n) for n in range(1, last + 1))
    assert all(a.is_complete and a.body == expected for a in harness.answers), harness.answers
    assert len(harness.calls) == len(harness.answers), len(harness.calls)
