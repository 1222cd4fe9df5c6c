"""JSON encoding and decoding of the errors of the operators' API."""

import math

import msgspec

from crocusvalve.admin._messages import AdminError, ErrorReply, find_error_code
from crocusvalve.exceptions import (
    ConfigConflictError,
    ConfigError,
    CrocusvalveError,
    ErrorCode,
    PlatformError,
)
from crocusvalve.utils import decode_json

__all__ = ["decode_error", "encode_error", "get_retry_after_s"]

#: Delay suggested to clients after a failure of the platform that specifies none itself.
PLATFORM_RETRY_AFTER_S = 2.0


def get_retry_after_s(exc: CrocusvalveError) -> int | None:
    """Return after how many whole seconds to retry, or None if that is not known."""
    retry_after_s = getattr(exc, "retry_after_s", None)
    if retry_after_s is None and isinstance(exc, PlatformError):
        retry_after_s = PLATFORM_RETRY_AFTER_S
    return None if retry_after_s is None else max(1, math.ceil(retry_after_s))


def encode_error(exc: CrocusvalveError) -> bytes:
    """Encode an error as the body of an error response."""
    error = AdminError(
        code=exc.code.code,
        message=exc.message,
        step=exc.step,
        peer=exc.peer,
        problems=getattr(exc, "problems", []),
        revision=getattr(exc, "revision", 0),
        maybe_applied=getattr(exc, "maybe_applied", False),
        retry_after_s=get_retry_after_s(exc),
    )
    return msgspec.json.encode(ErrorReply(error))


def decode_error(body: bytes, status: int, peer: str) -> CrocusvalveError:
    """Return the exception for an error response.

    Parameters
    ----------
    body : bytes
        Body of the response.
    status : int
        HTTP status, used in the message if the body is not an ``ErrorReply``.
    peer : str
        URL of the entry, for errors that name no peer.
    """
    try:
        error = decode_json(body, ErrorReply).error
    except msgspec.MsgspecError:
        message = f"the entry answered with HTTP status {status}"
        return CrocusvalveError(ErrorCode.INTERNAL, message, step="admin", peer=peer)
    location = {"step": error.step, "peer": error.peer or peer}
    code = find_error_code(error.code)
    if code is ErrorCode.CONFIG_INVALID:
        return ConfigError(error.problems or [error.message], **location)
    if code is ErrorCode.CONFLICT:
        return ConfigConflictError(error.message, revision=error.revision, **location)
    if code is ErrorCode.PLATFORM_DOWN:
        return PlatformError(error.message, maybe_applied=error.maybe_applied, **location)
    return CrocusvalveError(code, error.message, **location)
