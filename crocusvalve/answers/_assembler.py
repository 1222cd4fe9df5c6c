"""Entry side of an answer: accepts the events of one attempt and verifies its completeness."""

import xxhash

from crocusvalve.base import AttemptId
from crocusvalve.exceptions import CrocusvalveError, ErrorCode
from crocusvalve.rpc import Final, Frame, Refused, RunEvent

__all__ = ["AnswerAssembler"]

STEP = "answer"


class AnswerAssembler:
    """Filters and checks the events of one attempt, in order.

    Events of other attempts, frames seen before and events that arrive after ``close`` are dropped
    and counted. A gap in the sequence numbers, a wrong frame count or digest, and a new frame or a
    second end after the end raise an error.

    Parameters
    ----------
    attempt_id : AttemptId
        The only attempt whose events are accepted.
    peer : str
        Upstream to name in errors.

    Attributes
    ----------
    next_seq : int
        Sequence number of the next frame; a resume starts from it.
    end : Final or Refused or None
        Last event of the attempt, or None before it has arrived.
    n_dropped : int
        Number of events dropped.
    """

    def __init__(self, attempt_id: AttemptId, *, peer: str = ""):
        self.attempt_id = attempt_id
        self.peer = peer
        self.next_seq = 0
        self.end: Final | Refused | None = None
        self.n_dropped = 0
        self._digest = xxhash.xxh3_128()
        self._is_closed = False

    @property
    def is_complete(self) -> bool:
        """Whether the complete answer was accepted."""
        return isinstance(self.end, Final)

    def close(self) -> None:
        """Drop all events that arrive from now on."""
        self._is_closed = True

    def accept(self, event: RunEvent) -> RunEvent | None:
        """Check one event.

        Returns
        -------
        RunEvent or None
            The event if it was accepted, or None if it was dropped.

        Raises
        ------
        CrocusvalveError
            ``ANSWER_DAMAGED`` if the answer is corrupt or incomplete.
        """
        if self._is_closed or event.attempt_id != self.attempt_id:
            self.n_dropped += 1
            return None
        if isinstance(event, Frame):
            return self._accept_frame(event)
        if self.end is not None:
            raise self._make_error("a second end event arrived")
        if isinstance(event, Final):
            self._check_final(event)
        self.end = event
        return event

    def _accept_frame(self, frame: Frame) -> Frame | None:
        if frame.seq < self.next_seq:
            self.n_dropped += 1
            return None
        if self.end is not None:
            raise self._make_error(f"frame {frame.seq} arrived after the end")
        if frame.seq > self.next_seq:
            raise self._make_error(f"frame {frame.seq} arrived instead of frame {self.next_seq}")
        self._digest.update(frame.data)
        self.next_seq += 1
        return frame

    def _check_final(self, final: Final) -> None:
        if final.n_frames != self.next_seq:
            raise self._make_error(f"{self.next_seq} of {final.n_frames} frames arrived")
        if final.digest != self._digest.hexdigest():
            raise self._make_error("the digest of the frames differs from that of the final event")

    def _make_error(self, message: str) -> CrocusvalveError:
        return CrocusvalveError(ErrorCode.ANSWER_DAMAGED, message, step=STEP, peer=self.peer)
