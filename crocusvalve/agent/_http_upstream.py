"""Upstreams over HTTP: OpenAI-compatible engines and plain services."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import httpx
import msgspec
import trio
from msgspec import Struct

from crocusvalve.agent._answer_limit import (
    MAX_ANSWER_BYTES,
    check_length,
    limit_answer,
    read_parts,
)
from crocusvalve.agent._engine_stream import make_engine_body, read_events
from crocusvalve.agent._named_limit import parse_rate
from crocusvalve.agent._upstream import (
    HealthReport,
    OnData,
    OnSend,
    Upstream,
    UpstreamEnd,
    UpstreamError,
)
from crocusvalve.base import ExecutionStatus, UpstreamKind, UpstreamState, VersionRef
from crocusvalve.exceptions import ErrorCode
from crocusvalve.rpc import RunRequest, UpstreamOrder, UpstreamOrderReply, Usage
from crocusvalve.utils import decode_json, find_head_fault

__all__ = ["HttpUpstream", "make_http_client"]

CONNECT_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 1.0
#: Longest answer to a probe, to a question for the load and to an order.
MAX_REPORT_BYTES = 1024 * 1024
ORDERS_PATH = "/orders"
#: Header in which an upstream names the requests per second that it takes.
RATE_HEADER = "X-Rate-Limit"
#: Trace events of the transport right before it writes the headers and the body of a request.
SEND_EVENTS = ("send_request_headers.started", "send_request_body.started")
#: Trace events of a write that failed; the transport reads the answer all the same.
FAILURE_EVENTS = ("send_request_headers.failed", "send_request_body.failed")
#: Statuses with which an engine refuses a request before it runs any part of it.
ENGINE_NOT_RUN_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 415, 422, 429, 503})
#: Errors that occur before there is a connection, so that nothing was written.
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class _Call(Struct, frozen=True):
    method: str
    path: str
    body: bytes
    headers: dict[str, str]


class _OrderReply(Struct, frozen=True):
    accepted: bool = False
    number: int = 0
    ready_at: float = 0.0


class _Health(Struct, frozen=True):
    state: str = ""
    boot_id: str = ""
    uptime_s: float | None = None


class _Load(Struct, frozen=True):
    loaded: tuple[VersionRef, ...] | None = None


def make_http_client() -> httpx.AsyncClient:
    """Create the agent's HTTP client; the attempt's deadline limits the total time of each call.

    Each call has a connection of its own. On a kept one an upstream may send a reply once more,
    which would count as that to the next call, or close it as a request is sent, so that it is
    unknown whether the call ran.
    """
    timeout = httpx.Timeout(None, connect=CONNECT_TIMEOUT_S, pool=CONNECT_TIMEOUT_S)
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
    return httpx.AsyncClient(timeout=timeout, limits=limits)


class HttpUpstream(Upstream):
    """An upstream over HTTP; each attempt states whether it is an engine or a plain service.

    Parameters
    ----------
    url : str
        Base URL.
    http : httpx.AsyncClient
        Client for all calls.
    on_rate : callable
        Called with the rate per second that an answer to an attempt names, or None.
    traces_sends : bool
        Whether the client's transport reports when it writes a request; if not, ``on_send`` runs
        before the transport is called.
    max_answer_bytes : int
        Longest answer that is passed on, in bytes.
    """

    def __init__(
        self,
        url: str,
        http: httpx.AsyncClient,
        *,
        on_rate: Callable[[float | None], object] = lambda _: None,
        traces_sends: bool = True,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ):
        self.url = url.rstrip("/")
        self.http = http
        self.on_rate = on_rate
        self.traces_sends = traces_sends
        self.max_answer_bytes = max_answer_bytes

    async def call(self, req: RunRequest, *, on_send: OnSend, on_data: OnData) -> UpstreamEnd:
        """Run an attempt."""
        on_data = limit_answer(on_data, self.max_answer_bytes)
        if req.upstream_kind is UpstreamKind.ENGINE:
            return await self._call_engine(req, on_send, on_data)
        return await self._call_service(req, on_send, on_data)

    async def cancel(self, req: RunRequest) -> None:
        """Send a cancellation to an engine.

        A failure is ignored, because the closed connection cancels the call as well. For a plain
        service, closing the connection is the only way to cancel.
        """
        if req.upstream_kind is not UpstreamKind.ENGINE:
            return
        try:
            await self.http.post(
                f"{self.url}/cancel", json={"id": req.attempt_id}, timeout=PROBE_TIMEOUT_S
            )
        except httpx.HTTPError:
            return

    async def probe(self) -> HealthReport:
        """Probe ``GET /health``.

        The upstream is down if it does not answer, answers with 503 or reports that it is down;
        any other answer means that it is up, even one whose body cannot be decoded.
        """
        try:
            status, content = await self._get_report("/health")
        except httpx.HTTPError:
            return HealthReport(is_up=False)
        if status == httpx.codes.SERVICE_UNAVAILABLE:
            return HealthReport(is_up=False)
        try:
            health = decode_json(content, _Health)
            state = UpstreamState(health.state) if health.state else None
        except (msgspec.DecodeError, ValueError):
            return HealthReport(is_up=True)
        is_up = state is not UpstreamState.DOWN
        return HealthReport(is_up, state, health.boot_id, health.uptime_s)

    async def list_loaded(self) -> tuple[VersionRef, ...] | None:
        """Return ``loaded`` from ``GET /load``; None if the engine does not report it."""
        try:
            status, content = await self._get_report("/load")
        except httpx.HTTPError as exc:
            raise _make_send_error(exc, False) from exc
        if status >= httpx.codes.INTERNAL_SERVER_ERROR:
            raise _make_status_error(status)
        try:
            return decode_json(content, _Load).loaded
        except msgspec.DecodeError:
            return None

    async def _get_report(self, path: str) -> tuple[int, bytes]:
        """Return status and body of a report; raises ``httpx.HTTPError`` if it takes too long."""
        with trio.move_on_after(PROBE_TIMEOUT_S):
            async with self.http.stream("GET", self.url + path, timeout=PROBE_TIMEOUT_S) as reply:
                return reply.status_code, await _read_report(reply)
        raise httpx.ReadTimeout(f"no whole report within {PROBE_TIMEOUT_S} s")

    async def order(self, order: UpstreamOrder, *, on_send: OnSend) -> UpstreamOrderReply:
        """Post an order to the engine; a 409 refuses it, as for an outdated number."""
        headers = {"Content-Type": "application/json"}
        call = _Call("POST", ORDERS_PATH, msgspec.json.encode(order), headers)
        async with self._send(call, on_send) as reply:
            if reply.status_code not in (httpx.codes.OK, httpx.codes.CONFLICT):
                raise _make_status_error(reply.status_code)
            data = await _read_report(reply)
        try:
            order_reply = decode_json(data, _OrderReply)
        except msgspec.DecodeError as exc:
            message = "the engine's reply to an order is malformed"
            raise UpstreamError(
                ErrorCode.UPSTREAM_FAILED, message, ran=ExecutionStatus.UNKNOWN
            ) from exc
        if order_reply.accepted:
            return UpstreamOrderReply(
                True, order_reply.number, order_reply.ready_at, ran=ExecutionStatus.RAN
            )
        is_stale = order_reply.number > order.number
        code = ErrorCode.STALE_FENCE if is_stale else ErrorCode.UPSTREAM_FAILED
        return UpstreamOrderReply(False, order_reply.number, code=code.name)

    @asynccontextmanager
    async def _send(
        self, call: _Call, on_send: OnSend, *, has_end_marker: bool = True
    ) -> AsyncIterator[httpx.Response]:
        """Make a call; the body of its answer is read within the block.

        Parameters
        ----------
        has_end_marker : bool
            Whether the body itself shows that it is complete. If not, one without a length counts
            as interrupted if the request could not be written: the reset that cut the answer was
            then reported to the writer, and the reader saw a plain end of the connection.
        """
        writing = _Writing(on_send)
        extensions = {"trace": writing.trace} if self.traces_sends else {}
        if not self.traces_sends:
            writing.start()
        request = self.http.build_request(
            call.method,
            self.url + call.path,
            content=call.body or None,
            headers=call.headers,
            extensions=extensions,
        )
        try:
            reply = await self.http.send(request, stream=True)
        except httpx.HTTPError as exc:
            raise _make_send_error(exc, writing.has_started) from exc
        try:
            version = reply.http_version.removeprefix("HTTP/").encode()
            if fault := find_head_fault(reply.status_code, version, reply.headers.raw):
                raise UpstreamError(ErrorCode.UPSTREAM_FAILED, fault, ran=ExecutionStatus.UNKNOWN)
            self.on_rate(parse_rate(reply.headers.get(RATE_HEADER)))
            yield reply
            if writing.has_failed and not has_end_marker and not _is_delimited(reply):
                raise httpx.WriteError("the request was not written completely")
        except httpx.HTTPError as exc:
            message = f"the connection to the upstream was interrupted: {type(exc).__name__}"
            raise UpstreamError(
                ErrorCode.UPSTREAM_FAILED, message, ran=ExecutionStatus.UNKNOWN, is_interrupted=True
            ) from exc
        finally:
            await reply.aclose()

    async def _call_engine(self, req: RunRequest, on_send: OnSend, on_data: OnData) -> UpstreamEnd:
        headers = {"Content-Type": "application/json", "X-Request-Id": req.attempt_id}
        call = _Call(req.method, req.path, make_engine_body(req), headers)
        async with self._send(call, on_send) as reply:
            if reply.status_code != httpx.codes.OK:
                raise _make_status_error(reply.status_code)
            return await read_events(reply, on_data)

    async def _call_service(self, req: RunRequest, on_send: OnSend, on_data: OnData) -> UpstreamEnd:
        headers = {"X-Request-Id": req.attempt_id}
        if req.body:
            headers["Content-Type"] = req.content_type
        if req.idempotency_key:
            headers["Idempotency-Key"] = req.idempotency_key
        call = _Call(req.method, req.path, req.body, headers)
        async with self._send(call, on_send, has_end_marker=False) as reply:
            if reply.is_server_error:
                # A status of 500 or above does not prove that the call had no effect.
                message = f"the service answered with status {reply.status_code}"
                raise UpstreamError(ErrorCode.UPSTREAM_FAILED, message, ran=ExecutionStatus.UNKNOWN)
            check_length(reply, self.max_answer_bytes)
            async for data in read_parts(reply):
                await on_data(data)
            content_type = reply.headers.get("content-type", "application/octet-stream")
            return UpstreamEnd(Usage(), "stop", reply.status_code, content_type)


class _Writing:
    """Progress of writing a request, as the transport's trace reports it."""

    def __init__(self, on_send: OnSend):
        self.on_send = on_send
        self.has_started = False
        self.has_failed = False

    def start(self) -> None:
        self.on_send()
        self.has_started = True

    async def trace(self, event: str, info: dict) -> None:
        if event.endswith(SEND_EVENTS):
            self.start()
        elif event.endswith(FAILURE_EVENTS):
            self.has_failed = True


