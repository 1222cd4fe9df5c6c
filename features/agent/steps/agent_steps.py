"""Steps about the agent as a service, with a fake upstream under trio's mock clock."""

import trio
import trio.testing
from behave import given, then, when
from fakes import BOOT, FakeKeeper, FakeUpstream, ManualClock, make_domain, make_request, make_view

from crocusvalve.agent import Agent
from crocusvalve.base import NodeId, UpstreamId
from crocusvalve.rpc import Final, Frame


class AgentSubject:
    """Runs an agent inside a test's trio run."""

    def __init__(self, upstream=None, view=None):
        self.upstream = upstream or FakeUpstream()
        self.keeper = FakeKeeper(view or make_view())
        self.agent = None

    async def start(self, nursery):
        self.agent = Agent(
            node_id=NodeId("agent-1"),
            upstream_id=UpstreamId("delta/e1"),
            domain=make_domain(),
            upstream=self.upstream,
            keeper=self.keeper,
            clock=ManualClock(),
            boot_id=BOOT,
        )
        await nursery.start(self.agent.run_tasks)
        return self.agent

    def run(self, scenario):
        async def main():
            async with trio.open_nursery() as nursery:
                agent = await self.start(nursery)
                with trio.fail_after(120):
                    result = await scenario(agent, self.upstream)
                nursery.cancel_scope.cancel()
            return result

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def collect(events):
    return [event async for event in events]


@given("an agent whose engine answers in {n:d} parts")
def given_agent(context, n):
    script = tuple(f"part{i} ".encode() for i in range(n))
    context.subject = AgentSubject(FakeUpstream(script))


@when("an entry runs an attempt")
def when_run(context):
    async def scenario(agent, upstream):
        return await collect(agent.run(make_request()))

    context.events = context.subject.run(scenario)


@then("the frames and the final tell a whole answer of {n:d} parts")
def then_whole(context, n):
    frames = [event for event in context.events if isinstance(event, Frame)]
    text = b"".join(frame.data for frame in frames).decode()
    assert text == "".join(f"part{i} " for i in range(n)), text
    final = context.events[-1]
    assert isinstance(final, Final) and final.n_frames == len(frames)
