"""Agent side of an answer: numbered frames retained for resumes, bounded in bytes and age."""

from collections.abc import Callable

import xxhash

from crocusvalve.base import AttemptId
from crocusvalve.exceptions import CrocusvalveError, ErrorCode
from crocusvalve.rpc import Final, Frame, Refused, RunEvent, Usage
from crocusvalve.utils import check_range

__all__ = ["AnswerBuffer", "AnswerStore"]

STEP = "answer_buffer"


def _ignore_read() -> None:
    """Do nothing: the default of ``AnswerBuffer.on_read``, where no writer waits for readers."""


class AnswerBuffer:
    """Frames of one attempt, from the oldest one that is retained to the newest.

    Parameters
    ----------
    attempt_id : AttemptId
        The attempt.
    max_bytes : int
        Number of bytes at which delivered frames are freed and the writer must wait.

    Attributes
    ----------
    n_bytes : int
        Number of bytes of the retained frames.
    first_seq : int
        Sequence number of the oldest retained frame.
    n_frames : int
        Number of frames appended so far.
    n_delivered : int
        Number of frames that a reader has received.
    end : Final or Refused or None
        Last event of the attempt, or None before its end.
    ended_at : float
        Time of the end in Unix seconds.
    """

    def __init__(self, attempt_id: AttemptId, *, max_bytes: int = 4 * 2**20):
        check_range("max_bytes", max_bytes, low=1)
        self.attempt_id = attempt_id
        self.max_bytes = max_bytes
        self.n_bytes = 0
        self.first_seq = 0
        self.n_frames = 0
        self.n_delivered = 0
        self.end: Final | Refused | None = None
        self.ended_at = 0.0
        #: Called after a reader has received frames.
        self.on_read: Callable[[], None] = _ignore_read
        self._frames: list[Frame] = []
        self._digest = xxhash.xxh3_128()

    @property
    def is_full(self) -> bool:
        """Whether the writer must wait for a reader."""
        return self.n_bytes >= self.max_bytes

    def append(self, data: bytes) -> Frame:
        """Append a part of the answer as the next numbered frame."""
        self._check_not_ended()
        frame = Frame(self.attempt_id, self.n_frames, data)
        self._frames.append(frame)
        self._digest.update(data)
        self.n_frames += 1
        self.n_bytes += len(data)
        return frame

    def finish(
        self,
        now: float,
        *,
        usage: Usage,
        finish_reason: str,
        service_s: float,
        status: int = 200,
        content_type: str = "application/json",
    ) -> Final:
        """End the attempt with a complete answer; ``now`` is in Unix seconds."""
        self._check_not_ended()
        final = Final(
            attempt_id=self.attempt_id,
            n_frames=self.n_frames,
            digest=self._digest.hexdigest(),
            usage=usage,
            finish_reason=finish_reason,
            service_s=service_s,
            status=status,
            content_type=content_type,
        )
        self.end, self.ended_at = final, now
        return final

    def fail(self, refused: Refused, now: float) -> None:
        """End the attempt without a complete answer; ``now`` is in Unix seconds."""
        self._check_not_ended()
        self.end, self.ended_at = refused, now

    def read(self, from_seq: int) -> list[RunEvent]:
        """Return the frames from a sequence number on, then the end event if the attempt has ended.

        Raises
        ------
        CrocusvalveError
            ``ANSWER_DAMAGED`` if requested frames were freed or never existed.
        """
        if not self.first_seq <= from_seq <= self.n_frames:
            message = f"frame {from_seq} is not in [{self.first_seq}, {self.n_frames}]"
            raise CrocusvalveError(ErrorCode.ANSWER_DAMAGED, message, step=STEP)
        events: list[RunEvent] = list(self._frames[from_seq - self.first_seq :])
        if self.end is not None:
            events.append(self.end)
        return events

    def mark_delivered(self, n_frames: int) -> None:
        """Record that a reader has received all frames below a sequence number.

        Delivered frames are freed, oldest first, until the buffer is below ``max_bytes``.
        """
        self.n_delivered = max(self.n_delivered, n_frames)
        while self.n_bytes >= self.max_bytes and self.first_seq < self.n_delivered:
            self.n_bytes -= len(self._frames.pop(0).data)
            self.first_seq += 1
        self.on_read()

    def _check_not_ended(self) -> None:
        if self.end is not None:
            raise CrocusvalveError(ErrorCode.INTERNAL, "the answer has ended", step=STEP)


class AnswerStore:
    """Answer buffers of an agent.

    Parameters
    ----------
    max_bytes : int
        Number of bytes in all buffers above which the oldest ended answers are freed.
    keep_s : float
        Time in seconds for which an ended answer is retained for a resume.
    buffer_max_bytes : int
        ``max_bytes`` of each buffer.
    """

    def __init__(
        self,
        *,
        max_bytes: int = 48 * 2**20,
        keep_s: float = 60.0,
        buffer_max_bytes: int = 4 * 2**20,
    ):
        self.max_bytes = max_bytes
        self.keep_s = keep_s
        self.buffer_max_bytes = buffer_max_bytes
        self._buffers: dict[AttemptId, AnswerBuffer] = {}

    def __len__(self) -> int:
        return len(self._buffers)

    @property
    def n_bytes(self) -> int:
        """Number of bytes in all buffers."""
        return sum(buffer.n_bytes for buffer in self._buffers.values())

    def open(self, attempt_id: AttemptId) -> AnswerBuffer:
        """Create and return the buffer of a new attempt."""
        buffer = AnswerBuffer(attempt_id, max_bytes=self.buffer_max_bytes)
        self._buffers[attempt_id] = buffer
        return buffer

    def get(self, attempt_id: AttemptId) -> AnswerBuffer | None:
        """Return the buffer of an attempt, or None if it was freed or never opened."""
        return self._buffers.get(attempt_id)

    def expire(self, now: float) -> None:
        """Free ended answers older than ``keep_s``, then the oldest while above ``max_bytes``."""
        ended = [buffer for buffer in self._buffers.values() if buffer.end is not None]
        ended.sort(key=lambda buffer: buffer.ended_at)
        n_bytes = self.n_bytes
        for buffer in ended:
            if now - buffer.ended_at < self.keep_s and n_bytes <= self.max_bytes:
                break
            n_bytes -= buffer.n_bytes
            del self._buffers[buffer.attempt_id]
