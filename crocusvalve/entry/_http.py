"""HTTP API for callers: chat, models, plain services, durable requests, health and metrics."""

import secrets

from prometheus_client import CollectorRegistry
from quart import Response, request
from quart_trio import QuartTrio

from crocusvalve.base import ClassKind, ExecutionStatus, RequestId, SessionId
from crocusvalve.config import CustomerView
from crocusvalve.config._view import get_model_ref
from crocusvalve.entry import _openai
from crocusvalve.entry._chat_stream import ChatStream
from crocusvalve.entry._commands import AnswerSummary
from crocusvalve.entry._handle import RequestHandle
from crocusvalve.entry._http_errors import (
    answer_error,
    answer_internal,
    answer_method_not_allowed,
    answer_not_found,
    answer_too_large,
)
from crocusvalve.entry._parse import (
    MAX_BODY_BYTES,
    SESSION_HEADER,
    CallerHeaders,
    ChatBody,
    parse_chat_body,
    parse_headers,
)
from crocusvalve.entry._resolve import list_models, make_chat_row, make_service_row
from crocusvalve.entry.base import DurableStatus, EntryService
from crocusvalve.exceptions import CrocusvalveError, ErrorCode, RefusedError
from crocusvalve.metrics import render_metrics
from crocusvalve.model import RequestRow
from crocusvalve.sessions import SessionClaim

__all__ = ["make_app"]

BEARER = "Bearer "
NEW_SESSION = "new"
SERVICE_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
JSON = "application/json"
#: A body that is too long is read and dropped up to this size; then reading stops.
MAX_DROPPED_BYTES = 64 << 20


def make_app(service: EntryService, registry: CollectorRegistry) -> QuartTrio:
    """Create the HTTP application of an entry.

    Parameters
    ----------
    service : EntryService
        Entry that runs the requests.
    registry : CollectorRegistry
        Metrics exported at ``/metrics``.

    Returns
    -------
    QuartTrio
        Application with all routes and error handlers registered.
    """
    app = QuartTrio("crocusvalve")
    # ``read_body`` enforces the limit instead: an unread body would block the next request on the
    # connection.
    app.config["MAX_CONTENT_LENGTH"] = None
    api = CallerApi(service)
    app.post("/v1/chat/completions")(api.post_chat)
    app.get("/v1/models")(api.get_models)
    app.get("/v1/models/<path:name>")(api.get_model)
    app.get("/v1/requests/<request_id>")(api.get_request)
    app.route("/services/<name>", methods=SERVICE_METHODS, defaults={"path": ""})(api.call_service)
    app.route("/services/<name>/<path:path>", methods=SERVICE_METHODS)(api.call_service)
    app.register_error_handler(CrocusvalveError, answer_error)
    app.register_error_handler(404, answer_not_found)
    app.register_error_handler(405, answer_method_not_allowed)
    app.register_error_handler(413, answer_too_large)
    app.register_error_handler(Exception, answer_internal)

    @app.get("/metrics")
    async def get_metrics() -> Response:
        rendered = render_metrics(registry)
        return Response(rendered.body, content_type=rendered.content_type)

    @app.get("/healthz")
    async def get_health() -> Response:
        return Response("ok\n", content_type="text/plain")

    @app.get("/readyz")
    async def get_ready() -> Response:
        if service.is_ready():
            return Response("ready\n", content_type="text/plain")
        return Response("not ready\n", status=503, content_type="text/plain")

    return app


async def read_body() -> bytes:
    """Read the body of the current request; a body that is too long is read and dropped.

    Raises
    ------
    RefusedError
        ``BODY_TOO_LARGE`` if the body is longer than ``MAX_BODY_BYTES``.
    """
    parts: list[bytes] = []
    n_bytes = 0
    async for part in request.body:
        n_bytes += len(part)
        if n_bytes <= MAX_BODY_BYTES:
            parts.append(part)
        elif n_bytes > MAX_DROPPED_BYTES:
            break
    if n_bytes > MAX_BODY_BYTES:
        message = f"the body is longer than {MAX_BODY_BYTES} bytes"
        raise RefusedError(ErrorCode.BODY_TOO_LARGE, message, step="parse")
    return b"".join(parts)


