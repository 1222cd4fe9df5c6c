"""Delivers the frames of attempts to the entries that read them."""

from collections.abc import AsyncIterator
from contextlib import aclosing

import trio

from crocusvalve.agent._admission import make_refused
from crocusvalve.agent._tables import AgentTables
from crocusvalve.answers import AnswerBuffer, AnswerStore
from crocusvalve.base import AttemptId, AttemptState, ExecutionStatus
from crocusvalve.exceptions import CrocusvalveError, ErrorCode, RefusedError
from crocusvalve.rpc import Final, Frame, Refused, RunEvent

__all__ = ["AnswerFeed"]

STEP = "resume"


class AnswerFeed:
    """Delivers the agent's answers to any number of readers.

    Parameters
    ----------
    tables : AgentTables
        Tables of the agent.
    answers : AnswerStore
        Buffers of the answers.

    Attributes
    ----------
    n_readers : int
        Readers that have not yet reached the end of their answer.
    """

    def __init__(self, tables: AgentTables, answers: AnswerStore):
        self.tables = tables
        self.answers = answers
        self.n_readers = 0
        self._change_events: dict[AttemptId, trio.Event] = {}

    def open(self, attempt_id: AttemptId) -> AnswerBuffer:
        """Create the buffer of a new attempt."""
        self._change_events[attempt_id] = trio.Event()
        return self.answers.open(attempt_id)

    def wake(self, attempt_id: AttemptId) -> None:
        """Wake the readers of an attempt after its buffer has changed."""
        event = self._change_events[attempt_id]
        self._change_events[attempt_id] = trio.Event()
        event.set()

    def expire(self, now: float) -> None:
        """Free answers that are too old to be requested again."""
        self.answers.expire(now)
        for attempt_id in list(self._change_events):
            if self.answers.get(attempt_id) is None:
                del self._change_events[attempt_id]

    async def follow(self, attempt_id: AttemptId, from_seq: int) -> AsyncIterator[RunEvent]:
        """Yield the frames of an attempt starting at ``from_seq``, then its end."""
        self.n_readers += 1
        try:
            async with aclosing(self._read(attempt_id, from_seq)) as events:
                async for event in events:
                    yield event
        finally:
            self.n_readers -= 1

    async def _read(self, attempt_id: AttemptId, from_seq: int) -> AsyncIterator[RunEvent]:
        seq = from_seq
        while True:
            buffer = self.answers.get(attempt_id)
            if buffer is None:
                yield self._make_unknown_refusal(attempt_id)
                return
            changed = self._change_events.get(attempt_id)
            try:
                events = buffer.read(seq)
            except CrocusvalveError as exc:
                yield self._make_read_failure(attempt_id, exc)
                return
            for event in events:
                yield event
                if not isinstance(event, Frame):
                    self._handle_end_read(event)
                    return
                seq = event.seq + 1
                buffer.mark_delivered(seq)
            if changed is not None:
                await changed.wait()

    def _handle_end_read(self, event: RunEvent) -> None:
        if isinstance(event, Final):
            self.tables.bills.mark_delivered(event.attempt_id)

    def _make_unknown_refusal(self, attempt_id: AttemptId) -> Refused:
        row = self.tables.guard.get(attempt_id)
        ran = (
            row.ran
            if row is not None and row.state is not AttemptState.STARTING
            else ExecutionStatus.UNKNOWN
        )
        message = "the agent has no answer for this attempt"
        exc = RefusedError(ErrorCode.UNKNOWN_REQUEST, message, step=STEP, ran=ran)
        return make_refused(attempt_id, exc, peer=self.tables.upstream_id)

    def _make_read_failure(self, attempt_id: AttemptId, exc: CrocusvalveError) -> Refused:
        row = self.tables.guard.get(attempt_id)
        ran = row.ran if row is not None else ExecutionStatus.UNKNOWN
        refused = RefusedError(exc.code, exc.message, step=STEP, ran=ran)
        return make_refused(attempt_id, refused, peer=self.tables.upstream_id)
