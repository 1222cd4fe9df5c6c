"""Steps of quarantine.feature: requests that crash upstreams, and hedges."""

from behave import given, then, when

from crocusvalve.base import ClassKind
from crocusvalve.config import ClassConfig
from crocusvalve.exceptions import InvariantError
from crocusvalve.model import QuarantineRow
from crocusvalve.retry import HedgePolicy, Quarantine, RetryBudget
from features.core_builders import NOW, make_request, make_tables


class QuarantineSubject:
    """A quarantine and the candidate upstreams."""

    def __init__(self, **options):
        self.rows = {}
        self.quarantine = Quarantine(self.rows, **options)
        self.upstreams = []

    def describe_state(self, digest):
        if self.quarantine.is_banned(digest):
            return "banned"
        return "a suspect" if self.quarantine.is_suspect(digest) else "unknown"

    def crash(self, digest, upstream, incident="b1", now=NOW):
        self.quarantine.record_crash(digest, upstream, now, incident=incident)


def get_subject(context):
    if not hasattr(context, "crashes"):
        context.crashes = QuarantineSubject()
    return context.crashes


@given('upstreams "{names}"')
def given_upstreams(context, names):
    rows = make_tables(len(names.split())).upstreams.values()
    get_subject(context).upstreams = list(rows)


@given('digests "{names}" were both running when upstream "{upstream}" crashed')
def given_both_running(context, names, upstream):
    for digest in names.split():
        get_subject(context).crash(digest, f"d/{upstream}")


@given("a quarantine of at most {rows:d} rows and {age:d} s")
def given_bounds(context, rows, age):
    context.crashes = QuarantineSubject(max_rows=rows, max_age_s=age)


@when('digest "{digest}" crashes upstream "{upstream}" with incident "{incident}"')
def when_crash(context, digest, upstream, incident):
    get_subject(context).crash(digest, upstream, incident)


@when('digest "{digest}" starts on "{upstream}"')
def when_start(context, digest, upstream):
    get_subject(context).quarantine.record_attempt_start(digest, f"d/{upstream}")


@when('digest "{digest}" ends on "{upstream}" by a crash')
def when_end_crash(context, digest, upstream):
    subject = get_subject(context)
    subject.crash(digest, f"d/{upstream}")
    subject.quarantine.record_attempt_end(digest, f"d/{upstream}", is_success=False)


@when('digest "{digest}" ends on "{upstream}" by a failure that is recorded twice')
def when_end_twice(context, digest, upstream):
    quarantine = get_subject(context).quarantine
    quarantine.record_attempt_end(digest, is_success=False)
    quarantine.record_attempt_end(digest, f"d/{upstream}", is_success=False)


@when('digest "{digest}" ends on "{upstream}" with success')
def when_end_success(context, digest, upstream):
    get_subject(context).quarantine.record_attempt_end(digest, f"d/{upstream}", is_success=True)


@when('a notice reports {n:d} crashes of "{digest}" on "{upstreams}"')
def when_notice(context, n, digest, upstreams):
    row = QuarantineRow(
        digest=digest, n_crashes=n, crashed_at=NOW, upstreams=set(upstreams.split())
    )
    get_subject(context).quarantine.merge(row, NOW)


@when("{n:d} digests crash an upstream, one per second")
def when_digests_crash(context, n):
    for i in range(n):
        context.crashes.crash(f"x{i}", "u0", now=NOW + i)
    context.n_digests = n


@when("a request that crashes every upstream is sent {n:d} times")
def when_repeats(context, n):
    subject, context.crashed = context.crashes, set()
    for _ in range(n):
        rows = subject.quarantine.filter_candidates("x", subject.upstreams)
        if rows:
            upstream_id = rows[0].upstream_id
            subject.quarantine.record_attempt_start("x", upstream_id)
            subject.crash("x", upstream_id, incident=f"b{len(context.crashed)}")
            subject.quarantine.record_attempt_end("x", upstream_id, is_success=False)
            context.crashed.add((upstream_id, len(context.crashed)))


@then('digest "{digest}" is {state}')
def then_state(context, digest, state):
    found = get_subject(context).describe_state(digest)
    assert found == state, found


@then('digest "{digest}" may run on "{names}"')
def then_may_run(context, digest, names):
    subject = get_subject(context)
    rows = subject.quarantine.filter_candidates(digest, subject.upstreams)
    assert [row.upstream_id for row in rows] == [f"d/{name}" for name in names.split()], rows


@then('digest "{digest}" may run on ""')
def then_may_not_run(context, digest):
    then_may_run(context, digest, "")


@then('starting "{digest}" on "{upstream}" violates an invariant')
def then_invariant(context, digest, upstream):
    try:
        get_subject(context).quarantine.record_attempt_start(digest, f"d/{upstream}")
    except InvariantError:
        return
    raise AssertionError("no InvariantError was raised")


@then("the {n:d} newest rows remain")
def then_newest_remain(context, n):
    newest = [f"x{i}" for i in range(context.n_digests - n, context.n_digests)]
    assert list(context.crashes.rows) == newest, list(context.crashes.rows)


@then("{n:d} upstreams have crashed")
def then_crashed(context, n):
    assert len(context.crashed) == n, context.crashed


class HedgeSubject:
    """A running request and the policy that may hedge it."""

    def __init__(self, kind, ago_s, after_s, n_latencies):
        self.quarantine = Quarantine({})
        self.budget = RetryBudget(0.1)
        self.policy = HedgePolicy(budget=self.budget, quarantine=self.quarantine)
        kind = ClassKind(kind)
        self.req = make_request(kind=kind, is_repeatable=kind is not ClassKind.ORDER)
        for i in range(n_latencies):
            self.policy.record_latency(self.req, (i + 1) / n_latencies)
        cfg = ClassConfig(kind, hedge_after_s=after_s)
        self.req.hedge_at = self.policy.compute_hedge_at(self.req, cfg, NOW - ago_s)
        self.n_running = 1


@given(
    "a {kind} request that started {ago:g} s ago, hedged after {after:g} s,"
    " with {n:d} latencies up to 1 s recorded"
)
def given_hedge(context, kind, ago, after, n):
    context.hedge = HedgeSubject(kind, ago, after, n)


@when("the digest is {state} and {n:d} attempts run")
def when_digest(context, state, n):
    context.hedge.n_running = n
    if state == "a suspect":
        context.hedge.quarantine.record_crash(context.hedge.req.digest, "u0", NOW)


@when("its member has no budget left")
def when_no_budget(context):
    while context.hedge.budget.try_acquire("d", NOW):
        pass


@then("it is {outcome}")
def then_hedged(context, outcome):
    hedge = context.hedge
    found = hedge.policy.should_hedge(hedge.req, hedge.n_running, NOW)
    assert found == (outcome == "hedged"), found
