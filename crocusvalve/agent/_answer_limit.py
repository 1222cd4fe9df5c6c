"""Limits beyond which what an upstream sends is no answer."""

from collections.abc import AsyncIterator

import httpx

from crocusvalve.agent._upstream import OnData, UpstreamError
from crocusvalve.base import ExecutionStatus
from crocusvalve.exceptions import ErrorCode

__all__ = ["MAX_ANSWER_BYTES", "check_length", "limit_answer", "read_parts"]

#: Longest answer that an agent passes on unless its settings allow more. Entries hold the answers
#: of plain requests and of cascades until they are complete.
MAX_ANSWER_BYTES = 8 * 2**20
#: Bytes with which HTTP frames a chunk of a body: its length and two ends of a line.
CHUNK_FRAMING_BYTES = 5
#: Longest framing of a body beyond the length of the body itself.
MAX_FRAMING_BYTES = 64 * 1024


def limit_answer(on_data: OnData, max_bytes: int) -> OnData:
    """Return a callback that passes on an answer, and raises ``UpstreamError`` if it is too long.

    Parameters
    ----------
    on_data : callable
        Called with each part of the answer, up to ``max_bytes`` bytes in all.
    """
    n_bytes = 0

    async def pass_on(data: bytes) -> None:
        nonlocal n_bytes
        n_bytes += len(data)
        if n_bytes > max_bytes:
            raise _make_error(f"the answer is longer than {max_bytes} bytes")
        await on_data(data)

    return pass_on


async def read_parts(reply: httpx.Response) -> AsyncIterator[bytes]:
    """Yield the parts of a body; raises ``UpstreamError`` if it is mostly framing."""
    n_bytes = n_parts = 0
    async for part in reply.aiter_bytes():
        n_parts += 1
        n_bytes += len(part)
        if n_parts * CHUNK_FRAMING_BYTES > n_bytes + MAX_FRAMING_BYTES:
            raise _make_error(f"{n_parts} chunks for {n_bytes} bytes of the answer")
        yield part


def check_length(reply: httpx.Response, max_bytes: int) -> None:
    """Raise ``UpstreamError`` if an answer declares a length over ``max_bytes``."""
    length = reply.headers.get("content-length", "")
    if length.isdigit() and int(length) > max_bytes:
        raise _make_error(f"the answer is to have {length} bytes, more than {max_bytes}")


def _make_error(message: str) -> UpstreamError:
    return UpstreamError(ErrorCode.UPSTREAM_FAILED, message, ran=ExecutionStatus.UNKNOWN)
