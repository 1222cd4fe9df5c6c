"""Orders to the engine pass here, one at a time, on the condition of their number."""

from collections.abc import Awaitable, Callable

import trio

from crocusvalve.agent._upstream import Upstream
from crocusvalve.exceptions import PlatformError, RefusedError
from crocusvalve.orders import OrderFence
from crocusvalve.rpc import UpstreamOrder, UpstreamOrderReply

__all__ = ["OrderForwarder", "ReadLeaseNumber", "raise_no_platform"]

READ_TIMEOUT_S = 1.0

#: Reads the number of the controller's lease; raises ``PlatformError`` where it can't.
ReadLeaseNumber = Callable[[], Awaitable[int]]


class OrderForwarder:
    """Passes orders to an engine.

    The number in the platform's service is read before the first order of a run of the agent. An
    order waits for the one before it, so that an engine that ignores numbers sees them rise.

    Parameters
    ----------
    upstream : Upstream
        The engine.
    read_lease_number : callable
        Reads the number of the controller's lease.
    """

    def __init__(self, upstream: Upstream, read_lease_number: ReadLeaseNumber):
        self.upstream = upstream
        self.read_lease_number = read_lease_number
        self.fence = OrderFence()
        self._lock = trio.Lock()

    async def forward_order(self, order: UpstreamOrder) -> UpstreamOrderReply:
        """Check an order and pass it on; a failure is told in the reply."""
        async with self._lock:
            await self._initialize_fence()
            try:
                return await self.upstream.order(
                    order, on_send=lambda: self.fence.check(order.number)
                )
            except RefusedError as exc:
                highest = self.fence.highest or 0
                return UpstreamOrderReply(False, highest, code=exc.code.name, ran=exc.ran)

    async def _initialize_fence(self) -> None:
        if self.fence.highest is not None:
            return
        with trio.move_on_after(READ_TIMEOUT_S):
            try:
                self.fence.learn(await self.read_lease_number())
            except PlatformError:
                return


async def raise_no_platform() -> int:
    """Stand in where the platform's service is not reachable from the agent."""
    raise PlatformError("no platform is set", step="order_fence")
