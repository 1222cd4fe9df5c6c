"""Steps about leases and the controller."""

import trio
from behave import given, then, when

from crocusvalve.base import BootId, NodeId
from crocusvalve.control import Controller, ControllerTask, LeaseManager
from crocusvalve.exceptions import PlatformError
from crocusvalve.standin import MemoryPlatform, PlatformFaults
from features.support.virtual_platform import (
    TrioClock,
    make_client,
    make_faults,
    run_schedules,
    run_virtual,
)

TTL_S = 10.0
POLL_S = 0.5


class LeaseSubject:
    """Two nodes that compete for one lease on an in-memory platform."""

    def __init__(self):
        self.step = ""

    def start(self):
        self.platform = MemoryPlatform(clock=TrioClock())
        self.a, self.b = self.make_manager("a"), self.make_manager("b")

    def make_manager(self, name):
        tables, _ = make_client(self.platform, name)
        return LeaseManager(tables, "controller", NodeId(name), boot_id=BootId("1"), ttl_s=TTL_S)

    async def poll(self, manager, duration_s, held_at):
        """Poll a lease for a time and append each time at which it is held to ``held_at``."""
        end = trio.current_time() + duration_s
        while trio.current_time() < end:
            if await manager.acquire(trio.current_time()):
                held_at.append(trio.current_time())
            await trio.sleep(POLL_S)


@given("nodes a and b that compete for one lease")
def given_nodes(context):
    context.lease = LeaseSubject()


@given("node a is about to {step} the lease")
def given_step(context, step):
    context.lease.step = step


@when('the fault "{fault}" is injected into the store during that call')
def when_fault_at_step(context, fault):
    subject = context.lease

    async def main():
        subject.start()
        if subject.step == "renew":
            await subject.a.acquire(0.0)
            await trio.sleep(4.0)
        subject.platform.faults = make_faults(fault)
        held_until = subject.a.held_until_
        now = trio.current_time()
        try:
            result = "holds it" if await subject.a.acquire(now) else "does not hold it"
        except PlatformError:
            is_same = subject.step == "renew" and subject.a.held_until_ == held_until
            result = "keeps its deadline" if is_same else "has an error"
        assert subject.a.is_held(now) == (result != "has an error")
        subject.platform.faults = PlatformFaults()
        is_held = await subject.a.acquire(trio.current_time())
        assert not await subject.b.acquire(trio.current_time())
        return result, is_held, subject.a.number

    context.results = run_schedules(main)


@then('the outcome is "{result}"')
def then_outcome(context, result):
    results = {outcome[0] for outcome in context.results}
    assert results == {result}, results


@then("after the fault node a holds the lease under number {n:d}")
def then_after_fault(context, n):
    assert {(held, number) for _, held, number in context.results} == {(True, n)}, context.results


@when("both acquire the lease concurrently")
def when_both_acquire(context):
    subject = context.lease

    async def main():
        subject.start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(subject.a.acquire, 0.0)
            nursery.start_soon(subject.b.acquire, 0.0)
        return [manager.number for manager in (subject.a, subject.b) if manager.is_held(0.0)]

    context.numbers = run_schedules(main)


@then("exactly one holds the lease under number 1")
def then_one_holder(context):
    assert all(numbers == [1] for numbers in context.numbers), context.numbers


@when("node a acquires the lease and is paused for {seconds:g} s while node b polls")
def when_paused(context, seconds):
    subject = context.lease

    async def main():
        subject.start()
        await subject.a.acquire(trio.current_time())
        held_at = []
        await trio.sleep(1.0)
        before_pause = trio.current_time()
        await subject.poll(subject.b, seconds, held_at)
        subject.a_ended_at = subject.a.held_until_
        subject.b_began_at = held_at[0]
        subject.is_held_after_pause = await subject.a.renew(before_pause) and subject.a.is_held(
            trio.current_time()
        )

    run_virtual(main)


@then("node a stopped holding the lease before node b began to")
def then_no_overlap(context):
    assert context.lease.a_ended_at < context.lease.b_began_at


@then("node b holds the lease under number {n:d}")
def then_b_holds(context, n):
    assert context.lease.b.number == n, context.lease.b.number


@then("node a, resumed in the middle of a renewal, does not hold the lease")
def then_not_held(context):
    assert not context.lease.is_held_after_pause
    assert context.lease.a.held_until_ == float("-inf")


