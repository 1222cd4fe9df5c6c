"""Steps for billing: outbox, flusher and usage reports."""

import msgspec
import trio
from behave import given, then, when

from crocusvalve.base import BootId, CustomerId, NodeId, RequestId, UpstreamId, VersionRef
from crocusvalve.billing import (
    BillFlusher,
    BillOutbox,
    RequestIdMaker,
    UsageReport,
    find_bill_page,
    format_day,
)
from crocusvalve.billing._ledger import BillPage
from crocusvalve.exceptions import InvariantError
from crocusvalve.rpc import BillRecord, Usage
from crocusvalve.standin import MemoryPlatform, PlatformFaults
from features.support.virtual_platform import (
    TrioClock,
    make_client,
    make_faults,
    run_schedules,
    run_virtual,
)


def make_bills(n, boot="b1", members=("m",)):
    """Make bills with integer costs, so that their sums are exact."""
    ids = RequestIdMaker(BootId(boot))
    return [
        BillRecord(
            request_id=ids.make(0.0),
            customer_id=CustomerId(f"{members[i % len(members)]}/c{i % 5}"),
            class_name="chat",
            version=VersionRef("m/a@1"),
            upstream_id=UpstreamId("m/u"),
            usage=Usage(10, i % 7, 0),
            cost=float(i % 3),
            n_attempts=1,
            at=0.0,
        )
        for i in range(n)
    ]


class BillSubject:
    """An outbox, its flusher and the ledger on an in-memory platform."""

    def __init__(self, bills):
        self.bills = bills

    def start(self):
        self.platform = MemoryPlatform(clock=TrioClock())
        self.outbox, self.flusher = self.make_flusher("a", self.bills)

    def make_flusher(self, name, bills, capacity=50_000):
        outbox = BillOutbox(capacity=capacity)
        for bill in bills:
            outbox.add(bill)
        tables, _ = make_client(self.platform, name)
        flusher = BillFlusher(
            tables, outbox, node_id=NodeId(name), boot_id=BootId("1"), clock=TrioClock()
        )
        return outbox, flusher

    async def flush_all(self, flusher=None):
        while not await (flusher or self.flusher).flush_safely():
            await trio.sleep(1.0)

    async def read_ledger(self):
        self.platform.faults = PlatformFaults()
        report = UsageReport(self.platform)
        bills = [bill async for bill in report.list_bills("")]
        totals = await report.read_totals(format_day(0.0))
        return bills, totals, await report.sum_ledger()

    def run_scenario(self, scenario):
        async def main():
            self.start()
            await scenario()
            return await self.read_ledger()

        self.results = run_schedules(main)


@given("{n:d} requests with bills in an outbox")
def given_bills(context, n):
    context.bills = BillSubject(make_bills(n))


@given("{n:d} requests of members m and n with bills in an outbox")
def given_member_bills(context, n):
    context.bills = BillSubject(make_bills(n, members=("m", "n")))


@when('the fault "{fault}" is active during a flush and then ends')
def when_fault(context, fault):
    subject = context.bills

    async def scenario():
        subject.platform.faults = make_faults(fault)
        await subject.flusher.flush_safely()
        await trio.sleep(5.0)
        subject.platform.faults = PlatformFaults()
        await subject.flush_all()

    subject.run_scenario(scenario)


@when("the outbox is flushed until it is empty")
def when_flushed(context):
    subject = context.bills
    if not hasattr(subject, "results"):
        subject.run_scenario(subject.flush_all)
    assert len(subject.outbox) == 0


@then("the ledger contains {n:d} bills, one per request")
def then_ledger(context, n):
    for bills, _, _ in context.bills.results:
        assert len(bills) == n == len({bill.request_id for bill in bills}), len(bills)


@then("the totals equal the ledger")
def then_totals(context):
    for _, totals, sums in context.bills.results:
        assert totals == sums


@when("another process has the same bills and both flush concurrently")
def when_both_flush(context):
    subject = context.bills

    async def scenario():
        _, other = subject.make_flusher("b", reversed(subject.bills))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(subject.flush_all)
            nursery.start_soon(subject.flush_all, other)

    subject.run_scenario(scenario)


@when("the bills are flushed, and then one request is billed again at a different cost")
def when_billed_again(context):
    subject = context.bills

    async def scenario():
        await subject.flush_all()
        bill = subject.bills[0]
        subject.outbox.add(msgspec.structs.replace(bill, cost=99.0))
        await subject.flush_all()

    subject.run_scenario(scenario)


@then("one conflict is counted and the first cost is retained")
def then_conflict(context):
    assert context.bills.flusher.counters.n_conflicts == 1
    assert all(bill.cost < 99.0 for bills, _, _ in context.bills.results for bill in bills)


