"""Invariants of a simulation, checked at each event."""

from collections import Counter, defaultdict

from msgspec import Struct

from crocusvalve.base import AttemptId, ExecutionStatus, RequestId, Revision
from crocusvalve.config import DocumentView
from crocusvalve.entry._commands import AnswerSummary
from crocusvalve.exceptions import InvariantError, RefusedError
from crocusvalve.rpc import BillRecord, RunRequest

__all__ = ["SoakChecks"]

STEP = "soak"
#: Time within which every process has applied a published revision.
REVISION_BOUND_S = 5.0
#: Upstreams that one digest may crash, as entries learn of each other's crashes with a delay.
MAX_CRASHES = 4


class _CallerState(Struct):
    """What a caller has received for one request."""

    data: bytes = b""
    is_ended: bool = False
    pinned_version: str = ""


def fail(message: str) -> None:
    """Raise ``InvariantError`` for a broken invariant."""
    raise InvariantError(message, step=STEP)


class SoakChecks:
    """Records events of a simulation and raises ``InvariantError`` where a guarantee is broken.

    Attributes
    ----------
    n_executions : int
        Attempts that engines began.
    n_answers : int
        Requests that callers received a complete answer to.
    n_refused : Counter
        Refused requests by error code.
    executions : dict
        Attempts that engines began, by request.
    started_attempts : set of AttemptId
        The same attempts, over all requests.
    expected_answers : dict
        Complete answer of each begun attempt.
    crashes : Counter
        Engine crashes by digest.
    answered, abandoned : set of RequestId
        Requests with a complete answer, and requests whose caller left or whose entry was killed.
    """

    def __init__(self):
        self.n_executions = 0
        self.n_answers = 0
        self.n_refused: Counter[str] = Counter()
        self.executions: dict[RequestId, list[AttemptId]] = defaultdict(list)
        self.started_attempts: set[AttemptId] = set()
        self.expected_answers: dict[AttemptId, bytes] = {}
        self.crashes: Counter[str] = Counter()
        self.answered: set[RequestId] = set()
        self.abandoned: set[RequestId] = set()
        self._views: list[tuple[float, DocumentView]] = []
        self._callers: dict[RequestId, _CallerState] = {}
        self._refused_as_not_run: set[RequestId] = set()

    def record_revision(self, view: DocumentView, now: float) -> None:
        """Record a published revision."""
        self._views.append((now, view))

    def record_request(self, request_id: RequestId, pinned_version: str) -> None:
        """Record a caller's request and the version its session is pinned to, if any."""
        self._callers[request_id] = _CallerState(pinned_version=pinned_version)

    def record_execution(self, run: RunRequest, revision: Revision, now: float) -> None:
        """Record that an engine begins an attempt, and check that it may."""
        self.n_executions += 1
        if run.attempt_id in self.started_attempts:
            fail(f"attempt {run.attempt_id} began twice")
        self.started_attempts.add(run.attempt_id)
        self.executions[run.request_id].append(run.attempt_id)
        if run.request_id in self._refused_as_not_run:
            fail(f"{run.request_id} was told as not run and runs")
        if now >= run.deadline:
            fail(f"{run.attempt_id} began after its deadline")
        caller = self._callers[run.request_id]
        if caller.pinned_version and run.version != caller.pinned_version:
            fail(f"session of {run.request_id} left {caller.pinned_version} for {run.version}")
        self._check_in_force(run, revision, now)

    def _check_in_force(self, run: RunRequest, revision: Revision, now: float) -> None:
        """Check an attempt against the configuration.

        It must be allowed by the agent's own revision, and by the newest revision that every
        process should have, unless the agent has a newer one already.
        """
        in_force = [view for at, view in self._views if now - at > REVISION_BOUND_S]
        known = [view for _, view in self._views if view.revision == revision]
        for view in [*in_force[-1:], *known]:
            if view.revision < revision:
                continue
            if not view.is_allowed(run.customer_id, run.version):
                fail(f"{run.version} is not allowed to {run.customer_id}")
            if view.is_withdrawn(run.version):
                fail(f"{run.version} is withdrawn in revision {view.revision}")
            if view.is_domain_out(view.upstreams[run.upstream_id].domain):
                fail(f"failure domain of {run.upstream_id} is out")

    def check_load(self, upstream_id: str, in_flight: int, limit: int) -> None:
        """Check that an upstream runs no more attempts than its limit."""
        if in_flight > limit:
            fail(f"{upstream_id} runs {in_flight} with a limit of {limit}")

    def record_crash(self, digest: str) -> None:
        """Record that a request crashed an engine."""
        self.crashes[digest] += 1
        if self.crashes[digest] > MAX_CRASHES:
            fail(f"digest {digest} crashed {self.crashes[digest]} upstreams")

    def record_answer_part(self, request_id: RequestId, data: bytes) -> None:
        """Record a part of an answer that reached its caller, and check that it continues one."""
        caller = self._callers[request_id]
        if caller.is_ended:
            fail(f"{request_id} got a part after its end")
        caller.data += data
        attempts = self.executions[request_id]
        if not any(self.expected_answers[ref].startswith(caller.data) for ref in attempts):
            fail(f"{request_id} got a part of no answer of its own")

    def record_answer(self, summary: AnswerSummary) -> None:
        """Record that a caller has its complete answer, and compare it with the expected ones."""
        caller = self._mark_ended(summary.request_id)
        self.n_answers += 1
        self.answered.add(summary.request_id)
        attempts = self.executions[summary.request_id]
        if not any(self.expected_answers[ref] == caller.data for ref in attempts):
            fail(f"{summary.request_id} got an answer that is not whole")

    def record_refusal(self, request_id: RequestId, error: RefusedError) -> None:
        """Record a refusal; one that says "not run" must be of a request that no engine began."""
        self._mark_ended(request_id)
        self.n_refused[error.code.code] += 1
        if error.ran is not ExecutionStatus.NOT_RUN:
            return
        self._refused_as_not_run.add(request_id)
        if self.executions[request_id]:
            fail(f"{request_id} ran and was told as not run ({error.code.code})")

    def _mark_ended(self, request_id: RequestId) -> _CallerState:
        """Record that a caller's request has ended, which may happen once only."""
        caller = self._callers[request_id]
        if caller.is_ended:
            fail(f"{request_id} ended twice")
        caller.is_ended = True
        return caller

    def mark_abandoned(self, request_id: RequestId) -> None:
        """Record that a caller has left, or that its entry was killed."""
        self._callers[request_id].is_ended = True
        self.abandoned.add(request_id)

    def check_ledger(self, ledger: dict[RequestId, BillRecord], excused: set[RequestId]) -> None:
        """Check that every answered request is billed, and no other unless its caller left.

        Parameters
        ----------
        ledger : dict
            Bills by request.
        excused : set of RequestId
            Requests whose bill was lost by both processes that held it.
        """
        unbilled = self.answered - ledger.keys() - excused
        if unbilled:
            fail(f"answered and not billed: {sorted(unbilled)[:5]}")
        unanswered = ledger.keys() - self.answered - self.abandoned
        if unanswered:
            fail(f"billed and not answered: {sorted(unanswered)[:5]}")

    def list_open(self) -> list[RequestId]:
        """Return the requests that are neither answered, refused nor abandoned."""
        return [ref for ref, caller in self._callers.items() if not caller.is_ended]
