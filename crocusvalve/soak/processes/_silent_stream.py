"""A connection of an upstream that sends nothing while the upstream is silent."""

from collections.abc import Callable

import trio

__all__ = ["SilentStream"]


class SilentStream:
    """Holds back what is sent on a connection until the end of a silence.

    Parameters
    ----------
    stream : trio.SocketStream
        Connection to a gateway.
    get_silent_until : callable
        Returns the end of the latest silence, as a time of trio's clock.
    """

    def __init__(self, stream: trio.SocketStream, get_silent_until: Callable[[], float]):
        self._stream = stream
        self._get_silent_until = get_silent_until

    async def send_all(self, data: bytes) -> None:
        """Send bytes, after the silence if there is one."""
        while trio.current_time() < self._get_silent_until():
            await trio.sleep_until(self._get_silent_until())
        await self._stream.send_all(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Receive bytes, which a silence doesn't delay."""
        return await self._stream.receive_some(max_bytes)
