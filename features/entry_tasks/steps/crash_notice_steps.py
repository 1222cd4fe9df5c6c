"""Steps for the notices by which entries report requests that crash upstreams."""

import random

from behave import given, then, when
from msgspec.structs import replace

from crocusvalve.base import NodeId, UpstreamId
from crocusvalve.entry._notice_distributor import NoticeDistributor
from crocusvalve.membership import NoticeTable
from crocusvalve.retry import Quarantine
from features.core_builders import NOW, make_tables
from features.entry_tasks.steps.notice_distributor_steps import ManualClock


class CrashNoticeSubject:
    """Entries, each of which sends every notice that it issues or forwards to all others."""

    def __init__(self):
        self.entries = []

    def add_entry(self):
        tables = make_tables()
        distributor = NoticeDistributor(
            node_id=NodeId(f"entry-{len(self.entries) + 1}"),
            key="key",
            table=NoticeTable(quarantine=Quarantine(tables.quarantine)),
            tables=tables,
            peers=None,
            pool=None,
            publisher=None,
            clock=ManualClock(),
            random_state=random.Random(1),
        )
        distributor._distribute = lambda notice: self._deliver(distributor, notice)
        self.entries.append(distributor)
        return distributor

    def _deliver(self, sender, notice):
        for entry in self.entries:
            if entry is not sender:
                entry.merge_notice(notice)

    def crash(self, number, digest, upstream):
        entry = self.entries[number - 1]
        entry.table.quarantine.record_crash(digest, UpstreamId(upstream), NOW, incident="b1")
        entry.issue_quarantine(digest)

    def is_refused(self, digest):
        return [entry.table.quarantine.is_banned(digest) for entry in self.entries]


@given("{n:d} entries that send each other notices")
def given_entries(context, n):
    context.subject = CrashNoticeSubject()
    for _ in range(n):
        context.subject.add_entry()


@when('entry 1 sees a crash of "{digest}" on "{first}" and entry 2 one on "{second}"')
def when_two_crashes(context, digest, first, second):
    context.subject.crash(1, digest, first)
    context.subject.crash(2, digest, second)


@given('"{digest}" has crashed two upstreams')
def given_refused(context, digest):
    context.subject.crash(1, digest, "u0")
    context.subject.crash(1, digest, "u1")


@when("{n:d} other requests are lost in crashes")
def when_others(context, n):
    for number in range(n):
        context.subject.crash(1, f"sound-{number}", "u3")


@when("{n:d} other requests are lost in crashes and a further entry fetches the notices")
def when_late(context, n):
    when_others(context, n)
    notices = context.subject.entries[-1].list_notices()
    late = context.subject.add_entry()
    for notice in notices:
        late.merge_notice(notice)


@when('entry 2 gets a notice of entry 1 with one more crash of "{digest}" than was signed')
def when_forged(context, digest):
    first, second = context.subject.entries
    first._distribute = lambda notice: None
    context.subject.crash(1, digest, "u0")
    (notice,) = (n for n in first.list_notices() if n.subject == digest)
    assert second.merge_notice(replace(notice, incidents=(*notice.incidents, "u1#b1"))) is False


@then('each entry refuses "{digest}"')
def then_all_refuse(context, digest):
    assert all(context.subject.is_refused(digest)), context.subject.is_refused(digest)


@then('no entry refuses "{digest}"')
def then_none_refuses(context, digest):
    assert not any(context.subject.is_refused(digest)), context.subject.is_refused(digest)
