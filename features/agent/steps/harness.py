"""Harness that runs an agent in a test."""

import trio
import trio.testing
from fakes import BOOT_ID, FakeRevisionCache, FakeUpstream, ManualClock, make_domain, make_view

from crocusvalve.agent import Agent
from crocusvalve.base import NodeId, UpstreamId


class AgentHarness:
    """Runs an agent and a test scenario under trio's mock clock."""

    def __init__(self, upstream=None, view=None):
        self.upstream = upstream or FakeUpstream()
        self.revision_cache = FakeRevisionCache(view or make_view())
        self.agent = None

    async def start(self, nursery):
        self.agent = Agent(
            node_id=NodeId("agent-1"),
            upstream_id=UpstreamId("delta/e1"),
            domain=make_domain(),
            upstream=self.upstream,
            revision_cache=self.revision_cache,
            clock=ManualClock(),
            boot_id=BOOT_ID,
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
