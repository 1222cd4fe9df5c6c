"""A proxy on loopback that delays, resets, cuts and silences connections."""

import random
import struct
from enum import Enum
from socket import SO_LINGER, SOL_SOCKET

import trio

__all__ = ["LinkFault", "LinkProxy"]

READ_BYTES = 65536
MAX_DELAY_S = 0.25


class LinkFault(Enum):
    """What is wrong with a link."""

    NONE = "none"
    #: Each piece is held for a random time.
    DELAY = "delay"
    #: New connections are reset.
    RESET = "reset"
    #: Bytes of the side that connected are held until the fault ends.
    CUT_FORWARD = "cut_forward"
    #: Bytes of the other side are held until the fault ends.
    CUT_BACK = "cut_back"
    #: Bytes of both sides are held until the fault ends.
    SILENT = "silent"
    #: Nothing listens, and open connections are reset.
    DOWN = "down"


CUTS = {
    True: (LinkFault.CUT_FORWARD, LinkFault.SILENT),
    False: (LinkFault.CUT_BACK, LinkFault.SILENT),
}


class LinkProxy:
    """Passes connections to an address on to another one.

    Parameters
    ----------
    host, port : str, int
        Where it listens.
    target_host, target_port : str, int
        Where it connects to.
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
        self._changed = trio.Event()
        self._open: set[trio.SocketStream] = set()
        self._mute: set[trio.SocketStream] = set()

    @property
    def address(self) -> str:
        """Address that it listens on."""
        return f"{self.host}:{self.port}"

    def set_fault(self, fault: LinkFault) -> None:
        """Change what is wrong with the link."""
        self._fault = fault
        self._changed.set()
        self._changed = trio.Event()
        if fault is LinkFault.DOWN:
            self.reset_all()

    def reset_all(self) -> None:
        """Reset the open connections."""
        for stream in list(self._open):
            _reset(stream)

    def mute_all(self) -> None:
        """Silence the open connections for good; new ones work."""
        self._mute |= self._open

    async def run(self) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                changed = self._changed
                if self._fault is LinkFault.DOWN:
                    await changed.wait()
                    continue
                listeners = await trio.open_tcp_listeners(self.port, host=self.host)
                async with trio.open_nursery() as listening:
                    listening.start_soon(
                        lambda opened=listeners: trio.serve_listeners(
                            self._serve, opened, handler_nursery=nursery
                        )
                    )
                    while self._fault is not LinkFault.DOWN:
                        await self._changed.wait()
                    listening.cancel_scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        if self._fault is LinkFault.RESET:
            _reset(stream)
            return
        try:
            other = await trio.open_tcp_stream(self.target_host, self.target_port)
        except OSError:
            _reset(stream)
            return
        self._open |= {stream, other}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, stream, other, True)
                nursery.start_soon(self._pump, other, stream, False)
        finally:
            self._open -= {stream, other}
            self._mute -= {stream, other}
            stream.socket.close()
            other.socket.close()

    async def _pump(
        self, source: trio.SocketStream, sink: trio.SocketStream, is_forward: bool
    ) -> None:
        try:
            while True:
                data = await source.receive_some(READ_BYTES)
                await self._hold(source, is_forward)
                if not data:
                    await sink.send_eof()
                    return
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            _reset(source)
            _reset(sink)

    async def _hold(self, source: trio.SocketStream, is_forward: bool) -> None:
        """Hold a piece as the fault of the link wants it."""
        if self._fault is LinkFault.DELAY:
            await trio.sleep(self.random_state.uniform(0.0, MAX_DELAY_S))
        while source in self._mute or self._fault in CUTS[is_forward]:
            await self._changed.wait()


def _reset(stream: trio.SocketStream) -> None:
    try:
        stream.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        # It is closed already.
        pass
    stream.socket.close()
