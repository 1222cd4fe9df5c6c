"""Writing of log lines that never blocks the caller, even if the reader is slow."""

import queue
import threading
from types import TracebackType
from typing import TextIO

__all__ = ["LineWriter"]

#: Maximum number of lines waiting to be written; further ones are dropped and counted.
MAX_LINES = 2000
#: Maximum time for writing the remaining lines on exit.
CLOSE_TIMEOUT_S = 0.3


class LineWriter:
    """Output stream for a log handler; a separate thread writes to the underlying stream.

    Parameters
    ----------
    stream : TextIO
        Underlying stream.
    max_lines : int
        Maximum number of lines waiting to be written.

    Attributes
    ----------
    n_dropped : int
        Number of dropped lines.
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
        """Wait up to ``CLOSE_TIMEOUT_S`` for the thread to write the waiting lines."""
        try:
            self._lines.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(CLOSE_TIMEOUT_S)

    def write(self, text: str) -> int:
        """Queue a text for writing; drop it if the queue is full."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self.n_dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing, as the thread flushes after each write."""

    def _write_all(self) -> None:
        while (text := self._lines.get()) is not None:
            parts = [text]
            # Lines may arrive as fast as they are removed, so a batch is limited like the queue.
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
