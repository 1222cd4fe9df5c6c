"""Steps for a store whose answers never end."""

import tracemalloc

import trio
from behave import given, then, when

from crocusvalve.exceptions import PlatformError
from crocusvalve.gateway.base import Address
from crocusvalve.platform import PlatformStore
from crocusvalve.standin import StandinStore
from crocusvalve.standin._endless import EndlessReply
from crocusvalve.store.base import BacklogTooLongError

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
