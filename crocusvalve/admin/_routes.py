"""Routes of the operators' API."""

import math
from typing import TypeVar

import msgspec
from quart import Blueprint, Response, request
from quart.blueprints import BlueprintSetupState
from werkzeug.exceptions import RequestEntityTooLarge

from crocusvalve.admin import _messages as msg
from crocusvalve.admin._auth import Operator
from crocusvalve.admin._errors import encode_error, get_retry_after_s
from crocusvalve.admin._request import MAX_BODY_BYTES, PREFIX, make_request_class
from crocusvalve.admin._service import AdminService
from crocusvalve.admin.base import AdminBackend
from crocusvalve.config import RolloutStart
from crocusvalve.exceptions import CrocusvalveError, ErrorCode
from crocusvalve.utils import Clock, MonotonicClock, decode_json

__all__ = ["make_admin_blueprint"]

JSON_CONTENT_TYPE = "application/json"
DEFAULT_HISTORY_LENGTH = 20
MAX_HISTORY_LENGTH = 1000
SECONDS_PER_DAY = 86400.0

T = TypeVar("T")


def make_admin_blueprint(backend: AdminBackend, *, clock: Clock | None = None) -> Blueprint:
    """Return a blueprint with the routes under ``/admin/v1``.

    Registering it gives the application a request class that allows larger bodies there.

    Parameters
    ----------
    backend : AdminBackend
        Configuration and state of the entry.
    clock : Clock or None
        Source of the current time; by default ``MonotonicClock``.

    Returns
    -------
    quart.Blueprint
    """
    blueprint = Blueprint("admin", __name__, url_prefix=PREFIX)
    api = AdminHandlers(AdminService(backend), clock or MonotonicClock())
    for method, path, view in (
        ("GET", "/config", api.get_config),
        ("PUT", "/config", api.put_config),
        ("POST", "/config/check", api.check_config),
        ("GET", "/config/history", api.get_history),
        ("PUT", "/domains/<name>", api.put_domain),
        ("GET", "/rollouts", api.get_rollouts),
        ("POST", "/rollouts", api.post_rollout),
        ("POST", "/withdrawals", api.post_withdrawal),
        ("GET", "/usage", api.get_usage),
        ("GET", "/status", api.get_status),
    ):
        blueprint.add_url_rule(path, view.__name__, view, methods=[method])
    blueprint.register_error_handler(CrocusvalveError, make_error_response)
    blueprint.register_error_handler(RequestEntityTooLarge, make_too_large_response)
    blueprint.record_once(set_request_class)
    return blueprint


async def make_error_response(exc: CrocusvalveError) -> Response:
    """Return the response for an error, with ``Retry-After`` if a delay is known."""
    response = Response(
        encode_error(exc), status=exc.code.http_status, content_type=JSON_CONTENT_TYPE
    )
    retry_after_s = get_retry_after_s(exc)
    if retry_after_s is not None:
        response.headers["Retry-After"] = str(retry_after_s)
    return response


async def make_too_large_response(_exc: RequestEntityTooLarge) -> Response:
    """Return the response for a request whose body is too large."""
    message = f"the body is larger than {MAX_BODY_BYTES} bytes"
    return await make_error_response(_make_error(ErrorCode.BODY_TOO_LARGE, message))


def set_request_class(state: BlueprintSetupState) -> None:
    """Make the application allow larger bodies under the prefix of the operators' API."""
    state.app.request_class = make_request_class(state.app.request_class)


class AdminHandlers:
    """Handlers of the routes; each authenticates the operator first."""

    def __init__(self, service: AdminService, clock: Clock):
        self.service = service
        self.clock = clock

    async def get_config(self) -> Response:
        """Return the document as far as the operator's member may see it."""
        operator = await self._authenticate()
        return _make_response(await self.service.get_config(operator))

    async def put_config(self) -> Response:
        """Put a document in force."""
        operator = await self._authenticate()
        change = await _read_body(msg.ConfigChange)
        return _make_response(await self.service.apply_change(operator, change, self.clock.now()))

    async def check_config(self) -> Response:
        """Validate a document and return the changes that it would make."""
        operator = await self._authenticate()
        change = await _read_body(msg.ConfigChange)
        return _make_response(await self.service.plan_change(operator, change))

    async def get_history(self) -> Response:
        """Return the last revisions, ``DEFAULT_HISTORY_LENGTH`` by default."""
        operator = await self._authenticate()
        n = int(_read_number("n", DEFAULT_HISTORY_LENGTH, low=1, high=MAX_HISTORY_LENGTH))
        return _make_response(await self.service.list_history(operator, n))

    async def put_domain(self, name: str) -> Response:
        """Take a failure domain out of service or back into service."""
        operator = await self._authenticate()
        change = await _read_body(msg.DomainChange)
        now = self.clock.now()
        return _make_response(await self.service.set_domain(operator, name, change.state, now))

    async def get_rollouts(self) -> Response:
        """Return the roll-outs of the member's models."""
        operator = await self._authenticate()
        return _make_response(await self.service.list_rollouts(operator))

    async def post_rollout(self) -> Response:
        """Start a roll-out."""
        operator = await self._authenticate()
        start = await _read_body(RolloutStart)
        return _make_response(await self.service.start_rollout(operator, start, self.clock.now()))

    async def post_withdrawal(self) -> Response:
        """Withdraw a version."""
        operator = await self._authenticate()
        req = await _read_body(msg.WithdrawRequest)
        return _make_response(await self.service.withdraw(operator, req.version, self.clock.now()))

    async def get_usage(self) -> Response:
        """Return the usage by the member's customers, by default of the last day."""
        operator = await self._authenticate()
        now = self.clock.now()
        until = _read_number("until", now, low=0)
        since = _read_number("since", max(0.0, until - SECONDS_PER_DAY), low=0, high=until)
        return _make_response(await self.service.get_usage(operator, since, until))

    async def get_status(self) -> Response:
        """Return the status of this entry."""
        operator = await self._authenticate()
        return _make_response(await self.service.get_status(operator))

    async def _authenticate(self) -> Operator:
        return await self.service.authenticate(request.headers.get("Authorization"))


def _make_response(message: msgspec.Struct) -> Response:
    return Response(msgspec.json.encode(message), content_type=JSON_CONTENT_TYPE)


async def _read_body(kind: type[T]) -> T:
    data = await request.get_data()
    try:
        return decode_json(data, kind)
    except msgspec.ValidationError as exc:
        raise _make_error(ErrorCode.BAD_REQUEST, f"the body is invalid: {exc}") from exc
    except msgspec.DecodeError as exc:
        raise _make_error(ErrorCode.BAD_JSON, "the body is not valid JSON") from exc


def _read_number(name: str, default: float, *, low: float, high: float = math.inf) -> float:
    text = request.args.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not low <= value <= high or math.isinf(value):
        message = f"{name} must be a number in [{low:g}, {high:g}], got {text[:40]!r}"
        raise _make_error(ErrorCode.BAD_REQUEST, message)
    return value


def _make_error(code: ErrorCode, message: str) -> CrocusvalveError:
    return CrocusvalveError(code, message, step="parse")