class CallerApi:
    """Request handlers of the HTTP API for callers.

    Parameters
    ----------
    service : EntryService
        Entry that runs the requests.
    """

    def __init__(self, service: EntryService):
        self.service = service

    def _authenticate(self) -> CustomerView:
        header = request.headers.get("Authorization", "")
        if not header.startswith(BEARER):
            raise RefusedError(ErrorCode.BAD_KEY, "a bearer key is required", step="authenticate")
        return self.service.find_customer(header[len(BEARER) :].strip())

    def _open_session(self, req: RequestRow, token: str) -> None:
        if not token:
            return
        if token == NEW_SESSION:
            req.session_id = SessionId(secrets.token_hex(12))
            return
        claim = self.service.open_session(token, req.customer_id)
        if claim is None:
            return
        req.session_id = claim.session_id
        self.service.pin_session(req, claim)

    async def get_models(self) -> Response:
        """List the models that the customer may use."""
        customer = self._authenticate()
        names = list_models(self.service.view(), customer)
        return Response(_openai.make_model_list(names, customer.member), content_type=JSON)

    async def get_model(self, name: str) -> Response:
        """Return one model; raises ``UNKNOWN_MODEL`` if the customer may not use it."""
        customer = self._authenticate()
        if name not in list_models(self.service.view(), customer):
            raise RefusedError(
                ErrorCode.UNKNOWN_MODEL, f"model {name!r} does not exist", step="resolve"
            )
        return Response(_openai.make_model(name, customer.member), content_type=JSON)

    async def post_chat(self) -> Response:
        """Answer a chat request: complete, as a stream, or accepted as a durable request."""
        request_id = self._assign_request_id()
        customer = self._authenticate()
        raw = await read_body()
        headers = parse_headers(request.headers)
        body = parse_chat_body(raw)
        now = self.service.now()
        req = make_chat_row(self.service.view(), customer, body, raw, headers, request_id, now)
        self._open_session(req, headers.session)
        if req.kind is ClassKind.DURABLE:
            accepted = await self._accept_durable(req, headers)
            if accepted is not None:
                return _answer_accepted(accepted)
        handle = self.service.submit(req)
        if body.stream:
            return await self._answer_stream(req, handle, body, int(now))
        return await self._answer_complete(req, handle, int(now))

    async def _accept_durable(
        self, req: RequestRow, headers: CallerHeaders
    ) -> DurableStatus | None:
        """Accept a durable request.

        Returns
        -------
        DurableStatus or None
            None if the store is unavailable and the caller allows that the request runs on its
            connection instead.
        """
        try:
            return await self.service.accept_durable(req)
        except RefusedError as exc:
            is_store_down = (
                exc.code is ErrorCode.PLATFORM_DOWN and exc.ran is ExecutionStatus.NOT_RUN
            )
            if is_store_down and headers.may_wait:
                return None
            raise

    def _assign_request_id(self) -> RequestId:
        request_id = self.service.make_request_id()
        request.crocusvalve_id = request_id
        return request_id

    async def _collect(self, req: RequestRow, handle: RequestHandle) -> tuple[bytes, AnswerSummary]:
        try:
            return await handle.collect()
        finally:
            self.service.abandon(req.request_id)

    async def _answer_complete(
        self, req: RequestRow, handle: RequestHandle, created: int
    ) -> Response:
        data, summary = await self._collect(req, handle)
        text = data.decode("utf-8", "replace")
        body = _openai.make_completion(summary.request_id, summary.version, created, text, summary)
        response = Response(body, content_type=JSON)
        self._add_headers(response, req, summary.version, summary.upstream_id)
        response.headers["X-Request-Id"] = summary.request_id
        response.headers["X-Crocusvalve-Cost"] = f"{summary.cost:.6f}"
        response.headers["X-Crocusvalve-Attempts"] = str(summary.n_attempts)
        return response

    def _add_headers(
        self, response: Response, req: RequestRow, version: str, upstream_id: str
    ) -> None:
        response.headers["X-Request-Id"] = req.request_id
        response.headers["X-Crocusvalve-Class"] = req.class_name
        if version:
            response.headers["X-Crocusvalve-Model"] = get_model_ref(version)
            response.headers["X-Crocusvalve-Version"] = version
        response.headers["X-Crocusvalve-Upstream"] = upstream_id
        if req.session_id and version:
            claim = SessionClaim(
                session_id=req.session_id,
                customer_id=req.customer_id,
                model=get_model_ref(version),
                version=version,
                preferred_upstream=upstream_id,
                issued_at=self.service.now(),
            )
            response.headers[SESSION_HEADER] = self.service.sign_session(claim)

    async def _answer_stream(
        self, req: RequestRow, handle: RequestHandle, body: ChatBody, created: int
    ) -> Response:
        try:
            first = await handle.get()
        except BaseException:
            self.service.abandon(req.request_id)
            raise
        stream = ChatStream(self.service, req, handle, body, created)
        response = Response(stream.iterate(first), content_type="text/event-stream")
        response.timeout = None
        response.headers["Cache-Control"] = "no-store"
        self._add_headers(response, req, first.version, first.upstream_id)
        return response

    async def get_request(self, request_id: str) -> Response:
        """Return the status of a durable request, or its answer once it has ended."""
        customer = self._authenticate()
        state = await self.service.find_durable(customer.customer_id, RequestId(request_id))
        return _answer_durable(state)

    async def call_service(self, name: str, path: str) -> Response:
        """Pass a request to a plain service and return its answer."""
        request_id = self._assign_request_id()
        customer = self._authenticate()
        raw = await read_body()
        headers = parse_headers(request.headers)
        query = request.query_string.decode("ascii", "replace")
        full_path = f"/{path}?{query}" if query else f"/{path}"
        req = make_service_row(
            self.service.view(),
            customer,
            name,
            request.method,
            full_path,
            raw,
            headers,
            request_id,
            self.service.now(),
        )
        if req.kind is ClassKind.DURABLE:
            accepted = await self._accept_durable(req, headers)
            if accepted is not None:
                return _answer_accepted(accepted)
        handle = self.service.submit(req)
        data, summary = await self._collect(req, handle)
        response = Response(data, status=summary.status, content_type=summary.content_type)
        self._add_headers(response, req, summary.version, summary.upstream_id)
        response.headers["X-Request-Id"] = summary.request_id
        response.headers["X-Crocusvalve-Cost"] = f"{summary.cost:.6f}"
        return response


def _answer_accepted(status: DurableStatus) -> Response:
    response = Response(_openai.make_durable_body(status), status=202, content_type=JSON)
    response.headers["Location"] = f"/v1/requests/{status.request_id}"
    response.headers["X-Request-Id"] = status.request_id
    return response


def _answer_durable(status: DurableStatus) -> Response:
    if not status.has_ended:
        return Response(_openai.make_durable_body(status), status=202, content_type=JSON)
    return Response(status.body, status=status.http_status, content_type=status.content_type)
