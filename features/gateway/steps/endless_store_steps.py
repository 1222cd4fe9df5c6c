"""Steps for a store and peers whose answers never end, and for the limits on transfers."""

import tracemalloc
from contextlib import suppress

import trio
from behave import given, then, when

from crocusvalve.exceptions import PlatformError
from crocusvalve.gateway.base import Address
from crocusvalve.gateway.shared._table_copies import CopyRequest
from crocusvalve.gateway.tables._replica import TablePosition
from crocusvalve.platform import PlatformStore
from crocusvalve.standin import StandinStore, make_loopback_host
from crocusvalve.standin._endless import EndlessReply
from crocusvalve.store.base import BacklogTooLongError
from crocusvalve.utils import TransferLimit
from features.gateway.gateway_harness import PEER_PORT, GatewayHarness

#: Interval at which a task measures for how long it is kept waiting by others.
WATCH_INTERVAL_S = 0.01


class EndlessStoreSubject:
    """Calls to a store whose answers never end, and what they cost the process."""

    def __init__(self, reply):
        self.store = StandinStore()
        self.store.endless_reply = reply
        self.errors = []
        self.call_s = []
        self.n_held_bytes = 0
        self.longest_wait_s = 0.0

    async def run(self):
        """Make one call of each kind."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.store.serve)
            nursery.start_soon(self._watch)
            async with PlatformStore(Address("127.0.0.1", self.store.port)) as feed:
                tracemalloc.start()
                before, _ = tracemalloc.get_traced_memory()
                await self._call(lambda: feed.read_table("op"))
                await self._call(lambda: feed.wait_for_changes("op", 1, 0.5))
                self.n_held_bytes = tracemalloc.get_traced_memory()[1] - before
                tracemalloc.stop()
            nursery.cancel_scope.cancel()

    async def _call(self, call):
        started_at = trio.current_time()
        with trio.move_on_after(10.0):
            try:
                await call()
            except (PlatformError, BacklogTooLongError) as exc:
                self.errors.append(exc)
        self.call_s.append(trio.current_time() - started_at)

    async def _watch(self):
        while True:
            started_at = trio.current_time()
            await trio.sleep(WATCH_INTERVAL_S)
            waited_s = trio.current_time() - started_at - WATCH_INTERVAL_S
            self.longest_wait_s = max(self.longest_wait_s, waited_s)


@given("a store whose answers are the endless reply {name}")
def given_endless_store(context, name):
    context.subject = EndlessStoreSubject(EndlessReply[name])


@when("a table is read, and then changes are waited for")
def when_called(context):
    trio.run(context.subject.run)
    context.n_held_bytes = context.subject.n_held_bytes


@then("each call fails as one to the platform within {limit_s:g} s")
def then_calls_fail(context, limit_s):
    subject = context.subject
    assert len(subject.errors) == 2, subject.errors
    assert max(subject.call_s) <= limit_s, subject.call_s


@then("no other task has been kept waiting for more than {limit_s:g} s")
def then_not_kept_waiting(context, limit_s):
    assert context.subject.longest_wait_s <= limit_s, context.subject.longest_wait_s


@given("a peer that sends {n_bytes:d} bytes each {pause_s:g} s without end")
def given_endless_peer(context, n_bytes, pause_s):
    async def serve(stream):
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while True:
                await stream.send_all(b"x" * n_bytes)
                await trio.sleep(pause_s)

    context.serve_peer = serve


@when("a gateway asks it for a copy")
def when_copy_asked(context):
    async def act(harness):
        exchange = harness.gateway.copy_exchange
        host = make_loopback_host(2)
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(PEER_PORT, host=host)
            nursery.start_soon(trio.serve_listeners, context.serve_peer, listeners)
            tracemalloc.start()
            before, _ = tracemalloc.get_traced_memory()
            started_at = trio.current_time()
            with trio.move_on_after(10.0):
                await exchange._request_copies(host, CopyRequest({"op": TablePosition(0, 0)}))
            context.elapsed_s = trio.current_time() - started_at
            context.n_held_bytes = tracemalloc.get_traced_memory()[1] - before
            tracemalloc.stop()
            nursery.cancel_scope.cancel()

    context.harness = GatewayHarness()
    context.harness.run(act)


@then("the copy fails within {limit_s:g} s")
def then_copy_fails(context, limit_s):
    assert context.elapsed_s <= limit_s, context.elapsed_s
    messages = [record.getMessage() for record in context.harness.log_records]
    assert any("no tables copied" in message for message in messages), messages


@given("a transfer with pauses of at most {stall_s:g} s")
def given_transfer(context, stall_s):
    context.limit = TransferLimit(100.0, stall_s=stall_s)


@when("{n_bytes:d} bytes arrive each {pause_s:g} s")
def when_bytes_arrive(context, n_bytes, pause_s):
    deadline = context.limit.extend(0, 100.0)
    context.end_s = None
    for number in range(1, 1000):
        now = 100.0 + number * pause_s
        if now > deadline:
            context.end_s = deadline - 100.0
            return
        deadline = context.limit.extend(n_bytes, now)


@then("the transfer is given up after {end} s")
def then_given_up(context, end):
    expected = None if end == "never" else float(end)
    assert context.end_s == expected, context.end_s
