"""Steps about the bills that an agent stores and about its graceful shutdown."""

import trio
from behave import given, then, when
from fakes import NOW, FakeUpstream, make_request
from faults import collect
from harness import AgentHarness

from crocusvalve.base import RequestId
from crocusvalve.rpc import BillsAck, CancelRequest, Empty, Final, ResumeRequest, Usage


class BillCases:
    """Sequences of calls at an agent that store, void or acknowledge bills."""

    @staticmethod
    async def fetch(agent, **changes):
        req = make_request(**changes)
        await collect(agent.run(req))
        return req

    @staticmethod
    async def skip_end(agent):
        """Start an attempt and never read the end of its answer."""
        events = agent.run(make_request())
        await anext(events)
        await events.aclose()
        await trio.sleep(15)

    @classmethod
    async def acknowledge(cls, agent):
        req = await cls.fetch(agent)
        await trio.sleep(15)
        await agent.acknowledge_bills(BillsAck((req.request_id,)))

    @classmethod
    async def cancel_after_fetch(cls, agent):
        req = await cls.fetch(agent)
        await agent.cancel(CancelRequest(req.attempt_id))
        await trio.sleep(15)

    @classmethod
    async def fetch_twice(cls, agent):
        req = await cls.fetch(agent)
        await collect(agent.resume(ResumeRequest(req.attempt_id, 0)))
        await trio.sleep(15)

    @classmethod
    async def fetch_and_wait(cls, agent, seconds, **changes):
        await cls.fetch(agent, **changes)
        await trio.sleep(seconds)

    @classmethod
    async def run_two_steps(cls, agent):
        request_id = RequestId("r1")
        await cls.fetch(agent, request_id=request_id, may_escalate=True)
        await cls.fetch(agent, attempt="a2", request_id=request_id, cost_before=0.05, n_attempts=2)
        await trio.sleep(15)

    @classmethod
    async def drain(cls, agent):
        await cls.fetch(agent)
        agent.tables.is_draining = True


EARLIER_STEPS = {"cost_before": 0.3, "usage_before": Usage(5, 5), "n_attempts": 2}
CASES = {
    "an answer is fetched and 5 seconds pass": lambda a: BillCases.fetch_and_wait(a, 5),
    "an answer is fetched and 15 seconds pass": lambda a: BillCases.fetch_and_wait(a, 15),
    "an answer is fetched and its bill acknowledged": BillCases.acknowledge,
    "the end of an answer is never fetched": BillCases.skip_end,
    "an answer is cancelled after it was fetched": BillCases.cancel_after_fetch,
    "an answer is fetched twice": BillCases.fetch_twice,
    "the last step of a cascade follows a cheaper one": lambda a: BillCases.fetch_and_wait(
        a, 15, **EARLIER_STEPS
    ),
    "two steps of a cascade run at the same agent": BillCases.run_two_steps,
    "a step that may be replaced waits 15 seconds": lambda a: BillCases.fetch_and_wait(
        a, 15, may_escalate=True
    ),
    "a step that may be replaced waits 90 seconds": lambda a: BillCases.fetch_and_wait(
        a, 90, may_escalate=True
    ),
    "the agent drains right after an answer": BillCases.drain,
}


@when("this case is run at an agent: {case}")
def when_case(context, case):
    async def scenario(agent, upstream):
        await CASES[case](agent)
        return (await agent.list_bills(Empty())).bills

    context.bills = AgentHarness(FakeUpstream((b"one ", b"two"))).run(scenario)


@then("{n:d} bills are offered at a total cost of {cost:g}")
def then_offered(context, n, cost):
    assert len(context.bills) == n, context.bills
    assert abs(sum(bill.cost for bill in context.bills) - cost) < 1e-9, context.bills
    for bill in context.bills:
        assert bill.n_attempts == 1 or bill.usage.prompt_tokens > 0


@given("an agent whose engine pauses in the middle of an answer")
def given_pausing_engine(context):
    context.upstream = FakeUpstream((b"one ", trio.Event(), b"two"))


@when("the agent drains while an attempt is running and an entry collects the bills")
def when_drained_while_running(context):
    async def scenario(agent, upstream):
        context.events, context.is_done = [], None

        async def run():
            context.events = await collect(agent.run(make_request()))

        async def drain():
            context.is_done = await agent.drain(30.0)
            assert not len(agent.tables.bills), "the drain ended with an undelivered bill"

        async def poll():
            while context.is_done is None:
                bills = (await agent.list_bills(Empty())).bills
                await agent.acknowledge_bills(BillsAck(tuple(b.request_id for b in bills)))
                await trio.sleep(0.5)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            await trio.sleep(1)
            nursery.start_soon(drain)
            await trio.sleep(1)
            context.refused = (await collect(agent.run(make_request("a2"))))[-1]
            upstream.script[1].set()
            nursery.start_soon(poll)

    AgentHarness(context.upstream).run(scenario)


@then("the answer is complete, a new attempt is refused as {code} and the drain completes")
def then_drain_completes(context, code):
    assert isinstance(context.events[-1], Final) and context.refused.code == code
    assert context.is_done


@when("the agent drains for at most {seconds:d} seconds and the engine never continues")
def when_drained_with_limit(context, seconds):
    async def scenario(agent, upstream):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(collect, agent.run(make_request(deadline=NOW + 1000)))
            await trio.sleep(1)
            started_at = trio.current_time()
            is_done = await agent.drain(float(seconds))
            context.drain_result = (is_done, trio.current_time() - started_at)
            nursery.cancel_scope.cancel()

    AgentHarness(context.upstream).run(scenario)


@then("the drain is not complete and took {seconds:d} seconds")
def then_drain_times_out(context, seconds):
    is_done, took_s = context.drain_result
    assert not is_done and abs(took_s - seconds) < 1.0, context.drain_result
