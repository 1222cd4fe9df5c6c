"""A simulated upstream: the engine model behind a simplified agent."""

from collections.abc import Callable

from msgspec import Struct

from crocusvalve.base import (
    AttemptId,
    BootId,
    ExecutionStatus,
    RequestId,
    Revision,
    UpstreamId,
    UpstreamState,
)
from crocusvalve.bench._loop import EventLoop
from crocusvalve.config import DocumentView, UpstreamView
from crocusvalve.exceptions import ErrorCode
from crocusvalve.model import RequestRow
from crocusvalve.rpc import LoadReport, Refused
from crocusvalve.standin import EngineModel, EngineRun, EngineRunState, EngineSpec, VersionSpec

__all__ = ["Attempt", "BenchUpstream"]

#: One-way network delay within a failure domain and between two domains of a region.
NEAR_DELAY_S = 0.0003
FAR_DELAY_S = 0.0012
#: Time after which a call to a lost host fails.
CONNECT_TIMEOUT_S = 1.0
#: Interval of an agent's health reports.
HEALTH_INTERVAL_S = 0.5


class Attempt(Struct, kw_only=True, eq=False):
    """Attempt in progress.

    Attributes
    ----------
    prompt : str
        Text of the prompt.
    n_out : int
        Tokens of the answer.
    started_at, accepted_at : float
        Virtual time at which the entry sent and the upstream accepted the attempt.
    delay_s : float
        One-way network delay between entry and upstream.
    on_answer : callable
        Called at the entry with the attempt and the service time in seconds.
    on_refused : callable
        Called at the entry with the attempt and the refusal.
    run : EngineRun or None
        Run of the engine, once the upstream has accepted the attempt.
    is_hedge : bool
        Whether the attempt is a hedge.
    """

    attempt_id: AttemptId
    req: RequestRow
    prompt: str
    n_out: int
    started_at: float
    upstream_id: UpstreamId
    delay_s: float
    on_answer: Callable[["Attempt", float], None]
    on_refused: Callable[["Attempt", Refused], None]
    run: EngineRun | None = None
    accepted_at: float = 0.0
    is_hedge: bool = False


