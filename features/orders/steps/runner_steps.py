"""Steps for the order runner, claim settler and order fence, with scripted agents and store."""

import trio
import trio.testing
from behave import given, then, when
from msgspec.structs import replace

from crocusvalve.answers import AnswerBuffer
from crocusvalve.base import (
    AttemptId,
    BootId,
    ExecutionStatus,
    NodeId,
    Priority,
    Revision,
    UpstreamKind,
)
from crocusvalve.exceptions import PlatformError, RefusedError
from crocusvalve.orders import (
    AttemptRecord,
    ClaimResult,
    ClaimSettler,
    ClaimState,
    ClaimStore,
    OrderClaim,
    OrderFence,
    OrderRunner,
    OrderSpec,
    StoredClaim,
)
from crocusvalve.rpc import ConnectError, FenceReply, RpcError, RunRequest, Usage
from crocusvalve.utils import Clock

BOOT = BootId("boot-1")
PARTS = [b"valve ", b"held"]


class TrioClock(Clock):
    def now(self):
        return trio.current_time()


class FakeStore(ClaimStore):
    """Claims in memory; ``hangs``, ``is_down`` and ``fails_updates`` are its faults."""

    def __init__(self):
        self.rows = {}
        self.hangs = self.is_down = self.fails_updates = False

    async def insert(self, claim):
        return await self.update(claim, 0)

    async def update(self, claim, version):
        await self._apply_faults(version)
        row = self.rows.get(claim.key)
        is_applied = (row.version if row else 0) == version
        if is_applied:
            row = self.rows[claim.key] = StoredClaim(claim, version + 1)
        return ClaimResult(is_applied, row)

    async def find(self, customer_id, key):
        await self._apply_faults(0)
        return self.rows.get(key)

    async def _apply_faults(self, version):
        if self.hangs:
            await trio.sleep_forever()
        if self.is_down or (version and self.fails_updates):
            raise PlatformError("down", maybe_applied=True)


class ScriptedAgent:
    """Agent that behaves as its fault's name says and records the calls that it receives."""

    def __init__(self, fault, calls):
        self.fault = fault
        self.calls = calls
        self.n_runs = 0

    def make_events(self, req):
        buffer = AnswerBuffer(req.attempt_id)
        for part in PARTS:
            buffer.append(part)
        buffer.finish(0.0, usage=Usage(), finish_reason="stop", service_s=0.1)
        return buffer.read(0)

    async def run(self, req):
        assert req.boot_id == BOOT and req.deadline
        self.calls.append("run")
        self.n_runs += 1
        events = self.make_events(req)
        if self.n_runs == 1:
            if self.fault == "the first agent refuses to connect":
                raise ConnectError("refused", step="run", peer="a")
            if self.fault == "the agent does not answer":
                await trio.sleep_forever()
            if self.fault in (
                "the agent is disconnected",
                "the agent replies that it did not start it",
            ):
                raise RpcError("cut", step="run", peer="a")
            if self.fault == "the stream is interrupted after one frame":
                yield events[0]
                raise RpcError("cut", step="run", peer="a")
            if self.fault == "the final event has a wrong digest":
                events[-1] = replace(events[-1], digest="0")
        for event in events:
            yield event

    async def resume(self, req):
        self.calls.append(f"resume:{req.from_seq}")
        for event in self.make_events(req)[req.from_seq :]:
            yield event

    async def fence(self, req):
        self.calls.append("fence")
        if self.fault == "the agent is disconnected":
            raise RpcError("cut", step="fence", peer="a")
        is_unstarted = self.fault == "the agent replies that it did not start it"
        return FenceReply(
            req.attempt_id, ExecutionStatus.NOT_RUN if is_unstarted else ExecutionStatus.RAN, BOOT
        )


