"""Steps about runs of gateway processes and their judge."""

import os

from behave import given, then, when

from crocusvalve.soak.processes import (
    Acknowledgement,
    Attempt,
    CallKind,
    GuaranteeChecker,
    ProcessSoakSettings,
    ServiceHistory,
    SoakBounds,
    run_process_soak,
)
from crocusvalve.standin import N_EVENTS, PageCall, PageRequest, UpstreamFault, make_event

START_S = 1_000.0
SERVICE = "ops"
UPSTREAM = "ops-001"
GATEWAY = "gateway-1"
CUSTOMER = "first"


class CheckerHarness:
    """A judge with one request, sent just now, and a clock that is set by hand."""

    def __init__(self, kind):
        self.now = START_S
        self.checker = GuaranteeChecker(SoakBounds(), lambda: self.now)
        self.checker.upstream_domains = {
            UPSTREAM: "domain-1",
            "ops-002": "domain-2",
            "ops-003": "domain-3",
        }
        self.checker.routes = {kind.value: ServiceHistory([(0.0, SERVICE)])}
        self.kind = kind
        self.attempt = self.send("a1")

    def send(self, name):
        req = PageRequest(
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
        self.checker.record_request(attempt)
        return attempt

    def run(self, attempt=None, *, upstream=UPSTREAM, service=SERVICE, body=None, **headers):
        attempt = attempt or self.attempt
        req = attempt.req
        fields = {
            "x-attempt-id": req.attempt_id,
            "x-tenant": CUSTOMER,
            "x-deadline-ms": "3000",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        call = PageCall(req.method, req.path, fields, req.body if body is None else body)
        self.checker.record_run(upstream, service, call, UpstreamFault.NONE)

    def answer(self, status, body=b"", *, name="a1", is_signed=True, attempt=None):
        attempt = attempt or self.attempt
        answer = attempt.answer
        answer.status, answer.body, answer.is_whole = status, body, True
        answer.headers = {"x-attempt-id": name}
        if is_signed:
            answer.headers["x-response-signature"] = "s"
        self.checker.record_end(attempt)

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
        self.checker.routes = {self.kind.value: ServiceHistory([(0.0, "old"), (900.0, SERVICE)])}

    def leave(self, ago_s, is_stable=True):
        self.checker.drained_upstreams[UPSTREAM] = Acknowledgement(self.now - ago_s, is_stable)


def see_two_runs(harness):
    harness.run()
    harness.run(upstream="ops-002")
    harness.answer(200, harness.make_body("ops-002"))


def see_third_run(harness):
    for number in (1, 2, 3):
        harness.run(upstream=f"ops-00{number}")


def see_no_answer(harness, *, after_s=0.1, has_run=True):
    if has_run:
        harness.run()
    harness.now += after_s
    harness.checker.record_end(harness.attempt)


def see_disturbed(harness):
    harness.run()
    harness.checker.disruption_table.record(UPSTREAM, harness.now)
    harness.checker.record_end(harness.attempt)


def see_left_by_paused(harness):
    harness.checker.disruption_table.begin(GATEWAY)
    harness.leave(100.0)
    harness.run()


def see_refusal_after_run(harness):
    harness.run()
    harness.answer(503, is_signed=False)


def see_run_after_refusal(harness):
    harness.answer(503, is_signed=False)
    harness.run()


def see_answer(harness, *args, **kwargs):
    harness.run()
    harness.answer(*args, **kwargs)


def see_second_late(harness, left_ms):
    harness.run(x_deadline_ms="4000")
    harness.now += 1.0
    harness.run(upstream="ops-002", x_deadline_ms=left_ms)


def see_late(harness):
    harness.now += 1.0
    harness.run(x_deadline_ms="4000")


def see_second_run(harness):
    harness.run()
    harness.run(upstream="ops-002")


SIGHTS = {
    "a run that nobody asked for": lambda harness: harness.run(x_attempt_id="other"),
    "a run with another body": lambda harness: harness.run(body=b"other"),
    "a run as another customer": lambda harness: harness.run(x_tenant="second"),
    "a run with the caller's key": lambda harness: harness.run(authorization="Bearer key"),
    "a second run": see_second_run,
    "a third run": see_third_run,
    "a second run 1 s later with the whole time": lambda harness: see_second_late(harness, "4000"),
    "a second run 1 s later with the rest of the time": lambda harness: see_second_late(
        harness, "3000"
    ),
    "a run 1 s late with the whole time": see_late,
    "a run with 6 s where the caller waits 4 s": lambda harness: harness.run(x_deadline_ms="6000"),
    "a refusal after a run": see_refusal_after_run,
    "a run after a refusal": see_run_after_refusal,
    "5 runs after callers have left": lambda harness: harness.run_late(5),
    "3 runs after callers have left": lambda harness: harness.run_late(3),
    "an answer of another request": lambda harness: see_answer(
        harness, 200, harness.make_body(), name="a2"
    ),
    "an answer without signature": lambda harness: see_answer(
        harness, 200, harness.make_body(), is_signed=False
    ),
    "an answer with other bytes": lambda harness: see_answer(harness, 200, b"other"),
    "a signed failure that no upstream gave": lambda harness: see_answer(harness, 500, b"other"),
    "a whole stream": lambda harness: see_answer(
        harness, 200, harness.make_events(range(1, N_EVENTS + 1))
    ),
    "a stream without its third event": lambda harness: see_answer(
        harness, 200, harness.make_events(n for n in range(1, N_EVENTS + 1) if n != 3)
    ),
    "a stream with an event twice": lambda harness: see_answer(
        harness, 200, harness.make_events([1, 2, 2, *range(3, N_EVENTS + 1)])
    ),
    "status 404": lambda harness: harness.answer(404, is_signed=False),
    "a run on a service of no configuration": lambda harness: harness.run(service="never"),
    "a run on a service that was moved from long ago": lambda harness: (
        harness.move_route(),
        harness.run(service="old"),
    ),
    "a run on an upstream that left long ago": lambda harness: (harness.leave(2.1), harness.run()),
    "a run on an upstream that left just now": lambda harness: (harness.leave(1.9), harness.run()),
    "a run on an upstream that left 6 s ago, in an outage of the store": lambda harness: (
        harness.leave(6.0, is_stable=False),
        harness.run(),
    ),
    "a run on an upstream that left 8 s ago, in an outage of the store": lambda harness: (
        harness.leave(8.0, is_stable=False),
        harness.run(),
    ),
    "a run on an upstream that left, by a paused gateway": see_left_by_paused,
    "a run in a domain that was out for long": lambda harness: (
        harness.checker.evacuated_domains.update(
            {"domain-1": Acknowledgement(harness.now - 5.1, True)}
        ),
        harness.run(),
    ),
    "no answer after a run": see_no_answer,
    "no answer at its deadline": lambda harness: see_no_answer(harness, after_s=4.6, has_run=False),
    "no answer before it ran": lambda harness: see_no_answer(harness, has_run=False),
    "no answer while its upstream was disturbed": see_disturbed,
    "two runs and the answer of one": see_two_runs,
}


@given("a judge that knows a request of kind {kind}")
def given_judge(context, kind):
    context.harness = CheckerHarness(CallKind(kind))


@when("it sees {sight}")
def when_sees(context, sight):
    SIGHTS[sight](context.harness)


@when("a bad version is completed")
def when_completed(context):
    context.harness.checker.check_version("llm", "v2", is_good=False, state="complete")


@then("it reports {promise}")
def then_reports(context, promise):
    expected = set() if promise == "nothing" else {promise}
    violations = context.harness.checker.violations
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
