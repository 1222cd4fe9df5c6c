"""Steps for the client of the platform's service and for the write batcher."""

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
    """Records the time of each attempt of a transaction, in ``attempts_at``."""

    def __init__(self):
        super().__init__(clock=TrioClock())
        self.attempts_at = []

    async def transact(self, writes):
        self.attempts_at.append(trio.current_time())
        return await super().transact(writes)


class ClientSubject:
    """A client of an in-memory platform, with the outcome that each write was reported to have."""

    def __init__(self, delay_s=0.0, is_batched=False, **settings):
        self.delay_s = delay_s
        self.is_batched = is_batched
        self.settings = settings

    async def start(self, nursery, fault="none"):
        self.platform = CountingPlatform()
        self.platform.faults = make_faults(fault)
        self.platform.faults.delay_s += self.delay_s
        self.tables, _ = make_client(self.platform, "c", **self.settings)
        self.outcomes = {}
        self.durations_s = []
        if self.is_batched:
            self.tables = WriteBatcher(self.tables)
            self.scope = nursery.cancel_scope
            nursery.start_soon(self.tables.run)

    async def write(self, write):
        started_at = trio.current_time()
        try:
            results = await self.tables.transact([write])
            outcome = "applied" if results[0].is_applied else "conflict"
        except PlatformError as exc:
            outcome = "maybe applied" if exc.maybe_applied else "not applied"
        self.outcomes[write.key] = outcome
        self.durations_s.append(trio.current_time() - started_at)

    async def check_outcomes(self):
        """Check the reported outcomes against the rows; "maybe applied" allows both."""
        self.platform.faults = PlatformFaults()
        rows = {row.key for row in await self.platform.scan("t")}
        for key, outcome in self.outcomes.items():
            if outcome != "maybe applied":
                assert (outcome == "applied") == (key in rows), (key, outcome)

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


@given("a client with a timeout of {timeout_s:g} s per call")
def given_timeout(context, timeout_s):
    context.client = ClientSubject(call_timeout_s=timeout_s, n_failures_to_open=5)


@when('the fault "{fault}" is active and {n:d} writes are made one after the other')
def when_writes(context, fault, n):
    subject = context.client

    async def work():
        for i in range(n):
            await subject.write(make_write(f"k{i}"))
        await subject.check_outcomes()
        return max(subject.durations_s), len(subject.outcomes)

    subject.run(work, fault)


@then("no write took longer than {bound:g} s")
def then_longest(context, bound):
    assert all(longest <= bound for longest, _ in context.client.results), context.client.results


@then("the outcome of each write is reported truthfully")
def then_true_outcomes(context):
    assert all(n == 20 for _, n in context.client.results)


@given("a client whose circuit opens after {n:d} failures")
def given_circuit(context, n):
    context.client = ClientSubject(n_failures_to_open=n)


@when("the store is down for {seconds:g} s under {rate:d} calls per second, and then recovers")
def when_down(context, seconds, rate):
    subject = context.client

    async def work():
        subject.platform.faults.is_down = True
        first_success = None
        for i in range(int(seconds + 5) * rate):
            if trio.current_time() >= seconds:
                subject.platform.faults.is_down = False
            await subject.write(make_write(f"k{i}"))
            if subject.outcomes[f"k{i}"] == "applied" and first_success is None:
                first_success = trio.current_time()
            await trio.sleep(1.0 / rate)
        return subject.durations_s, subject.platform.attempts_at, first_success

    subject.run(work)
    context.recovered_at = seconds


@then("calls refused by the open circuit took no time")
def then_refused_at_once(context):
    for durations_s, _, _ in context.client.results:
        assert sum(duration_s > 0 for duration_s in durations_s) < len(durations_s) / 4, durations_s


@then("no more than {n:d} attempts per second reached the store")
def then_attempts(context, n):
    for _, attempts_at, _ in context.client.results:
        per_second = Counter(int(at) for at in attempts_at if 5 <= at < context.recovered_at)
        assert max(per_second.values()) <= n, per_second


@then("the first successful call is within {bound:g} s of the recovery")
def then_recovers(context, bound):
    for _, _, first in context.client.results:
        assert context.recovered_at <= first <= context.recovered_at + bound, first


@then("backoff delays stay within their bounds and depend on the random state")
def then_backoff(context):
    def make_delays(seed):
        backoff = Backoff(base_s=0.1, max_s=2.0, random_state=random.Random(seed))
        return [backoff.compute_delay_s(n) for n in range(1, 60)]

    delays = make_delays(1)
    assert all(delay <= min(2.0, 0.1 * 2**i) for i, delay in enumerate(delays))
    assert max(delays) > 1.0
    assert delays == make_delays(1) and delays != make_delays(2)


@given("a client with a budget of {rate:d} writes per second and a burst of {burst:d}")
def given_budget(context, rate, burst):
    context.client = ClientSubject(write_rate_per_s=rate, write_burst=burst)


