"""Serves callers' connections over HTTP/1.1."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import h11
import msgspec
import trio

from crocusvalve.exceptions import CrocusvalveError, ErrorCode, RefusedError
from crocusvalve.gateway._sockets import reset, tune_socket
from crocusvalve.gateway.base import CallerRequest, HeaderCodec, Headers, RequestLimits

__all__ = ["AnswerAbortedError", "CallerConnection", "Handler", "Responder"]

READ_BYTES = 65536
#: Bytes of pipelined requests that are read while an answer is in progress.
MAX_READ_AHEAD_BYTES = 65536
#: Scheduler passes before a request is handled, so that a caller that has already disconnected is
#: noticed: the watcher reads in the first pass, cancels in the second, and the third is cancelled.
WATCH_SCHEDULER_PASSES = 3
#: Time that a caller has to read the last answer before its connection is closed, in seconds.
LINGER_S = 1.0
#: Bytes beyond the limit on the head that are buffered, for its line ends.
CRLF_SLACK = 4
#: Bytes of a header field besides its name and its value: colon, space and line end.
FIELD_OVERHEAD = 4


class AnswerAbortedError(Exception):
    """The answer can't be completed; the connection is to be reset."""


class Handler(ABC):
    """Answers callers' requests."""

    @abstractmethod
    def get_limits(self) -> RequestLimits:
        """Return the bounds in force on what callers send."""

    @abstractmethod
    def is_closing(self) -> bool:
        """Return whether connections are to be closed after the answer in progress."""

    @abstractmethod
    async def handle(self, req: CallerRequest, responder: "Responder") -> None:
        """Answer a request; ``AnswerAbortedError`` resets the connection."""


class Responder:
    """Sends one answer to a caller; ``status`` is 0 until its head is sent."""

    def __init__(self, connection: "CallerConnection"):
        self._connection = connection
        self.has_started = False
        self.status = 0

    async def start(self, status: int, headers: Headers, data: bytes = b"") -> None:
        """Send the head and the first bytes of the body."""
        self.has_started = True
        self.status = status
        await self._connection.send_head(status, headers, data)

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._connection.send_event(h11.Data(data))

    async def finish(self) -> None:
        """End the answer as complete."""
        await self._connection.send_event(h11.EndOfMessage())

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        self.has_started = True
        self.status = status
        await self._connection.send_complete(status, headers, body)

    async def refuse(self, exc: CrocusvalveError, status: int | None = None) -> None:
        """Send an error of the gateway as the answer; ``status`` overrides the error's own."""
        status = exc.code.http_status if status is None else status
        headers, body = make_error_answer(exc)
        await self.answer(status, headers, body)


def make_error_answer(exc: CrocusvalveError) -> tuple[list[tuple[bytes, bytes]], bytes]:
    """Return header fields and JSON body of an error."""
    error = {"code": exc.code.code, "message": exc.message, "step": exc.step}
    body = msgspec.json.encode({"error": error})
    headers = [(b"content-type", b"application/json"), (b"content-length", b"%d" % len(body))]
    retry_after_s = exc.retry_after_s if isinstance(exc, RefusedError) else None
    if retry_after_s is not None:
        headers.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
    return headers, body


def check_head_size(head: h11.Request, max_bytes: int) -> None:
    """Check the size of a parsed head; raises ``RefusedError`` if it is too long."""
    fields = sum(len(name) + len(value) + FIELD_OVERHEAD for name, value in head.headers)
    if len(head.target) + fields > max_bytes:
        raise RefusedError(
            ErrorCode.HEAD_TOO_LARGE,
            f"the request head is longer than {max_bytes} bytes",
            step="read_head",
        )


