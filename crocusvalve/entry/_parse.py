"""Parses and validates callers' requests; every fault is a coded error before any upstream work."""

from typing import Any

import msgspec
from msgspec import Struct

from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.utils import decode_json

__all__ = ["CallerHeaders", "ChatBody", "ChatMessage", "parse_chat_body", "parse_headers"]

MAX_BODY_BYTES = 1 << 20
#: Longest idempotency key.
MAX_KEY_CHARS = 200
#: Bytes at the start of the messages that make up the prefix digest of a request.
MAX_PREFIX_BYTES = 2048
MAX_DEADLINE_MS = 7 * 24 * 3600 * 1000
STEP = "parse"

SESSION_HEADER = "X-Crocusvalve-Session"
CLASS_HEADER = "X-Crocusvalve-Class"
DEADLINE_HEADER = "X-Crocusvalve-Deadline-Ms"
IDEMPOTENCY_HEADER = "Idempotency-Key"
PREFER_HEADER = "Prefer"


class ChatMessage(Struct):
    """A chat message; ``content`` is a text or a list of text parts."""

    role: str
    content: str | list[dict[str, Any]] | None = None
    name: str | None = None


class StreamOptions(Struct):
    """Options of a streamed answer."""

    include_usage: bool = False


class ChatBody(Struct):
    """The fields of a chat request that the router reads."""

    messages: list[ChatMessage]
    model: str = ""
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None
    temperature: float | None = None
    top_p: float | None = None
    seed: int | None = None
    stop: str | list[str] | None = None


class CallerHeaders(Struct, frozen=True):
    """Parsed headers of a caller's request.

    ``session`` is a session token. ``deadline_s`` is the time allowed for the request, in seconds,
    or None for the default of its class. ``may_wait`` states that a durable request may run on
    the caller's connection while it can't be stored.
    """

    session: str = ""
    class_name: str = ""
    deadline_s: float | None = None
    idempotency_key: str = ""
    may_wait: bool = False


def _make_refusal(code: ErrorCode, message: str) -> RefusedError:
    return RefusedError(code, message, step=STEP)


def parse_chat_body(raw: bytes) -> ChatBody:
    """Decode and validate the body of a chat request.

    Parameters
    ----------
    raw : bytes
        Body as received.

    Returns
    -------
    ChatBody

    Raises
    ------
    RefusedError
        ``BODY_TOO_LARGE``, ``BAD_JSON`` or ``BAD_REQUEST``.
    """
    if len(raw) > MAX_BODY_BYTES:
        raise _make_refusal(ErrorCode.BODY_TOO_LARGE, f"the body is over {MAX_BODY_BYTES} bytes")
    try:
        body = decode_json(raw, ChatBody)
    except msgspec.ValidationError as exc:
        raise _make_refusal(
            ErrorCode.BAD_REQUEST, f"the body does not match the API schema: {exc}"
        ) from exc
    except msgspec.DecodeError as exc:
        raise _make_refusal(ErrorCode.BAD_JSON, f"the body is not valid JSON: {exc}") from exc
    _check_chat_body(body)
    return body


def _check_chat_body(body: ChatBody) -> None:
    if not body.messages:
        raise _make_refusal(ErrorCode.BAD_REQUEST, "messages must not be empty")
    if body.n not in (None, 1):
        raise _make_refusal(ErrorCode.BAD_REQUEST, f"n must be 1, got {body.n}")
    limit = body.max_completion_tokens or body.max_tokens
    if limit is not None and limit < 1:
        raise _make_refusal(ErrorCode.BAD_REQUEST, f"max_tokens must be in [1, inf], got {limit}")


def parse_headers(headers: Any) -> CallerHeaders:
    """Parse and validate the headers that control how a request is handled.

    Parameters
    ----------
    headers : Mapping
        Headers as received; lookup must ignore the case of names.

    Returns
    -------
    CallerHeaders

    Raises
    ------
    RefusedError
        ``BAD_DEADLINE`` or ``BAD_HEADER``.
    """
    key = headers.get(IDEMPOTENCY_HEADER, "")
    if len(key) > MAX_KEY_CHARS or not key.isprintable():
        message = f"{IDEMPOTENCY_HEADER} must have at most {MAX_KEY_CHARS} printable characters"
        raise _make_refusal(ErrorCode.BAD_HEADER, message)
    return CallerHeaders(
        session=headers.get(SESSION_HEADER, ""),
        class_name=headers.get(CLASS_HEADER, ""),
        deadline_s=_parse_deadline(headers.get(DEADLINE_HEADER)),
        idempotency_key=key,
        may_wait="wait" in headers.get(PREFER_HEADER, ""),
    )


def _parse_deadline(text: str | None) -> float | None:
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or not 1 <= int(text[:12]) <= MAX_DEADLINE_MS:
        message = f"{DEADLINE_HEADER} must be a whole number in [1, {MAX_DEADLINE_MS}]"
        raise _make_refusal(ErrorCode.BAD_DEADLINE, message)
    return int(text) / 1000
