"""An agent's core with a simulated engine that answers in virtual time."""

import random
from collections.abc import Callable

from msgspec import Struct

from crocusvalve.agent import (
    AdmissionSystem,
    AgentTables,
    HealthReport,
    RunRow,
    compute_attempt_cost,
)
from crocusvalve.agent._admission import make_refused
from crocusvalve.answers import AnswerBuffer
from crocusvalve.base import (
    AttemptId,
    AttemptState,
    BootId,
    DomainId,
    ExecutionStatus,
    NodeId,
    UpstreamId,
    UpstreamState,
)
from crocusvalve.config import DocumentView, UpstreamView
from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.rpc import CrashRecord, Refused, RunRequest, Usage
from crocusvalve.soak._checks import SoakChecks
from crocusvalve.soak._scheduler import Scheduler

__all__ = ["SoakAgent"]

#: A request whose body contains these bytes crashes the engine that runs it.
POISON_MARKER = b"poison"
#: Longest delay before an engine begins an attempt, and before each token.
MAX_TOKEN_DELAY_S = 0.03
#: Most tokens of one answer.
MAX_TOKENS = 8
#: Uptime of engines when a simulation starts, long enough that they start warm.
INITIAL_UPTIME_S = 100.0
#: How long an agent refuses an attempt that was cancelled before its arrival.
CANCELLED_ATTEMPT_TTL_S = 60.0


class _RunningAttempt(Struct):
    """An attempt admitted to the engine.

    ``engine_boot`` is the boot of the engine that runs it, or -1 after the agent restarted, when
    the attempt must not make progress any more.
    """

    row: RunRow
    buffer: AnswerBuffer
    n_tokens_left: int
    engine_boot: int