class CallerConnection:
    """Serves the requests of one caller's connection, one after the other.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.
    codec : HeaderCodec
        Decodes the heads of requests.
    handler : Handler
        Answers them.
    on_fault : callable
        Called with each unexpected exception, that is, other than a broken connection.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        codec: HeaderCodec,
        handler: Handler,
        on_fault: Callable[[BaseException], None],
    ):
        self._stream = stream
        self._codec = codec
        self._handler = handler
        self._on_fault = on_fault
        self._conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=handler.get_limits().header_bytes + CRLF_SLACK
        )
        self._is_closing = False

    async def run(self) -> None:
        """Serve until the caller closes, stays idle or breaks the protocol."""
        try:
            tune_socket(self._stream.socket)
            while await self._serve_request():
                self._conn.start_next_cycle()
            await self._close_gracefully()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            await trio.aclose_forcefully(self._stream)
        except AnswerAbortedError:
            await reset(self._stream)
        except Exception as exc:
            self._on_fault(exc)
            await reset(self._stream)
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)

    async def _serve_request(self) -> bool:
        """Serve one request; return whether another may follow on the connection."""
        try:
            req = await self._read_request()
        except RefusedError as exc:
            await self._refuse_and_end(exc)
            return False
        if req is None:
            return False
        responder = Responder(self)
        error: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_close, nursery.cancel_scope)
            for _ in range(WATCH_SCHEDULER_PASSES):
                await trio.lowlevel.checkpoint()
            try:
                await self._handler.handle(req, responder)
            except Exception as exc:
                error = exc
            nursery.cancel_scope.cancel()
        if error is not None:
            raise error
        if not responder.has_started:
            # The watcher has noticed that the caller disconnected.
            return False
        is_done = self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE
        return is_done and not self._is_closing

    async def _read_request(self) -> CallerRequest | None:
        limits = self._handler.get_limits()
        head = await self._read_head(limits)
        if head is None:
            return None
        check_head_size(head, limits.header_bytes)
        req = self._codec.read_request(
            head.method, head.target, [(name, value) for name, value in head.headers]
        )
        req.body = await self._read_body(limits)
        return req

    async def _read_head(self, limits: RequestLimits) -> h11.Request | None:
        """Read a request's head; None if the caller disconnected or was idle for too long."""
        has_bytes = bool(self._conn.trailing_data[0])
        with trio.move_on_after(limits.idle_timeout_s) as scope:
            while True:
                event = self._next_event()
                if event is h11.NEED_DATA:
                    data = await self._stream.receive_some(READ_BYTES)
                    self._conn.receive_data(data)
                    if data and not has_bytes:
                        has_bytes = True
                        scope.deadline = trio.current_time() + limits.header_timeout_s
                elif isinstance(event, h11.Request):
                    return event
                else:
                    return None
        if has_bytes:
            raise RefusedError(
                ErrorCode.REQUEST_TIMEOUT,
                "the request head did not arrive in time",
                step="read_head",
            )
        return None

    async def _read_body(self, limits: RequestLimits) -> bytes:
        parts = []
        size = 0
        if self._conn.they_are_waiting_for_100_continue:
            await self._stream.send_all(
                self._conn.send(h11.InformationalResponse(status_code=100, headers=[]))
            )
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                with trio.move_on_after(limits.idle_timeout_s) as scope:
                    self._conn.receive_data(await self._stream.receive_some(READ_BYTES))
                if scope.cancelled_caught:
                    raise RefusedError(
                        ErrorCode.REQUEST_TIMEOUT,
                        "the request body did not arrive in time",
                        step="read_body",
                    )
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.body_bytes:
                    raise RefusedError(
                        ErrorCode.BODY_TOO_LARGE,
                        f"the request body is longer than {limits.body_bytes} bytes",
                        step="read_body",
                    )
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise trio.BrokenResourceError("the caller disconnected within a request body")

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            if self._conn.their_state is h11.ERROR and not self._can_answer():
                raise trio.BrokenResourceError("the caller disconnected within a request") from exc
            code = ErrorCode.BAD_REQUEST
            if exc.error_status_hint == 431:
                code = ErrorCode.HEAD_TOO_LARGE
            raise RefusedError(code, "the request isn't valid HTTP", step="read_head") from exc

    def _can_answer(self) -> bool:
        return self._conn.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    async def _watch_for_close(self, scope: trio.CancelScope) -> None:
        """Cancel the answer in progress when the caller closes the connection."""
        n_read_ahead = 0
        while n_read_ahead < MAX_READ_AHEAD_BYTES:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
                data = b""
            if not data:
                self._is_closing = True
                scope.cancel()
                return
            n_read_ahead += len(data)
            self._conn.receive_data(data)

    async def _refuse_and_end(self, exc: RefusedError) -> None:
        if not self._can_answer():
            return
        self._is_closing = True
        headers, body = make_error_answer(exc)
        await self.send_complete(exc.code.http_status, headers, body)

    async def send_head(self, status: int, headers: Headers, data: bytes) -> None:
        """Send the head of an answer with the first bytes of its body."""
        out = self._conn.send(
            h11.Response(status_code=status, headers=self._add_connection_header(headers))
        )
        if data:
            out += self._conn.send(h11.Data(data))
        await self._stream.send_all(out)

    async def send_event(self, event: h11.Event) -> None:
        """Send a part or the end of an answer's body."""
        out = self._conn.send(event)
        if out:
            await self._stream.send_all(out)

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer in one write."""
        out = self._conn.send(
            h11.Response(status_code=status, headers=self._add_connection_header(headers))
        )
        if body:
            out += self._conn.send(h11.Data(body))
        out += self._conn.send(h11.EndOfMessage())
        await self._stream.send_all(out)

    def _add_connection_header(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        fields = list(headers)
        if self._is_closing or self._handler.is_closing():
            self._is_closing = True
            fields.append((b"connection", b"close"))
        return fields

    async def _close_gracefully(self) -> None:
        """Let the caller read what was sent before the connection is closed."""
        await self._stream.send_eof()
        with trio.move_on_after(LINGER_S):
            while await self._stream.receive_some(READ_BYTES):
                pass
