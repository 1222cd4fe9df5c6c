"""Entry side of an answer: accepts the events of one attempt, in order, and proves it whole."""

import xxhash

from crocusvalve.base import AttemptId
from crocusvalve.exceptions import CrocusvalveError, ErrorCode
from crocusvalve.rpc import Final, Frame, Refused, RunEvent

__all__ = ["AnswerAssembler"]

STEP = "answer"


class AnswerAssembler:
    """Filters and checks the events of one attempt.

    Events of other attempts, frames seen before and events that arrive after ``close`` are dropped
    and counted. A gap, a wrong count or digest, and an event after the end raise.

    Parameters
    ----------
    attempt_id : AttemptId
        The only attempt whose events are accepted.
    peer : str
        Upstream named in errors.

    Attributes
    ----------
    next_seq : int
        Sequence number of the next frame; where a resume starts.
    end : Final or Refused or None
        How the attempt ended.
    n_dropped : int
        Events dropped.
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
        """Whether the whole answer was accepted."""
        return isinstance(self.end, Final)

    def close(self) -> None:
        """Drop whatever arrives from now on."""
        self._is_closed = True

    def accept(self, event: RunEvent) -> RunEvent | None:
        """Check one event.

        Returns
        -------
        RunEvent or None
            The event to act on, or None where it was dropped.

        Raises
        ------
        CrocusvalveError
            ``ANSWER_DAMAGED`` where the answer can't be whole.
        """
        if self._is_closed or event.attempt_id != self.attempt_id:
            self.n_dropped += 1
            return None
        if isinstance(event, Frame):
            return self._accept_frame(event)
        if self.end is not None:
            raise self._make_error("a second end of the answer arrived")
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
            raise self._make_error(f"frame {frame.seq} arrived in place of {self.next_seq}")
        self._digest.update(frame.data)
        self.next_seq += 1
        return frame

    def _check_final(self, final: Final) -> None:
        if final.n_frames != self.next_seq:
            raise self._make_error(f"{self.next_seq} of {final.n_frames} frames arrived")
        if final.digest != self._digest.hexdigest():
            raise self._make_error("the digest of the frames differs")

    def _make_error(self, message: str) -> CrocusvalveError:
        return CrocusvalveError(ErrorCode.ANSWER_DAMAGED, message, step=STEP, peer=self.peer)
