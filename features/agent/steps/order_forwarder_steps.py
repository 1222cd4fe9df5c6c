"""Steps about orders that the agent forwards to an engine."""

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
    """An order forwarder whose platform service returns a number, fails or hangs.

    ``lease_number`` is the number, ``nothing`` for a failure or ``silence`` for a call that hangs.
    """

    def __init__(self, lease_number):
        self.lease_number = lease_number
        self.upstream = FakeUpstream()
        self.forwarder = OrderForwarder(self.upstream, self.read_lease_number)

    async def read_lease_number(self):
        if self.lease_number == "silence":
            await trio.sleep_forever()
        if self.lease_number == "nothing":
            raise PlatformError("down")
        return int(self.lease_number)

    async def send_orders(self, groups):
        replies = []

        async def send_order(number):
            replies.append(await self.forwarder.forward_order(make_order(number)))

        for group in groups:
            async with trio.open_nursery() as nursery:
                for number in group.split("+"):
                    nursery.start_soon(send_order, int(number))
                    await trio.testing.wait_all_tasks_blocked()
        return replies


def make_order(number):
    version = VersionRef("delta/assess@v1")
    return UpstreamOrder(action=UpstreamOrderAction.LOAD, number=number, version=version)


@given("an agent whose platform service returns {lease_number} as the controller's lease number")
def given_forwarder(context, lease_number):
    context.harness = OrderForwarderHarness(lease_number)


@when("orders with these numbers arrive: {orders}")
def when_orders(context, orders):
    clock = trio.testing.MockClock(autojump_threshold=0)
    context.replies = trio.run(context.harness.send_orders, orders.split(), clock=clock)


@then("the replies are {replies} and the engine has executed {expected}")
def then_replies(context, replies, expected):
    outcomes = ["passed" if reply.accepted else reply.code.lower() for reply in context.replies]
    assert outcomes == replies.split(), context.replies
    executed = " ".join(map(str, context.harness.upstream.executed)) or "none"
    assert executed == expected, executed


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


@then("the outcome of the order is {outcome} with execution status {ran}")
def then_order_ends(context, outcome, ran):
    assert (context.result[0], context.result[1].value) == (outcome, ran), context.result


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


@then("the number of loaded versions is {loaded}")
def then_loaded(context, loaded):
    assert context.loaded == loaded, context.loaded
