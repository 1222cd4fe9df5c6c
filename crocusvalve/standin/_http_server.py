"""Minimal HTTP server for stand-ins that need control of every byte of a reply."""

from abc import ABC, abstractmethod

import h11
import trio
from msgspec import Struct

__all__ = ["ReceivedRequest", "StandinServer"]

READ_BYTES = 65536
#: Headers that a gateway must not forward from a caller to an upstream.
INTERNAL_HEADERS = ("authorization", "x-hold", "x-pin-ms", "x-kv-backup", "kv-from")


class ReceivedRequest(Struct):
    """A request as received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt_id(self) -> str:
        """Id of the caller's attempt; empty if the request has none."""
        return self.headers.get("x-attempt-id", "")

    @property
    def customer(self) -> str:
        """Customer for whom the request is sent."""
        return self.headers.get("x-tenant", "")

    @property
    def deadline_s(self) -> float:
        """Time that the upstream has, in seconds; infinite if the request sets none."""
        return float(self.headers.get("x-deadline-ms", "inf")) / 1000

    def list_leaked_headers(self) -> list[str]:
        """Return the headers of the request that a gateway must not forward to an upstream."""
        return [name for name in INTERNAL_HEADERS if name in self.headers]


class StandinServer(ABC):
    """Server on the loopback interface; subclasses write the bytes of the replies.

    Attributes
    ----------
    port : int
        Port to listen on; 0 picks a free port.
    n_open : int
        Number of open connections.
    """

    def __init__(self) -> None:
        self.port = 0
        self.n_open = 0

    @property
    def address(self) -> str:
        """Address that the server listens on, as HOST:PORT."""
        return f"127.0.0.1:{self.port}"

    @abstractmethod
    async def answer(self, call: ReceivedRequest, stream: trio.SocketStream) -> bool:
        """Answer a request; return whether the connection stays open."""

    async def answer_early(self, call: ReceivedRequest, stream: trio.SocketStream) -> bool:
        """Answer a request whose body hasn't been read yet, or return False.

        After such an answer the rest of the request isn't read, and the connection closes.
        """
        return False

    async def serve(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; reports as started once the server listens."""
        listeners = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        await trio.serve_listeners(self._serve, listeners, task_status=task_status)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.n_open += 1
        try:
            async with stream:
                conn = h11.Connection(h11.SERVER)
                while (call := await self._read(conn, stream)) is not None:
                    if not await self.answer(call, stream):
                        return
                    conn = h11.Connection(h11.SERVER)
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError, OSError):
            return
        finally:
            self.n_open -= 1

    async def _read(
        self, conn: h11.Connection, stream: trio.SocketStream
    ) -> ReceivedRequest | None:
        call: ReceivedRequest | None = None
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await stream.receive_some(READ_BYTES))
            elif isinstance(event, h11.Request):
                headers = {name.decode(): value.decode() for name, value in event.headers}
                call = ReceivedRequest(event.method.decode(), event.target.decode(), headers, b"")
                if await self.answer_early(call, stream):
                    return None
            elif isinstance(event, h11.Data):
                call.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and call is not None:
                return call
            else:
                return None
