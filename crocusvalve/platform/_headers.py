"""Codec for the header fields of callers' requests and upstreams' replies."""

from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.gateway.base import (
    CallerRequest,
    HeaderCodec,
    Headers,
    PrefixPart,
    Reply,
    SendContext,
)

__all__ = ["PlatformHeaderCodec"]

STEP = "read_head"

ATTEMPT_ID = b"x-attempt-id"
SIGNATURE = b"x-response-signature"
DEADLINE_MS = b"x-deadline-ms"
AUTHORIZATION = b"authorization"
SESSION = b"session"
MODEL = b"x-model"
#: Number of prompt tokens and maximum number of output tokens; despite the name, not usage.
TOKEN_COUNTS = b"x-token-usage"
#: Parts of the prompt with their lengths in tokens; despite the name, not a single hash.
PREFIX_PARTS = b"x-prefix-hash"
LAST_EVENT_ID = b"last-event-id"
EXPECT_INSTANCE = b"x-expect-instance"
TENANT = b"x-tenant"
PRIORITY = b"x-request-priority"
NOT_EXECUTED = b"x-not-executed"
CONFIDENCE = b"x-confidence"
#: Set to 1 by an upstream that is about to stop.
SERVER_LEAVING = b"server-leaving"
SERVER_LIMIT = b"server-limit"
RETRY_AFTER = b"retry-after"
#: Status with which an upstream rejects a request for lack of capacity.
OVERLOADED_STATUS = 503
#: Longest time for which an upstream may ask for no requests, in seconds.
MAX_RETRY_AFTER_S = 3600.0

#: Fields that apply to a single connection and are not forwarded.
CONNECTION_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"http2-settings",
        b"expect",
    )
)
#: Fields that only the gateway may set in requests to upstreams.
GATEWAY_FIELDS = frozenset(
    (
        AUTHORIZATION,
        TENANT,
        EXPECT_INSTANCE,
        DEADLINE_MS,
        PRIORITY,
        LAST_EVENT_ID,
        b"content-length",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"x-expect-version",
        b"kv-from",
        b"kv-fetch",
        NOT_EXECUTED,
    )
)