@when("its flusher is stopped {moment} and the agents' copies are flushed by another process")
def when_stopped(context, moment):
    subject = context.bills

    async def scenario():
        subject.flusher.max_pages_per_transact = 1
        subject.platform.faults = PlatformFaults(delay_s=0.1)
        # A store call takes 0.1 s here, so 0.35 s ends within the flush.
        with trio.move_on_after(0.35 if moment == "within a flush" else 0.0):
            await subject.flusher.flush_once(0.0)
        _, other = subject.make_flusher("b", subject.bills)
        await subject.flush_all(other)

    subject.run_scenario(scenario)


@given("an outbox of capacity {n:d} and a store that is down")
def given_outage(context, n):
    context.bills = BillSubject(make_bills(1500))
    context.capacity = n


@when("{n:d} requests arrive, of which {n_in_flight:d} are in flight at a time")
def when_requests_arrive(context, n, n_in_flight):
    subject = context.bills

    async def scenario():
        subject.start()
        outbox, flusher = subject.make_flusher("c", [], context.capacity)
        subject.platform.faults = PlatformFaults(is_down=True)
        in_flight, context.n_accepted, context.max_outbox_size = [], 0, 0
        for bill in subject.bills[:n]:
            if not outbox.is_full:
                context.n_accepted += 1
                in_flight.append(bill)
            if len(in_flight) == n_in_flight:
                outbox.add(in_flight.pop(0))
            context.max_outbox_size = max(context.max_outbox_size, len(outbox))
        await flusher.flush_safely()
        for bill in in_flight:
            outbox.add(bill)
        context.max_outbox_size = max(context.max_outbox_size, len(outbox))
        subject.platform.faults = PlatformFaults()
        await subject.flush_all(flusher)
        return await subject.read_ledger()

    context.ledger = run_virtual(scenario)


@then("the outbox contains no more than {n:d} bills and later requests are refused")
def then_bounded(context, n):
    assert context.max_outbox_size <= n and context.n_accepted < 1500, context.max_outbox_size


@then("when the store is available again, every accepted request is billed once")
def then_all_billed(context):
    bills = context.ledger[0]
    assert len(bills) == context.n_accepted == len({bill.request_id for bill in bills})


@then("an outbox whose number of bills is inconsistent raises an invariant error")
def then_inconsistent_outbox(context):
    outbox = BillOutbox()
    bill = make_bills(1)[0]
    outbox.add(bill)
    outbox.counters.n_added += 1
    try:
        outbox.confirm([bill.request_id])
    except InvariantError:
        return
    raise AssertionError("no InvariantError was raised")


@then("ids of one boot share pages of {n:d}; other days, boots and id formats have separate pages")
def then_pages(context, n):
    ids = RequestIdMaker(BootId("b1"))
    first = [find_bill_page(ids.make(0.0)) for _ in range(3 * n)]
    assert len(set(first)) == 3
    others = [
        find_bill_page(RequestIdMaker(BootId("b1")).make(86_400.0)),
        find_bill_page(RequestIdMaker(BootId("b2")).make(0.0)),
        find_bill_page(RequestId("own-id-1")),
        find_bill_page(RequestId("own-id-2")),
    ]
    assert len(set(first + others)) == 7


@then("the usage of member {member} has the correct lines and takes {n:d} read")
def then_usage(context, member, n):
    subject = context.bills

    async def scenario():
        subject.start()
        await subject.flush_all()
        before = subject.platform.counters.n_scans
        totals = await UsageReport(subject.platform).read_totals(format_day(0.0), member=member)
        return totals, subject.platform.counters.n_scans - before

    totals, n_reads = run_virtual(scenario)
    bills = [bill for bill in subject.bills if bill.customer_id.startswith(f"{member}/")]
    assert n_reads == n and {line.customer_id for line in totals} == {b.customer_id for b in bills}
    assert sum(line.n_requests for line in totals) == len(bills)
    assert sum(line.cost for line in totals) == sum(bill.cost for bill in bills)
    n_tokens = sum(bill.usage.completion_tokens for bill in bills)
    assert sum(line.completion_tokens for line in totals) == n_tokens


@then("reading the bills of the day in pages of {n:d} rows returns all of them")
def then_paged(context, n):
    subject = context.bills

    async def scenario():
        report = UsageReport(subject.platform, page_rows=n)
        return [bill async for bill in report.list_bills(format_day(0.0))]

    assert sorted(b.request_id for b in run_virtual(scenario)) == sorted(
        b.request_id for b in subject.bills
    )


@then("a page with two bills of one request raises an invariant error")
def then_page_invariant(context):
    bill = make_bills(1)[0]
    try:
        BillPage([bill, bill]).encode()
    except InvariantError:
        return
    raise AssertionError("no InvariantError was raised")
