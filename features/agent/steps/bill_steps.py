"""Steps about bills held at an agent and its graceful shutdown."""

import trio
from behave import given, then, when
from fakes import NOW, FakeUpstream, make_request
from faults import collect
from harness import AgentHarness

from crocusvalve.base import RequestId
from crocusvalve.rpc import BillsAck, CancelRequest, Empty, Final, ResumeRequest, Usage


class BillCases:
    """Cases of answers and what becomes of their bills."""

    @staticmethod
    async def take(agent, **changes):
        req = make_request(**changes)
        await collect(agent.run(req))
        return req

    @staticmethod
    async def leave(agent):
        """Start an attempt and never read its end."""
        events = agent.run(make_request())
        await anext(events)
        await events.aclose()
        await trio.sleep(15)

    @classmethod
    async def acknowledge(cls, agent):
        req = await cls.take(agent)
        await trio.sleep(15)
        await agent.acknowledge_bills(BillsAck((req.request_id,)))

    @classmethod
    async def give_up(cls, agent):
        req = await cls.take(agent)
        await agent.cancel(CancelRequest(req.attempt_id))
        await trio.sleep(15)

    @classmethod
    async def take_twice(cls, agent):
        req = await cls.take(agent)
        await collect(agent.resume(ResumeRequest(req.attempt_id, 0)))
        await trio.sleep(15)

    @classmethod
    async def take_and_wait(cls, agent, seconds, **changes):
        await cls.take(agent, **changes)
        await trio.sleep(seconds)

    @classmethod
    async def run_two_steps(cls, agent):
        request_id = RequestId("r1")
        await cls.take(agent, request_id=request_id, may_escalate=True)
        await cls.take(agent, attempt="a2", request_id=request_id, cost_before=0.05, n_attempts=2)
        await trio.sleep(15)

    @classmethod
    async def drain(cls, agent):
        await cls.take(agent)
        agent.tables.is_draining = True


SPENT = {"cost_before": 0.3, "usage_before": Usage(5, 5), "n_attempts": 2}
CASES = {
    "an answer is taken and 5 seconds pass": lambda a: BillCases.take_and_wait(a, 5),
    "an answer is taken and 15 seconds pass": lambda a: BillCases.take_and_wait(a, 15),
    "an answer is taken and acknowledged": BillCases.acknowledge,
    "an answer is never taken": BillCases.leave,
    "an answer is given up after it was taken": BillCases.give_up,
    "an answer is taken twice": BillCases.take_twice,
    "a cascade's last step follows a cheaper one": lambda a: BillCases.take_and_wait(
        a, 15, **SPENT
    ),
    "two steps of a cascade run here": BillCases.run_two_steps,
    "a step that may be replaced waits 15 seconds": lambda a: BillCases.take_and_wait(
        a, 15, may_escalate=True
    ),
    "a step that may be replaced waits 90 seconds": lambda a: BillCases.take_and_wait(
        a, 90, may_escalate=True
    ),
    "the agent drains right after an answer": BillCases.drain,
}


@when("this happens: {case}")
def when_case(context, case):
    async def scenario(agent, upstream):
        await CASES[case](agent)
        return (await agent.list_bills(Empty())).bills

    context.bills = AgentHarness(FakeUpstream((b"one ", b"two"))).run(scenario)


@then("the bills offered are {n:d} at a cost of {cost:g}")
def then_offered(context, n, cost):
    assert len(context.bills) == n, context.bills
    assert abs(sum(bill.cost for bill in context.bills) - cost) < 1e-9, context.bills
    for bill in context.bills:
        assert bill.n_attempts == 1 or bill.usage.prompt_tokens > 0


@given("an agent whose engine waits in the middle of an answer")
def given_waiting(context):
    context.upstream = FakeUpstream((b"one ", trio.Event(), b"two"))


@when("the agent drains while an attempt runs and an entry collects its bills")
def when_drains(context):
    async def scenario(agent, upstream):
        context.events, context.is_done = [], None

        async def run():
            context.events = await collect(agent.run(make_request()))

        async def drain():
            context.is_done = await agent.drain(30.0)
            assert not len(agent.tables.bills), "a bill was left behind"

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


@then("the answer is whole, a new attempt is refused as {code} and the drain is complete")
def then_drained(context, code):
    assert isinstance(context.events[-1], Final) and context.refused.code == code
    assert context.is_done


@when("the agent drains for {seconds:d} seconds and the engine never goes on")
def when_bounded(context, seconds):
    async def scenario(agent, upstream):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(collect, agent.run(make_request(deadline=NOW + 1000)))
            await trio.sleep(1)
            began = trio.current_time()
            is_done = await agent.drain(float(seconds))
            context.drained = (is_done, trio.current_time() - began)
            nursery.cancel_scope.cancel()

    AgentHarness(context.upstream).run(scenario)


@then("the drain is not complete and took {seconds:d} seconds")
def then_bounded(context, seconds):
    is_done, took_s = context.drained
    assert not is_done and abs(took_s - seconds) < 1.0, context.drained
