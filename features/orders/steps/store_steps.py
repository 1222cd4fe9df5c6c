"""Steps for orders with claims in the platform's tables, under faults of the store."""

import trio
from behave import given, then, when

from crocusvalve.answers import AnswerBuffer
from crocusvalve.base import (
    AttemptId,
    BootId,
    ClassKind,
    CustomerId,
    ExecutionStatus,
    NodeId,
    Priority,
    RequestId,
    Revision,
    UpstreamId,
    UpstreamKind,
    VersionRef,
)
from crocusvalve.exceptions import PlatformError
from crocusvalve.orders import AttemptRecord, ClaimSettler, OrderRunner, OrderSpec
from crocusvalve.orders._table_store import TableClaimStore
from crocusvalve.rpc import FenceReply, RunRequest, Usage
from crocusvalve.standin import MemoryPlatform, PlatformFaults
from crocusvalve.store import WriteIdMaker
from features.support.virtual_platform import TrioClock, make_client, make_faults, run_schedules

CUSTOMER = CustomerId("m/c")
BOOT = BootId("b1")
DEADLINE_S = 60.0
RECOVERY_S = 10.0


def make_request(attempt):
    return RunRequest(
        attempt_id=attempt.attempt_id,
        request_id=RequestId("r"),
        entry_id=NodeId("entry"),
        customer_id=CUSTOMER,
        class_name="order",
        kind=ClassKind.ORDER,
        upstream_id=attempt.upstream_id,
        upstream_kind=UpstreamKind.PLAIN,
        version=VersionRef(""),
        revision=Revision(1),
        deadline=attempt.deadline,
        priority=Priority.URGENT,
        body=b"",
        digest="d",
        boot_id=attempt.boot_id,
    )


class RecordingAgent:
    """Agent that runs every order immediately and records the attempts run and fenced."""

    def __init__(self):
        self.runs = []
        self.fenced = set()

    async def run(self, req):
        assert req.attempt_id not in self.fenced
        self.runs.append(req.attempt_id)
        buffer = AnswerBuffer(req.attempt_id)
        yield buffer.append(b"opened")
        yield buffer.finish(trio.current_time(), usage=Usage(), finish_reason="stop", service_s=0.1)

    async def fence(self, req):
        has_run = req.attempt_id in self.runs
        self.fenced.add(req.attempt_id)
        return FenceReply(
            req.attempt_id, ExecutionStatus.RAN if has_run else ExecutionStatus.NOT_RUN, BOOT
        )


class StoreSubject:
    """Orders of one entry over an in-memory platform."""

    def start(self):
        self.platform = MemoryPlatform(clock=TrioClock())
        store = TableClaimStore(make_client(self.platform, 1)[0], make_write_id=WriteIdMaker().make)
        self.settler = ClaimSettler(store)
        self.agent = RecordingAgent()
        self.n_attempts = 0
        self.runner = OrderRunner(
            store=store,
            settler=self.settler,
            get_agent=lambda attempt: self.agent,
            clock=TrioClock(),
        )

    async def place(self, avoid, now):
        self.n_attempts += 1
        return AttemptRecord(
            AttemptId(f"a{self.n_attempts}"), UpstreamId("m/u"), "agent", BOOT, now + DEADLINE_S
        )

    async def call(self, name, *, digest="d", customer=CUSTOMER):
        spec = OrderSpec(
            customer_id=customer,
            key="k",
            body_digest=digest,
            request_id=RequestId(name),
            entry_id=NodeId("entry"),
            deadline=trio.current_time() + DEADLINE_S + 1.0,
        )
        outcome = await self.runner.run(spec, place=self.place, make_request=make_request)
        return outcome

    async def recover(self):
        """Clear the store's faults, let all pending calls end and write the queued claims."""
        self.platform.faults = PlatformFaults()
        await trio.sleep(RECOVERY_S)
        await self.settler.settle()

    async def repeat(self):
        await self.recover()
        outcome = await self.call("r9")
        return outcome.kind.value, len(self.agent.runs)

    def run(self, work):
        async def main():
            self.start()
            return await work()

        self.results = run_schedules(main)

    def check(self, expected):
        assert all(result == expected for result in self.results), self.results


@given("orders with claims in the platform's tables")
def given_orders(context):
    context.orders = StoreSubject()


@when('order r1 with key k is sent while the fault "{fault}" is active')
def when_fault(context, fault):
    subject = context.orders

    async def work():
        subject.platform.faults = make_faults(fault)
        kind = (await subject.call("r1")).kind.value
        n_runs = len(subject.agent.runs)
        return kind, n_runs, await subject.repeat()

    subject.run(work)


@then("order r1 is reported as {outcome} and has run {runs:d} times")
def then_outcome(context, outcome, runs):
    found = {(result[0], result[1]) for result in context.orders.results}
    assert found == {(outcome, runs)}, found


@then(
    "once the store has recovered, a repeat is answered and the key's order has run once in total"
)
def then_once(context):
    found = {result[-1] for result in context.orders.results}
    assert found == {("answered", 1)}, found


@when("orders r1 and r2 with key k are sent concurrently")
def when_at_once(context):
    subject = context.orders

    async def work():
        kinds = []

        async def call(name):
            kinds.append((await subject.call(name)).kind.value)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, "r1")
            nursery.start_soon(call, "r2")
        return sorted(kinds), len(subject.agent.runs)

    subject.run(work)


@then("the order of the key has run once and at most one call is asked to retry later")
def then_one_runs(context):
    for kinds, n_runs in context.orders.results:
        assert n_runs == 1, context.orders.results
        assert kinds in (["answered", "answered"], ["answered", "in_progress"]), kinds


@when("order r1 with key k is sent, then another order with the same key")
def when_other_body(context):
    subject = context.orders

    async def work():
        await subject.call("r1")
        await subject.recover()
        outcome = await subject.call("r2", digest="other")
        return outcome.code.code, outcome.ran.value, len(subject.agent.runs)

    subject.run(work)


@then('the other order is refused with "{code}" and has not run')
def then_refused(context, code):
    context.orders.check((code, "not_run", 1))


@when("order r1 with key k is refused and its claim is applied afterwards")
def when_applied_late(context):
    subject = context.orders

    async def work():
        platform = subject.platform
        held_writes = []

        async def hold_back(writes):
            held_writes.append(writes)
            raise PlatformError("no answer", maybe_applied=True)

        transact, platform.transact = platform.transact, hold_back
        outcome = await subject.call("r1")
        assert outcome.ran is ExecutionStatus.NOT_RUN, outcome
        platform.transact = transact
        await platform.transact(held_writes[0])
        return (await subject.repeat(),)

    subject.run(work)


@when("order r1 with key k is sent, then another customer's order with the same key")
def when_other_customer(context):
    subject = context.orders

    async def work():
        first = await subject.call("r1")
        second = await subject.call("r2", customer=CustomerId("m/other"))
        return first.kind.value, second.kind.value, len(subject.agent.runs)

    subject.run(work)


@then("both orders were answered and each ran once")
def then_both(context):
    context.orders.check(("answered", "answered", 2))
