"""Steps for durable requests."""

import random

import trio
from behave import given, then, when

from crocusvalve.base import BootId, CustomerId, NodeId, RequestId
from crocusvalve.durable import (
    OPEN_TABLE,
    DurableRequest,
    DurableResult,
    DurableState,
    DurableStore,
    DurableSystem,
    DurableWorker,
)
from crocusvalve.exceptions import ErrorCode, PlatformError, RefusedError
from crocusvalve.standin import MemoryPlatform, PlatformFaults
from crocusvalve.store import WriteIdMaker
from crocusvalve.utils import compute_digest
from features.support.virtual_platform import (
    FAULTS,
    N_SCHEDULES,
    TrioClock,
    make_client,
    run_virtual,
)

TTL_S = 10.0
DEADLINE_S = 100.0
ALARM_BEFORE_S = 40.0
REQUEST_ID = RequestId("r1")


class Entry:
    """A durable worker with its own store client and executions that the test controls.

    An execution fails, is refused, or waits until ``may_answer`` is set.
    """

    def __init__(self, subject, name, boot=0):
        self.subject = subject
        self.name = name
        self.tables, _ = make_client(subject.platform, name)
        write_ids = WriteIdMaker(random.Random(f"{name}/{boot}"))
        store = DurableStore(self.tables, subject.platform, write_ids=write_ids)
        self.may_answer = trio.Event()
        self.scope = trio.CancelScope()
        self.alarms = []
        self.n_refusals = self.n_unexpected_errors = 0
        self.worker = DurableWorker(
            store,
            self.execute,
            node_id=NodeId(name),
            boot_id=BootId(str(boot)),
            clock=TrioClock(),
            random_state=random.Random(f"{name}/{boot}"),
            ttl_s=TTL_S,
            system=DurableSystem(),
            scan_interval_s=1.0,
            on_alarm=self.alarms.append,
        )

    async def execute(self, record):
        self.subject.executions.append((self.name, record.body))
        if self.n_unexpected_errors:
            self.n_unexpected_errors -= 1
            raise ValueError("broken")
        if self.n_refusals:
            self.n_refusals -= 1
            raise RefusedError(ErrorCode.NO_UPSTREAM, "no upstream is available", retry_after_s=1.0)
        await self.may_answer.wait()
        return DurableResult(status=200, body=f"by {self.name}".encode())

    async def run(self, *, task_status):
        with self.scope:
            await self.worker.run(task_status=task_status)


class Outcome:
    """Stored rows, executions, error and alarms at the end of one run of a script."""

    def __init__(self, subject, record, open_row):
        self.record = record
        self.open_row = open_row
        self.executions = subject.executions
        self.error = subject.error
        self.n_new = subject.n_new
        self.alarms = {name: len(entry.alarms) for name, entry in subject.entries.items()}


class DurableSubject:
    """Runs a script of steps with entries that share one platform, in virtual time.

    The script runs once per scheduler seed, each with a different order of the tasks.
    """

    def __init__(self):
        self.script = []
        self.body = b"dossier"
        self.outcomes = []

    def run(self):
        if not self.outcomes:
            self.outcomes = [self._run_once(seed) for seed in range(N_SCHEDULES)]
        return self.outcomes

    def _run_once(self, seed):
        self.platform = MemoryPlatform()
        self.executions = []
        self.entries = {}
        self.error = None
        self.n_new = 0
        return run_virtual(self._main, seed)

    async def _main(self):
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for name in ("a", "b"):
                await self.start(name)
            for step in self.script:
                await step()
            self.platform.faults = PlatformFaults()
            record = await DurableStore(self.platform, self.platform).get(REQUEST_ID)
            open_row = await self.platform.get(OPEN_TABLE, REQUEST_ID)
            outcome = Outcome(self, record, open_row)
            nursery.cancel_scope.cancel()
        return outcome

    async def start(self, name, boot=0):
        self.entries[name] = Entry(self, name, boot)
        await self.nursery.start(self.entries[name].run)

    async def accept(self, body=None, name="a"):
        entry = self.entries[name]
        req = DurableRequest(
            request_id=REQUEST_ID,
            customer_id=CustomerId("m/c"),
            class_name="assessment",
            deadline=DEADLINE_S,
            body=body or self.body,
            digest=compute_digest(body or self.body),
            alarm_before_s=ALARM_BEFORE_S,
        )
        try:
            accepted = await entry.worker.accept(req)
            self.n_new += accepted.is_new
        except RefusedError as exc:
            self.error = exc

    async def allow_answers(self):
        for entry in self.entries.values():
            entry.may_answer.set()


def add_step(context, step):
    context.durable.script.append(step)


@given("two entries that share one platform")
def given_entries(context):
    context.durable = DurableSubject()


@given("a body of {n:d} bytes")
def given_body(context, n):
    context.durable.body = b"x" * n


