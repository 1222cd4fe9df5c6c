"""Forwards orders to the engine one at a time and only if their fencing number is current."""

from collections.abc import Awaitable, Callable

import trio

from crocusvalve.agent._upstream import Upstream
from crocusvalve.exceptions import PlatformError, RefusedError
from crocusvalve.orders import OrderFence
from crocusvalve.rpc import UpstreamOrder, UpstreamOrderReply

__all__ = ["OrderForwarder", "ReadLeaseNumber", "raise_no_platform"]

READ_TIMEOUT_S = 1.0

#: Reads the number of the controller's lease; raises ``PlatformError`` on failure.
ReadLeaseNumber = Callable[[], Awaitable[int]]


class OrderForwarder:
    """Forwards the controller's orders to an engine.

    The lease number in the platform's service is read before the first order after a start of the
    agent. An order waits for the previous one to finish, so that an engine that ignores fencing
    numbers still receives orders with increasing numbers.

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
        """Check an order and forward it; a failure is reported in the reply."""
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
    """Raise ``PlatformError``; the default reader of an agent without a platform service."""
    raise PlatformError("no platform service is configured", step="order_fence")
