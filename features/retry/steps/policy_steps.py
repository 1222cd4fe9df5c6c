"""Steps of policy.feature."""

import random

from behave import given, then, when

from crocusvalve.base import ClassKind, ExecutionStatus
from crocusvalve.retry import RetryAction, RetryBudget, RetryPolicy, compute_backoff_s
from crocusvalve.rpc import Refused
from features.core_builders import NOW, make_request


class RetrySubject:
    """A request, a retry policy and its last decision."""

    def __init__(self):
        self.budget = RetryBudget(0.1)
        self.policy = RetryPolicy(budget=self.budget, random_state=random.Random(1))
        self.req = None
        self.decision = None

    def make(self, kind, n_frames, n_attempts, left_s):
        kinds = {"service": ClassKind.LOOKUP, "session": ClassKind.ANSWER}
        self.req = make_request(
            kind=kinds.get(kind) or ClassKind(kind),
            is_repeatable=kind not in ("service", "order"),
            pinned_version="d/m@v1" if kind == "session" else "",
            n_frames_out=n_frames,
            n_attempts=n_attempts,
            deadline=NOW + left_s,
        )

    def decide(self, code, ran=ExecutionStatus.RAN, **fields):
        refused = Refused("a", code, "", ran, "run", "peer", **fields)
        self.decision = self.policy.decide(self.req, refused, NOW)
        return self.decision

    def describe(self):
        found = self.decision
        if found.action is RetryAction.RETRY:
            name = "redirect" if found.is_redirect else "retry"
            return f"{name} to a version" if found.must_choose_version else name
        if found.action is RetryAction.RESUME:
            return "resume"
        return f"{found.action.value}, {found.ran.value}"


def set_subject(context):
    context.subject = RetrySubject()
    return context.subject


@given("a {kind} request with {frames:d} frames sent, {n:d} attempts and {left:g} s left")
def given_request(context, kind, frames, n, left):
    set_subject(context).make(kind, frames, n, left)


@given("a member with a retry budget of {ratio:g} that sends {n:d} requests in {duration:d} s")
def given_member(context, ratio, n, duration):
    subject = set_subject(context)
    subject.budget.ratio = ratio
    context.n_requests, context.duration_s = n, duration


@given("a durable request whose member has no retry budget left")
def given_no_budget(context):
    subject = set_subject(context)
    subject.make("durable", 0, 1, 9000)
    while subject.budget.try_acquire("d", NOW):
        pass


@when("an attempt ends with {code} and execution status {ran}")
def when_ends(context, code, ran):
    context.subject.decide(code, ExecutionStatus(ran))


@when("its upstream crashes")
def when_crashes(context):
    context.subject.decide("UPSTREAM_FAILED", crashed=True)


@when("every attempt fails")
def when_all_fail(context):
    subject, context.n_attempts = context.subject, 0
    for i in range(context.n_requests):
        now = NOW + context.duration_s * i / context.n_requests
        subject.budget.count_request("d", now)
        context.n_attempts += 1
        refused = Refused("a", "UPSTREAM_FAILED", "", ExecutionStatus.RAN, "run", "peer")
        subject.req = make_request(n_attempts=1, deadline=now + 30)
        while subject.policy.decide(subject.req, refused, now).action is RetryAction.RETRY:
            subject.req.n_attempts += 1
            context.n_attempts += 1


@then("the decision is {decision}")
def then_decision(context, decision):
    subject = context.subject
    assert subject.describe() == decision, subject.describe()
    if subject.decision.action in (RetryAction.RETRY, RetryAction.RESUME):
        assert NOW < subject.decision.not_before < subject.req.deadline


@then("at most {n:d} attempts in a row that end with {code} are redirected")
def then_redirects(context, n, code):
    found = [context.subject.decide(code, ExecutionStatus.NOT_RUN).action for _ in range(n + 1)]
    assert found == [RetryAction.RETRY] * n + [RetryAction.REFUSE]


@then("{n:d} attempts in a row that end with {code} are all redirected")
def then_all_redirected(context, n, code):
    found = [context.subject.decide(code, ExecutionStatus.NOT_RUN).action for _ in range(n)]
    assert found == [RetryAction.RETRY] * n


@then("at most {n:d} interruptions in a row of a stream are resumed")
def then_resumes(context, n):
    context.subject.make("answer", 1, 1, 9000)
    found = [
        context.subject.decide("UPSTREAM_DOWN", ExecutionStatus.UNKNOWN).action
        for _ in range(n + 1)
    ]
    assert found == [RetryAction.RESUME] * n + [RetryAction.REFUSE]


@then("the delay after {n:d} attempts is from {low:g} to {high:g} s")
def then_delay(context, n, low, high):
    rng = random.Random(1)
    high_s = 2.0
    drawn = [compute_backoff_s(n, base_s=0.1, max_s=high_s, random_state=rng) for _ in range(100)]
    assert low <= min(drawn) < max(drawn) <= high, (min(drawn), max(drawn))


@then("attempts are at most {factor:g} times the requests")
def then_bounded(context, factor):
    ratio = context.n_attempts / context.n_requests
    print(f"attempts per request: {ratio:.3f}")
    assert 1.05 < ratio <= factor, ratio


@then("another member's first retry is granted")
def then_other_member_may_retry(context):
    assert context.subject.budget.try_acquire("other", NOW)


@then("it is retried after {delay:g} s")
def then_retried_after(context, delay):
    assert context.subject.decision.not_before == NOW + delay