def _is_delimited(reply: httpx.Response) -> bool:
    """Return whether a body has a length or is chunked, so that an early end of it is an error."""
    return "content-length" in reply.headers or "transfer-encoding" in reply.headers


async def _read_report(reply: httpx.Response) -> bytes:
    """Return the body of a report; raises ``httpx.HTTPError`` if it is too long."""
    content = bytearray()
    async for part in reply.aiter_bytes():
        content += part
        if len(content) > MAX_REPORT_BYTES:
            raise httpx.RemoteProtocolError(f"the report is over {MAX_REPORT_BYTES} bytes")
    return bytes(content)


def _make_send_error(exc: httpx.HTTPError, is_sent: bool) -> UpstreamError:
    if isinstance(exc, NOT_SENT_ERRORS) and not is_sent:
        message = f"no connection to the upstream: {type(exc).__name__}"
        return UpstreamError(
            ErrorCode.UPSTREAM_DOWN, message, ran=ExecutionStatus.NOT_RUN, retry_after_s=1.0
        )
    message = f"the connection to the upstream was interrupted: {type(exc).__name__}"
    ran = ExecutionStatus.UNKNOWN if is_sent else ExecutionStatus.NOT_RUN
    return UpstreamError(ErrorCode.UPSTREAM_FAILED, message, ran=ran, is_interrupted=is_sent)


def _make_status_error(status: int) -> UpstreamError:
    message = f"the engine answered with status {status}"
    if status not in ENGINE_NOT_RUN_STATUSES:
        return UpstreamError(ErrorCode.UPSTREAM_FAILED, message, ran=ExecutionStatus.UNKNOWN)
    if status == httpx.codes.TOO_MANY_REQUESTS:
        return UpstreamError(
            ErrorCode.UPSTREAM_FULL, message, ran=ExecutionStatus.NOT_RUN, retry_after_s=1.0
        )
    if status == httpx.codes.SERVICE_UNAVAILABLE:
        return UpstreamError(
            ErrorCode.UPSTREAM_DOWN, message, ran=ExecutionStatus.NOT_RUN, retry_after_s=1.0
        )
    if status == httpx.codes.NOT_FOUND:
        return UpstreamError(ErrorCode.NO_UPSTREAM, message, ran=ExecutionStatus.NOT_RUN)
    return UpstreamError(ErrorCode.BAD_REQUEST, message, ran=ExecutionStatus.NOT_RUN)
