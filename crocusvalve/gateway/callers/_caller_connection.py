"""Serves one caller's connection over HTTP/1.1."""

from collections.abc import Callable

import h11
import trio

from crocusvalve.exceptions import RefusedError
from crocusvalve.gateway._sockets import reset, tune_socket, wait_until_closed
from crocusvalve.gateway.base import CallerRequest, HeaderCodec, Headers
from crocusvalve.gateway.callers._connection_end import (
    ConnectionEnd,
    ConnectionEndReason,
    RequestProgress,
)
from crocusvalve.gateway.callers._listener import (
    AnswerAbortedError,
    CallerLeftError,
    Handler,
    Responder,
    make_error_answer,
)
from crocusvalve.gateway.callers._request_reader import RequestReader

__all__ = ["CallerConnection"]

READ_BYTES = 65536
#: Scheduler passes before a request is handled, so that a caller that has already disconnected is
#: noticed: the watcher reads in the first pass, cancels in the second, and the third is cancelled.
WATCH_SCHEDULER_PASSES = 3
#: Time that a caller has to read the last answer before its connection is closed, in seconds.
LINGER_S = 1.0


class CallerConnection:
    """Serves the requests of one caller's connection, one after the other.

    Bytes that follow a request are left unread until its answer is complete. A connection that is
    closed then resets them, so that the caller knows that they were not read.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.
    codec : HeaderCodec
        Decodes the heads of requests.
    handler : Handler
        Answers them.
    on_end : callable
        Called with the connection's end.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        codec: HeaderCodec,
        handler: Handler,
        on_end: Callable[[ConnectionEnd], None],
    ):
        self._stream = stream
        self._handler = handler
        self._on_end = on_end
        self._reader = RequestReader(stream, codec, handler.get_limits)
        self._is_closing = False
        self._has_caller_left = False
        #: Idle limit that was in force at the last answer, in seconds.
        self._announced_s = 0.0
        self._progress = RequestProgress.NONE
        self._request_id = ""

    async def run(self) -> None:
        """Serve until the caller closes, stays idle or breaks the protocol."""
        reason, error = ConnectionEndReason.STOPPED, None
        try:
            reason = await self._serve()
        except CallerLeftError:
            reason = ConnectionEndReason.CALLER_LEFT
        except AnswerAbortedError:
            reason = ConnectionEndReason.ABORTED_ANSWER
        except Exception as exc:
            reason, error = ConnectionEndReason.UNEXPECTED_ERROR, exc
        finally:
            # An answer that ends early must not look complete.
            close = trio.aclose_forcefully if self._progress is RequestProgress.NONE else reset
            with trio.CancelScope(shield=True):
                await close(self._stream)
            self._on_end(
                ConnectionEnd(
                    reason=reason,
                    progress=self._progress,
                    request_id=self._request_id,
                    error=error,
                )
            )

    async def _serve(self) -> ConnectionEndReason:
        try:
            tune_socket(self._stream.socket)
        except OSError as exc:
            raise CallerLeftError("the caller's connection is broken") from exc
        reason = None
        while reason is None:
            if not await self._reader.wait_for_request(self._announced_s):
                return ConnectionEndReason.IDLE
            with self._handler.count_open_request():
                reason = await self._serve_request()
        await self._close_gracefully(reason)
        return reason

    async def _serve_request(self) -> ConnectionEndReason | None:
        """Serve one request; return why no other may follow on the connection, or None."""
        self._progress, self._request_id = RequestProgress.READ_IN_PART, ""
        try:
            req = await self._reader.read()
        except RefusedError as exc:
            self._is_closing = True
            headers, body = make_error_answer(exc)
            await self.send_complete(exc.code.http_status, headers, body)
            return ConnectionEndReason.BAD_REQUEST
        self._progress = RequestProgress.READ
        self._request_id = req.attempt_id.decode("latin-1")
        await self._handle(req)
        conn = self._reader.conn
        is_done = conn.our_state is h11.DONE and conn.their_state is h11.DONE
        return None if is_done and not self._is_closing else ConnectionEndReason.LAST_ANSWER

    async def _handle(self, req: CallerRequest) -> None:
        error: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_close, nursery.cancel_scope)
            for _ in range(WATCH_SCHEDULER_PASSES):
                await trio.lowlevel.checkpoint()
            try:
                await self._handler.handle(req, Responder(self))
            except Exception as exc:
                error = exc
            nursery.cancel_scope.cancel()
        if error is not None:
            raise error
        if self._progress is not RequestProgress.NONE:
            if self._has_caller_left:
                raise CallerLeftError("the caller disconnected within an answer")
            raise AnswerAbortedError("the answer is incomplete")

    async def _watch_for_close(self, scope: trio.CancelScope) -> None:
        """Cancel the answer in progress when the caller closes the connection.

        A caller that only ends its sending side can't be told from one that has left.
        """
        await wait_until_closed(self._stream.socket)
        self._has_caller_left = True
        scope.cancel()

    async def send_head(self, status: int, headers: Headers, data: bytes) -> None:
        """Send the head of an answer with the first bytes of its body."""
        self._progress = RequestProgress.ANSWERED_IN_PART
        events = [self._make_head(status, headers)]
        if data:
            events.append(h11.Data(data))
        await self._send(*events)

    async def send_event(self, event: h11.Event) -> None:
        """Send a part or the end of an answer's body."""
        await self._send(event)
        if isinstance(event, h11.EndOfMessage):
            self._progress = RequestProgress.NONE

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer in one write."""
        events = [self._make_head(status, headers)]
        if body:
            events.append(h11.Data(body))
        await self._send(*events, h11.EndOfMessage())
        self._progress = RequestProgress.NONE

    async def _send(self, *events: h11.Event) -> None:
        data = b"".join(self._reader.conn.send(event) or b"" for event in events)
        if not data:
            return
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as exc:
            raise CallerLeftError("the caller disconnected within an answer") from exc

    def _make_head(self, status: int, headers: Headers) -> h11.Response:
        return h11.Response(
            status_code=status, headers=[*headers, *self._make_connection_headers()]
        )

    def _make_connection_headers(self) -> list[tuple[bytes, bytes]]:
        """Return header fields that say whether and how long the connection is kept."""
        # A further request that has been read is answered before the connection is closed.
        if self._handler.is_closing() and not self._reader.has_further_bytes:
            self._is_closing = True
        if self._is_closing:
            return [(b"connection", b"close")]
        self._announced_s = self._handler.get_limits().idle_timeout_s
        timeout_s = int(self._announced_s)
        if timeout_s < 1 or self._reader.conn.their_state is h11.MUST_CLOSE:
            return []
        return [(b"connection", b"keep-alive"), (b"keep-alive", b"timeout=%d" % timeout_s)]

    async def _close_gracefully(self, reason: ConnectionEndReason) -> None:
        """Let the caller read what was sent before the connection is closed."""
        try:
            await self._stream.send_eof()
            with trio.move_on_after(LINGER_S):
                if reason is ConnectionEndReason.BAD_REQUEST:
                    # The rest of the refused request; unread, it would reset the connection.
                    while await self._stream.receive_some(READ_BYTES):
                        pass
                else:
                    await wait_until_closed(self._stream.socket)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # The caller has closed the connection; its answer was sent.
            return
