"""Writes log lines without ever waiting for whoever reads them."""

import queue
import threading
from types import TracebackType
from typing import TextIO

__all__ = ["LineWriter"]

#: Lines that wait to be written; further ones are dropped and counted.
MAX_LINES = 2000
#: Time that the lines left have to be written at the end, in seconds.
END_S = 0.3


class LineWriter:
    """A stream for a log handler; a thread of its own writes to the real one.

    Parameters
    ----------
    stream : TextIO
        Where the lines go.
    max_lines : int
        Lines that may wait.

    Attributes
    ----------
    n_dropped : int
        Lines that were dropped.
    """

    def __init__(self, stream: TextIO, max_lines: int = MAX_LINES):
        self.n_dropped = 0
        self._stream = stream
        self._lines: queue.Queue[str | None] = queue.Queue(max_lines)
        self._thread = threading.Thread(target=self._write_all, daemon=True)

    def __enter__(self) -> "LineWriter":
        """Start the thread."""
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Give the thread a short time to write what waits."""
        try:
            self._lines.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(END_S)

    def write(self, text: str) -> int:
        """Take a text; drop it where too many wait."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self.n_dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread flushes."""

    def _write_all(self) -> None:
        while (text := self._lines.get()) is not None:
            parts = [text]
            # Lines come as fast as they are taken out; what is in hand is bounded like the rest.
            while len(parts) < self._lines.maxsize and not self._lines.empty():
                more = self._lines.get_nowait()
                if more is None:
                    self._lines.put(None)
                    break
                parts.append(more)
            try:
                self._stream.write("".join(parts))
                self._stream.flush()
            except (OSError, ValueError):
                self.n_dropped += len(parts)
