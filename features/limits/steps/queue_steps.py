"""Steps of queue.feature."""

from collections import Counter

from behave import given, then, when

from crocusvalve.base import ClassKind, ExecutionStatus, Priority
from crocusvalve.exceptions import RefusedError
from crocusvalve.limits import FairQueue, check_deadline
from features.core_builders import NOW, make_request

SERVICE_S = 0.5


class QueueSubject:
    """A queue and the requests that were taken from it, in order."""

    def __init__(self, **options):
        self.queue = FairQueue(**options)
        self.n_made = 0
        self.taken = []

    def push(self, customer, n=1, *, weight=1.0, max_queue=1000, **fields):
        dropped = []
        for _ in range(n):
            self.n_made += 1
            fields.setdefault("member", "d")
            req = make_request(f"r{self.n_made}", customer, **fields)
            dropped.append(self.queue.push(req, weight=weight, max_queue=max_queue))
        return dropped

    def take(self, n, now=NOW, can_place=lambda req: True):
        for _ in range(n):
            req = self.queue.pop_ready(can_place, now)
            if req is not None:
                self.taken.append(req)


@given('40 URGENT requests of "a", 40 NORMAL of "b" and 40 BATCH of "c"')
def given_priorities(context):
    context.subject = QueueSubject()
    for customer, priority in zip("abc", Priority, strict=True):
        context.subject.push(customer, 40, priority=priority)


@given('{n:d} requests of "a" with weight {a:g}, then {m:d} of "b" with weight {b:g}')
def given_weights(context, n, a, m, b):
    context.subject = QueueSubject()
    context.subject.push("a", n, weight=a)
    context.subject.push("b", m, weight=b)


@given('10 requests of "a" for each of the models "{first}" and "{second}"')
def given_models(context, first, second):
    context.subject = QueueSubject()
    context.subject.push("a", 10, steps=(first,))
    context.subject.push("a", 10, steps=(second,))


@given("a queued request that has its deadline at {instant:g} s")
def given_deadline(context, instant):
    context.subject = QueueSubject()
    context.subject.push("a", deadline=NOW + instant)


@given("a queued request that may start at {instant:g} s")
def given_not_before(context, instant):
    context.subject = QueueSubject()
    context.subject.push("a", not_before=NOW + instant)


@given("a queued request that is removed by its caller")
def given_removed(context):
    context.subject = QueueSubject()
    context.subject.push("a")
    assert context.subject.queue.remove("r1").request_id == "r1"


@given('a queue for at most 10 requests per class with {n:d} requests of "a" and {m:d} of "b"')
def given_bound(context, n, m):
    context.subject = QueueSubject()
    context.subject.push("a", n)
    context.subject.push("b", m)


@given("a queue with at most {n:d} requests per member")
def given_member_bound(context, n):
    context.subject = QueueSubject(max_per_member=n)


@given('a queue drained at 10 per second with {n:d} queued requests of "a"')
def given_drained(context, n):
    context.subject = subject = QueueSubject()
    subject.push("a", n + 50, deadline=NOW + 1000)
    for i in range(50):
        subject.take(1, now=NOW + (i + 1) / 10)


@when("{n:d} requests are taken")
def when_taken(context, n):
    context.subject.take(n)


@when('{n:d} requests of "{customer}" join')
def when_join(context, n, customer):
    context.subject.push(customer, n)


@when('only "{model}" has a free upstream and {n:d} requests are taken')
def when_one_model_is_free(context, model, n):
    context.subject.take(n, can_place=lambda req: req.steps[0] == model)


@when("{customer} pushes a request that {condition}")
def when_push(context, customer, condition):
    fields = {
        "is new": {},
        "is durable": {"kind": ClassKind.DURABLE},
        "is retried": {"n_attempts": 1},
    }[condition]
    try:
        context.dropped = context.subject.push(customer, max_queue=10, **fields)[0]
        context.outcome = "queued"
    except RefusedError as exc:
        assert exc.ran is ExecutionStatus.NOT_RUN and exc.retry_after_s > 0
        context.dropped, context.outcome = None, "refused"


@when('member "{member}" pushes {n:d} requests')
def when_member_pushes(context, member, n):
    context.errors = []
    for _ in range(n):
        try:
            context.subject.push("a", member=member)
        except RefusedError as exc:
            context.errors.append(exc)


@then('{a:d} are of "a", {b:d} of "b" and {c:d} of "c"')
def then_counts(context, a, b, c):
    counts = Counter(req.customer_id for req in context.subject.taken)
    assert (counts["d/a"], counts["d/b"], counts["d/c"]) == (a, b, c), counts


@then('{n:d} requests for "{model}" were taken and {m:d} are still queued')
def then_model(context, n, model, m):
    assert [req.steps[0] for req in context.subject.taken] == [model] * n
    assert len(context.subject.queue) == m


@then("at {instant:g} s it is {outcome}")
def then_outcome(context, instant, outcome):
    queue = context.subject.queue
    placed = queue.pop_ready(lambda req: True, NOW + instant)
    expired = queue.pop_expired(NOW + instant)
    found = {
        (True, 0, 0): "placed",
        (False, 1, 0): "expired",
        (False, 0, 1): "waiting",
        (False, 0, 0): "gone",
    }[placed is not None, len(expired), len(queue)]
    assert found == outcome, found


@then("it is {outcome} and the customer that loses a request is {dropped}")
def then_dropped(context, outcome, dropped):
    assert context.outcome == outcome, context.outcome
    found = context.dropped.customer_id.partition("/")[2] if context.dropped else "none"
    assert found == dropped, found


@then("{n:d} are refused as not run")
def then_not_run(context, n):
    assert [exc.ran for exc in context.errors] == [ExecutionStatus.NOT_RUN] * n


@then('member "{member}" can push {n:d} requests')
def then_can_push(context, member, n):
    context.subject.push("b", n, member=member)


@then('a {kind} request of "{customer}" with {left:g} s to its deadline is {outcome}')
def then_deadline_checked(context, kind, customer, left, outcome):
    now = NOW + 5.0
    req = make_request("new", customer, kind=ClassKind(kind), deadline=now + left)
    found = check_deadline(context.subject.queue, req, SERVICE_S, now)
    if outcome == "admitted":
        assert found is None, found
    else:
        expected = float(outcome.split()[-2])
        assert found is not None and abs(found - expected) < 0.1, found


@given('a queue in which a request of "a" is delayed by {cause}')
def given_delayed(context, cause):
    context.subject = QueueSubject()
    not_before = NOW + 60 if cause == "its backoff" else 0.0
    context.subject.push("a", not_before=not_before, deadline=NOW + 900)


@when('every 5 s for 50 s a request of "b" arrives and is taken immediately')
def when_requests_arrive_slowly(context):
    for i in range(1, 11):
        now = NOW + 5 * i
        context.subject.push("b", arrived_at=now, deadline=now + 5)
        context.subject.take(1, now + 0.01, can_place=lambda req: req.customer_id == "d/b")
    assert len(context.subject.taken) == 10


@then('a request of "b" with 1 s to its deadline is admitted')
def then_admitted_late(context):
    req = make_request("new", "b", deadline=NOW + 52)
    assert check_deadline(context.subject.queue, req, 0.1, NOW + 51) is None
