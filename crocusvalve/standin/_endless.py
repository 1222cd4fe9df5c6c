"""Replies without end, which a faulty upstream sends until its caller closes the connection."""

from enum import Enum

import trio
from msgspec import Struct

__all__ = ["EndlessReply", "send_endlessly"]

#: Size of the parts that are sent without a pause.
PART_BYTES = 16384
#: Pause between the parts of a slow reply.
SLOW_PAUSE_S = 0.05
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
TOKEN_EVENT = b'data: {"choices": [{"delta": {"content": "' + 200 * b"x" + b'"}}]}\n\n'


class _Parts(Struct, frozen=True):
    """Bytes after the head's fields, the part that is repeated, and the pause after each part."""

    start: bytes
    part: bytes
    pause_s: float = 0.0
    has_head: bool = True


class EndlessReply(Enum):
    """What an endless reply consists of."""

    HEAD = _Parts(b"", b"X-More: " + b"x" * PART_BYTES + b"\r\n")
    GARBAGE = _Parts(b"", b"\x16\x03nonsense" * (PART_BYTES // 10), has_head=False)
    #: Interim answers, sent without a pause.
    INTERIM = _Parts(b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 600, has_head=False)
    SLOW_INTERIM = _Parts(b"", b"HTTP/1.1 102 Processing\r\n\r\n", SLOW_PAUSE_S, has_head=False)
    CHUNK_EXTENSION = _Parts(CHUNKED + b"5;", b"x" * PART_BYTES)
    BODY = _Parts(CHUNKED, b"%x\r\n" % PART_BYTES + b"x" * PART_BYTES + b"\r\n")
    #: A body in chunks of two bytes, whose framing is longer than the body.
    TINY_CHUNKS = _Parts(CHUNKED, b"2\r\nxx\r\n" * 2340)
    SLOW_BODY = _Parts(CHUNKED, b"1\r\nx\r\n", SLOW_PAUSE_S)
    #: Declares a length that is longer than any answer.
    LONG_BODY = _Parts(b"Content-Length: 1000000000000\r\n\r\n", b"x", SLOW_PAUSE_S)
    COMMENTS = _Parts(CHUNKED, b"8\r\n: ping\n\n\r\n", SLOW_PAUSE_S)
    FAST_COMMENTS = _Parts(CHUNKED, b"3f0\r\n" + b": ping\n\n" * 126 + b"\r\n")
    EVENT = _Parts(
        CHUNKED + b"5\r\ndata:\r\n", b"%x\r\n" % PART_BYTES + b"x" * PART_BYTES + b"\r\n"
    )
    #: Events of an engine, each with a token of the same answer.
    TOKENS = _Parts(CHUNKED, b"%x\r\n" % (64 * len(TOKEN_EVENT)) + 64 * TOKEN_EVENT + b"\r\n")


async def send_endlessly(stream: trio.SocketStream, reply: EndlessReply, head: bytes) -> None:
    """Send a reply without end; raises ``BrokenResourceError`` once the caller disconnects.

    Parameters
    ----------
    head : bytes
        Status line and fields, without the blank line at its end.
    """
    parts = reply.value
    await stream.send_all((head if parts.has_head else b"") + parts.start)
    while True:
        await stream.send_all(parts.part)
        await trio.sleep(parts.pause_s)
