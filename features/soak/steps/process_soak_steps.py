"""Steps about runs of gateway processes and their judge."""

import os

from behave import given, then, when

from crocusvalve.soak.processes import (
    Acknowledged,
    Attempt,
    CallKind,
    ProcessSoakSettings,
    ServiceHistory,
    SoakBounds,
    SoakJudge,
    run_process_soak,
)
from crocusvalve.standin import N_EVENTS, CallerRequest, ReceivedRequest, UpstreamFault, make_event

START_S = 1_000.0
SERVICE = "ops"
UPSTREAM = "ops-001"
GATEWAY = "gateway-1"
CUSTOMER = "first"


class JudgeWorld:
    """A judge with one request, sent just now, and a clock that is set by hand."""

    def __init__(self, kind):
        self.now = START_S
        self.judge = SoakJudge(SoakBounds(), lambda: self.now)
        self.judge.domains = {UPSTREAM: "domain-1", "ops-002": "domain-2", "ops-003": "domain-3"}
        self.judge.routes = {kind.value: ServiceHistory([(0.0, SERVICE)])}
        self.kind = kind
        self.attempt = self.send("a1")

    def send(self, name):
        req = CallerRequest(
            method="GET" if self.kind is CallKind.SAFE else "POST",
            path=f"/{self.kind.value}/{name}",
            attempt_id=name,
            key="key",
            deadline_s=4.0,
            body=b"body",
            is_stream=self.kind.is_stream,
        )
        attempt = Attempt(
            req=req, kind=self.kind, customer=CUSTOMER, gateway=GATEWAY, sent_at=self.now
        )
        self.judge.note_sent(attempt)
        return attempt

    def run(self, attempt=None, *, upstream=UPSTREAM, service=SERVICE, body=None, **headers):
        attempt = attempt or self.attempt
        req = attempt.req
        fields = {
            "x-attempt-id": req.attempt_id,
            "x-tenant": CUSTOMER,
            "x-deadline-ms": "3000",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        call = ReceivedRequest(req.method, req.path, fields, req.body if body is None else body)
        self.judge.record_run(upstream, service, call, UpstreamFault.NONE)

    def answer(self, status, body=b"", *, name="a1", is_signed=True, attempt=None):
        attempt = attempt or self.attempt
        answer = attempt.answer
        answer.status, answer.body, answer.is_complete = status, body, True
        answer.headers = {"x-attempt-id": name}
        if is_signed:
            answer.headers["x-response-signature"] = "s"
        self.judge.note_end(attempt)

    def make_body(self, upstream=UPSTREAM):
        req = self.attempt.req
        return f"{req.method} {req.path} {len(req.body)} by {upstream}".encode()

    def make_events(self, numbers):
        return b"".join(make_event(self.attempt.req.path, number) for number in numbers)

    def run_late(self, n):
        """Let requests run 0.6 s after their callers have left."""
        attempts = [self.send(f"b{number}") for number in range(n)]
        for attempt in attempts:
            attempt.left_at = self.now
        self.now += 0.6
        for attempt in attempts:
            self.run(attempt)

    def move_route(self):
        self.judge.routes = {self.kind.value: ServiceHistory([(0.0, "old"), (900.0, SERVICE)])}

    def leave(self, ago_s, is_stable=True):
        self.judge.left[UPSTREAM] = Acknowledged(self.now - ago_s, is_stable)


def see_two_runs(world):
    world.run()
    world.run(upstream="ops-002")
    world.answer(200, world.make_body("ops-002"))


def see_third_run(world):
    for number in (1, 2, 3):
        world.run(upstream=f"ops-00{number}")


def see_no_answer(world, *, after_s=0.1, has_run=True):
    if has_run:
        world.run()
    world.now += after_s
    world.judge.note_end(world.attempt)


def see_disturbed(world):
    world.run()
    world.judge.calm.touch(UPSTREAM, world.now)
    world.judge.note_end(world.attempt)


def see_left_by_paused(world):
    world.judge.calm.begin(GATEWAY)
    world.leave(100.0)
    world.run()


def see_refusal_after_run(world):
    world.run()
    world.answer(503, is_signed=False)


def see_run_after_refusal(world):
    world.answer(503, is_signed=False)
    world.run()


def see_answer(world, *args, **kwargs):
    world.run()
    world.answer(*args, **kwargs)


def see_second_late(world, left_ms):
    world.run(x_deadline_ms="4000")
    world.now += 1.0
    world.run(upstream="ops-002", x_deadline_ms=left_ms)


def see_late(world):
    world.now += 1.0
    world.run(x_deadline_ms="4000")


def see_second_run(world):
    world.run()
    world.run(upstream="ops-002")


SIGHTS = {
    "a run that nobody asked for": lambda world: world.run(x_attempt_id="other"),
    "a run with another body": lambda world: world.run(body=b"other"),
    "a run as another customer": lambda world: world.run(x_tenant="second"),
    "a run with the caller's key": lambda world: world.run(authorization="Bearer key"),
    "a second run": see_second_run,
    "a third run": see_third_run,
    "a second run 1 s later with the whole time": lambda world: see_second_late(world, "4000"),
    "a second run 1 s later with the rest of the time": lambda world: see_second_late(
        world, "3000"
    ),
    "a run 1 s late with the whole time": see_late,
    "a run with 6 s where the caller waits 4 s": lambda world: world.run(x_deadline_ms="6000"),
    "a refusal after a run": see_refusal_after_run,
    "a run after a refusal": see_run_after_refusal,
    "5 runs after callers have left": lambda world: world.run_late(5),
    "3 runs after callers have left": lambda world: world.run_late(3),
    "an answer of another request": lambda world: see_answer(
        world, 200, world.make_body(), name="a2"
    ),
    "an answer without signature": lambda world: see_answer(
        world, 200, world.make_body(), is_signed=False
    ),
    "an answer with other bytes": lambda world: see_answer(world, 200, b"other"),
    "a signed failure that no upstream gave": lambda world: see_answer(world, 500, b"other"),
    "a whole stream": lambda world: see_answer(
        world, 200, world.make_events(range(1, N_EVENTS + 1))
    ),
    "a stream without its third event": lambda world: see_answer(
        world, 200, world.make_events(n for n in range(1, N_EVENTS + 1) if n != 3)
    ),
    "a stream with an event twice": lambda world: see_answer(
        world, 200, world.make_events([1, 2, 2, *range(3, N_EVENTS + 1)])
    ),
    "status 404": lambda world: world.answer(404, is_signed=False),
    "a run on a service of no configuration": lambda world: world.run(service="never"),
    "a run on a service that was moved from long ago": lambda world: (
        world.move_route(),
        world.run(service="old"),
    ),
    "a run on an upstream that left long ago": lambda world: (world.leave(2.1), world.run()),
    "a run on an upstream that left just now": lambda world: (world.leave(1.9), world.run()),
    "a run on an upstream that left 6 s ago, in an outage of the store": lambda world: (
        world.leave(6.0, is_stable=False),
        world.run(),
    ),
    "a run on an upstream that left 8 s ago, in an outage of the store": lambda world: (
        world.leave(8.0, is_stable=False),
        world.run(),
    ),
    "a run on an upstream that left, by a paused gateway": see_left_by_paused,
    "a run in a domain that was out for long": lambda world: (
        world.judge.evacuated.update({"domain-1": Acknowledged(world.now - 5.1, True)}),
        world.run(),
    ),
    "no answer after a run": see_no_answer,
    "no answer at its deadline": lambda world: see_no_answer(world, after_s=4.6, has_run=False),
    "no answer before it ran": lambda world: see_no_answer(world, has_run=False),
    "no answer while its upstream was disturbed": see_disturbed,
    "two runs and the answer of one": see_two_runs,
}


@given("a judge that knows a request of kind {kind}")
def given_judge(context, kind):
    context.world = JudgeWorld(CallKind(kind))


@when("it sees {sight}")
def when_sees(context, sight):
    SIGHTS[sight](context.world)


@when("a bad version is completed")
def when_completed(context):
    context.world.judge.check_version("llm", "v2", is_good=False, state="complete")


@then("it reports {promise}")
def then_reports(context, promise):
    expected = set() if promise == "nothing" else {promise}
    violations = context.world.judge.violations
    assert {row.promise.value for row in violations} == expected, violations


@when("gateway processes run with seed {seed:d} for {seconds:g} s of faults")
def when_processes(context, seed, seconds):
    context.report = run_process_soak(ProcessSoakSettings(seed=seed, seconds=seconds))


@then("no promise is broken")
def then_kept(context):
    assert not context.report.violations, context.report


@then("service came back and at least {n:d} requests were served")
def then_served(context, n):
    report = context.report
    assert report.recovered_s is not None and report.n_served >= n, report


@then("no process of the run is left")
def then_none_left(context):
    children = f"/proc/{os.getpid()}/task/{os.getpid()}/children"
    with open(children) as file:
        assert not file.read().strip()


@when("a soak of processes is asked for with {name} {value:d}")
def when_wrong_size(context, name, value):
    context.error = None
    try:
        run_process_soak(ProcessSoakSettings(**{name: value}))
    except ValueError as exc:
        context.error = exc


@then("the error names {name} and its range")
def then_range(context, name):
    assert context.error is not None and str(context.error).startswith(f"{name} must be from 1 to")