@given('the fault "{fault}"')
@when('the fault "{fault}" begins')
def when_fault(context, fault):
    async def step():
        for name, value in FAULTS[fault].items():
            setattr(context.durable.platform.faults, name, value)

    add_step(context, step)


@when("the fault ends")
def when_fault_ends(context):
    async def step():
        context.durable.platform.faults = PlatformFaults()

    add_step(context, step)


@when("entry a accepts a durable request")
def when_accepts(context):
    add_step(context, context.durable.accept)


@when("entries a and b accept the same request concurrently")
def when_accept_concurrently(context):
    async def step():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.durable.accept, None, "a")
            nursery.start_soon(context.durable.accept, None, "b")

    add_step(context, step)


@then("exactly one entry accepts it as new")
def then_one_new(context):
    assert [outcome.n_new for outcome in context.durable.run()] == [1] * N_SCHEDULES


@when("entry a receives a different body under the same request id")
def when_accepts_different_body(context):
    add_step(context, lambda: context.durable.accept(b"other"))


@when("{seconds:g} s pass")
def when_time_passes(context, seconds):
    add_step(context, lambda: trio.sleep(seconds))


@when("the upstreams answer")
def when_answer(context):
    add_step(context, context.durable.allow_answers)


@when("the upstream of entry a answers")
def when_a_answers(context):
    async def step():
        context.durable.entries["a"].may_answer.set()

    add_step(context, step)


@when("the upstreams refuse {n:d} times, then answer")
def when_refuse(context, n):
    async def step():
        for entry in context.durable.entries.values():
            entry.n_refusals = n
            entry.may_answer.set()

    add_step(context, step)


@when("the execution at entry a raises an unexpected error once, then the upstreams answer")
def when_execution_fails(context):
    async def step():
        context.durable.entries["a"].n_unexpected_errors = 1
        await context.durable.allow_answers()

    add_step(context, step)


@when("the body is deleted from the object store")
def when_body_deleted(context):
    async def step():
        context.durable.platform._objects.clear()

    add_step(context, step)


@when("entry a is killed")
def when_killed(context):
    async def step():
        entry = context.durable.entries["a"]
        # Without rows the worker can't release leases when it is cancelled.
        entry.worker.tables.rows.clear()
        entry.scope.cancel()

    add_step(context, step)


@when("entry a keeps running")
def when_keeps_running(context):
    pass


@when("entry a stops")
def when_stops(context):
    async def step():
        context.durable.entries["a"].scope.cancel()

    add_step(context, step)


@when("entry a is disconnected from the store")
def when_disconnected(context):
    async def fail(*args, **kwargs):
        raise PlatformError("disconnected from the store")

    async def step():
        entry = context.durable.entries["a"]
        entry.tables.inner = type("Cut", (), {"get": fail, "scan": fail, "transact": fail})

    add_step(context, step)


@when("entry a is paused")
def when_paused(context):
    async def step():
        worker = context.durable.entries["a"].worker
        # The worker neither renews its leases nor sees that they were claimed.
        worker.tick_interval_s = worker.scan_interval_s = 1000.0

    add_step(context, step)


@then("entry a accepted the request")
def then_accepted(context):
    errors = [outcome.error for outcome in context.durable.run()]
    assert errors == [None] * N_SCHEDULES, errors


@then("the request is {state}, ended once, with {n:d} execution(s)")
def then_ended(context, state, n):
    for outcome in context.durable.run():
        record = outcome.record
        assert record is not None and record.state is DurableState(state), record
        assert outcome.open_row is None
        assert len(outcome.executions) == n, outcome.executions


@then("the request is still open and entry {name} has {n:d} alarm(s)")
def then_alarms(context, name, n):
    for outcome in context.durable.run():
        assert outcome.record.state is DurableState.OPEN
        assert outcome.alarms[name] == n and sum(outcome.alarms.values()) == n, outcome.alarms


@then('its answer is "{text}"')
def then_answer(context, text):
    answers = {outcome.record.result.body.decode() for outcome in context.durable.run()}
    assert answers == {text}, answers


@then('its error is "{code}"')
def then_error(context, code):
    codes = {outcome.record.result.error_code for outcome in context.durable.run()}
    assert codes == {code}, codes


@then('entry a refuses with "{code}" and reports the execution status "{ran}"')
def then_refused(context, code, ran):
    for outcome in context.durable.run():
        error = outcome.error
        assert error is not None and error.code.code == code and error.ran.value == ran, error


@then("{n:d} request(s) ended")
def then_n_ended(context, n):
    for outcome in context.durable.run():
        record = outcome.record
        assert len(outcome.executions) == n
        assert (record is not None and record.state is DurableState.DONE) == bool(n), record


@then("every execution received the complete body")
def then_bodies(context):
    for outcome in context.durable.run():
        assert {body for _, body in outcome.executions} == {context.durable.body}
