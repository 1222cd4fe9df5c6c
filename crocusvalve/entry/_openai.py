"""Encodes answers and errors in the formats of the OpenAI API.

``created`` is a Unix time in whole seconds.
"""

from typing import Any

import msgspec

from crocusvalve.base import RequestId
from crocusvalve.entry._commands import AnswerSummary
from crocusvalve.entry.base import DurableStatus
from crocusvalve.exceptions import CrocusvalveError, ErrorCode, RefusedError
from crocusvalve.rpc import Usage

__all__ = [
    "SSE_DONE",
    "make_content_chunk",
    "make_completion",
    "make_durable_body",
    "make_error_body",
    "make_error_event",
    "make_first_chunk",
    "make_last_chunk",
    "make_model",
    "make_model_list",
    "make_usage_chunk",
]

#: Last server-sent event of a successful stream.
SSE_DONE = b"data: [DONE]\n\n"
#: OpenAI-style error types by HTTP status.
ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}


def _make_usage(usage: Usage) -> dict[str, Any]:
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    }


def _encode_event(payload: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(payload) + b"\n\n"


def _make_chunk_payload(
    request_id: RequestId, model: str, created: int, choices: list
) -> dict[str, Any]:
    return {
        "id": request_id,
        "object": "chat.completion.chunk",
        "created": created,
        "model": model,
        "choices": choices,
    }


def make_completion(
    request_id: RequestId, model: str, created: int, text: str, summary: AnswerSummary
) -> bytes:
    """Encode a complete answer as a ``chat.completion`` object."""
    message = {"role": "assistant", "content": text}
    choice = {
        "index": 0,
        "message": message,
        "finish_reason": summary.finish_reason,
        "logprobs": None,
    }
    return msgspec.json.encode(
        {
            "id": request_id,
            "object": "chat.completion",
            "created": created,
            "model": model,
            "choices": [choice],
            "usage": _make_usage(summary.usage),
        }
    )


def make_first_chunk(request_id: RequestId, model: str, created: int) -> bytes:
    """Encode the first event of a stream, which contains the role ``assistant``."""
    delta = {"role": "assistant", "content": ""}
    choice = {"index": 0, "delta": delta, "finish_reason": None}
    return _encode_event(_make_chunk_payload(request_id, model, created, [choice]))


def make_content_chunk(request_id: RequestId, model: str, created: int, text: str) -> bytes:
    """Encode a part of a streamed answer as an event."""
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    return _encode_event(_make_chunk_payload(request_id, model, created, [choice]))


def make_last_chunk(request_id: RequestId, model: str, created: int, reason: str) -> bytes:
    """Encode the event that ends a streamed answer; ``reason`` is its finish reason."""
    choice = {"index": 0, "delta": {}, "finish_reason": reason}
    return _encode_event(_make_chunk_payload(request_id, model, created, [choice]))


def make_usage_chunk(request_id: RequestId, model: str, created: int, usage: Usage) -> bytes:
    """Encode the event with token usage that a caller requests with ``include_usage``."""
    payload = _make_chunk_payload(request_id, model, created, [])
    payload["usage"] = _make_usage(usage)
    return _encode_event(payload)


def _make_error_payload(exc: CrocusvalveError, request_id: str) -> dict[str, Any]:
    status = exc.code.http_status
    error: dict[str, Any] = {
        "message": exc.message,
        "type": ERROR_TYPES.get(status, "server_error" if status >= 500 else "request_error"),
        "param": None,
        "code": exc.code.code,
        "step": exc.step,
        "peer": exc.peer,
        "request_id": request_id,
    }
    if isinstance(exc, RefusedError):
        error["ran"] = exc.ran.value
        error["retry_after_s"] = exc.retry_after_s
    return {"error": error}


def make_error_body(exc: CrocusvalveError, request_id: str = "") -> bytes:
    """Encode an error as the body of an HTTP response."""
    return msgspec.json.encode(_make_error_payload(exc, request_id))


def make_error_event(exc: CrocusvalveError, request_id: str) -> bytes:
    """Encode an error as an event of a stream; no ``[DONE]`` follows it."""
    return _encode_event(_make_error_payload(exc, request_id))


def make_durable_body(status: DurableStatus) -> bytes:
    """Encode the status of a durable request that has no answer yet."""
    return msgspec.json.encode(
        {
            "id": status.request_id,
            "object": "request",
            "state": status.state,
            "deadline": status.deadline,
            "url": f"/v1/requests/{status.request_id}",
        }
    )


def make_model(name: str, owner: str) -> bytes:
    """Encode a ``model`` object."""
    return msgspec.json.encode(_make_model_payload(name, owner))


def _make_model_payload(name: str, owner: str) -> dict[str, Any]:
    return {"id": name, "object": "model", "created": 0, "owned_by": owner}


def make_model_list(names: list[str], owner: str) -> bytes:
    """Encode a list of ``model`` objects, all with the same owner."""
    data = [_make_model_payload(name, owner) for name in names]
    return msgspec.json.encode({"object": "list", "data": data})


def make_method_error(method: str) -> RefusedError:
    """Make the error for an HTTP method that a path does not support."""
    message = f"method {method} is not allowed here"
    return RefusedError(ErrorCode.METHOD_NOT_ALLOWED, message, step="parse")
