"""Reads callers' requests from a connection, within the limits of the configuration in force."""

from collections.abc import Callable

import h11
import trio

from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.gateway._sockets import is_readable
from crocusvalve.gateway.base import CallerRequest, HeaderCodec, RequestLimits
from crocusvalve.gateway.callers._listener import CallerLeftError

__all__ = ["RequestReader"]

READ_BYTES = 65536
#: Time for which a connection is kept beyond the limit that its caller goes by, since an answer,
#: and the request that follows it, take a while to arrive.
IDLE_MARGIN_S = 1.0
#: Bytes beyond the limit on the head that are buffered, for its line ends.
CRLF_SLACK = 4
#: Bytes of a header field besides its name and its value: colon, space and line end.
FIELD_OVERHEAD = 4


def check_head_size(head: h11.Request, max_bytes: int) -> None:
    """Check the size of a parsed head; raises ``RefusedError`` if it is too long."""
    fields = sum(len(name) + len(value) + FIELD_OVERHEAD for name, value in head.headers)
    if len(head.target) + fields > max_bytes:
        raise RefusedError(
            ErrorCode.HEAD_TOO_LARGE,
            f"the request head is longer than {max_bytes} bytes",
            step="read_head",
        )


class RequestReader:
    """Reads the requests of one connection, one after the other.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.
    codec : HeaderCodec
        Decodes the heads of requests.
    get_limits : callable
        Returns the limits in force.

    Attributes
    ----------
    conn : h11.Connection
        State of the request in progress and its answer.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        codec: HeaderCodec,
        get_limits: Callable[[], RequestLimits],
    ):
        self._stream = stream
        self._codec = codec
        self._get_limits = get_limits
        self.conn = h11.Connection(h11.SERVER)

    @property
    def has_further_bytes(self) -> bool:
        """Whether bytes of a further request have been read."""
        return bool(self.conn.trailing_data[0])

    async def wait_for_request(self, announced_s: float) -> bool:
        """Wait until the first bytes of a request are read.

        The wait is as long as the longest idle limit that the caller may go by: that of the last
        answer, those in force at the begin and at the end of the wait.

        Parameters
        ----------
        announced_s : float
            Idle limit in seconds that was in force at the last answer; 0 before the first.

        Returns
        -------
        bool
            Whether there are bytes; False if the connection was idle for too long.

        Raises
        ------
        CallerLeftError
            If the caller has closed the connection.
        """
        data: bytes | None = self.conn.trailing_data[0]
        if not data:
            data = await self._receive(
                lambda limits: max(announced_s, limits.idle_timeout_s) + IDLE_MARGIN_S,
                trio.current_time(),
            )
        if data is None:
            return False
        # The limits may have changed during the wait.
        max_bytes = self._get_limits().header_bytes + CRLF_SLACK
        self.conn = h11.Connection(h11.SERVER, max_incomplete_event_size=max_bytes)
        self.conn.receive_data(data)
        return True

    async def read(self) -> CallerRequest:
        """Read a request whose first bytes have been read.

        Raises
        ------
        RefusedError
            If the request isn't valid, is too long or does not arrive in time.
        CallerLeftError
            If the caller closes the connection within it.
        """
        limits = self._get_limits()
        head = await self._read_head()
        check_head_size(head, limits.header_bytes)
        req = self._codec.read_request(
            head.method, head.target, [(name, value) for name, value in head.headers]
        )
        req.body = await self._read_body(limits)
        return req

    async def _read_head(self) -> h11.Request:
        since = trio.current_time()
        while not isinstance(event := self._next_event(), h11.Request):
            if event is not h11.NEED_DATA:
                raise CallerLeftError("the caller disconnected within a request")
            data = await self._receive(lambda limits: limits.header_timeout_s, since)
            if data is None:
                raise RefusedError(
                    ErrorCode.REQUEST_TIMEOUT,
                    "the request head did not arrive in time",
                    step="read_head",
                )
            self.conn.receive_data(data)
        return event

    async def _read_body(self, limits: RequestLimits) -> bytes:
        parts = []
        size = 0
        if self.conn.they_are_waiting_for_100_continue:
            await self._send_continue()
        while not isinstance(event := self._next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                data = await self._receive(
                    lambda limits: limits.idle_timeout_s, trio.current_time()
                )
                if data is None:
                    raise RefusedError(
                        ErrorCode.REQUEST_TIMEOUT,
                        "the request body did not arrive in time",
                        step="read_body",
                    )
                self.conn.receive_data(data)
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.body_bytes:
                    raise RefusedError(
                        ErrorCode.BODY_TOO_LARGE,
                        f"the request body is longer than {limits.body_bytes} bytes",
                        step="read_body",
                    )
                parts.append(bytes(event.data))
            else:
                raise CallerLeftError("the caller disconnected within a request body")
        return b"".join(parts)

    async def _send_continue(self) -> None:
        data = self.conn.send(h11.InformationalResponse(status_code=100, headers=[]))
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as exc:
            raise CallerLeftError("the caller disconnected within a request") from exc

    async def _receive(
        self, get_timeout_s: Callable[[RequestLimits], float], since: float
    ) -> bytes | None:
        """Return the next bytes, or None if none arrive within a timeout.

        The timeout is that at the begin, or a longer one that is in force when it ends.
        """
        timeout_s = get_timeout_s(self._get_limits())
        try:
            while True:
                with trio.move_on_at(since + timeout_s):
                    return await self._receive_some()
                timeout_s = max(timeout_s, get_timeout_s(self._get_limits()))
                if trio.current_time() < since + timeout_s:
                    continue
                # Bytes may have arrived while the process was suspended.
                if not is_readable(self._stream.socket):
                    return None
                return await self._receive_some()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as exc:
            raise CallerLeftError("the caller's connection is broken") from exc

    async def _receive_some(self) -> bytes:
        data = await self._stream.receive_some(READ_BYTES)
        if not data:
            raise CallerLeftError("the caller has closed the connection")
        return data

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return self.conn.next_event()
        except h11.RemoteProtocolError as exc:
            code = ErrorCode.BAD_REQUEST
            if exc.error_status_hint == 431:
                code = ErrorCode.HEAD_TOO_LARGE
            raise RefusedError(code, "the request isn't valid HTTP", step="read_head") from exc
