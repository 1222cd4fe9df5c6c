"""Steps of warmup.feature, with a small model of an engine in virtual time."""

import heapq

from behave import given, then, when
from hypothesis import given as given_random
from hypothesis import settings
from hypothesis import strategies as st

from crocusvalve.base import UpstreamState
from crocusvalve.limits._warmup import LimiterPhase, WarmupLimiter

WARM, COLD = UpstreamState.WARM, UpstreamState.COLD
N_TOKENS = 20
TOKEN_S = 0.01


class EngineModel:
    """Engine whose capacity rises while it warms up; it crashes when started above its capacity.

    Parameters
    ----------
    cold_capacity : int
        Concurrent requests that the engine can run right after its boot.
    warm_s : float
        Time from boot to the warm state in seconds.
    """

    def __init__(self, cold_capacity, warm_s):
        self.cold_capacity, self.warm_s = cold_capacity, warm_s
        self.n_boots = 0
        self.n_crashes = 0
        self.boot(0.0)

    def boot(self, now):
        self.n_boots += 1
        self.booted_at = now
        self.running = []

    def compute_warm_share(self, now):
        return min(1.0, (now - self.booted_at) / self.warm_s)

    def start(self, now):
        capacity = self.cold_capacity + self.compute_warm_share(now) * 100
        if len(self.running) + 1 > capacity:
            self.n_crashes += 1
            return None
        slowdown = 3.0 - 2.0 * self.compute_warm_share(now)
        end = now + N_TOKENS * TOKEN_S * slowdown * (1 + 0.03 * len(self.running))
        heapq.heappush(self.running, (end, now))
        return end


class WarmupSubject:
    """Runs a limiter and an engine in virtual time.

    ``warm_after_s`` is the time from the engine's last boot until the limit reached the warm limit.
    """

    def __init__(self, low, high, cold_capacity, warm_s):
        self.limiter = WarmupLimiter(cold_limit=low, warm_limit=high)
        self.engine = EngineModel(cold_capacity, warm_s)
        self.now = 0.0
        self.warm_after_s = None

    def serve(self, n_waiting, seconds):
        until = self.now + seconds
        while self.now < until and not self.engine.n_crashes:
            self.tick()
            while n_waiting and self.limiter.try_start():
                n_waiting -= 1
                if self.engine.start(self.now) is None:
                    return
            if self.warm_after_s is None and self.limiter.limit == self.limiter.warm_limit:
                self.warm_after_s = self.now - self.engine.booted_at
            self.now += 0.01

    def tick(self):
        engine, limiter = self.engine, self.limiter
        state = WARM if engine.compute_warm_share(self.now) >= 1.0 else COLD
        limiter.handle_health_report(state=state, engine_boot=str(engine.n_boots))
        while engine.running and engine.running[0][0] <= self.now:
            _, started_at = heapq.heappop(engine.running)
            limiter.finish(
                self.now,
                generation=limiter.generation,
                service_s=self.now - started_at,
                n_tokens=N_TOKENS,
                is_success=True,
            )

    def restart(self):
        for _ in self.engine.running:
            self.limiter.abandon()
        self.engine.boot(self.now)
        self.warm_after_s = None


def finish(
    limiter, *, generation=None, token_s=TOKEN_S, is_success=True, now=100.0, n_tokens=N_TOKENS
):
    limiter.try_start()
    limiter.finish(
        now,
        generation=limiter.generation if generation is None else generation,
        service_s=token_s * N_TOKENS,
        n_tokens=n_tokens,
        is_success=is_success,
    )


def slow_down(limiter):
    for _ in range(5):
        finish(limiter)
    for _ in range(20):
        finish(limiter, token_s=TOKEN_S * 40)


def fail_twice(limiter):
    finish(limiter, is_success=False, now=100.0)
    finish(limiter, is_success=False, now=100.1)


def serve_with_outliers(limiter, **outlier):
    for i in range(40):
        is_outlier = i % 20 == 10 or (i > 5 and "n_tokens" in outlier)
        finish(limiter, **(outlier if is_outlier else {}))


def serve_cold(limiter):
    limiter.handle_health_report(state=COLD, engine_boot="b1")
    for _ in range(20):
        finish(limiter)


