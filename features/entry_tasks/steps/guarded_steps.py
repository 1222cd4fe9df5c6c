"""Steps for the guard that restarts the tasks of an entry."""

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
    """Runs a task under the guard next to a task that ticks each second, in virtual time."""

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


@given("a task that fails {n:d} times and then continues")
def given_task(context, n):
    context.subject = GuardedSubject()
    context.continued = []

    async def task():
        if len(context.subject.failures) < n:
            raise KeyError("fault")
        context.continued.append(True)
        await trio.sleep_forever()

    context.task = task


@when("it runs under the guard next to another task")
def when_guarded(context):
    context.subject.run(context.task)


@then(
    "it finally continues, {n:d} failures are counted and the other task ran without interruption"
)
def then_continues(context, n):
    assert context.continued == [True]
    assert context.subject.failures == ["task"] * n
    assert context.subject.n_ticks >= RUN_S - 1


@given("a table of roll-outs with a corrupt row")
def given_corrupt(context):
    context.subject = GuardedSubject()
    context.platform = MemoryPlatform()
    section = MemberConfig(rollouts={"r": RolloutConfig("small", "v2")})
    view = DocumentView(Document("trial", {MemberId("m"): section}), Revision(1))
    ledger = RolloutLedger(node_id="entry", boot_id="boot")
    context.follower = RolloutFollower(context.platform, CoreTables(view), ledger)


@when("an entry reads the roll-outs periodically under the guard")
def when_reads(context):
    write = Write(
        table=ROLLOUT_TABLE, key="m/small", value=b"damaged", write_id=WriteId("w"), if_version=0
    )

    async def task():
        await context.platform.transact([write])
        await context.follower.run()

    context.subject.run(task)


@then("the failure is counted and the entry continues")
def then_counted(context):
    assert context.subject.failures
    assert context.subject.n_ticks >= RUN_S - 1
