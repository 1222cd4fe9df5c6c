"""Wire format of an engine: the request body of a completion and its server-sent events."""

from collections.abc import AsyncIterator
from typing import Any

import httpx
import msgspec
from msgspec import Struct

from crocusvalve.agent._answer_limit import read_parts
from crocusvalve.agent._upstream import OnData, UpstreamEnd, UpstreamError
from crocusvalve.base import ExecutionStatus
from crocusvalve.exceptions import ErrorCode
from crocusvalve.rpc import RunRequest, Usage
from crocusvalve.utils import decode_json, decode_untrusted

__all__ = ["make_engine_body", "read_events"]

SSE_PREFIX = "data:"
SSE_DONE = "[DONE]"
#: A longer line is no chunk of an answer.
MAX_LINE_BYTES = 1024 * 1024


class _TokenDetails(Struct, frozen=True):
    cached_tokens: int = 0


class _ChunkUsage(Struct, frozen=True):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _TokenDetails | None = None


class _Delta(Struct, frozen=True):
    content: str | None = None


class _Choice(Struct, frozen=True):
    delta: _Delta = _Delta()
    finish_reason: str | None = None


class _Chunk(Struct, frozen=True):
    choices: tuple[_Choice, ...] = ()
    usage: _ChunkUsage | None = None
    error: Any = None


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)


def make_engine_body(req: RunRequest) -> bytes:
    """Return a caller's body with the checked version, streaming and the priority set.

    Raises
    ------
    UpstreamError
        The body is not a JSON object.
    """
    try:
        body = decode_json(req.body, dict[str, Any])
    except msgspec.DecodeError as exc:
        message = "the body is not a JSON object"
        raise UpstreamError(ErrorCode.BAD_JSON, message, ran=ExecutionStatus.NOT_RUN) from exc
    body["model"] = req.version
    body["stream"] = True
    body["stream_options"] = {"include_usage": True}
    body["priority"] = int(req.priority)
    return msgspec.json.encode(body)


async def read_events(reply: httpx.Response, on_data: OnData) -> UpstreamEnd:
    """Read an engine's stream to its end marker; raises ``UpstreamError`` if it is incomplete."""
    usage, finish_reason = Usage(), ""
    async for line in _read_lines(reply):
        if not line.startswith(SSE_PREFIX):
            continue
        data = line[len(SSE_PREFIX) :].strip()
        if data == SSE_DONE:
            if finish_reason:
                return UpstreamEnd(usage, finish_reason)
            break
        chunk = _decode_chunk(data)
        if chunk.usage is not None:
            usage = _make_usage(chunk.usage)
        for choice in chunk.choices[:1]:
            finish_reason = choice.finish_reason or finish_reason
            if choice.delta.content:
                await on_data(choice.delta.content.encode())
    message = "the engine's stream ended before its end marker"
    raise UpstreamError(
        ErrorCode.UPSTREAM_FAILED, message, ran=ExecutionStatus.RAN, is_interrupted=True
    )


async def _read_lines(reply: httpx.Response) -> AsyncIterator[str]:
    """Yield the lines of a stream; raises ``UpstreamError`` if one is too long."""
    buffer = bytearray()
    n_searched = 0
    async for part in read_parts(reply):
        buffer += part
        start = 0
        while (end := buffer.find(b"\n", n_searched)) >= 0:
            yield buffer[start:end].decode(errors="replace").rstrip("\r")
            start = n_searched = end + 1
        del buffer[:start]
        n_searched = len(buffer)
        if len(buffer) > MAX_LINE_BYTES:
            message = f"a line of the engine's stream is longer than {MAX_LINE_BYTES} bytes"
            raise UpstreamError(ErrorCode.UPSTREAM_FAILED, message, ran=ExecutionStatus.UNKNOWN)
    if buffer:
        yield buffer.decode(errors="replace").rstrip("\r")


def _decode_chunk(data: str) -> _Chunk:
    try:
        chunk = decode_untrusted(_CHUNK_DECODER, data)
    except msgspec.DecodeError as exc:
        message = "the engine sent a malformed chunk"
        raise UpstreamError(ErrorCode.UPSTREAM_FAILED, message, ran=ExecutionStatus.RAN) from exc
    if chunk.error is not None:
        message = "the engine reported an error in its stream"
        raise UpstreamError(ErrorCode.UPSTREAM_FAILED, message, ran=ExecutionStatus.RAN)
    return chunk


def _make_usage(usage: _ChunkUsage) -> Usage:
    details = usage.prompt_tokens_details
    cached = details.cached_tokens if details else 0
    return Usage(usage.prompt_tokens, usage.completion_tokens, cached)
