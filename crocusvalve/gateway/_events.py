"""Splits a stream of server-sent events at their ends."""

from msgspec import Struct

__all__ = ["EventSplitter", "StreamEvent"]

#: An event longer than this is no event of an upstream.
MAX_EVENT_BYTES = 1024 * 1024


class StreamEvent(Struct, frozen=True):
    """A whole event with its end; ``event_id`` is empty where it has none."""

    data: bytes
    event_id: bytes


class EventSplitter:
    """Collects bytes and gives back whole events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes so far end within an event."""
        return bool(self._buffer.strip(b"\r\n"))

    @property
    def is_too_long(self) -> bool:
        """Whether the event under way is too long."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes; return the events that they complete."""
        self._buffer += data
        events = []
        while True:
            end = _find_end(self._buffer)
            if end < 0:
                return events
            whole = bytes(self._buffer[:end])
            del self._buffer[:end]
            events.append(StreamEvent(whole, _read_id(whole)))


def _find_end(buffer: bytearray) -> int:
    ends = [at + len(mark) for mark in (b"\n\n", b"\r\n\r\n") if (at := buffer.find(mark)) >= 0]
    return min(ends, default=-1)


def _read_id(event: bytes) -> bytes:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return b""