@when("{n:d} writes are made at once")
def when_at_once(context, n):
    subject = context.client

    async def work():
        await subject.write_at_once([make_write(f"k{i}") for i in range(n)])
        await subject.check_outcomes()
        return dict(subject.outcomes), subject.platform.attempts_at

    subject.run(work)


@then("no more than {n:d} writes reached the store in any second")
def then_rate(context, n):
    for _, attempts_at in context.client.results:
        assert max(Counter(int(at) for at in attempts_at).values()) <= n


@then("the writes beyond the budget are refused as not applied")
def then_refused(context):
    for outcomes, attempts_at in context.client.results:
        assert set(outcomes.values()) == {"applied", "not applied"}
        assert list(outcomes.values()).count("applied") == len(attempts_at)


@given("a batcher over a store that takes {seconds:g} s per call")
def given_batcher(context, seconds):
    context.client = ClientSubject(
        delay_s=seconds, is_batched=True, write_rate_per_s=1e6, write_burst=1e6
    )


@when("{n:d} callers insert one row each at once")
def when_insert(context, n):
    when_insert_existing(context, n, 0)


@when("{n:d} callers insert one row each at once and {n_existing:d} of the rows already exist")
def when_insert_existing(context, n, n_existing):
    subject = context.client

    async def work():
        for i in range(n_existing):
            await subject.platform.transact([make_write(f"k{i}", "first")])
        before = subject.platform.counters.n_transacts
        await subject.write_at_once([make_write(f"k{i}") for i in range(n)])
        return Counter(subject.outcomes.values()), subject.platform.counters.n_transacts - before

    subject.run(work)


@then("all are applied in at most {n:d} transactions")
def then_all_applied(context, n):
    for outcomes, n_transacts in context.client.results:
        assert set(outcomes) == {"applied"} and n_transacts <= n, (outcomes, n_transacts)


@then("{n:d} callers get a conflict and the writes of the others are applied")
def then_conflicts(context, n):
    for outcomes, _ in context.client.results:
        assert outcomes["conflict"] == n and outcomes["applied"] == 50 - n, outcomes


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


@then("the row has the value of the last write and version {version:d}")
def then_last_value(context, version):
    for row in context.client.results:
        assert (row.value, row.version) == (str(version - 1).encode(), version), row


@when('the fault "{fault}" is active and {n:d} callers insert one row each at once')
def when_batch_fault(context, fault, n):
    subject = context.client

    async def work():
        await subject.write_at_once([make_write(f"k{i}") for i in range(n)])
        await subject.check_outcomes()
        return len(subject.outcomes)

    subject.run(work, fault)


@then("each caller gets the true outcome of its write")
def then_batch_outcomes(context):
    assert all(n == 20 for n in context.client.results)


@when("a write that is already applied is sent again together with a new one")
def when_sent_again(context):
    subject = context.client

    async def work():
        await subject.platform.transact([make_write("old")])
        await subject.write_at_once([make_write("old"), make_write("new")])
        return dict(subject.outcomes), await subject.platform.scan("t")

    subject.run(work)


@then("both are applied once")
def then_applied_once(context):
    for outcomes, rows in context.client.results:
        assert outcomes == {"old": "applied", "new": "applied"}
        assert [(row.key, row.version) for row in rows] == [("new", 1), ("old", 1)]


@then("writes beyond the capacity of its queue are refused at once as not applied")
def then_queue_full(context):
    subject = context.client

    async def work():
        subject.tables.max_queued_writes = 10
        await subject.write_at_once([make_write(f"k{i}") for i in range(15)])
        await subject.check_outcomes()
        return Counter(subject.outcomes.values())

    subject.run(work)
    assert all(outcomes == {"applied": 10, "not applied": 5} for outcomes in subject.results)


@then("callers of a stopped batcher are refused as not applied")
def then_batcher_stopped(context):
    subject = context.client

    async def main():
        async with trio.open_nursery() as callers:
            async with trio.open_nursery() as nursery:
                await subject.start(nursery)
                for i in range(5):
                    callers.start_soon(subject.write, make_write(f"k{i}"))
                await trio.sleep(0.001)
                nursery.cancel_scope.cancel()
        return Counter(subject.outcomes.values())

    assert run_virtual(main) == {"not applied": 5}


@then("a removed VM is listed until the lag has passed")
def then_vm_list_lag(context):
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


@then("a second reservation of weights waits for the rate limit")
def then_weight_limit(context):
    async def work():
        platform = MemoryPlatform(clock=TrioClock(), weight_reservations_per_s=0.5)
        first = await platform.reserve(VersionRef("m/a@1"))
        second = await platform.reserve(VersionRef("m/a@1"))
        await trio.sleep(second.retry_after_s)
        return first.is_granted, second.is_granted, await platform.reserve(VersionRef("m/a@1"))

    first, second, third = run_virtual(work)
    assert (first, second, third.is_granted) == (True, False, True)


@then("ratings of a good version are right, then unavailable, then inverted")
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