class SoakAgent:
    """One agent with its engine; ``restart`` discards the agent's in-memory state.

    Parameters
    ----------
    view : UpstreamView
        Configuration of the upstream that the agent serves.
    scheduler : Scheduler
        Virtual clock and queue of calls.
    random_state : random.Random
        Source of randomness.
    checks : SoakChecks
        Invariants, informed of executions, load and crashes.

    Attributes
    ----------
    frozen_until : float
        Virtual time until which the engine's next steps are delayed and no load is reported.
    n_boots : int
        Number of starts of the agent, the first one included.
    buffers : dict
        Answers of attempts since the agent's last start, by attempt.
    running : dict
        Attempts in the engine that have not ended.
    listeners : list of callable
        Called with the attempt id whenever an attempt's buffer grows or ends.
    """

    def __init__(
        self,
        view: UpstreamView,
        *,
        scheduler: Scheduler,
        random_state: random.Random,
        checks: SoakChecks,
    ):
        self.upstream = view
        self.scheduler = scheduler
        self.random_state = random_state
        self.checks = checks
        self.admission = AdmissionSystem()
        self.frozen_until = 0.0
        self.engine_boot = 0
        self.engine_started_at = scheduler.now - INITIAL_UPTIME_S
        self.n_boots = 0
        self.document: DocumentView | None = None
        self.crashes: list[CrashRecord] = []
        self.buffers: dict[AttemptId, AnswerBuffer] = {}
        self.running: dict[AttemptId, _RunningAttempt] = {}
        self.listeners: list[Callable[[AttemptId], None]] = []
        self.tables = self._make_tables()

    def _make_tables(self) -> AgentTables:
        """Return the tables of a new run of the agent, with the current configuration."""
        self.n_boots += 1
        tables = AgentTables(
            node_id=NodeId(f"agent-{self.upstream.upstream_id}"),
            upstream_id=UpstreamId(self.upstream.upstream_id),
            domain=DomainId(self.upstream.domain),
            boot_id=BootId(f"boot-{self.n_boots}"),
        )
        if self.document is not None:
            tables.apply_view(self.document)
        tables.handle_health_report(self._make_health_report(), self.scheduler.now)
        return tables

    def _make_health_report(self) -> HealthReport:
        """Return the engine's health; the engine is cold for 5 s after its start."""
        uptime_s = self.scheduler.now - self.engine_started_at
        is_cold = uptime_s < 5.0
        return HealthReport(
            is_up=True,
            state=UpstreamState.COLD if is_cold else UpstreamState.WARM,
            engine_boot=str(self.engine_boot),
            uptime_s=uptime_s,
        )

    def apply_view(self, view: DocumentView) -> None:
        """Apply a revision of the configuration."""
        self.document = view
        self.tables.apply_view(view)

    def probe(self) -> None:
        """Update the agent's tables with the engine's current health."""
        self.tables.handle_health_report(self._make_health_report(), self.scheduler.now)

    def restart(self) -> None:
        """Restart the agent only; the engine cancels the attempts of the agent's previous run."""
        for running in list(self.running.values()):
            running.engine_boot = -1
        self.running.clear()
        self.buffers.clear()
        self.crashes.clear()
        self.tables = self._make_tables()

    def restart_engine(self) -> None:
        """Restart the engine only; it is cold afterwards, and all attempts in progress fail."""
        self.engine_boot += 1
        self.engine_started_at = self.scheduler.now
        for running in list(self.running.values()):
            self._fail(running, "the engine restarted", crashed=True)
        self.probe()

    def receive(self, run: RunRequest) -> Refused | None:
        """Admit an attempt and return None, or return the refusal if it is not admitted.

        A repeated message of an admitted attempt is ignored.
        """
        now = self.scheduler.now
        if run.attempt_id in self.buffers:
            return None
        try:
            row = self.admission.admit(self.tables, run, now)
        except RefusedError as exc:
            return self.admission.refuse(self.tables, run, exc, now)
        limiter = self.tables.limiter
        self.checks.check_load(self.upstream.upstream_id, limiter.in_flight, limiter.limit)
        buffer = AnswerBuffer(run.attempt_id)
        self.buffers[run.attempt_id] = buffer
        n_tokens = self.random_state.randint(1, MAX_TOKENS)
        running = _RunningAttempt(
            row=row, buffer=buffer, n_tokens_left=n_tokens, engine_boot=self.engine_boot
        )
        self.running[run.attempt_id] = running
        self.scheduler.add(self._sample_delay_s(), lambda: self._begin(running))
        return None

    def _sample_delay_s(self) -> float:
        """Return a random delay until the engine's next step, counted from the end of a freeze."""
        frozen_s = max(0.0, self.frozen_until - self.scheduler.now)
        return frozen_s + self.random_state.uniform(0.0, MAX_TOKEN_DELAY_S)

    def _begin(self, running: _RunningAttempt) -> None:
        """Begin an admitted attempt in the engine, unless checks refuse it or it was cancelled."""
        run = running.row.req
        if running.engine_boot < 0 or run.attempt_id not in self.running:
            return
        now = self.scheduler.now
        try:
            self.admission.check(self.tables, run)
            self.tables.guard.begin(run.attempt_id, now)
        except RefusedError as exc:
            self._refuse(running, exc, ExecutionStatus.NOT_RUN)
            return
        running.row.ran = ExecutionStatus.RAN
        running.row.sent_at = now
        running.engine_boot = self.engine_boot
        self.checks.expected_answers[run.attempt_id] = self._make_answer(run, running.n_tokens_left)
        self.checks.record_execution(run, self.tables.view.revision, now)
        if POISON_MARKER in run.body:
            self.checks.record_crash(run.digest)
            self.crashes.append(CrashRecord(run.digest, run.attempt_id))
            self.restart_engine()
            return
        self.scheduler.add(self._sample_delay_s(), lambda: self._emit_token(running))

    @staticmethod
    def _make_answer(run: RunRequest, n_tokens: int) -> bytes:
        """Return the complete answer of an attempt, which differs from that of any other."""
        return b"".join(f"{run.attempt_id}:{index} ".encode() for index in range(n_tokens))

    def _emit_token(self, running: _RunningAttempt) -> None:
        """Append one token to an attempt's answer, and finish the attempt after the last."""
        run = running.row.req
        if running.engine_boot < 0 or run.attempt_id not in self.running:
            return
        index = running.buffer.n_frames
        running.buffer.append(f"{run.attempt_id}:{index} ".encode())
        running.n_tokens_left -= 1
        if running.n_tokens_left:
            self.scheduler.add(self._sample_delay_s(), lambda: self._emit_token(running))
        else:
            self._finish(running)
        self._notify_listeners(run.attempt_id)

    def _finish(self, running: _RunningAttempt) -> None:
        """Record an attempt's success and hold its bill."""
        now = self.scheduler.now
        run = running.row.req
        del self.running[run.attempt_id]
        self.tables.guard.end(run.attempt_id, AttemptState.DONE, ExecutionStatus.RAN)
        n_tokens = running.buffer.n_frames
        service_s = now - running.row.sent_at
        self.tables.limiter.finish(
            now,
            generation=running.row.generation,
            service_s=service_s,
            n_tokens=n_tokens,
            is_success=True,
        )
        usage = Usage(10, n_tokens, 0)
        cost = compute_attempt_cost(self.tables.view, run, usage)
        self.tables.bills.hold(run, usage, cost, now)
        running.buffer.finish(now, usage=usage, finish_reason="stop", service_s=service_s)

    def _fail(self, running: _RunningAttempt, message: str, *, crashed: bool) -> None:
        """Fail an attempt with ``UPSTREAM_FAILED``."""
        ran = running.row.ran
        exc = RefusedError(ErrorCode.UPSTREAM_FAILED, message, step="engine", ran=ran)
        self._refuse(running, exc, ran, crashed=crashed and ran is not ExecutionStatus.NOT_RUN)

    def _refuse(
        self,
        running: _RunningAttempt,
        exc: RefusedError,
        ran: ExecutionStatus,
        *,
        crashed: bool = False,
    ) -> None:
        """End an attempt with an error and release its slot."""
        attempt_id = running.row.req.attempt_id
        self.running.pop(attempt_id, None)
        self.tables.guard.end(attempt_id, AttemptState.FAILED, ran)
        self.tables.limiter.abandon()
        peer = self.upstream.upstream_id
        refused = make_refused(attempt_id, exc, peer=peer, ran=ran, crashed=crashed)
        running.buffer.fail(refused, self.scheduler.now)
        self._notify_listeners(attempt_id)

    def cancel(self, attempt_id: AttemptId) -> None:
        """Cancel an attempt, whether it is running or has not arrived yet."""
        self.tables.bills.cancel(attempt_id)
        running = self.running.get(attempt_id)
        if running is None:
            self._remember_cancelled(attempt_id)
        else:
            exc = RefusedError(ErrorCode.FENCED, "cancelled", step="run", ran=running.row.ran)
            self._refuse(running, exc, running.row.ran)

    def _remember_cancelled(self, attempt_id: AttemptId) -> None:
        """Make the guard refuse a cancelled attempt that arrives later."""
        now = self.scheduler.now
        self.tables.guard.refuse(attempt_id, deadline=now + CANCELLED_ATTEMPT_TTL_S, now=now)

    def _notify_listeners(self, attempt_id: AttemptId) -> None:
        for listener in self.listeners:
            listener(attempt_id)
