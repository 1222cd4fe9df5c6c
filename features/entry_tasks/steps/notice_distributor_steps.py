"""Steps for notices that an entry writes to the document."""

import random

import trio
from behave import given, then, when

from crocusvalve.base import NodeId
from crocusvalve.entry._notice_distributor import NoticeDistributor
from crocusvalve.exceptions import CrocusvalveError, ErrorCode
from crocusvalve.membership import NoticeTable
from crocusvalve.rpc import NoticeKind
from crocusvalve.utils import Clock
from features.core_builders import NOW, make_tables


class ManualClock(Clock):
    """A clock that stands still until it is set."""

    def __init__(self):
        self.time_s = NOW

    def now(self):
        return self.time_s


class NoticeSubject:
    """A notice distributor whose publisher rejects the notices on some subjects."""

    def __init__(self, rejected):
        self.clock = ManualClock()
        self.rejected = rejected
        self.tried = []
        self.written = []
        self.distributor = NoticeDistributor(
            node_id=NodeId("entry-1"),
            key="key",
            table=NoticeTable(),
            tables=make_tables(),
            peers=None,
            pool=None,
            publisher=None,
            clock=self.clock,
            random_state=random.Random(1),
        )
        self.distributor._write = self.write

    async def write(self, notice):
        self.tried.append(notice.subject)
        if notice.subject in self.rejected:
            raise CrocusvalveError(ErrorCode.CONFIG_INVALID, "unknown domain", step="edit")
        self.written.append(notice.subject)

    def write_pending(self):
        trio.run(self.distributor._write_pending)


@given(
    "an entry with pending notices on the domains {first}, {second} and {third}, "
    "of which {rejected} can't be written"
)
def given_pending(context, first, second, third, rejected):
    context.subject = NoticeSubject({rejected})
    for number, name in enumerate((first, second, third)):
        context.subject.distributor.issue(NoticeKind.DOMAIN_OUT, name, number=number + 1)


@when("it writes pending notices")
def when_written(context):
    context.subject.write_pending()


@then("the notices on {first} and {second} are written")
def then_written(context, first, second):
    assert context.subject.written == [first, second], context.subject.written


@then("the notice on {name} is tried again after {delay_s:d} s, not before")
def then_tried_again(context, name, delay_s):
    subject = context.subject
    counts = []
    for time_s in (NOW + delay_s - 0.1, NOW + delay_s + 0.1):
        subject.clock.time_s = time_s
        subject.write_pending()
        counts.append(subject.tried.count(name))
    assert counts == [1, 2], subject.tried
