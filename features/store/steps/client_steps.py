"""Steps about the client of the platform's service and the batcher."""

import random
from collections import Counter

import trio
import trio.testing
from behave import given, then, when

from crocusvalve.base import CustomerId, DomainId, VersionRef, WriteId
from crocusvalve.exceptions import PlatformError
from crocusvalve.standin import MemoryPlatform, PlatformFaults, RatingFault
from crocusvalve.store import Backoff, RatingRequest, VmInfo, Write, WriteBatcher
from features.support.virtual_platform import (
    TrioClock,
    make_client,
    make_faults,
    run_schedules,
    run_virtual,
)


def make_write(key, write_id=None, value=b"x", if_version=0):
    write_id = WriteId(write_id or f"w-{key}")
    return Write(table="t", key=key, value=value, write_id=write_id, if_version=if_version)


class CountingPlatform(MemoryPlatform):
    """Notes when each attempt of a call comes in."""

    def __init__(self):
        super().__init__(clock=TrioClock())
        self.attempts_at = []

    async def transact(self, writes):
        self.attempts_at.append(trio.current_time())
        return await super().transact(writes)


class ClientSubject:
    """A client over a platform in memory, and what its callers were told."""

    def __init__(self, delay_s=0.0, batches=False, **settings):
        self.delay_s = delay_s
        self.batches = batches
        self.settings = settings

    async def start(self, nursery, fault="none"):
        self.platform = CountingPlatform()
        self.platform.faults = make_faults(fault)
        self.platform.faults.delay_s += self.delay_s
        self.tables, _ = make_client(self.platform, "c", **self.settings)
        self.told = {}
        self.took_s = []
        if self.batches:
            self.tables = WriteBatcher(self.tables)
            self.scope = nursery.cancel_scope
            nursery.start_soon(self.tables.run)

    async def write(self, write):
        started_at = trio.current_time()
        try:
            results = await self.tables.transact([write])
            told = "applied" if results[0].is_applied else "conflict"
        except PlatformError as exc:
            told = "maybe applied" if exc.maybe_applied else "not applied"
        self.told[write.key] = told
        self.took_s.append(trio.current_time() - started_at)

    async def check_told(self):
        """Compare what the callers were told with the rows."""
        self.platform.faults = PlatformFaults()
        rows = {row.key for row in await self.platform.scan("t")}
        for key, told in self.told.items():
            if told != "maybe applied":
                assert (told == "applied") == (key in rows), (key, told)

    def run(self, work, fault="none"):
        async def main():
            async with trio.open_nursery() as nursery:
                await self.start(nursery, fault)
                result = await work()
                nursery.cancel_scope.cancel()
            return result

        self.results = run_schedules(main)

    async def write_at_once(self, writes):
        async with trio.open_nursery() as nursery:
            for write in writes:
                nursery.start_soon(self.write, write)


@given("a client with a bound of {bound:g} s on each call")
def given_bound(context, bound):
    context.client = ClientSubject(call_timeout_s=bound, n_failures_to_open=5)


@when('the fault "{fault}" is in force and {n:d} writes are made one after the other')
def when_writes(context, fault, n):
    subject = context.client

    async def work():
        for i in range(n):
            await subject.write(make_write(f"k{i}"))
        await subject.check_told()
        return max(subject.took_s), len(subject.told)

    subject.run(work, fault)


@then("no write took longer than {bound:g} s")
def then_bound(context, bound):
    assert all(longest <= bound for longest, _ in context.client.results), context.client.results


@then("each write is told truthfully")
def then_told(context):
    assert all(n == 20 for _, n in context.client.results)


@given("a client whose circuit opens after {n:d} failures")
def given_circuit(context, n):
    context.client = ClientSubject(n_failures_to_open=n)