class RunnerSubject:
    """Runs one order under a fault."""

    def __init__(self, fault):
        self.calls = []
        self.store = FakeStore()
        self.store.hangs = fault == "the store does not answer"
        self.store.fails_updates = fault == "the store fails when the outcome is written"
        self.agent = ScriptedAgent(fault, self.calls)
        self.n_attempts = 0

    async def place(self, avoid, now):
        self.n_attempts += 1
        name = AttemptId(f"a{self.n_attempts}")
        return AttemptRecord(name, f"delta/p{self.n_attempts}", "", BOOT, self.spec.deadline)

    def make_request(self, attempt):
        return RunRequest(
            attempt_id=attempt.attempt_id,
            request_id=self.spec.request_id,
            entry_id=self.spec.entry_id,
            customer_id=self.spec.customer_id,
            class_name="order",
            kind=None,
            upstream_id=attempt.upstream_id,
            upstream_kind=UpstreamKind.PLAIN,
            version="",
            revision=Revision(1),
            deadline=0.0,
            priority=Priority.URGENT,
            body=b"",
            digest="",
        )

    async def run(self):
        started_at = trio.current_time()
        self.spec = OrderSpec(
            customer_id="delta/coop",
            key="k",
            body_digest="b",
            request_id="r",
            entry_id=NodeId("e1"),
            deadline=started_at + 20.0,
        )
        self.settler = ClaimSettler(self.store)
        runner = OrderRunner(
            store=self.store,
            settler=self.settler,
            get_agent=lambda attempt: self.agent,
            clock=TrioClock(),
        )
        outcome = await runner.run(self.spec, place=self.place, make_request=self.make_request)
        return outcome, trio.current_time() - started_at


@when("an order is run and {fault}")
def when_run(context, fault):
    context.subject = RunnerSubject(fault)
    clock = trio.testing.MockClock(autojump_threshold=0)
    context.outcome, context.elapsed_s = trio.run(context.subject.run, clock=clock)


@then("the caller gets {outcome} after at most {seconds:d} seconds")
def then_outcome(context, outcome, seconds):
    actual = context.outcome
    assert (actual.code.code if actual.code else "answered") == outcome, actual
    assert context.elapsed_s <= seconds + 0.01, context.elapsed_s
    if actual.answer:
        assert actual.answer.body == b"".join(PARTS)
        assert len(context.subject.settler) == 1


@then("the agents received {calls}")
def then_received(context, calls):
    assert " ".join(context.subject.calls) == calls.replace("nothing", ""), context.subject.calls


def make_claim(key, state, n_attempts=1):
    attempts = tuple(AttemptRecord(f"{key}-{i}", "u", "", BOOT, 1.0) for i in range(n_attempts))
    return OrderClaim(
        customer_id="delta/coop",
        key=key,
        body_digest="b",
        request_id="r",
        owner=NodeId("e1"),
        state=state,
        attempts=attempts,
        takeover_at=0.0,
        at=0.0,
    )


@given("a claim settler with {n:d} queued claims and a store that is down")
def given_settler(context, n):
    context.store = FakeStore()
    context.settler = ClaimSettler(context.store)
    for i in range(n):
        key = f"k{i}"
        context.store.rows[key] = StoredClaim(make_claim(key, ClaimState.OPEN), 1)
        context.settler.add(make_claim(key, ClaimState.NOT_RUN))
    longer = StoredClaim(make_claim("better", ClaimState.OPEN, 2), 5)
    context.store.rows["better"] = longer
    context.settler.add(make_claim("better", ClaimState.UNKNOWN))
    context.store.is_down = True
    assert not trio.run(context.settler.settle) and len(context.settler) == n + 1


@when("the store recovers and the claim settler runs")
def when_recovers(context):
    context.store.is_down = False
    assert trio.run(context.settler.settle)


@then("the {n:d} claims are written and a stored claim with more attempts stays unchanged")
def then_written(context, n):
    states = [context.store.rows[f"k{i}"].claim.state for i in range(n)]
    assert states == [ClaimState.NOT_RUN] * n and len(context.settler) == 0
    assert context.store.rows["better"].claim.state is ClaimState.OPEN


@given("an order fence that has learned {numbers}")
def given_fence(context, numbers):
    context.fence = OrderFence()
    for number in numbers.replace("nothing", "").split():
        context.fence.learn(int(number))


@when("a controller's order with number {number:d} arrives")
def when_order(context, number):
    try:
        context.fence.check(number)
        context.answer = "passed"
    except RefusedError as exc:
        assert exc.ran is ExecutionStatus.NOT_RUN
        context.answer = exc.code.code


@then("the result of the fence's check is {result}")
def then_fence(context, result):
    assert context.answer == result, context.answer
