"""Rows and tables that only the core of an entry uses."""

import heapq

from msgspec import Struct, field

from crocusvalve.answers import AnswerAssembler
from crocusvalve.base import AttemptId, Ran, RequestId
from crocusvalve.config import DocumentView
from crocusvalve.limits import FairQueue
from crocusvalve.model import EntryTables
from crocusvalve.rpc import Usage

__all__ = ["CoreTables", "PendingAnswer", "ProgressRow", "Timer"]


class PendingAnswer(Struct, kw_only=True):
    """A whole answer that waits for its rating or for a better one."""

    attempt_id: AttemptId
    version: str
    upstream_id: str
    data: list[bytes]
    finish_reason: str
    status: int
    content_type: str


class ProgressRow(Struct, kw_only=True):
    """How far a request has come.

    ``leader`` is the attempt whose frames count. ``ran`` is what is known for sure or not of all
    ended attempts together. ``pending_answer`` is a whole answer not yet delivered,
    ``sample`` a copy of delivered parts that are to be rated. ``usage`` sums all whole
    attempts.
    """

    request_id: RequestId
    is_buffered: bool
    leader: AttemptId | None = None
    buffer: list[bytes] = field(default_factory=list)
    sample: list[bytes] = field(default_factory=list)
    usage: Usage = Usage()
    ran: Ran = Ran.NOT_RUN
    pending_answer: PendingAnswer | None = None
    last_had_candidates_at: float = 0.0


class Timer(Struct, order=True):
    """An instant at which a request is looked at again."""

    due_at: float
    request_id: RequestId


class CoreTables(EntryTables):
    """Tables of an entry with the queue, progress and timers of its core."""

    def __init__(self, view: DocumentView):
        super().__init__(view)
        self.queue = FairQueue()
        self.progress: dict[RequestId, ProgressRow] = {}
        self.assemblers: dict[AttemptId, AnswerAssembler] = {}
        self.deadlines: list[Timer] = []
        self.hedges: list[Timer] = []

    def add_timer(self, timers: list[Timer], due_at: float, request_id: RequestId) -> None:
        """Add an instant to a heap of timers."""
        heapq.heappush(timers, Timer(due_at, request_id))

    @staticmethod
    def pop_due(timers: list[Timer], now: float) -> list[RequestId]:
        """Take the requests whose timers are due."""
        due = []
        while timers and timers[0].due_at <= now:
            due.append(heapq.heappop(timers).request_id)
        return due
