"""Coalesces tokens into frames: the first is sent at once, then at most one frame per window."""

from crocusvalve.utils import check_range

__all__ = ["FrameCoalescer"]

WINDOW_S = 0.025
MAX_FRAME_BYTES = 2048


class FrameCoalescer:
    """Buffers small chunks of an answer for a short time window.

    Parameters
    ----------
    window_s : float
        Minimum time between two frames in seconds; a chunk that arrives later is sent at once.
    max_bytes : int
        Number of buffered bytes that are sent without waiting for the end of the window.
    """

    def __init__(self, *, window_s: float = WINDOW_S, max_bytes: int = MAX_FRAME_BYTES):
        check_range("window_s", window_s, low=0.0)
        check_range("max_bytes", max_bytes, low=1)
        self.window_s = window_s
        self.max_bytes = max_bytes
        self._chunks: list[bytes] = []
        self._n_bytes = 0
        self._flushed_at = float("-inf")

    @property
    def due_at(self) -> float | None:
        """Time at which the buffered chunks must be sent; None if the buffer is empty."""
        return self._flushed_at + self.window_s if self._chunks else None

    def add(self, data: bytes, now: float) -> bytes | None:
        """Buffer a chunk and return the data of the next frame, or None if no frame is due."""
        if data:
            self._chunks.append(data)
            self._n_bytes += len(data)
        return self.pop_due(now)

    def pop_due(self, now: float) -> bytes | None:
        """Remove and return the data of the next frame, or None if no frame is due."""
        due_at = self.due_at
        if due_at is None or (now < due_at and self._n_bytes < self.max_bytes):
            return None
        return self.pop_all(now)

    def pop_all(self, now: float) -> bytes | None:
        """Remove and return all buffered data, or None if the buffer is empty."""
        if not self._chunks:
            return None
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._n_bytes = 0
        self._flushed_at = now
        return data