class BenchUpstream:
    """Engine model with the concurrency limit that its agent enforces.

    The limit starts at the warm limit. It is reset to the cold limit when the engine reports a new
    boot or a cold state, and grows by one for each ``limit`` answers up to the warm limit.

    Parameters
    ----------
    loop : EventLoop
        Loop that runs the upstream's events.
    view : UpstreamView
        Configuration of the upstream.
    document : DocumentView
        Revision that the agent has applied.
    spec : EngineSpec
        Speed and start times of the engine.
    random_state : int
        Seed of boot ids.
    """

    def __init__(
        self,
        loop: EventLoop,
        view: UpstreamView,
        document: DocumentView,
        *,
        spec: EngineSpec,
        random_state: int,
    ):
        self.loop = loop
        self.view = view
        self.document = document
        self.model = EngineModel(
            {version: VersionSpec() for version in view.serves},
            spec=spec,
            random_state=random_state,
            now=loop.now,
        )
        self.attempts: dict[RequestId, Attempt] = {}
        self.limit = float(view.cfg.warm_limit)
        self.boot_id = self.model.boot_id
        self.is_vm_lost = False
        self.n_accepted = 0
        self.ewma_service_s = 0.5
        self._next_wakeup_at = float("inf")

    def receive(self, attempt: Attempt) -> None:
        """Accept or refuse an attempt that has arrived over the network."""
        now = self.loop.now
        if self.is_vm_lost:
            self.loop.call_after(CONNECT_TIMEOUT_S, self._refuse, attempt, ErrorCode.UPSTREAM_DOWN)
            return
        self._advance_engine()
        if self.document.is_domain_out(self.view.domain):
            self._refuse(attempt, ErrorCode.DOMAIN_OUT)
        elif self.model.get_state(now) is UpstreamState.DOWN:
            self._refuse(attempt, ErrorCode.UPSTREAM_DOWN)
        elif len(self.attempts) >= int(self.limit):
            self._refuse(attempt, ErrorCode.UPSTREAM_FULL)
        else:
            self._accept(attempt, now)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt whose request has been answered by another attempt."""
        if self.attempts.pop(attempt.attempt_id, None) is not None and attempt.run is not None:
            self.model.cancel(attempt.run, self.loop.now)

    def reset_to_cold(self) -> None:
        """Reset the engine to cold; the agent resets its limit at the next health report."""
        self.model.reset_to_cold(self.loop.now)
        self.loop.call_after(HEALTH_INTERVAL_S, self._reset_limit)

    def simulate_vm_loss(self) -> None:
        """Simulate the loss of the VM with everything that runs on it."""
        self.is_vm_lost = True
        self.model.crash(self.loop.now)
        self._fail_lost_attempts(CONNECT_TIMEOUT_S)

    def simulate_vm_return(self) -> None:
        """Simulate the return of the upstream on a new VM with a cold engine."""
        self.is_vm_lost = False
        self.model.step(self.loop.now)
        self.model.reset_to_cold(self.loop.now)
        self._reset_limit()

    def make_load_report(self) -> LoadReport | None:
        """Return a report of the current load; None while the VM is lost."""
        if self.is_vm_lost:
            return None
        self._advance_engine()
        now = self.loop.now
        return LoadReport(
            upstream_id=self.view.upstream_id,
            boot_id=BootId(self.boot_id),
            state=self.model.get_state(now),
            in_flight=len(self.attempts),
            limit=int(self.limit),
            queued=0,
            ewma_service_s=self.ewma_service_s,
            revision=Revision(self.document.revision),
            at=now,
        )

    def _reset_limit(self) -> None:
        self.boot_id = self.model.boot_id
        self.limit = float(self.view.cfg.cold_limit)

    def _accept(self, attempt: Attempt, now: float) -> None:
        self.attempts[attempt.attempt_id] = attempt
        attempt.accepted_at = now
        self.n_accepted += 1
        attempt.run = self.model.submit(
            attempt.attempt_id,
            attempt.req.version,
            attempt.prompt,
            now,
            max_tokens=attempt.n_out,
            priority=attempt.req.priority,
        )
        self._schedule_wakeup()

    def _advance_engine(self) -> None:
        for run in self.model.step(self.loop.now):
            attempt = self.attempts.pop(run.run_id, None)
            if attempt is not None:
                self._answer(attempt, run)
        self._fail_lost_attempts(0.0)

    def _answer(self, attempt: Attempt, run: EngineRun) -> None:
        service_s = run.done_at - attempt.accepted_at
        self.ewma_service_s += 0.1 * (service_s - self.ewma_service_s)
        warm_limit = float(self.view.cfg.warm_limit)
        self.limit = min(warm_limit, self.limit + 1.0 / max(1.0, self.limit))
        answer_at = run.done_at + attempt.delay_s
        self.loop.call_at(answer_at, attempt.on_answer, attempt, service_s)

    def _fail_lost_attempts(self, delay_s: float) -> None:
        lost = [
            attempt
            for attempt in self.attempts.values()
            if attempt.run is not None and attempt.run.state is EngineRunState.LOST
        ]
        for attempt in lost:
            del self.attempts[attempt.attempt_id]
            self.loop.call_after(
                delay_s, self._refuse, attempt, ErrorCode.UPSTREAM_FAILED, ExecutionStatus.UNKNOWN
            )
        if lost:
            self._reset_limit()

    def _refuse(
        self, attempt: Attempt, code: ErrorCode, ran: ExecutionStatus = ExecutionStatus.NOT_RUN
    ) -> None:
        refused = Refused(
            attempt_id=attempt.attempt_id,
            code=code.name,
            message="",
            ran=ran,
            step="bench",
            peer=self.view.upstream_id,
        )
        self.loop.call_after(attempt.delay_s, attempt.on_refused, attempt, refused)

    def _wake_up(self, wakeup_at: float) -> None:
        if wakeup_at != self._next_wakeup_at:
            # A call at an earlier time has replaced this one.
            return
        self._next_wakeup_at = float("inf")
        if not self.is_vm_lost:
            self._advance_engine()
            self._schedule_wakeup()

    def _schedule_wakeup(self) -> None:
        wakeup_at = self.model.next_finish_at()
        if wakeup_at is not None and wakeup_at < self._next_wakeup_at - 1e-9:
            self._next_wakeup_at = wakeup_at
            self.loop.call_at(wakeup_at, self._wake_up, wakeup_at)
