"""Steps about upstreams of an agent whose answers never end."""

import tracemalloc

import trio
from behave import given, then, when
from fakes import make_request

from crocusvalve.agent import HttpUpstream, UpstreamError, make_http_client
from crocusvalve.base import UpstreamKind, VersionRef
from crocusvalve.rpc import UpstreamOrder
from crocusvalve.rpc._messages import UpstreamOrderAction
from crocusvalve.standin._endless import EndlessReply, send_endlessly
from crocusvalve.standin._http_server import StandinServer

ORDER = UpstreamOrder(action=UpstreamOrderAction.LOAD, number=1, version=VersionRef("m/a@1"))


class EndlessUpstreamServer(StandinServer):
    """Answers each request with a reply that never ends."""

    def __init__(self, reply):
        super().__init__()
        self.reply = reply

    async def answer(self, call, stream):
        await send_endlessly(stream, self.reply, b"HTTP/1.1 200 X\r\n")
        return False


class EndlessCall:
    """Makes a call of an agent to an upstream whose answers never end."""

    def __init__(self, reply):
        self.server = EndlessUpstreamServer(reply)
        self.has_failed = False
        self.elapsed_s = 0.0
        self.n_held_bytes = 0

    async def run(self, name, left_s):
        async with trio.open_nursery() as nursery:
            await nursery.start(self.server.serve)
            async with make_http_client() as http:
                upstream = HttpUpstream(f"http://{self.server.address}", http)
                tracemalloc.start()
                before, _ = tracemalloc.get_traced_memory()
                started_at = trio.current_time()
                with trio.move_on_after(left_s):
                    self.has_failed = await self._call(upstream, name)
                self.elapsed_s = trio.current_time() - started_at
                self.n_held_bytes = tracemalloc.get_traced_memory()[1] - before
                tracemalloc.stop()
            nursery.cancel_scope.cancel()

    @staticmethod
    async def _call(upstream, name):
        async def drop(data):
            await trio.lowlevel.checkpoint()

        def do_nothing():
            pass

        try:
            if name == "probe":
                return not (await upstream.probe()).is_up
            if name == "list_loaded":
                await upstream.list_loaded()
            elif name == "order":
                await upstream.order(ORDER, on_send=do_nothing)
            else:
                req = make_request(upstream_kind=UpstreamKind(name))
                await upstream.call(req, on_send=do_nothing, on_data=drop)
        except UpstreamError:
            return True
        return False


@given("an upstream whose answers are the endless reply {name}")
def given_endless(context, name):
    context.endless = EndlessCall(EndlessReply[name])


@when("the agent makes the call {name} with {left_s:g} s left")
def when_called(context, name, left_s):
    trio.run(context.endless.run, name, left_s)


@then("it fails within {limit_s:g} s with at most {limit:d} MB held")
def then_fails(context, limit_s, limit):
    endless = context.endless
    assert endless.has_failed and endless.elapsed_s <= limit_s, endless.elapsed_s
    assert endless.n_held_bytes <= limit * 10**6, endless.n_held_bytes


@then("it is given up within {limit_s:g} s with at most {limit:d} MB held")
def then_given_up(context, limit_s, limit):
    endless = context.endless
    assert not endless.has_failed and endless.elapsed_s <= limit_s, endless.elapsed_s
    assert endless.n_held_bytes <= limit * 10**6, endless.n_held_bytes
