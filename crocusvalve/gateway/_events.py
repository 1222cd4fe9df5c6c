"""Splits a byte stream into server-sent events."""

from msgspec import Struct

__all__ = ["EventSplitter", "StreamEvent"]

#: A longer event is treated as a corrupt stream.
MAX_EVENT_BYTES = 1024 * 1024


class StreamEvent(Struct, frozen=True):
    """A complete event with its terminator; ``event_id`` is empty if it has none."""

    data: bytes
    event_id: bytes


class EventSplitter:
    """Buffers received bytes and returns complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes received so far end within an event."""
        return bool(self._buffer.strip(b"\r\n"))

    @property
    def is_too_long(self) -> bool:
        """Whether the incomplete event is longer than ``MAX_EVENT_BYTES``."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes; return the events that they complete."""
        self._buffer += data
        events = []
        while True:
            end = _find_end(self._buffer)
            if end < 0:
                return events
            event = bytes(self._buffer[:end])
            del self._buffer[:end]
            events.append(StreamEvent(event, _read_id(event)))


def _find_end(buffer: bytearray) -> int:
    ends = [
        start + len(terminator)
        for terminator in (b"\n\n", b"\r\n\r\n")
        if (start := buffer.find(terminator)) >= 0
    ]
    return min(ends, default=-1)


def _read_id(event: bytes) -> bytes:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return b""