@when(
    "node a renews at {renewed_at:g} s, within a read of node b that takes {read_s:g} s, "
    "and then stops"
)
def when_slow_read(context, renewed_at, read_s):
    subject = context.lease

    async def renew_later():
        await trio.sleep(renewed_at)
        await subject.a.renew(trio.current_time())

    async def main():
        subject.start()
        subject.b.tables = subject.platform
        await subject.a.acquire(0.0)
        get = subject.platform.get

        async def get_slowly(table, key):
            subject.platform.get = get
            await trio.sleep(read_s)
            return await get(table, key)

        subject.platform.get = get_slowly
        async with trio.open_nursery() as nursery:
            nursery.start_soon(renew_later)
            await subject.b.acquire(0.0)
        held_at = []
        await subject.poll(subject.b, 30.0, held_at)
        subject.a_ended_at, subject.b_began_at = subject.a.held_until_, held_at[0]

    run_virtual(main)


@when("node a renews for {seconds:g} s while node b polls")
def when_renews(context, seconds):
    subject = context.lease

    async def main():
        subject.start()
        held_at_a, held_at_b = [], []
        async with trio.open_nursery() as nursery:
            await subject.a.acquire(0.0)
            nursery.start_soon(subject.poll, subject.a, seconds, held_at_a)
            nursery.start_soon(subject.poll, subject.b, seconds, held_at_b)
        return held_at_b

    context.held_at_b = run_schedules(main)


@then("node b never held the lease")
def then_b_never_held(context):
    assert not any(context.held_at_b)


@when("node a acquires and releases the lease, and node b acquires it")
def when_releases(context):
    subject = context.lease

    async def main():
        subject.start()
        await subject.a.acquire(0.0)
        await subject.a.release()
        assert not subject.a.is_held(0.0)
        assert await subject.b.acquire(0.0)

    run_virtual(main)


@when(
    "the nodes take turns up to number {n:d}, the row is restored to number 1 and node b acquires"
)
def when_restored(context, n):
    subject = context.lease

    async def main():
        subject.start()
        managers = [subject.a, subject.b]
        await subject.a.acquire(0.0)
        backup = subject.platform.dump_tables()
        for i in range(1, n):
            await managers[(i + 1) % 2].release()
            assert await managers[i % 2].acquire(0.0)
        await subject.b.release()
        subject.platform.restore_tables(backup)
        held_at = []
        await subject.poll(subject.b, 30.0, held_at)
        assert held_at

    run_virtual(main)


@then("node b holds the lease under a number above {n:d}")
def then_number_above(context, n):
    assert context.lease.b.number > n, context.lease.b.number


class RecordingTask(ControllerTask):
    """Records the times of its starts and cancellations, and the lease's numbers."""

    def __init__(self, runs_forever):
        self.runs_forever = runs_forever
        self.started_at = []
        self.cancelled_at = []
        self.numbers = []

    async def run_once(self, lease, now):
        self.started_at.append(now)
        self.numbers.append(lease.number)
        try:
            if self.runs_forever:
                await trio.sleep_forever()
        except trio.Cancelled:
            self.cancelled_at.append(trio.current_time())
            raise


@given("a controller with a task that never ends")
@given("a controller with a task that ends")
def given_controller(context):
    context.lease = LeaseSubject()
    context.task = RecordingTask("never" in context.scenario.steps[0].name)


async def run_controller(context, during):
    """Run node a's controller for 5 s and then for as long as ``during`` takes; stop it."""
    subject = context.lease
    subject.start()
    controller = Controller(subject.a, [context.task], clock=TrioClock())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(controller.run)
        await trio.sleep(5.0)
        await during(subject)
        nursery.cancel_scope.cancel()


@when("the store goes down permanently")
def when_store_down(context):
    async def during(subject):
        subject.platform.faults = PlatformFaults(is_down=True)
        context.down_at = trio.current_time()
        await trio.sleep(60.0)

    run_virtual(lambda: run_controller(context, during))


@then("the task is cancelled before another node could hold the lease")
def then_cancelled(context):
    assert len(context.task.cancelled_at) == 1
    assert context.task.cancelled_at[0] < context.down_at + TTL_S


@then("no task starts after that")
def then_no_later_start(context):
    assert max(context.task.started_at) < context.task.cancelled_at[0]


@when("the controller is stopped and another node acquires the lease")
def when_stopped(context):
    async def during(subject):
        pass

    async def main():
        await run_controller(context, during)
        assert await context.lease.b.acquire(trio.current_time())

    run_virtual(main)


@then("the task ran under number {n:d} and the other node holds the lease under number {m:d}")
def then_numbers(context, n, m):
    assert set(context.task.numbers) == {n} and context.lease.b.number == m
