"""Stand-in for a caller of the users: sends requests on one connection, reads whole answers."""

import socket
from collections.abc import Iterable

import h11
import trio
from msgspec import Struct, field

__all__ = ["CallerAnswer", "StandinCaller", "CallerRequest", "split_events"]

READ_BYTES = 65536


class CallerRequest(Struct, kw_only=True):
    """A request; ``deadline_s`` is how long the caller waits."""

    method: str
    path: str
    attempt_id: str
    key: str
    deadline_s: float
    body: bytes = b""
    is_stream: bool = False
    host: str = "api.example"

    def list_headers(self) -> list[tuple[str, str]]:
        """Return the header fields."""
        headers = [
            ("Host", self.host),
            ("X-Attempt-Id", self.attempt_id),
            ("X-Deadline-Ms", str(int(self.deadline_s * 1000))),
            ("Authorization", f"Bearer {self.key}"),
            ("Content-Length", str(len(self.body))),
        ]
        if self.is_stream:
            headers += [
                ("Accept", "text/event-stream"),
                ("X-Model", "*"),
                ("X-Token-Usage", "800,40"),
                ("X-Prefix-Hash", "5c1e07a2:600,91bd3f06:200"),
            ]
        return headers


class CallerAnswer(Struct):
    """What came; ``is_complete`` tells whether it ended as complete."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False

    @property
    def attempt_id(self) -> str:
        """Id of the attempt that it answers."""
        return self.headers.get("x-attempt-id", "")

    @property
    def retry_after_s(self) -> float | None:
        """When the caller may come back, in seconds."""
        text = self.headers.get("retry-after")
        return None if text is None else float(text)

    @property
    def is_encoded(self) -> bool:
        """Whether its body was encoded on its way."""
        return "content-encoding" in self.headers

    @property
    def is_signed(self) -> bool:
        """Whether it bears an upstream's signature."""
        return "x-response-signature" in self.headers

    @property
    def is_not_executed(self) -> bool:
        """Whether the status says that the request has not run and never will."""
        return self.status in (408, 421, 429, 503)


class StandinCaller:
    """A connection to a gateway."""

    def __init__(self, stream: trio.SocketStream):
        self._stream = stream
        self._conn = h11.Connection(h11.CLIENT)

    @classmethod
    async def connect(cls, host: str, port: int) -> "StandinCaller":
        """Open a connection; raises ``OSError``."""
        stream = await trio.open_tcp_stream(host, port)
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(stream)

    async def close(self) -> None:
        """Close at once."""
        await trio.aclose_forcefully(self._stream)

    async def send(self, req: CallerRequest) -> None:
        """Send a request; raises ``trio.BrokenResourceError``."""
        head = h11.Request(method=req.method, target=req.path, headers=req.list_headers())
        data = self._conn.send(head)
        if req.body:
            data += self._conn.send(h11.Data(req.body))
        await self._stream.send_all(data + self._conn.send(h11.EndOfMessage()))

    def expect_answer(self, method: str) -> None:
        """Await the answer to a request that was sent as bytes."""
        self._conn.send(h11.Request(method=method, target="/", headers=[("Host", "x")]))
        self._conn.send(h11.EndOfMessage())

    async def is_ready(self) -> bool:
        """Ask the balancer's question; the connection ends."""
        head = b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        await self._stream.send_all(head)
        return (await self._stream.receive_some(READ_BYTES)).startswith(b"HTTP/1.1 200")

    async def read(self, answer: CallerAnswer) -> bool:
        """Read an answer as far as it comes; tell whether the connection may be used again."""
        while True:
            try:
                event = self._conn.next_event()
                if event is h11.NEED_DATA:
                    self._conn.receive_data(await self._stream.receive_some(READ_BYTES))
                    continue
            except (h11.RemoteProtocolError, trio.BrokenResourceError, trio.ClosedResourceError):
                return False
            if isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {n.decode(): v.decode("latin-1") for n, v in event.headers}
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                answer.is_complete = True
                if self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE:
                    self._conn.start_next_cycle()
                    return True
                return False
            elif isinstance(event, h11.ConnectionClosed):
                return False


def split_events(body: bytes) -> Iterable[tuple[int, bytes]]:
    """Return the numbers and the data of the whole events of a stream."""
    for event in body.split(b"\n\n")[:-1]:
        lines = dict(line.split(b": ", 1) for line in event.split(b"\n") if b": " in line)
        yield int(lines.get(b"id", b"-1")), lines.get(b"data", b"")
