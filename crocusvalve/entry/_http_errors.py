"""HTTP responses for errors, in the format of the OpenAI API."""

import logging

from quart import Response, request

from crocusvalve.entry import _openai
from crocusvalve.entry._parse import MAX_BODY_BYTES
from crocusvalve.exceptions import CrocusvalveError, ErrorCode, RefusedError

__all__ = [
    "answer_error",
    "answer_internal",
    "answer_method_not_allowed",
    "answer_not_found",
    "answer_too_large",
]

logger = logging.getLogger(__name__)

JSON = "application/json"
#: Codes of refusals that may be sent before the body is read; the connection is then closed, as it
#: can't be used again.
UNREAD_CODES = frozenset(
    {
        ErrorCode.BAD_KEY,
        ErrorCode.BODY_TOO_LARGE,
        ErrorCode.METHOD_NOT_ALLOWED,
        ErrorCode.NOT_FOUND,
        ErrorCode.NOT_READY,
    }
)


async def answer_error(exc: CrocusvalveError) -> Response:
    """Return the response for a coded error."""
    request_id = getattr(request, "crocusvalve_id", "")
    response = Response(
        _openai.make_error_body(exc, request_id), status=exc.code.http_status, content_type=JSON
    )
    if request_id:
        response.headers["X-Request-Id"] = request_id
    if exc.code in UNREAD_CODES and request.http_version.startswith("1"):
        response.headers["Connection"] = "close"
    retry_after_s = getattr(exc, "retry_after_s", None)
    if retry_after_s is not None:
        response.headers["Retry-After"] = str(max(1, round(retry_after_s)))
    return response


async def answer_not_found(_exc: Exception) -> Response:
    """Return the response for an unknown path."""
    message = "this path does not exist"
    return await answer_error(RefusedError(ErrorCode.NOT_FOUND, message, step="parse"))


async def answer_method_not_allowed(_exc: Exception) -> Response:
    """Return the response for a method that a path does not support."""
    return await answer_error(_openai.make_method_error(request.method))


async def answer_too_large(_exc: Exception) -> Response:
    """Return the response for a body that is too long."""
    message = f"the body is longer than {MAX_BODY_BYTES} bytes"
    return await answer_error(RefusedError(ErrorCode.BODY_TOO_LARGE, message, step="parse"))


async def answer_internal(exc: Exception) -> Response:
    """Return the response for an unexpected exception; its text appears only in the log."""
    logger.error("a request failed with an internal error", exc_info=exc)
    message = f"internal error ({type(exc).__name__})"
    return await answer_error(CrocusvalveError(ErrorCode.INTERNAL, message, step="entry"))
