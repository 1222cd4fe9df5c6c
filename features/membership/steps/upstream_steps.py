"""Steps about an entry's knowledge of its upstreams."""

from collections import Counter

from behave import given, then, when

from crocusvalve.base import Revision, UpstreamState
from crocusvalve.membership import (
    MembershipSystem,
    VmStatus,
    mark_leaving,
    merge_load_report,
    merge_vm_list,
)
from crocusvalve.routing import list_candidates, record_success
from crocusvalve.rpc import LoadReport
from features.core_builders import NOW, make_request, make_tables

REPORT_DELAY_S = 0.5


class MembershipSubject:
    """Tables and membership system of one entry; events are applied to its first upstream."""

    def __init__(self, n_upstreams=1):
        self.tables = make_tables(n_upstreams)
        self.system = MembershipSystem("e1")
        self.now = NOW

    @property
    def row(self):
        return self.tables.upstreams["d/u0"]

    def report(self, upstream_id, boot_id, state, at, **fields):
        defaults = dict(in_flight=0, limit=4, queued=0, ewma_service_s=0.5)
        report = LoadReport(
            upstream_id=upstream_id,
            boot_id=boot_id,
            state=UpstreamState(state),
            revision=Revision(1),
            at=at,
            **(defaults | fields),
        )
        return merge_load_report(self.tables, report, self.now)

    def apply(self, event):
        name, _, rest = event.partition(":")
        value, _, at = rest.partition("@")
        at = NOW + float(at or 0.0)
        if name == "list":
            self.now = max(self.now, at)
            vms = [VmStatus("10.0.0.0", value == "leaving")]
            merge_vm_list(self.tables, vms, at, self.now)
        elif name == "notice":
            mark_leaving(self.row, "" if value == "any" else value)
        elif name == "wait":
            self.now += float(value)
        elif name == "answer":
            record_success(self.row, 0.5, self.now)
        else:
            self.now = max(self.now, at + REPORT_DELAY_S)
            self.report("d/u0", name, value, at)
        self.system.run(self.tables, self.now)


@given('an upstream with events "{events}"')
def given_events(context, events):
    context.subject = MembershipSubject()
    for event in events.split():
        context.subject.apply(event)


@given('an upstream with events ""')
def given_no_events(context):
    given_events(context, "")


@given("{n:d} upstreams that became silent at the same time")
def given_silent(context, n):
    context.subject = MembershipSubject(n)
    for upstream_id in context.subject.tables.upstreams:
        context.subject.report(upstream_id, "b1", "warm", NOW)
    context.subject.system.n_per_domain = n
    context.subject.system.run(context.subject.tables, NOW)
    context.subject.system.checked_at_ = NOW


@given("{n:d} upstreams that serve v1 and v2")
def given_serving(context, n):
    context.subject = MembershipSubject(n)


@when("the system runs every 50 ms for {n:d} s")
def when_runs(context, n):
    subject, context.probes = context.subject, []
    for i in range(n * 20):
        now = NOW + i / 20
        for command in subject.system.run(subject.tables, now):
            context.probes.append((now, command.upstream_id))


@when('upstream "{upstream_id}" reports that it serves v2 only')
def when_serves(context, upstream_id):
    context.subject.report(upstream_id, "b1", "warm", NOW, serves=("d/m@v2",))


@then("it is {state}")
def then_state(context, state):
    subject = context.subject
    req = make_request(deadline=subject.now + 9)
    rows = list_candidates(subject.tables, req, req.version, subject.now)
    found = f"open, {rows[0].state.value}" if rows else "closed"
    assert found == state, found


@then("between {low:d} and {high:d} probes were sent, at most {n:d} in any second")
def then_probes(context, low, high, n):
    assert low <= len(context.probes) <= high, len(context.probes)
    per_second = Counter(int(at) for at, _ in context.probes)
    assert max(per_second.values()) <= n, per_second


@then("every upstream was probed at least once")
def then_all_probed(context):
    assert len({ref for _, ref in context.probes}) == len(context.subject.tables.upstreams)


@then('candidates for v1 are "{first}" and for v2 "{second}"')
def then_candidates(context, first, second):
    tables = context.subject.tables
    for version, names in (("d/m@v1", first), ("d/m@v2", second)):
        rows = list_candidates(tables, make_request(), version, NOW)
        assert [row.upstream_id for row in rows] == names.split()
