"""Rows and tables that are used only in the core of an entry."""

import heapq

from msgspec import Struct, field

from crocusvalve.answers import AnswerAssembler
from crocusvalve.base import AttemptId, ExecutionStatus, RequestId
from crocusvalve.config import DocumentView
from crocusvalve.entry._held_answers import HeldAnswers
from crocusvalve.limits import FairQueue
from crocusvalve.model import EntryTables
from crocusvalve.rpc import Usage

__all__ = ["CoreTables", "PendingAnswer", "ProgressRow", "Timer"]


class PendingAnswer(Struct, kw_only=True):
    """A complete answer, not yet delivered, that waits for its rating or for a better one."""

    attempt_id: AttemptId
    version: str
    upstream_id: str
    data: list[bytes]
    finish_reason: str
    status: int
    content_type: str


class ProgressRow(Struct, kw_only=True):
    """Progress of a request.

    ``is_buffered`` is set if parts are collected in ``buffer`` and delivered only with the complete
    answer. ``leader`` is the attempt whose frames are used; those of the others are ignored.
    ``ran`` is the combined execution status of all ended attempts. ``pending_answer`` is a complete
    answer not yet delivered, ``sample`` a copy of the delivered parts that are to be rated.
    ``usage`` is the total of all complete attempts. ``last_had_candidates_at`` is the Unix time in
    seconds at which some upstream last could accept the request, or at which it was last queued.
    """

    request_id: RequestId
    is_buffered: bool
    leader: AttemptId | None = None
    buffer: list[bytes] = field(default_factory=list)
    sample: list[bytes] = field(default_factory=list)
    usage: Usage = Usage()
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN
    pending_answer: PendingAnswer | None = None
    last_had_candidates_at: float = 0.0


class Timer(Struct, order=True):
    """Time, in Unix seconds, at which a request is processed again."""

    due_at: float
    request_id: RequestId


class CoreTables(EntryTables):
    """Tables of an entry, with the queue, progress, assemblers and timers of its core."""

    def __init__(self, view: DocumentView):
        super().__init__(view)
        self.queue = FairQueue()
        self.progress: dict[RequestId, ProgressRow] = {}
        self.assemblers: dict[AttemptId, AnswerAssembler] = {}
        self.held_answers = HeldAnswers()
        self.deadlines: list[Timer] = []
        self.hedges: list[Timer] = []

    def add_timer(self, timers: list[Timer], due_at: float, request_id: RequestId) -> None:
        """Add a timer to a heap of timers; ``due_at`` is in Unix seconds."""
        heapq.heappush(timers, Timer(due_at, request_id))

    @staticmethod
    def pop_due(timers: list[Timer], now: float) -> list[RequestId]:
        """Remove the timers that are due and return the IDs of their requests."""
        due = []
        while timers and timers[0].due_at <= now:
            due.append(heapq.heappop(timers).request_id)
        return due
