"""Sends one request to an upstream over a separate connection, and reads the reply."""

from collections.abc import Callable
from enum import Enum

import h11
import trio

from crocusvalve.exceptions import CrocusvalveError, ErrorCode
from crocusvalve.gateway._sockets import connect, has_broken, reset
from crocusvalve.gateway.base import Address, HeaderCodec, Headers, Reply
from crocusvalve.utils import find_head_fault

__all__ = ["CallError", "CallFailure", "UpstreamCall"]

#: Longest head of a reply, including the interim answers before it.
MAX_HEAD_BYTES = 65536
#: Longest framing of a body beyond the length of the body itself.
MAX_FRAMING_BYTES = 65536
#: Maximum number of interim answers (status 1xx) before a reply's head.
MAX_INTERIM_REPLIES = 16
#: Maximum number of events that are parsed from received bytes before other tasks may run; 64 KiB
#: of tiny chunks are 9,000 events.
MAX_EVENTS_PER_TURN = 64
READ_BYTES = 65536
#: Messages of protocol errors quote the bytes that they are about, up to a whole head.
MAX_MESSAGE_CHARS = 200
#: Statuses of replies without a body, whatever length their head declares.
BODILESS_STATUSES = (204, 304)
#: Requests up to this size, with their heads, are written completely before the reply is read.
INLINE_REQUEST_BYTES = 8192


class CallFailure(Enum):
    """Kind of failure of a call."""

    #: The request was not sent, for example because no connection could be opened.
    NOT_SENT = "not_sent"
    #: The request was not sent, since the upstream stopped accepting requests meanwhile.
    CLOSED = "closed"
    #: The upstream's port refused the connection.
    REFUSED = "connection_refused"
    #: The connection broke, or the reply was incomplete or malformed.
    BROKEN = "broken"
    #: The reply belongs to another request, or its body was altered or is too long.
    CORRUPT = "damaged"


class CallError(CrocusvalveError):
    """A call to an upstream failed; ``failure`` is the kind of failure."""

    def __init__(self, failure: CallFailure, message: str, *, step: str, peer: str):
        super().__init__(ErrorCode.UPSTREAM_FAILED, message, step=step, peer=peer)
        self.failure = failure

    @property
    def is_unsent(self) -> bool:
        """Whether the upstream can't have run the request."""
        return self.failure in (CallFailure.NOT_SENT, CallFailure.CLOSED, CallFailure.REFUSED)


