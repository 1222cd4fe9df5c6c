"""A loopback proxy that delays, resets, holds back and silences connections."""

import random
import struct
from enum import Enum
from socket import SO_LINGER, SOL_SOCKET

import trio

__all__ = ["LinkFault", "LinkProxy"]

READ_BYTES = 65536
#: Longest delay of a chunk of bytes.
MAX_DELAY_S = 0.25


class LinkFault(Enum):
    """Fault of a link."""

    NONE = "none"
    #: Each chunk of bytes is delayed by a random time.
    DELAY = "delay"
    #: New connections are reset.
    RESET = "reset"
    #: Bytes from the side that connected are held back until the fault ends.
    CUT_FORWARD = "cut_forward"
    #: Bytes from the target are held back until the fault ends.
    CUT_BACK = "cut_back"
    #: Bytes from both sides are held back until the fault ends.
    SILENT = "silent"
    #: Nothing listens, and open connections are reset.
    DOWN = "down"


#: Faults that hold bytes back, by whether the bytes flow towards the target.
HOLDING_FAULTS = {
    True: (LinkFault.CUT_FORWARD, LinkFault.SILENT),
    False: (LinkFault.CUT_BACK, LinkFault.SILENT),
}


class LinkProxy:
    """Forwards connections to a target and injects faults into them.

    Parameters
    ----------
    host, port : str, int
        Address on which it listens.
    target_host, target_port : str, int
        Address that it connects to.
    random_state : random.Random
        Source of randomness for delays.
    """

    def __init__(
        self,
        host: str,
        port: int,
        target_host: str,
        target_port: int,
        random_state: random.Random,
    ):
        self.host = host
        self.port = port
        self.target_host = target_host
        self.target_port = target_port
        self.random_state = random_state
        self._fault = LinkFault.NONE
        self._fault_changed = trio.Event()
        self._open_streams: set[trio.SocketStream] = set()
        self._muted_streams: set[trio.SocketStream] = set()

    @property
    def address(self) -> str:
        """Address on which it listens, as HOST:PORT."""
        return f"{self.host}:{self.port}"

    @property
    def fault(self) -> LinkFault:
        """The fault of the link at present."""
        return self._fault

    def set_fault(self, fault: LinkFault) -> None:
        """Replace the fault of the link; ``LinkFault.NONE`` ends it."""
        self._fault = fault
        self._fault_changed.set()
        self._fault_changed = trio.Event()
        if fault is LinkFault.DOWN:
            self.reset_all()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for stream in list(self._open_streams):
            _reset(stream)

    def mute_all(self) -> None:
        """Forward no more bytes on the connections that are open now; new ones work."""
        self._muted_streams |= self._open_streams

    async def run(self) -> None:
        """Listen whenever the link isn't down, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                changed = self._fault_changed
                if self._fault is LinkFault.DOWN:
                    await changed.wait()
                    continue
                listeners = await trio.open_tcp_listeners(self.port, host=self.host)
                async with trio.open_nursery() as listener_nursery:
                    listener_nursery.start_soon(
                        lambda listeners=listeners: trio.serve_listeners(
                            self._serve, listeners, handler_nursery=nursery
                        )
                    )
                    while self._fault is not LinkFault.DOWN:
                        await self._fault_changed.wait()
                    listener_nursery.cancel_scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        """Connect to the target and forward bytes in both directions until either side ends."""
        if self._fault is LinkFault.RESET:
            _reset(stream)
            return
        try:
            target = await trio.open_tcp_stream(self.target_host, self.target_port)
        except OSError:
            _reset(stream)
            return
        self._open_streams |= {stream, target}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, stream, target, True)
                nursery.start_soon(self._forward, target, stream, False)
        finally:
            self._open_streams -= {stream, target}
            self._muted_streams -= {stream, target}
            stream.socket.close()
            target.socket.close()

    async def _forward(
        self, source: trio.SocketStream, target: trio.SocketStream, is_forward: bool
    ) -> None:
        """Forward bytes from one stream to another; reset both if either breaks."""
        try:
            while True:
                data = await source.receive_some(READ_BYTES)
                await self._delay_or_hold(source, is_forward)
                if not data:
                    await target.send_eof()
                    return
                await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            _reset(source)
            _reset(target)

    async def _delay_or_hold(self, source: trio.SocketStream, is_forward: bool) -> None:
        """Delay a chunk, or hold it back until the fault of the link ends."""
        if self._fault is LinkFault.DELAY:
            await trio.sleep(self.random_state.uniform(0.0, MAX_DELAY_S))
        while source in self._muted_streams or self._fault in HOLDING_FAULTS[is_forward]:
            await self._fault_changed.wait()


def _reset(stream: trio.SocketStream) -> None:
    """Close a connection with a TCP reset, by a linger time of 0."""
    try:
        stream.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        # The socket is closed already.
        pass
    stream.socket.close()
