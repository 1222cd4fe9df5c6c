"""Splits a byte stream into server-sent events."""

import re

from msgspec import Struct

__all__ = ["EventSplitter", "StreamEvent"]

#: A longer event is treated as a corrupt stream.
MAX_EVENT_BYTES = 1024 * 1024
#: Maximum size of comments and other events without content between two events with content.
MAX_EMPTY_BYTES = 64 * 1024
EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
#: An upstream that fails within a stream that only the end of the connection delimits may write an
#: error reply into it.
REPLY_HEAD_START = b"HTTP/"
#: Number of bytes at the end of a buffer that may be the beginning of an event's end.
MAX_PARTIAL_END = 3
#: Fields with which an event has content. Comments and fields without a value have none.
CONTENT_FIELDS = (b"data", b"id")


class StreamEvent(Struct, frozen=True):
    """A complete event with its terminator.

    Attributes
    ----------
    event_id : bytes
        Id of the event; empty if it has none.
    has_content : bool
        Whether it has an id or data. Comments, with which servers keep a connection open, have
        none: they are no progress of the answer.
    """

    data: bytes
    event_id: bytes
    has_content: bool


class EventSplitter:
    """Buffers received bytes and returns complete events.

    Parameters
    ----------
    after : bytes
        Id of the event after which the stream goes on; empty if it begins.

    Attributes
    ----------
    fault : str
        Why the events can't be those of the stream; empty if they can.
    """

    def __init__(self, after: bytes = b"") -> None:
        self.after = after
        self.fault = ""
        self._buffer = bytearray()
        self._n_searched = 0
        self._n_empty_bytes = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes received so far end within an event."""
        return bool(self._buffer.strip(b"\r\n"))

    @property
    def is_too_long(self) -> bool:
        """Whether the incomplete event, or the events without content, exceed their limits."""
        return len(self._buffer) > MAX_EVENT_BYTES or self._n_empty_bytes > MAX_EMPTY_BYTES

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes; return the events that they complete."""
        self._buffer += data
        events = []
        start = 0
        while (found := EVENT_END.search(self._buffer, max(start, self._n_searched))) is not None:
            end = found.end()
            events.append(self._make_event(bytes(self._buffer[start:end])))
            start = self._n_searched = end
        # A match refers to the buffer, which can't be resized meanwhile.
        found = None
        del self._buffer[:start]
        self._n_searched = max(0, len(self._buffer) - MAX_PARTIAL_END)
        return events

    def _make_event(self, data: bytes) -> StreamEvent:
        if data.startswith(REPLY_HEAD_START):
            self.fault = "the stream has the head of another reply in it"
        event_id = b""
        has_content = False
        for line in data.splitlines():
            name, _, value = line.partition(b":")
            value = value.strip()
            if name in CONTENT_FIELDS and value:
                has_content = True
                if name == b"id":
                    event_id = event_id or value
        if _is_repeated(event_id, self.after):
            self.fault = "the stream repeats events from before its interruption"
        self._n_empty_bytes = 0 if has_content else self._n_empty_bytes + len(data)
        return StreamEvent(data, event_id, has_content)


def _is_repeated(event_id: bytes, after: bytes) -> bool:
    """Return whether an event isn't later than another one; False unless both ids are numbers."""
    if not event_id.isdigit() or not after.isdigit():
        return False
    number, last = event_id.lstrip(b"0"), after.lstrip(b"0")
    return (len(number), number) <= (len(last), last)
