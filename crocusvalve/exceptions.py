"""Exceptions with stable error codes; each names the step and the peer where it occurred."""

from enum import Enum

from crocusvalve.base import ExecutionStatus

__all__ = [
    "ConfigConflictError",
    "ConfigError",
    "CrocusvalveError",
    "ErrorCode",
    "InvariantError",
    "PlatformError",
    "RefusedError",
    "SettingsError",
]


class ErrorCode(Enum):
    """Stable error codes; the value of a member is ``(code, HTTP status)``."""

    BAD_REQUEST = ("bad_request", 400)
    BAD_JSON = ("bad_json", 400)
    BAD_HEADER = ("bad_header", 400)
    BAD_DEADLINE = ("bad_deadline", 400)
    UNKNOWN_CLASS = ("unknown_class", 400)
    MISSING_IDEMPOTENCY_KEY = ("missing_idempotency_key", 400)
    IDEMPOTENCY_KEY_REUSED = ("idempotency_key_reused", 422)
    BAD_KEY = ("invalid_api_key", 401)
    FORBIDDEN = ("forbidden", 403)
    MODEL_NOT_ALLOWED = ("model_not_allowed", 403)
    UNKNOWN_MODEL = ("model_not_found", 404)
    UNKNOWN_SERVICE = ("service_not_found", 404)
    UNKNOWN_REQUEST = ("request_not_found", 404)
    NOT_FOUND = ("not_found", 404)
    METHOD_NOT_ALLOWED = ("method_not_allowed", 405)
    REQUEST_TIMEOUT = ("request_timeout", 408)
    CONFLICT = ("conflict", 409)
    IN_PROGRESS = ("in_progress", 409)
    VERSION_WITHDRAWN = ("version_withdrawn", 410)
    BODY_TOO_LARGE = ("body_too_large", 413)
    CRASHES_UPSTREAMS = ("crashes_upstreams", 422)
    CONFIG_INVALID = ("config_invalid", 422)
    HEAD_TOO_LARGE = ("head_too_large", 431)
    RATE_LIMITED = ("rate_limited", 429)
    OVERLOADED = ("overloaded", 429)
    INTERNAL = ("internal", 500)
    UPSTREAM_FAILED = ("upstream_failed", 502)
    ANSWER_DAMAGED = ("answer_damaged", 502)
    OUTCOME_UNKNOWN = ("outcome_unknown", 502)
    STALE_REVISION = ("stale_revision", 503)
    STALE_BOOT = ("stale_boot", 503)
    STALE_FENCE = ("stale_fence", 503)
    FENCED = ("fenced", 503)
    DOMAIN_OUT = ("domain_out", 503)
    DRAINING = ("draining", 503)
    UPSTREAM_FULL = ("upstream_full", 503)
    UPSTREAM_DOWN = ("upstream_down", 503)
    NO_UPSTREAM = ("no_upstream", 503)
    NOT_READY = ("not_ready", 503)
    PLATFORM_DOWN = ("platform_down", 503)
    DEADLINE_PASSED = ("deadline_passed", 504)

    @property
    def code(self) -> str:
        """Code as it is sent to callers."""
        return self.value[0]

    @property
    def http_status(self) -> int:
        """HTTP status of responses with this code."""
        return self.value[1]


class CrocusvalveError(Exception):
    """Base class of all errors.

    Parameters
    ----------
    code : ErrorCode
        Stable code.
    message : str
        One sentence for a human reader; contains no prompt text and no key.
    step : str
        Processing step in which the error occurred, such as ``admission``.
    peer : str
        Process or upstream that the error is about, or an empty string.
    """

    def __init__(self, code: ErrorCode, message: str, *, step: str = "", peer: str = ""):
        super().__init__(message)
        self.code = code
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f" at {self.step}" if self.step else ""
        peer = f" ({self.peer})" if self.peer else ""
        return f"{self.code.code}{where}{peer}: {self.message}"


class RefusedError(CrocusvalveError):
    """A request was refused.

    Parameters
    ----------
    ran : ExecutionStatus
        Whether the request was executed; ``NOT_RUN`` only where that is certain.
    retry_after_s : float or None
        Time after which the caller may retry, in seconds; None where unknown.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        step: str = "",
        peer: str = "",
        ran: ExecutionStatus = ExecutionStatus.NOT_RUN,
        retry_after_s: float | None = None,
    ):
        super().__init__(code, message, step=step, peer=peer)
        self.ran = ran
        self.retry_after_s = retry_after_s


class ConfigError(CrocusvalveError):
    """A configuration document is invalid; ``problems`` lists every fault found."""

    def __init__(self, problems: list[str], *, step: str = "config", peer: str = ""):
        super().__init__(ErrorCode.CONFIG_INVALID, "; ".join(problems), step=step, peer=peer)
        self.problems = problems


class SettingsError(ConfigError):
    """The settings file of a process is invalid."""


class ConfigConflictError(CrocusvalveError):
    """Another configuration change was accepted first; ``revision`` is the newer revision."""

    def __init__(self, message: str, *, revision: int, step: str = "config", peer: str = ""):
        super().__init__(ErrorCode.CONFLICT, message, step=step, peer=peer)
        self.revision = revision


class PlatformError(CrocusvalveError):
    """The platform's service failed; ``maybe_applied`` says if a write may have been applied."""

    def __init__(
        self, message: str, *, step: str = "platform", peer: str = "", maybe_applied: bool = False
    ):
        super().__init__(ErrorCode.PLATFORM_DOWN, message, step=step, peer=peer)
        self.maybe_applied = maybe_applied


class InvariantError(CrocusvalveError):
    """An invariant of the program does not hold."""

    def __init__(self, message: str, *, step: str = "", peer: str = ""):
        super().__init__(ErrorCode.INTERNAL, message, step=step, peer=peer)