class UpstreamCall:
    """One request to an upstream, and its reply.

    Parameters
    ----------
    address : Address
        The upstream.
    codec : HeaderCodec
        Decodes the head of the reply.

    Attributes
    ----------
    is_delimited : bool
        Whether the reply's body has a length or is chunked, so that its end can be told from that
        of the connection.
    body_length : int or None
        Length of the body that the reply's head declares; None if it declares none.
    """

    def __init__(self, address: Address, codec: HeaderCodec):
        self.peer = str(address)
        self.address = address
        self.codec = codec
        self._conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._stream: trio.SocketStream | None = None
        self._is_complete = False
        self._has_write_failed = False
        self._n_received = 0
        self._n_events_in_turn = 0
        self._n_head = 0
        self._n_body = 0
        self._method = b""
        self.is_delimited = False
        self.body_length: int | None = None

    async def open(self, timeout_s: float) -> None:
        """Open the connection; raises ``CallError`` if that fails."""
        try:
            self._stream = await connect(self.address, timeout_s)
        except ConnectionRefusedError as exc:
            raise self._make_error(CallFailure.REFUSED, "connection refused", "connect") from exc
        except OSError as exc:
            raise self._make_error(CallFailure.NOT_SENT, str(exc), "connect") from exc

    async def send(
        self,
        spawn: Callable[..., None],
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Send the request; a long one is sent in a background task while the reply is read."""
        conn = self._conn
        self._method = method
        try:
            head = conn.send(h11.Request(method=method, target=target, headers=list(headers)))
            data = conn.send(h11.Data(body)) if body else b""
            data = head + data + conn.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            raise self._make_error(CallFailure.NOT_SENT, str(exc), "send") from exc
        if len(data) <= INLINE_REQUEST_BYTES:
            await self._write(data)
        else:
            spawn(self._write_in_background, self._stream, data)

    async def read_head(self) -> Reply:
        """Read the head of the reply; raises ``CallError`` if it is no head of an answer."""
        for _ in range(MAX_INTERIM_REPLIES + 1):
            event = await self._next_event("read_head")
            if isinstance(event, h11.Response):
                fault = find_head_fault(event.status_code, event.http_version, event.headers)
                if fault:
                    raise self._make_error(CallFailure.CORRUPT, fault, "read_head")
                self._n_head = self._n_received - len(self._conn.trailing_data[0])
                fields = dict(event.headers)
                self.is_delimited = bool(fields.keys() & {b"content-length", b"transfer-encoding"})
                if self.is_delimited and event.status_code not in BODILESS_STATUSES:
                    self.body_length = self._read_length(fields)
                return self.codec.read_reply(event.status_code, list(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise self._make_error(
                    CallFailure.BROKEN, "the connection ended before the reply's head", "read_head"
                )
            if self._n_received - len(self._conn.trailing_data[0]) > MAX_HEAD_BYTES:
                message = f"the interim answers are longer than {MAX_HEAD_BYTES} bytes"
                raise self._make_error(CallFailure.CORRUPT, message, "read_head")
        message = f"more than {MAX_INTERIM_REPLIES} interim answers"
        raise self._make_error(CallFailure.CORRUPT, message, "read_head")

    async def read_part(self) -> bytes | None:
        """Return further bytes of the body, or None at its end as marked by HTTP."""
        event = await self._next_event("read_body")
        if isinstance(event, h11.EndOfMessage):
            self._is_complete = True
            return None
        if isinstance(event, h11.Data):
            self._n_body += len(event.data)
            return bytes(event.data)
        raise self._make_error(CallFailure.BROKEN, "the reply ended early", "read_body")

    async def close(self) -> None:
        """Close the connection; before the reply's end this cancels the upstream's work."""
        stream, self._stream = self._stream, None
        if stream is None:
            return
        if self._is_complete:
            await trio.aclose_forcefully(stream)
        else:
            await reset(stream)

    async def _next_event(self, step: str) -> h11.Event | type[h11.PAUSED]:
        while True:
            if self._n_events_in_turn >= MAX_EVENTS_PER_TURN:
                self._n_events_in_turn = 0
                await trio.lowlevel.checkpoint()
            try:
                event = self._conn.next_event()
                if event is not h11.NEED_DATA:
                    self._n_events_in_turn += 1
                    return event
                self._check_framing(step)
                data = await self._stream.receive_some(READ_BYTES)
                if not data and self._has_been_reset():
                    raise self._make_error(CallFailure.BROKEN, "connection reset", step)
                self._n_events_in_turn = 0
                self._n_received += len(data)
                self._conn.receive_data(data)
            except h11.RemoteProtocolError as exc:
                message = str(exc)[:MAX_MESSAGE_CHARS]
                raise self._make_error(CallFailure.BROKEN, message, step) from exc
            except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as exc:
                raise self._make_error(CallFailure.BROKEN, "connection lost", step) from exc

    def _read_length(self, fields: dict[bytes, bytes]) -> int | None:
        if self._method == b"HEAD" or b"transfer-encoding" in fields:
            return None
        return int(fields[b"content-length"])

    def _check_framing(self, step: str) -> None:
        """Raise ``CallError`` if a body comes in so many chunks that it is mostly framing."""
        n_framing = self._n_received - self._n_head - self._n_body
        if n_framing > self._n_body + MAX_FRAMING_BYTES:
            message = f"{n_framing} bytes of framing for {self._n_body} bytes of the body"
            raise self._make_error(CallFailure.CORRUPT, message, step)

    async def _write(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as exc:
            raise self._make_error(CallFailure.BROKEN, "connection lost", "send") from exc

    async def _write_in_background(self, stream: trio.SocketStream, data: bytes) -> None:
        """Write the request; a failure makes the end of the connection an error for the reader."""
        try:
            await stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            self._has_write_failed = True

    def _has_been_reset(self) -> bool:
        """Return whether a connection that has ended for the reader was reset.

        The system reports the error of a socket once. If the task that writes the request gets it,
        the reader sees a plain end, as of a complete reply without a length. The writer may not
        have recorded its failure yet, so the state of the socket counts as well.
        """
        return self._has_write_failed or has_broken(self._stream.socket)

    def _make_error(self, failure: CallFailure, message: str, step: str) -> CallError:
        return CallError(failure, message, step=step, peer=self.peer)
