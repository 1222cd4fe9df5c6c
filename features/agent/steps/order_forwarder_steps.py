"""Steps about orders to engines through the agent."""

import httpx
import trio
import trio.testing
from behave import given, then, when
from fakes import FakeUpstream

from crocusvalve.agent import HttpUpstream, UpstreamError
from crocusvalve.agent._order_forwarder import OrderForwarder
from crocusvalve.base import VersionRef
from crocusvalve.exceptions import PlatformError
from crocusvalve.rpc import UpstreamOrder, UpstreamOrderAction


class OrderForwarderHarness:
    """A door whose platform tells a number, fails or hangs."""

    def __init__(self, told):
        self.told = told
        self.upstream = FakeUpstream()
        self.door = OrderForwarder(self.upstream, self.read_lease_number)

    async def read_lease_number(self):
        if self.told == "silence":
            await trio.sleep_forever()
        if self.told == "nothing":
            raise PlatformError("down")
        return int(self.told)

    async def give(self, groups):
        replies = []

        async def give_one(number):
            replies.append(await self.door.forward_order(make_order(number)))

        for group in groups:
            async with trio.open_nursery() as nursery:
                for number in group.split("+"):
                    nursery.start_soon(give_one, int(number))
                    await trio.testing.wait_all_tasks_blocked()
        return replies


def make_order(number):
    version = VersionRef("delta/assess@v1")
    return UpstreamOrder(action=UpstreamOrderAction.LOAD, number=number, version=version)


@given("an agent whose platform tells {told} as the controller's number")
def given_door(context, told):
    context.harness = OrderForwarderHarness(told)


@when("these orders come: {orders}")
def when_orders(context, orders):
    clock = trio.testing.MockClock(autojump_threshold=0)
    context.replies = trio.run(context.harness.give, orders.split(), clock=clock)


@then("the replies are {replies} and the engine has carried out {done}")
def then_replies(context, replies, done):
    told = ["passed" if reply.accepted else reply.code.lower() for reply in context.replies]
    assert told == replies.split(), context.replies
    executed = " ".join(map(str, context.harness.upstream.executed)) or "none"
    assert executed == done, executed


@when("an order with number {number:d} is posted to an engine that answers {answer}")
def when_posted(context, number, answer):
    status, _, body = answer.partition(" ")

    async def post():
        transport = httpx.MockTransport(lambda request: httpx.Response(int(status), text=body))
        async with httpx.AsyncClient(transport=transport) as http:
            upstream = HttpUpstream("http://engine", http, traces_sends=False)
            try:
                reply = await upstream.order(make_order(number), on_send=lambda: None)
            except UpstreamError as exc:
                return exc.code.name, exc.ran
            return "passed" if reply.accepted else reply.code, reply.ran

    context.result = trio.run(post)


@then("the order's end is {end} with ran {ran}")
def then_order_ends(context, end, ran):
    assert (context.result[0], context.result[1].value) == (end, ran), context.result


@when("the loaded versions are read from an engine that answers {answer}")
def when_loaded_read(context, answer):
    status, _, body = answer.partition(" ")

    async def read():
        transport = httpx.MockTransport(lambda request: httpx.Response(int(status), text=body))
        async with httpx.AsyncClient(transport=transport) as http:
            try:
                loaded = await HttpUpstream("http://engine", http).list_loaded()
            except UpstreamError:
                return "failed"
            return "unknown" if loaded is None else str(len(loaded))

    context.loaded = trio.run(read)


@then("they are {loaded}")
def then_loaded(context, loaded):
    assert context.loaded == loaded, context.loaded