EVENTS = {
    "a new run of the engine": lambda lim: lim.handle_health_report(state=WARM, engine_boot="b2"),
    "a cold state": lambda lim: lim.handle_health_report(state=COLD, engine_boot="b1"),
    "a refused connection": lambda lim: lim.reset_to_cold(),
    "a sudden slow-down": slow_down,
    "a failure": lambda lim: finish(lim, is_success=False),
    "two failures in one round": fail_twice,
    "one slow request among fast ones": lambda lim: serve_with_outliers(lim, token_s=100 * TOKEN_S),
    "short answers to long prompts": lambda lim: serve_with_outliers(lim, n_tokens=1, token_s=0.2),
    "a failure of a request from before a reset": lambda lim: finish(
        lim, generation=-1, is_success=False
    ),
    "good service in a cold state": serve_cold,
    "an unchanged health report": lambda lim: lim.handle_health_report(
        state=WARM, engine_boot="b1"
    ),
    "narrower bounds": lambda lim: lim.set_bounds(1, 4),
}
HEALTH = {
    "warm": {"state": WARM},
    "warm for 5 seconds": {"state": WARM, "uptime_s": 5.0},
    "warm for 100 seconds": {"state": WARM, "uptime_s": 100.0},
    "cold": {"state": COLD},
    "no state": {"state": None},
}


@given(
    "a limiter from {low:d} to {high:d} in front of an engine with a cold capacity of {n:d}"
    " that warms up in {warm_s:d} s"
)
def given_engine(context, low, high, n, warm_s):
    context.subject = WarmupSubject(low, high, n, float(warm_s))


@when("{n:d} requests wait for {seconds:d} seconds")
def when_wait(context, n, seconds):
    context.subject.serve(n, seconds)


@when("the engine restarts and {n:d} requests wait for {seconds:d} seconds")
def when_restarts(context, n, seconds):
    context.subject.restart()
    context.subject.serve(n, seconds)


@then("the engine was never overloaded and the limit reached {limit:d}")
def then_not_overloaded(context, limit):
    subject = context.subject
    assert subject.engine.n_crashes == 0
    assert subject.limiter.limit == limit, subject.limiter.limit
    assert subject.limiter.phase is LimiterPhase.WARM
    print(f"warm limit reached {subject.warm_after_s:.2f} s after the engine's start")


@then("the engine crashed")
def then_crashed(context):
    assert context.subject.engine.n_crashes
    print(f"crashed {context.subject.now:.2f} s after the engine's start")


@given("a {state} limiter from {low:d} to {high:d}")
def given_limiter(context, state, low, high):
    context.limiter = WarmupLimiter(cold_limit=low, warm_limit=high)
    if state == "warm":
        context.limiter.handle_health_report(state=WARM, engine_boot="b1")
        assert context.limiter.limit == high


@when("the first health report gives {health}")
def when_first(context, health):
    context.limiter.handle_health_report(engine_boot="b1", **HEALTH[health])


@when("the limiter handles {event}")
def when_event(context, event):
    EVENTS[event](context.limiter)


@then("the limit is {limit:d}")
def then_limit(context, limit):
    assert context.limiter.limit == limit, context.limiter.limit


@when("a limiter handles {n:d} random sequences of events")
def when_random(context, n):
    context.n_starts = 0
    names = st.lists(st.sampled_from(["start", "start", "end", *EVENTS]), max_size=60)

    @settings(max_examples=n, derandomize=True, database=None, deadline=None)
    @given_random(names=names)
    def run_events(names):
        limiter = WarmupLimiter(cold_limit=2, warm_limit=16)
        for name in names:
            before = limiter.in_flight
            if name == "start":
                if limiter.try_start():
                    assert before + 1 <= limiter.limit
                    context.n_starts += 1
            elif name == "end" and before:
                limiter.abandon()
            elif name in EVENTS and before < limiter.limit:
                EVENTS[name](limiter)
            assert limiter.cold_limit <= limiter.limit <= limiter.warm_limit

    run_events()


@then("no start was above the limit")
def then_none_above(context):
    assert context.n_starts > 100
