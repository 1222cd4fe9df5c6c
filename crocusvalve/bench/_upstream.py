"""An upstream of an experiment: the engine model behind a small agent."""

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

#: One way within a failure domain and between two of a region.
NEAR_DELAY_S = 0.0003
FAR_DELAY_S = 0.0012
#: Time after which a call to a host that is gone fails.
CONNECT_TIMEOUT_S = 1.0
#: Interval of an agent's health reports.
HEALTH_S = 0.5


class Attempt(Struct, kw_only=True, eq=False):
    """An attempt under way; the callbacks are those of its entry."""

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
    """Engine model with the limits that its agent keeps.

    The limit starts at the cold limit, grows by one for each ``limit`` answers, and falls back when
    the engine reports a new boot or a cold state.

    Parameters
    ----------
    loop : EventLoop
        Source of the time.
    view : UpstreamView
        The upstream in the document.
    document : DocumentView
        The revision that the agent has.
    spec : EngineSpec
        Figures of the engine.
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
        self.is_off = False
        self.n_taken = 0
        self.ewma_service_s = 0.5
        self._wakes_at = float("inf")

    def receive(self, attempt: Attempt) -> None:
        """Take an attempt that has come over the network, or refuse it."""
        now = self.loop.now
        if self.is_off:
            self.loop.call_after(CONNECT_TIMEOUT_S, self._refuse, attempt, ErrorCode.UPSTREAM_DOWN)
            return
        self._step()
        if self.document.is_domain_out(self.view.domain):
            self._refuse(attempt, ErrorCode.DOMAIN_OUT)
        elif self.model.get_state(now) is UpstreamState.DOWN:
            self._refuse(attempt, ErrorCode.UPSTREAM_DOWN)
        elif len(self.attempts) >= int(self.limit):
            self._refuse(attempt, ErrorCode.UPSTREAM_FULL)
        else:
            self._accept(attempt, now)

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt that is no longer wanted."""
        if self.attempts.pop(attempt.attempt_id, None) is not None and attempt.run is not None:
            self.model.cancel(attempt.run, self.loop.now)

    def reset_to_cold(self) -> None:
        """Turn the engine cold; the agent hears of it at its next health report."""
        self.model.turn_cold(self.loop.now)
        self.loop.call_after(HEALTH_S, self._fall_back)

    def simulate_vm_loss(self) -> None:
        """Lose the VM with all that runs on it."""
        self.is_off = True
        self.model.crash(self.loop.now)
        self._fail_lost(CONNECT_TIMEOUT_S)

    def simulate_vm_return(self) -> None:
        """Come back on a new VM with a cold engine."""
        self.is_off = False
        self.model.step(self.loop.now)
        self.model.turn_cold(self.loop.now)
        self._fall_back()

    def report(self) -> LoadReport | None:
        """Return the present load; None while the VM is off."""
        if self.is_off:
            return None
        self._step()
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

    def _fall_back(self) -> None:
        self.boot_id = self.model.boot_id
        self.limit = float(self.view.cfg.cold_limit)

    def _accept(self, attempt: Attempt, now: float) -> None:
        self.attempts[attempt.attempt_id] = attempt
        attempt.accepted_at = now
        self.n_taken += 1
        attempt.run = self.model.submit(
            attempt.attempt_id,
            attempt.req.version,
            attempt.prompt,
            now,
            max_tokens=attempt.n_out,
            priority=attempt.req.priority,
        )
        self._schedule()

    def _step(self) -> None:
        for run in self.model.step(self.loop.now):
            attempt = self.attempts.pop(run.run_id, None)
            if attempt is not None:
                self._answer(attempt, run)
        self._fail_lost(0.0)

    def _answer(self, attempt: Attempt, run: EngineRun) -> None:
        service_s = run.done_at - attempt.accepted_at
        self.ewma_service_s += 0.1 * (service_s - self.ewma_service_s)
        warm_limit = float(self.view.cfg.warm_limit)
        self.limit = min(warm_limit, self.limit + 1.0 / max(1.0, self.limit))
        at = run.done_at + attempt.delay_s
        self.loop.call_at(at, attempt.on_answer, attempt, service_s)

    def _fail_lost(self, delay_s: float) -> None:
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
            self._fall_back()

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

    def _wake(self, at: float) -> None:
        if at != self._wakes_at:
            # An earlier instant has taken its place since.
            return
        self._wakes_at = float("inf")
        if not self.is_off:
            self._step()
            self._schedule()

    def _schedule(self) -> None:
        at = self.model.next_finish_at()
        if at is not None and at < self._wakes_at - 1e-9:
            self._wakes_at = at
            self.loop.call_at(at, self._wake, at)