class PlatformHeaderCodec(HeaderCodec):
    """Codec for the platform's header fields."""

    def read_request(self, method: bytes, target: bytes, headers: Headers) -> CallerRequest:
        """Decode a caller's request head.

        Raises
        ------
        RefusedError
            If a field that must be unique is repeated, or the body has a length and is chunked.
        """
        fields: dict[bytes, bytes] = {}
        connection_options: set[bytes] = set()
        for name, value in headers:
            if name in fields and name in (b"content-length", b"host", ATTEMPT_ID, AUTHORIZATION):
                raise RefusedError(
                    ErrorCode.BAD_HEADER, f"the header field {name.decode()} is repeated", step=STEP
                )
            fields.setdefault(name, value)
            if name == b"connection":
                connection_options.update(token.strip().lower() for token in value.split(b","))
        if b"transfer-encoding" in fields and b"content-length" in fields:
            raise RefusedError(
                ErrorCode.BAD_HEADER,
                "the request has both a Content-Length and a Transfer-Encoding",
                step=STEP,
            )
        dropped = (
            CONNECTION_FIELDS | GATEWAY_FIELDS | (connection_options - {ATTEMPT_ID, MODEL, b"host"})
        )
        n_prompt, n_output = _read_counts(fields.get(TOKEN_COUNTS, b""))
        return CallerRequest(
            method=method,
            target=target,
            path=target.split(b"?", 1)[0].decode("latin-1"),
            host=_read_host(fields.get(b"host", b"")),
            headers=[(name, value) for name, value in headers if name not in dropped],
            attempt_id=fields.get(ATTEMPT_ID, b""),
            deadline_s=_read_milliseconds(fields.get(DEADLINE_MS)),
            key=_read_key(fields.get(AUTHORIZATION)),
            session=fields.get(SESSION, b"").decode("latin-1"),
            model=fields.get(MODEL, b"").decode("latin-1"),
            n_prompt_tokens=n_prompt,
            max_output_tokens=n_output,
            prefix=_read_prefix(fields.get(PREFIX_PARTS, b"")),
            last_event_id=fields.get(LAST_EVENT_ID, b""),
        )

    def make_request_headers(self, req: CallerRequest, context: SendContext) -> Headers:
        """Return the header fields of a request to an upstream."""
        headers = [
            (name, context.model.encode() if name == MODEL and context.model else value)
            for name, value in req.headers
        ]
        headers.append((DEADLINE_MS, b"%d" % max(1, int(context.deadline_s * 1000))))
        headers.append((EXPECT_INSTANCE, context.upstream_id.encode()))
        if context.customer:
            headers.append((TENANT, context.customer.encode()))
        if context.last_event_id:
            headers.append((LAST_EVENT_ID, context.last_event_id))
        if req.prefix:
            headers.append((PRIORITY, b"%d" % min(9, max(0, context.priority))))
        if req.body or req.method in (b"POST", b"PUT", b"PATCH"):
            headers.append((b"content-length", b"%d" % len(req.body)))
        return headers

    def read_reply(self, status: int, headers: Headers) -> Reply:
        """Decode the head of an upstream's reply."""
        fields = dict(reversed(list(headers)))
        connection_options = {
            token.strip().lower() for token in fields.get(b"connection", b"").split(b",")
        }
        dropped = CONNECTION_FIELDS | connection_options
        return Reply(
            status=status,
            headers=[(name, value) for name, value in headers if name not in dropped],
            attempt_id=fields.get(ATTEMPT_ID, b""),
            is_signed=bool(fields.get(SIGNATURE, b"").strip()),
            is_not_run=NOT_EXECUTED in fields or status == 421,
            is_encoded=fields.get(b"content-encoding", b"identity").lower() != b"identity",
            is_event_stream=_is_event_stream(fields.get(b"content-type", b"")),
            confidence=_read_number(fields.get(CONFIDENCE)),
            is_leaving=fields.get(SERVER_LEAVING, b"").strip() == b"1",
            retry_after_s=_read_retry_after(status, fields.get(RETRY_AFTER)),
            rate_limit_per_s=_read_rate(fields.get(SERVER_LIMIT)),
        )


def _is_event_stream(content_type: bytes) -> bool:
    return content_type.split(b";", 1)[0].strip().lower() == b"text/event-stream"


def _read_host(value: bytes) -> str:
    """Return the host in lower case, without the port."""
    return value.decode("latin-1").rsplit(":", 1)[0].lower()


def _read_key(value: bytes | None) -> str | None:
    """Return the bearer key; empty for another scheme, None without the field."""
    if value is None:
        return None
    scheme, _, key = value.decode("latin-1").strip().partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _read_number(value: bytes | None) -> float | None:
    try:
        return None if value is None else float(value)
    except ValueError:
        return None


def _read_retry_after(status: int, value: bytes | None) -> float | None:
    """Return the seconds of a rejection's ``Retry-After``.

    Returns None for another status, and for a value that isn't a positive number. A longer time
    than ``MAX_RETRY_AFTER_S`` is shortened to it.
    """
    number = _read_number(value)
    if status != OVERLOADED_STATUS or number is None or not number > 0.0:
        return None
    return min(number, MAX_RETRY_AFTER_S)


def _read_rate(value: bytes | None) -> float | None:
    """Return a rate per second, or None if it is missing or no finite number of 0 or more."""
    number = _read_number(value)
    return None if number is None or not 0.0 <= number < float("inf") else number


def _read_milliseconds(value: bytes | None) -> float | None:
    """Return a duration in seconds, or None if it is missing, malformed or out of range."""
    number = _read_number(value)
    return None if number is None or not 0 <= number < 1e9 else number / 1000


def _read_counts(value: bytes) -> tuple[int, int]:
    prompt, _, output = value.partition(b",")
    return (
        int(prompt) if prompt.strip().isdigit() else 0,
        int(output) if output.strip().isdigit() else 0,
    )


def _read_prefix(value: bytes) -> tuple[PrefixPart, ...]:
    parts = []
    for entry in value.decode("latin-1").split(",") if value else ():
        part_id, _, tokens = entry.strip().partition(":")
        if part_id and tokens.isdigit():
            parts.append(PrefixPart(part_id, int(tokens)))
    return tuple(parts)
