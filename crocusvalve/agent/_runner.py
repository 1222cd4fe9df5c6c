"""Runs one attempt: calls the upstream, fills the answer buffer and records the outcome."""

import logging
from collections.abc import Callable

import trio

from crocusvalve.agent._admission import AdmissionSystem, make_refused
from crocusvalve.agent._bills import compute_attempt_cost
from crocusvalve.agent._coalesce import FrameCoalescer
from crocusvalve.agent._tables import AgentTables, RunRow
from crocusvalve.agent._upstream import Upstream, UpstreamEnd, UpstreamError
from crocusvalve.answers import AnswerBuffer
from crocusvalve.base import AttemptState, ClassKind, ExecutionStatus
from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.rpc import CrashRecord
from crocusvalve.utils import Clock

__all__ = ["AttemptRunner"]

logger = logging.getLogger(__name__)

#: Time after its deadline for which the agent waits for the outcome of an order.
ORDER_GRACE_S = 60.0
CANCEL_TIMEOUT_S = 1.0


class AttemptRunner:
    """Runs one admitted attempt to its end.

    Parameters
    ----------
    tables : AgentTables
        Tables of the agent.
    row : RunRow
        The attempt; it is already counted against the limit.
    buffer : AnswerBuffer
        Receives the frames of the answer.
    upstream : Upstream
        The upstream.
    clock : Clock
        Source of the current time.
    wake : callable
        Called after each change of the buffer.
    """

    def __init__(
        self,
        *,
        tables: AgentTables,
        row: RunRow,
        buffer: AnswerBuffer,
        upstream: Upstream,
        clock: Clock,
        wake: Callable[[], None],
    ):
        self.tables = tables
        self.row = row
        self.buffer = buffer
        self.upstream = upstream
        self.clock = clock
        self.wake = wake
        self.scope = trio.CancelScope()
        self._admission = AdmissionSystem()
        self._coalescer = FrameCoalescer()
        self._has_data = trio.Event()
        self._has_room = trio.Event()

    @property
    def is_order(self) -> bool:
        """Whether the attempt may run only once, so that the agent waits for its outcome."""
        return self.row.req.kind is ClassKind.ORDER

    def cancel(self) -> None:
        """Stop the attempt; an order that was already sent continues, to learn its outcome."""
        self.row.is_cancelled = True
        if not (self.is_order and self.row.ran is not ExecutionStatus.NOT_RUN):
            self.scope.cancel()

    def handle_read(self) -> None:
        """Wake the writer after a reader has read frames."""
        self._has_room.set()

    async def run(self) -> None:
        """Run the attempt and record its outcome; raises only if it is cancelled from outside."""
        req = self.row.req
        limit_s = req.deadline - self.clock.now() + (ORDER_GRACE_S if self.is_order else 0.0)
        self.scope.deadline = trio.current_time() + max(0.0, limit_s)
        outcome: UpstreamEnd | RefusedError | None = None
        with self.scope:
            outcome = await self._call_and_flush()
        if outcome is None:
            await self._cancel_upstream()
            outcome = self._make_stop_error()
        if isinstance(outcome, UpstreamEnd):
            self._finish(outcome)
        else:
            await self._fail(outcome)

    async def _call_and_flush(self) -> UpstreamEnd | RefusedError:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._flush_windows)
            outcome = await self._call_upstream()
            nursery.cancel_scope.cancel()
        return outcome

    async def _call_upstream(self) -> UpstreamEnd | RefusedError:
        try:
            return await self.upstream.call(
                self.row.req, on_send=self._handle_send, on_data=self._handle_data
            )
        except RefusedError as exc:
            return exc
        except Exception as exc:
            logger.exception(
                "attempt %s failed with an internal error of the agent", self.row.req.attempt_id
            )
            return RefusedError(
                ErrorCode.INTERNAL,
                f"internal error of the agent: {type(exc).__name__}",
                step="run",
                ran=self.row.ran,
            )

    async def _cancel_upstream(self) -> None:
        if self.row.ran is ExecutionStatus.NOT_RUN:
            return
        with trio.move_on_after(CANCEL_TIMEOUT_S):
            await self.upstream.cancel(self.row.req)

    def _handle_send(self) -> None:
        """Check the attempt again and mark it as sent; on the second call, only check the deadline.

        The upstream calls this before it writes the headers, and again before it writes the body.
        """
        now = self.clock.now()
        if self.row.ran is not ExecutionStatus.NOT_RUN:
            self._check_deadline(now)
            return
        self._admission.check(self.tables, self.row.req)
        self.tables.guard.begin(self.row.req.attempt_id, now)
        self.row.ran = ExecutionStatus.UNKNOWN
        self.row.sent_at = now
        self.row.engine_boot = self.tables.health.engine_boot

    def _check_deadline(self, now: float) -> None:
        if now >= self.row.req.deadline:
            message = "the deadline passed while the request was being sent"
            raise RefusedError(
                ErrorCode.DEADLINE_PASSED, message, step="send", ran=ExecutionStatus.UNKNOWN
            )

    async def _handle_data(self, data: bytes) -> None:
        now = self.clock.now()
        self.row.ran = ExecutionStatus.RAN
        self.row.first_data_at = self.row.first_data_at or now
        self._append(self._coalescer.add(data, now))
        self._has_data.set()
        while self.buffer.is_full:
            self._has_room = trio.Event()
            await self._has_room.wait()

    async def _flush_windows(self) -> None:
        while True:
            await self._has_data.wait()
            self._has_data = trio.Event()
            while (due_at := self._coalescer.due_at) is not None:
                await trio.sleep(max(0.0, due_at - self.clock.now()))
                self._append(self._coalescer.pop_due(self.clock.now()))

    def _append(self, data: bytes | None) -> None:
        if data is not None:
            self.buffer.append(data)
            self.wake()

    def _finish(self, end: UpstreamEnd) -> None:
        now = self.clock.now()
        req = self.row.req
        self._append(self._coalescer.pop_all(now))
        service_s = now - self.row.sent_at
        self.tables.guard.end(req.attempt_id, AttemptState.DONE, ExecutionStatus.RAN)
        self.tables.limiter.finish(
            now,
            generation=self.row.generation,
            service_s=service_s,
            n_tokens=end.usage.completion_tokens,
            is_success=True,
            decode_s=now - self.row.first_data_at if self.row.first_data_at else None,
        )
        cost = compute_attempt_cost(self.tables.view, req, end.usage)
        self.tables.bills.hold(req, end.usage, cost, now)
        self.buffer.finish(
            now,
            usage=end.usage,
            finish_reason=end.finish_reason,
            service_s=service_s,
            status=end.status,
            content_type=end.content_type,
        )
        self.wake()

    async def _fail(self, exc: RefusedError) -> None:
        req = self.row.req
        crashed = await self._has_crashed(exc)
        if crashed:
            self.tables.crashes.append(CrashRecord(req.digest, req.attempt_id))
        now = self.clock.now()
        ran = exc.ran if exc.ran is ExecutionStatus.NOT_RUN else self._merge_status(exc.ran)
        state = AttemptState.CANCELLED if self.row.is_cancelled else AttemptState.FAILED
        self.tables.guard.end(req.attempt_id, state, ran)
        self._update_limiter(exc, now)
        refused = make_refused(
            req.attempt_id, exc, peer=self.tables.upstream_id, ran=ran, crashed=crashed
        )
        self.buffer.fail(refused, now)
        self.wake()

    def _merge_status(self, ran: ExecutionStatus) -> ExecutionStatus:
        return (
            ExecutionStatus.RAN
            if ExecutionStatus.RAN in (ran, self.row.ran)
            else ExecutionStatus.UNKNOWN
        )

    def _update_limiter(self, exc: RefusedError, now: float) -> None:
        limiter = self.tables.limiter
        is_upstream_fault = isinstance(exc, UpstreamError) and exc.code in (
            ErrorCode.UPSTREAM_FAILED,
            ErrorCode.UPSTREAM_DOWN,
            ErrorCode.UPSTREAM_FULL,
        )
        if not is_upstream_fault:
            limiter.abandon()
            return
        limiter.finish(
            now,
            generation=self.row.generation,
            service_s=max(0.0, now - (self.row.sent_at or now)),
            n_tokens=0,
            is_success=False,
        )
        if exc.code is ErrorCode.UPSTREAM_DOWN:
            self.tables.mark_down()

    async def _has_crashed(self, exc: RefusedError) -> bool:
        """Return whether the upstream is down or has restarted since the attempt was sent."""
        if not isinstance(exc, UpstreamError) or not exc.is_interrupted:
            return False
        report = await self.upstream.probe()
        if not report.is_up:
            self.tables.mark_down()
            return True
        self.tables.handle_health_report(report, self.clock.now())
        return bool(report.engine_boot) and report.engine_boot != self.row.engine_boot

    def _make_stop_error(self) -> RefusedError:
        ran = self.row.ran
        if self.row.is_cancelled:
            return RefusedError(ErrorCode.FENCED, "the attempt was cancelled", step="run", ran=ran)
        message = "the deadline passed while the attempt was running"
        return RefusedError(ErrorCode.DEADLINE_PASSED, message, step="run", ran=ran)
