"""Steps about guarded tasks of an entry."""

import trio
import trio.testing
from behave import given, then, when

from crocusvalve.base import MemberId, Revision, WriteId
from crocusvalve.config import Document, DocumentView, MemberConfig, RolloutConfig
from crocusvalve.entry import CoreTables
from crocusvalve.entry._guarded import run_guarded
from crocusvalve.entry._rollouts import ROLLOUT_TABLE, RolloutFollower
from crocusvalve.rollout import RolloutLedger
from crocusvalve.standin import MemoryPlatform
from crocusvalve.store import Write

RUN_S = 10.0


class GuardedSubject:
    """Runs a task under the guard beside another in virtual time."""

    def __init__(self):
        self.failures = []
        self.n_ticks = 0

    def run(self, task):
        async def tick():
            while True:
                self.n_ticks += 1
                await trio.sleep(1.0)

        async def main():
            with trio.move_on_after(RUN_S):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(tick)
                    nursery.start_soon(run_guarded, "task", self.failures.append, task)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@given("a task that fails {n:d} times and then goes on")
def given_task(context, n):
    context.subject = GuardedSubject()
    context.went_on = []

    async def task():
        if len(context.subject.failures) < n:
            raise KeyError("fault")
        context.went_on.append(True)
        await trio.sleep_forever()

    context.task = task


@when("it runs under the guard beside another task")
def when_guarded(context):
    context.subject.run(context.task)


@then("it goes on in the end, {n:d} failures are counted and the other task was not disturbed")
def then_goes_on(context, n):
    assert context.went_on == [True]
    assert context.subject.failures == ["task"] * n
    assert context.subject.n_ticks >= RUN_S - 1


@given("a table of roll-outs with a damaged row")
def given_damaged(context):
    context.subject = GuardedSubject()
    context.platform = MemoryPlatform()
    section = MemberConfig(rollouts={"r": RolloutConfig("small", "v2")})
    view = DocumentView(Document("trial", {MemberId("m"): section}), Revision(1))
    ledger = RolloutLedger(node_id="entry", boot_id="boot")
    context.follower = RolloutFollower(context.platform, CoreTables(view), ledger)


@when("an entry follows the roll-outs under the guard")
def when_follows(context):
    write = Write(
        table=ROLLOUT_TABLE, key="m/small", value=b"damaged", write_id=WriteId("w"), if_version=0
    )

    async def task():
        await context.platform.transact([write])
        await context.follower.run()

    context.subject.run(task)


@then("the failure is counted and the entry goes on")
def then_counted(context):
    assert context.subject.failures
    assert context.subject.n_ticks >= RUN_S - 1
