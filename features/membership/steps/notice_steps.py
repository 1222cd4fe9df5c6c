"""Steps about notices."""

from behave import given, then

from crocusvalve.membership import NoticeTable
from crocusvalve.retry import Quarantine
from crocusvalve.rpc import Notice, NoticeKind
from features.core_builders import NOW, make_tables

KINDS = {
    "out": (NoticeKind.DOMAIN_OUT, "d/a"),
    "in": (NoticeKind.DOMAIN_IN, "d/a"),
    "withdraw": (NoticeKind.WITHDRAWN, "d/m@v1"),
    "other-out": (NoticeKind.DOMAIN_OUT, "d/z"),
}


class NoticeSubject:
    """A notice table and the tables of an entry, to which notices and revisions are applied."""

    def __init__(self):
        self.tables = make_tables()
        self.quarantine = Quarantine({})
        self.notices = NoticeTable(quarantine=self.quarantine)

    def apply(self, event):
        if event.startswith("doc:"):
            options = {"out": {"out": ("a",)}, "withdrawn": {"withdrawn": ("v1",)}}
            revision = self.tables.view.revision + 1
            view = make_tables(revision=revision, **options.get(event[4:], {})).view
            self.tables.apply_view(view)
            self.notices.supersede_confirmed(self.tables)
            return
        name, _, number = event.partition("#")
        kind, subject = KINDS[name]
        self.merge_notice(kind, subject, int(number))

    def merge_notice(self, kind, subject, number):
        notice = Notice(kind=kind, subject=subject, number=number, issuer="d")
        return self.notices.merge_notice(notice, self.tables, NOW)


@given('notices and revisions "{events}"')
def given_events(context, events):
    context.notices = NoticeSubject()
    for event in events.split():
        context.notices.apply(event)


@given('a notice that digest "{digest}" crashed {n:d} upstreams')
def given_crashes(context, digest, n):
    context.notices = NoticeSubject()
    assert context.notices.merge_notice(NoticeKind.QUARANTINE, digest, n)


@then("{closed} is closed to new requests")
def then_closed(context, closed):
    tables = context.notices.tables
    found = {
        "domain": not tables.is_upstream_open(tables.upstreams["d/u0"]),
        "version": tables.is_version_withdrawn("d/m@v1"),
    }
    assert found == {"domain": closed == "domain", "version": closed == "version"}, found


@then('a new process receives only "{kinds}" notices')
def then_received(context, kinds):
    found = [notice.kind.value for notice in context.notices.notices.list_notices()]
    assert found == kinds.split(), found


@then('digest "{digest}" is always refused, and the same notice is not new')
def then_refused(context, digest):
    assert context.notices.quarantine.is_banned(digest)
    assert not context.notices.merge_notice(NoticeKind.QUARANTINE, digest, 2)
