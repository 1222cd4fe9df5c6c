"""Steps of candidates.feature: candidate lists, ejection and the placement check."""

from behave import given, then, when

from crocusvalve.base import AttemptState, UpstreamState
from crocusvalve.exceptions import InvariantError
from crocusvalve.model import AttemptRow, QuarantineRow
from crocusvalve.routing import (
    check_placement,
    list_candidates,
    record_attempt_end,
    record_attempt_start,
    record_failure,
    record_success,
)
from features.core_builders import NOW, make_request, make_tables


class CandidateSubject:
    """Tables of 6 upstreams, a request, and changes that may exclude the first upstream."""

    def __init__(self):
        self.tables = make_tables(6)
        self.req = make_request()
        self.now = NOW
        self.row = self.tables.upstreams["d/u0"]

    def list_ids(self):
        rows = list_candidates(self.tables, self.req, self.req.version, self.now)
        return [row.upstream_id for row in rows]

    def revise(self, **options):
        self.tables.apply_view(make_tables(6, revision=2, **options).view)

    def set_row(self, **fields):
        for name, value in fields.items():
            setattr(self.row, name, value)
        self.tables.index_upstreams()

    def set_req(self, **fields):
        self.req = make_request(**fields)

    def run_on_first(self):
        attempt = AttemptRow(
            attempt_id="r.1",
            request_id="r",
            upstream_id="d/u0",
            version="d/m@v1",
            started_at=NOW,
            state=AttemptState.RUNNING,
        )
        self.tables.attempts["r.1"] = attempt
        self.tables.attempt_ids_by_request["r"] = ["r.1"]

    def ban(self):
        row = QuarantineRow(digest="r", n_crashes=2, crashed_at=NOW)
        self.tables.quarantine["r"] = row

    CHANGES = {
        "nothing changes": lambda s: None,
        "a notice takes the domain out of service": lambda s: s.tables.domains_out.add("d/a"),
        "a revision takes the domain out of service": lambda s: s.revise(out=("a",)),
        "u0 is leaving": lambda s: s.set_row(is_leaving=True),
        "u0 is draining": lambda s: s.set_row(state=UpstreamState.DRAINING),
        "u0 is down": lambda s: s.set_row(state=UpstreamState.DOWN),
        "a notice withdraws v1": lambda s: s.tables.withdrawn_versions.add("d/m@v1"),
        "a revision withdraws v1": lambda s: s.revise(withdrawn=("v1",)),
        "the customer may not use v1": lambda s: s.set_req(customer="nobody"),
        "u0 no longer serves v1": lambda s: s.set_row(serves=("d/m@v2",)),
        "u0 is not in the entry's subset": lambda s: s.set_row(in_subset=False),
        "the request avoids u0": lambda s: s.set_req(avoid={"d/u0"}),
        "the request already runs on u0": run_on_first,
        "the request avoids all but u0": lambda s: s.set_req(
            avoid=set(s.tables.upstreams) - {"d/u0"}
        ),
        "the request avoids all upstreams": lambda s: s.set_req(avoid=set(s.tables.upstreams)),
        "the session is pinned to v2": lambda s: s.set_req(pinned_version="d/m@v2"),
        "the session is pinned to v1": lambda s: s.set_req(pinned_version="d/m@v1"),
        "the request's digest is banned": ban,
        "the request's deadline has passed": lambda s: s.set_req(deadline=NOW - 1),
        "the request is for a plain service": lambda s: s.set_req(service="d/pump", version=""),
        "the request is for an unknown service": lambda s: s.set_req(service="d/none", version=""),
    }


@given("6 upstreams of which u0 alone is in its failure domain")
def given_upstreams(context):
    context.subject = CandidateSubject()


@given("6 upstreams of which {n:d} failed {k:d} times in a row {ago:g} s ago")
def given_failed(context, n, k, ago):
    context.subject = subject = CandidateSubject()
    for row in list(subject.tables.upstreams.values())[:n]:
        for _ in range(k):
            record_failure(row, NOW - ago)


@when("an attempt starts on u0")
def when_start(context):
    record_attempt_start(context.subject.row, NOW)


@when("that attempt is answered")
def when_answered(context):
    record_attempt_end(context.subject.row, NOW)
    record_success(context.subject.row, 0.5, NOW)


@when("u0 crashes")
def when_crash(context):
    record_failure(context.subject.row, NOW, is_crash=True)


@when("the state is changed so that {change}")
def when_change(context, change):
    CandidateSubject.CHANGES[change](context.subject)


@then("u0 is {listed} as a candidate and the placement check for it reports {violation}")
def then_listed(context, listed, violation):
    subject = context.subject
    assert ("d/u0" in subject.list_ids()) == (listed == "listed"), subject.list_ids()
    try:
        check_placement(subject.tables, subject.req, subject.row, NOW)
        found = "nothing"
    except InvariantError as exc:
        assert exc.peer == "d/u0" and exc.step == "placement"
        found = exc.message
    assert violation in found, found


@then("{n:d} are listed as candidates")
def then_n_listed(context, n):
    assert len(context.subject.list_ids()) == n, context.subject.list_ids()
