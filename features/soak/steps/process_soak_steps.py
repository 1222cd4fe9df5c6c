"""Steps for soaks of gateway processes and their guarantee checker."""

import os

from behave import given, then, when

from crocusvalve.soak.processes import (
    STORE,
    Acknowledgement,
    Attempt,
    CallKind,
    GuaranteeChecker,
    ProcessSoakSettings,
    ServiceHistory,
    SoakBounds,
    run_process_soak,
)
from crocusvalve.standin import N_EVENTS, CallerRequest, ReceivedRequest, UpstreamFault, make_event

START_S = 1_000.0
SERVICE = "ops"
UPSTREAM = "ops-001"
GATEWAY = "gateway-1"
CUSTOMER = "first"


class CheckerHarness:
    """A guarantee checker with one request that was just sent, and a manual clock."""

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
        """Record a request that is sent now."""
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
        self.checker.record_request(attempt)
        return attempt

    def run(
        self,
        attempt=None,
        *,
        upstream=UPSTREAM,
        service=SERVICE,
        body=None,
        fault=UpstreamFault.NONE,
        **headers,
    ):
        """Record a run of a request at an upstream; ``headers`` replace those that it receives."""
        attempt = attempt or self.attempt
        req = attempt.req
        fields = {
            "x-attempt-id": req.attempt_id,
            "x-tenant": CUSTOMER,
            "x-deadline-ms": "3000",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        call = ReceivedRequest(req.method, req.path, fields, req.body if body is None else body)
        self.checker.record_run(upstream, service, call, fault)

    def make_call(self, attempt=None):
        """Return a request as an upstream receives it."""
        req = (attempt or self.attempt).req
        return ReceivedRequest(req.method, req.path, {"x-attempt-id": req.attempt_id}, req.body)

    def answer(self, status, body=b"", *, name="a1", is_signed=True, attempt=None):
        """End a request with a complete answer that names the attempt ``name``."""
        attempt = attempt or self.attempt
        answer = attempt.answer
        answer.status, answer.body, answer.is_complete = status, body, True
        answer.headers = {"x-attempt-id": name}
        if is_signed:
            answer.headers["x-response-signature"] = "s"
        self.checker.record_end(attempt)

    def make_body(self, upstream=UPSTREAM):
        req = self.attempt.req
        return f"{req.method} {req.path} {len(req.body)} by {upstream}".encode()

    def make_events(self, numbers):
        return b"".join(make_event(self.attempt.req.path, number) for number in numbers)

    def run_after_callers_left(self, n):
        """Run requests 0.6 s after their callers left."""
        attempts = [self.send(f"b{number}") for number in range(n)]
        for attempt in attempts:
            attempt.left_at = self.now
        self.now += 0.6
        for attempt in attempts:
            self.run(attempt)

    def move_route(self):
        """Give the route a service that was replaced at 900 s."""
        self.checker.routes = {self.kind.value: ServiceHistory([(0.0, "old"), (900.0, SERVICE)])}

    def drain_upstream(self, ago_s, is_store_quiet=True):
        """Record that the upstream was drained some seconds ago."""
        self.checker.drained_upstreams[UPSTREAM] = Acknowledgement(self.now - ago_s, is_store_quiet)


def observe_answer_of_second_run(harness):
    harness.run()
    harness.run(upstream="ops-002")
    harness.answer(200, harness.make_body("ops-002"))


def observe_third_run(harness):
    for number in (1, 2, 3):
        harness.run(upstream=f"ops-00{number}")


def observe_crashing_part(harness, n, *, after_s):
    """Run requests with a part that has crashed five upstreams some seconds before."""
    for _ in range(5):
        harness.checker.record_crash("bad")
    harness.now += after_s
    for number in range(n):
        attempt = harness.send(f"b{number}")
        attempt.req.prompt_parts = ("shared", "bad", "own")
        harness.run(attempt, x_deadline_ms="1000")


def observe_crashing_request(harness, n, *, after_s):
    """Send a request again that has crashed three upstreams some seconds before."""
    path = harness.attempt.req.path
    for _ in range(3):
        harness.checker.record_crash(path)
    harness.now += after_s
    for number in range(n):
        attempt = harness.send(f"b{number}")
        attempt.req.path = path
        harness.run(attempt, x_deadline_ms="1000")


def observe_failure_of_crashing_request(harness, n_crashes):
    """Fail a request that has crashed upstreams, though a sound one runs it now."""
    for _ in range(n_crashes):
        harness.checker.record_crash(harness.attempt.req.path)
    harness.run()
    harness.answer(502, b"failed", is_signed=False)


def observe_limited_upstream(harness, n, *, is_told=True):
    """Let requests reach an upstream that takes one a second, 3.1 s after it has said so."""
    harness.checker.limit_check.begin(UPSTREAM, 1.0, harness.now)
    if is_told:
        harness.checker.limit_check.record_answer(UPSTREAM, GATEWAY, harness.now)
    harness.now += 3.1
    for number in range(n):
        harness.now += 0.1
        harness.run(harness.send(f"b{number}"), x_deadline_ms="1000")


def observe_no_answer(harness, *, after_s=0.1, has_run=True):
    if has_run:
        harness.run()
    harness.now += after_s
    harness.checker.record_end(harness.attempt)


def observe_cut_beside_failing_upstream(harness):
    """Cut a stream whose first upstream is sound, after another upstream has broken off."""
    harness.run(fault=UpstreamFault.SILENT)
    harness.run(upstream="ops-002", fault=UpstreamFault.BREAK)
    harness.attempt.answer.status = 200
    harness.now += 1.5
    harness.checker.record_end(harness.attempt)


def observe_failure_beside_sound_upstream(harness):
    harness.run()
    harness.run(upstream="ops-002", fault=UpstreamFault.FAILURE)
    harness.answer(500, b"failed")


def observe_no_answer_at_fault(harness):
    harness.run(fault=UpstreamFault.BREAK)
    harness.checker.record_end(harness.attempt)


def observe_no_answer_after(harness, disrupt):
    """End a request that ran without an answer, after something else has happened."""
    harness.run()
    disrupt(harness.checker.disruption_table)
    harness.checker.record_end(harness.attempt)


def observe_cut_after_stop(harness, *, sent_s, cut_s):
    """Cut a request that ran, at some times after the stop of its gateway began."""
    harness.checker.loss_check.record_stop(GATEWAY, harness.now - sent_s)
    observe_no_answer(harness, after_s=cut_s - sent_s)


def observe_no_answer_at_end_of(harness, timeouts, *, after_s):
    """End a request that ran without an answer, some time after the configured timeouts."""
    for timeout_s, ago_s in timeouts:
        harness.checker.loss_check.record_timeout(timeout_s, harness.now - ago_s)
    observe_no_answer(harness, after_s=after_s)


def observe_unread_answer(harness, *, delay_s=0.0):
    """End a request without an answer 0.3 s after its last byte; the soak may have been delayed."""
    harness.attempt.whole_at = harness.now
    due_at = harness.now + 0.1
    harness.checker.loss_check.record_wakeup(due_at, due_at + delay_s, due_at + 0.2)
    observe_no_answer(harness, after_s=0.3, has_run=False)


def observe_unread_request_after_end(harness):
    """End a request without an answer that was sent after its gateway's process had ended."""
    harness.checker.loss_check.record_process_end(GATEWAY, harness.now - 0.1)
    observe_unread_answer(harness)


def observe_no_answer_while_disrupted(harness):
    """End a request without an answer after its upstream was disrupted."""
    harness.run()
    harness.checker.disruption_table.record(UPSTREAM, harness.now)
    harness.checker.record_end(harness.attempt)


def observe_drained_before_outage(harness, drained_ago_s):
    """Run a request on an upstream drained some time before a store outage that began 1 s ago."""
    harness.checker.disruption_table.begin(STORE, harness.now - 1.0)
    harness.drain_upstream(drained_ago_s)
    harness.run()


def observe_drained_by_paused_gateway(harness):
    harness.checker.disruption_table.begin(GATEWAY, harness.now)
    harness.drain_upstream(100.0)
    harness.run()


def observe_refusal_after_run(harness):
    harness.run()
    harness.answer(503, is_signed=False)


def observe_run_after_refusal(harness):
    harness.answer(503, is_signed=False)
    harness.run()


def observe_answer(harness, *args, **kwargs):
    harness.run()
    harness.answer(*args, **kwargs)


def observe_late_second_run(harness, deadline_ms):
    harness.run(x_deadline_ms="4000")
    harness.now += 1.0
    harness.run(upstream="ops-002", x_deadline_ms=deadline_ms)


def observe_late_run(harness):
    harness.now += 1.0
    harness.run(x_deadline_ms="4000")


def observe_second_run(harness):
    harness.run()
    harness.run(upstream="ops-002")


def observe_runs_after_announcement(harness, *, after_s, forget=lambda checker: None):
    """Run a request, whose answer announces the upstream's end, and one more some time later."""
    harness.checker.record_leaving(UPSTREAM, harness.make_call())
    harness.now += after_s
    forget(harness.checker)
    harness.run(harness.send("a2"))


def observe_runs_while_closed(harness, n, *, after_s=1.0, are_rejected=False, is_restarted=False):
    """Reject a request for 2 s, and send some more to the upstream after a time."""
    harness.checker.record_rejection(UPSTREAM, harness.make_call(), 2.0)
    if is_restarted:
        harness.checker.forget_run(UPSTREAM)
    harness.now += after_s
    for number in range(n):
        attempt = harness.send(f"b{number}")
        if are_rejected:
            harness.checker.record_rejection(UPSTREAM, harness.make_call(attempt), 0.0)
        else:
            harness.run(attempt)


def observe_return_to_replaced_service(harness):
    """Run requests on the current service of a route and then on the replaced one."""
    route = harness.kind.value
    harness.checker.routes = {route: ServiceHistory([(0.0, "old"), (harness.now - 0.5, SERVICE)])}
    harness.run()
    harness.now += 0.5
    harness.run(harness.send("a2"), service="old")


OBSERVATIONS = {
    "a run 2.5 s after the upstream announced its end": lambda harness: (
        observe_runs_after_announcement(harness, after_s=2.5)
    ),
    "a run 1.5 s after the upstream announced its end": lambda harness: (
        observe_runs_after_announcement(harness, after_s=1.5)
    ),
    "a run after a new start of an upstream that announced its end": lambda harness: (
        observe_runs_after_announcement(
            harness, after_s=2.5, forget=lambda checker: checker.forget_run(UPSTREAM)
        )
    ),
    "a run by a gateway that was started again after the announcement": lambda harness: (
        observe_runs_after_announcement(
            harness,
            after_s=2.5,
            forget=lambda checker: checker.disruption_table.record(GATEWAY, harness.now - 1),
        )
    ),
    "3 runs at an upstream that wants none": lambda harness: observe_runs_while_closed(harness, 3),
    "3 rejections by an upstream that wants no requests": lambda harness: (
        observe_runs_while_closed(harness, 3, are_rejected=True)
    ),
    "2 runs at an upstream that wants none": lambda harness: observe_runs_while_closed(harness, 2),
    "3 runs at an upstream whose time is over": lambda harness: observe_runs_while_closed(
        harness, 3, after_s=2.1
    ),
    "3 runs at an upstream that has started again since": lambda harness: (
        observe_runs_while_closed(harness, 3, is_restarted=True)
    ),
    "a return to a service that was replaced just now": observe_return_to_replaced_service,
    "a run of a request that no caller sent": lambda harness: harness.run(x_attempt_id="other"),
    "a run with a changed body": lambda harness: harness.run(body=b"other"),
    "a run as another customer": lambda harness: harness.run(x_tenant="second"),
    "a run that received the caller's key": lambda harness: harness.run(authorization="Bearer key"),
    "a second run": observe_second_run,
    "a third run": observe_third_run,
    "a second run 1 s later with the full deadline": lambda harness: observe_late_second_run(
        harness, "4000"
    ),
    "a second run 1 s later with the remaining deadline": lambda harness: observe_late_second_run(
        harness, "3000"
    ),
    "a first run 1 s after sending with the full deadline": observe_late_run,
    "a run with a deadline of 6 s where the caller waits 4 s": lambda harness: harness.run(
        x_deadline_ms="6000"
    ),
    "a refusal after a run": observe_refusal_after_run,
    "a run after a refusal": observe_run_after_refusal,
    "5 runs too long after their callers left": lambda harness: harness.run_after_callers_left(5),
    "3 runs too long after their callers left": lambda harness: harness.run_after_callers_left(3),
    "an answer to another request": lambda harness: observe_answer(
        harness, 200, harness.make_body(), name="a2"
    ),
    "an answer without a signature": lambda harness: observe_answer(
        harness, 200, harness.make_body(), is_signed=False
    ),
    "an answer with a changed body": lambda harness: observe_answer(harness, 200, b"other"),
    "a signed failure that no upstream sent": lambda harness: observe_answer(
        harness, 500, b"other"
    ),
    "a complete stream": lambda harness: observe_answer(
        harness, 200, harness.make_events(range(1, N_EVENTS + 1))
    ),
    "a stream without its third event": lambda harness: observe_answer(
        harness, 200, harness.make_events(n for n in range(1, N_EVENTS + 1) if n != 3)
    ),
    "a stream with a repeated event": lambda harness: observe_answer(
        harness, 200, harness.make_events([1, 2, 2, *range(3, N_EVENTS + 1)])
    ),
    "status 404": lambda harness: harness.answer(404, is_signed=False),
    "a run on a service that was never configured": lambda harness: harness.run(service="never"),
    "a run on a service that was replaced long ago": lambda harness: (
        harness.move_route(),
        harness.run(service="old"),
    ),
    "a run on an upstream drained too long ago": lambda harness: (
        harness.drain_upstream(2.1),
        harness.run(),
    ),
    "a run on an upstream drained just now": lambda harness: (
        harness.drain_upstream(1.9),
        harness.run(),
    ),
    "a run on an upstream drained 6 s ago, during a store outage": lambda harness: (
        harness.drain_upstream(6.0, is_store_quiet=False),
        harness.run(),
    ),
    "a run on an upstream drained 8 s ago, during a store outage": lambda harness: (
        harness.drain_upstream(8.0, is_store_quiet=False),
        harness.run(),
    ),
    "a run on a drained upstream by a paused gateway": observe_drained_by_paused_gateway,
    "a run in a failure domain evacuated too long ago": lambda harness: (
        harness.checker.evacuated_domains.update(
            {"domain-1": Acknowledgement(harness.now - 5.1, True)}
        ),
        harness.run(),
    ),
    "a run in a store outage on an upstream drained 4 s before it": lambda harness: (
        observe_drained_before_outage(harness, 5.0)
    ),
    "a run in a store outage on an upstream drained 1 s before it": lambda harness: (
        observe_drained_before_outage(harness, 2.0)
    ),
    "no answer after a run": observe_no_answer,
    "no answer by the deadline": lambda harness: observe_no_answer(
        harness, after_s=4.6, has_run=False
    ),
    "no answer without a run": lambda harness: observe_no_answer(harness, has_run=False),
    "no answer while the upstream was disrupted": observe_no_answer_while_disrupted,
    "a cut stream of a sound upstream beside one that fails": observe_cut_beside_failing_upstream,
    "a failure in place of a sound upstream's answer": observe_failure_beside_sound_upstream,
    "no answer after a run at a faulty upstream": observe_no_answer_at_fault,
    "no answer after a run at a gateway that stopped as planned": lambda harness: (
        observe_no_answer_after(harness, lambda table: table.record_restart(GATEWAY, harness.now))
    ),
    "no answer after a run at a gateway that was killed": lambda harness: (
        observe_no_answer_after(harness, lambda table: table.record(GATEWAY, harness.now))
    ),
    "no answer after a run while the store was disrupted": lambda harness: (
        observe_no_answer_after(harness, lambda table: table.record(STORE, harness.now))
    ),
    "an unanswered request that the gateway must have read": observe_unread_answer,
    "an unanswered request that was sent to an ended process": observe_unread_request_after_end,
    "an unanswered request that the caller read late": lambda harness: observe_unread_answer(
        harness, delay_s=0.15
    ),
    "a cut 7 s after the stop of its gateway began, sent at 3.5 s": lambda harness: (
        observe_cut_after_stop(harness, sent_s=3.5, cut_s=7.0)
    ),
    "a cut 6 s after the stop of its gateway began, sent at 2.5 s": lambda harness: (
        observe_cut_after_stop(harness, sent_s=2.5, cut_s=6.0)
    ),
    "a cut 6.7 s after the stop of its gateway began, sent at 2.9 s": lambda harness: (
        observe_cut_after_stop(harness, sent_s=2.9, cut_s=6.7)
    ),
    "a complete stream with comments": lambda harness: observe_answer(
        harness, 200, b": ping\n\n" + harness.make_events(range(1, N_EVENTS + 1))
    ),
    "no answer after a run at the end of the deadline": lambda harness: observe_no_answer(
        harness, after_s=3.95
    ),
    "no answer after a run at the end of the route's timeout": lambda harness: (
        observe_no_answer_at_end_of(harness, [(10.0, 9.0), (2.0, 5.0)], after_s=1.95)
    ),
    "no answer after a run at the end of a timeout that was raised just now": lambda harness: (
        observe_no_answer_at_end_of(harness, [(2.0, 9.0), (10.0, 1.0)], after_s=1.95)
    ),
    "no answer after a run at the end of a timeout that was raised before": lambda harness: (
        observe_no_answer_at_end_of(harness, [(2.0, 9.0), (10.0, 2.5)], after_s=1.95)
    ),
    "4 runs with a part known to crash upstreams": lambda harness: (
        observe_crashing_part(harness, 4, after_s=3.1)
    ),
    "3 runs with a part known to crash upstreams": lambda harness: (
        observe_crashing_part(harness, 3, after_s=3.1)
    ),
    "4 runs with a part that has just crashed upstreams": lambda harness: (
        observe_crashing_part(harness, 4, after_s=2.9)
    ),
    "4 runs of a request known to crash upstreams": lambda harness: (
        observe_crashing_request(harness, 4, after_s=3.1)
    ),
    "3 runs of a request known to crash upstreams": lambda harness: (
        observe_crashing_request(harness, 3, after_s=3.1)
    ),
    "4 runs of a request that has just crashed upstreams": lambda harness: (
        observe_crashing_request(harness, 4, after_s=2.9)
    ),
    "a failure of a request that has crashed 3 upstreams": lambda harness: (
        observe_failure_of_crashing_request(harness, 3)
    ),
    "a failure of a request that has crashed 2 upstreams": lambda harness: (
        observe_failure_of_crashing_request(harness, 2)
    ),
    "12 runs at an upstream that takes 11": lambda harness: observe_limited_upstream(harness, 12),
    "11 runs at an upstream that takes 11": lambda harness: observe_limited_upstream(harness, 11),
    "12 runs by a gateway that wasn't told the limit": lambda harness: (
        observe_limited_upstream(harness, 12, is_told=False)
    ),
    "two runs and the answer of one of them": observe_answer_of_second_run,
}


@given("a guarantee checker with a sent request of kind {kind}")
def given_checker(context, kind):
    context.harness = CheckerHarness(CallKind(kind))


@when("it observes {observation}")
def when_observes(context, observation):
    OBSERVATIONS[observation](context.harness)


@when("an upgrade to a bad version is completed")
def when_bad_upgrade_completes(context):
    context.harness.checker.check_version("llm", "v2", is_good=False, state="complete")


@then("it reports {guarantee}")
def then_reports(context, guarantee):
    expected = set() if guarantee == "nothing" else {guarantee}
    violations = context.harness.checker.violations
    assert {row.promise.value for row in violations} == expected, violations


@when("gateway processes run with seed {seed:d} for {seconds:g} s of {kinds}")
def when_gateways_run_with(context, seed, seconds, kinds):
    chosen = () if kinds == "faults" else tuple(kinds.split(","))
    context.report = run_process_soak(ProcessSoakSettings(seed=seed, seconds=seconds, kinds=chosen))


@then("no guarantee is broken")
def then_no_violation(context):
    assert not context.report.violations, context.report


@then("service recovered and at least {n:d} requests were served")
def then_served(context, n):
    report = context.report
    assert report.recovered_s is not None and report.n_served >= n, report


@then("no child process of the run is left")
def then_no_child_process(context):
    children = f"/proc/{os.getpid()}/task/{os.getpid()}/children"
    with open(children) as file:
        assert not file.read().strip()


@when("a soak of processes is started with the kinds {kinds}")
def when_unknown_kind(context, kinds):
    context.error = None
    try:
        run_process_soak(ProcessSoakSettings(kinds=tuple(kinds.split(","))))
    except ValueError as exc:
        context.error = exc


@then("the error names the kinds and the unknown {name}")
def then_unknown_kind(context, name):
    text = str(context.error)
    assert "StoreRestore" in text and text.endswith(f"got {name}"), text


@when("a soak of processes is started with {name} {value:d}")
def when_wrong_size(context, name, value):
    context.error = None
    try:
        run_process_soak(ProcessSoakSettings(**{name: value}))
    except ValueError as exc:
        context.error = exc


@then("the error names {name} and its range")
def then_range(context, name):
    assert context.error is not None and str(context.error).startswith(f"{name} must be from 1 to")