@when("the store is down for {seconds:g} s under {rate:d} calls a second, and returns")
def when_down(context, seconds, rate):
    subject = context.client

    async def work():
        subject.platform.faults.is_down = True
        first_success = None
        for i in range(int(seconds + 5) * rate):
            if trio.current_time() >= seconds:
                subject.platform.faults.is_down = False
            await subject.write(make_write(f"k{i}"))
            if subject.told[f"k{i}"] == "applied" and first_success is None:
                first_success = trio.current_time()
            await trio.sleep(1.0 / rate)
        return subject.took_s, subject.platform.attempts_at, first_success

    subject.run(work)
    context.returned_at = seconds


@then("calls that met the open circuit took no time")
def then_no_time(context):
    for took_s, _, _ in context.client.results:
        assert sum(took > 0 for took in took_s) < len(took_s) / 4, took_s


@then("no more than {n:d} attempts a second reached the store")
def then_attempts(context, n):
    for _, attempts_at, _ in context.client.results:
        per_second = Counter(int(at) for at in attempts_at if 5 <= at < context.returned_at)
        assert max(per_second.values()) <= n, per_second


@then("the first call that succeeds comes within {bound:g} s of the return")
def then_returns(context, bound):
    for _, _, first in context.client.results:
        assert context.returned_at <= first <= context.returned_at + bound, first


@then("backoff delays follow their bounds and their random state")
def then_backoff(context):
    def make_delays(seed):
        backoff = Backoff(base_s=0.1, max_s=2.0, random_state=random.Random(seed))
        return [backoff.compute_delay_s(n) for n in range(1, 60)]

    delays = make_delays(1)
    assert all(delay <= min(2.0, 0.1 * 2**i) for i, delay in enumerate(delays))
    assert max(delays) > 1.0
    assert delays == make_delays(1) and delays != make_delays(2)


@given("a client with a budget of {rate:d} writes a second and a burst of {burst:d}")
def given_budget(context, rate, burst):
    context.client = ClientSubject(write_rate_per_s=rate, write_burst=burst)


@when("{n:d} writes are made at once")
def when_at_once(context, n):
    subject = context.client

    async def work():
        await subject.write_at_once([make_write(f"k{i}") for i in range(n)])
        await subject.check_told()
        return dict(subject.told), subject.platform.attempts_at

    subject.run(work)


@then("no second saw more than {n:d} writes")
def then_rate(context, n):
    for _, attempts_at in context.client.results:
        assert max(Counter(int(at) for at in attempts_at).values()) <= n


@then("the writes beyond the budget are refused as not applied")
def then_refused(context):
    for told, attempts_at in context.client.results:
        assert set(told.values()) == {"applied", "not applied"}
        assert list(told.values()).count("applied") == len(attempts_at)


@given("a batcher over a store that takes {seconds:g} s a call")
def given_batcher(context, seconds):
    context.client = ClientSubject(
        delay_s=seconds, batches=True, write_rate_per_s=1e6, write_burst=1e6
    )


@when("{n:d} callers insert a row each at once")
def when_insert(context, n):
    when_insert_standing(context, n, 0)


@when("{n:d} callers insert a row each at once and {n_standing:d} of the rows stand already")
def when_insert_standing(context, n, n_standing):
    subject = context.client

    async def work():
        for i in range(n_standing):
            await subject.platform.transact([make_write(f"k{i}", "first")])
        before = subject.platform.counters.n_transacts
        await subject.write_at_once([make_write(f"k{i}") for i in range(n)])
        return Counter(subject.told.values()), subject.platform.counters.n_transacts - before

    subject.run(work)


@then("all are applied in at most {n:d} transactions")
def then_all_applied(context, n):
    for told, n_transacts in context.client.results:
        assert set(told) == {"applied"} and n_transacts <= n, (told, n_transacts)


@then("{n:d} callers get a conflict and the others are applied")
def then_conflicts(context, n):
    for told, _ in context.client.results:
        assert told["conflict"] == n and told["applied"] == 50 - n, told


@then("there were at most {n:d} transactions")
def then_transacts(context, n):
    assert all(n_transacts <= n for _, n_transacts in context.client.results)


@when("{n:d} callers write the same row without a condition")
def when_same_row(context, n):
    subject = context.client

    async def work():
        async with trio.open_nursery() as nursery:
            for i in range(n):
                write = make_write("k", f"w{i}", str(i).encode(), if_version=None)
                nursery.start_soon(subject.write, write)
                await trio.sleep(0)
                await trio.testing.wait_all_tasks_blocked()
        return await subject.platform.get("t", "k")

    subject.run(work)


@then("the row ends with the last one's value at version {version:d}")
def then_last(context, version):
    for row in context.client.results:
        assert (row.value, row.version) == (str(version - 1).encode(), version), row


@when('the fault "{fault}" is in force and {n:d} callers insert a row each at once')
def when_batch_fault(context, fault, n):
    subject = context.client

    async def work():
        await subject.write_at_once([make_write(f"k{i}") for i in range(n)])
        await subject.check_told()
        return len(subject.told)

    subject.run(work, fault)


@then("each caller is told truthfully")
def then_batch_told(context):
    assert all(n == 20 for n in context.client.results)


@when("a write that is applied already is sent again together with a new one")
def when_again(context):
    subject = context.client

    async def work():
        await subject.platform.transact([make_write("old")])
        await subject.write_at_once([make_write("old"), make_write("new")])
        return dict(subject.told), await subject.platform.scan("t")

    subject.run(work)


@then("both are applied once")
def then_both(context):
    for told, rows in context.client.results:
        assert told == {"old": "applied", "new": "applied"}
        assert [(row.key, row.version) for row in rows] == [("new", 1), ("old", 1)]


@then("writes beyond its queue are refused at once as not applied")
def then_queue(context):
    subject = context.client

    async def work():
        subject.tables.max_queued_writes = 10
        await subject.write_at_once([make_write(f"k{i}") for i in range(15)])
        await subject.check_told()
        return Counter(subject.told.values())

    subject.run(work)
    assert all(told == {"applied": 10, "not applied": 5} for told in subject.results)


@then("callers of a stopped batcher are refused as not applied")
def then_stopped(context):
    subject = context.client

    async def main():
        async with trio.open_nursery() as callers:
            async with trio.open_nursery() as nursery:
                await subject.start(nursery)
                for i in range(5):
                    callers.start_soon(subject.write, make_write(f"k{i}"))
                await trio.sleep(0.001)
                nursery.cancel_scope.cancel()
        return Counter(subject.told.values())

    assert run_virtual(main) == {"not applied": 5}


@then("a VM that left is listed until the lag has passed")
def then_lag(context):
    async def work():
        platform = MemoryPlatform(clock=TrioClock())
        platform.faults = PlatformFaults(vm_list_lag_s=10.0)
        platform.set_vms([VmInfo("a:1", DomainId("m/d"))])
        await trio.sleep(20.0)
        platform.set_vms([])
        before = len(await platform.list_vms())
        await trio.sleep(11.0)
        return before, len(await platform.list_vms())

    assert run_virtual(work) == (1, 0)


@then("a second reservation of weights waits for the limit")
def then_weights(context):
    async def work():
        platform = MemoryPlatform(clock=TrioClock(), weight_reservations_per_s=0.5)
        first = await platform.reserve(VersionRef("m/a@1"))
        second = await platform.reserve(VersionRef("m/a@1"))
        await trio.sleep(second.retry_after_s)
        return first.is_granted, second.is_granted, await platform.reserve(VersionRef("m/a@1"))

    first, second, third = run_virtual(work)
    assert (first, second, third.is_granted) == (True, False, True)


@then("ratings of a good version are good, then stop, then lie")
def then_ratings(context):
    version = VersionRef("m/a@1")
    req = RatingRequest(
        customer_id=CustomerId("m/c"), class_name="x", version=version, prompt="", answer=""
    )

    async def work():
        platform = MemoryPlatform(clock=TrioClock())
        platform.ratings[version] = 0.75
        scores = []
        for fault in RatingFault:
            platform.faults.ratings = fault
            try:
                scores.append((await platform.rate(req)).score)
            except PlatformError:
                scores.append(None)
        return scores

    assert run_virtual(work) == [0.75, None, 0.25]
