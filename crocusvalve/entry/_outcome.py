"""Handles the events of attempts, which lead to answers, retries and refusals."""

from crocusvalve.base import (
    AttemptId,
    AttemptState,
    Command,
    ExecutionStatus,
    RequestId,
    VersionRef,
)
from crocusvalve.billing import add_usage, compute_cost
from crocusvalve.entry._commands import (
    Deliver,
    RateAnswer,
    ResumeAttempt,
    ShareQuarantine,
)
from crocusvalve.entry._finisher import RequestFinisher, combine_execution_status
from crocusvalve.entry._policies import Policies
from crocusvalve.entry._tables import CoreTables, PendingAnswer
from crocusvalve.exceptions import CrocusvalveError, ErrorCode, RefusedError
from crocusvalve.model import AttemptRow, RequestRow
from crocusvalve.retry import RetryAction, RetryDecision, choose_final_code
from crocusvalve.routing import mark_full, record_failure, record_success
from crocusvalve.rpc import Final, Frame, Refused, RunEvent

__all__ = ["OutcomeSystem"]

#: Error codes that say nothing about the health of the upstream.
HEALTH_NEUTRAL_CODES = frozenset(
    {
        ErrorCode.UPSTREAM_FULL.name,
        ErrorCode.DRAINING.name,
        ErrorCode.DOMAIN_OUT.name,
        ErrorCode.VERSION_WITHDRAWN.name,
        ErrorCode.MODEL_NOT_ALLOWED.name,
        ErrorCode.STALE_REVISION.name,
        ErrorCode.STALE_BOOT.name,
        ErrorCode.DEADLINE_PASSED.name,
        ErrorCode.FENCED.name,
        ErrorCode.CRASHES_UPSTREAMS.name,
    }
)


class OutcomeSystem:
    """Turns the events of attempts and ratings of answers into commands.

    Parameters
    ----------
    policies : Policies
        Retry, hedge, quarantine, cascade and roll-out policies.
    finisher : RequestFinisher
        Ends requests and attempts.
    """

    def __init__(self, policies: Policies, finisher: RequestFinisher):
        self.policies = policies
        self.finisher = finisher

    def handle_event(
        self, tables: CoreTables, attempt_id: AttemptId, event: RunEvent, now: float
    ) -> list[Command]:
        """Handle one event; events of ended attempts are dropped."""
        attempt = tables.attempts.get(attempt_id)
        if attempt is None:
            return []
        try:
            accepted = tables.assemblers[attempt_id].accept(event)
        except CrocusvalveError as exc:
            return self._handle_refused(
                tables, attempt, _make_invalid_stream_refusal(attempt, exc), now
            )
        if accepted is None:
            return []
        attempt.last_frame_at = now
        if isinstance(accepted, Frame):
            return self._handle_frame(tables, attempt, accepted, now)
        if isinstance(accepted, Final):
            return self._handle_final(tables, attempt, accepted, now)
        return self._handle_refused(tables, attempt, accepted, now)

    def _claim_lead(
        self, tables: CoreTables, attempt: AttemptRow, now: float
    ) -> list[Command] | None:
        """Make an attempt the leader of its request and cancel the other attempts.

        Returns the cancellations, or None if another attempt is already the leader.
        """
        progress = tables.progress[attempt.request_id]
        if progress.leader == attempt.attempt_id:
            return []
        if progress.leader is not None:
            return None
        progress.leader = attempt.attempt_id
        attempt.state = AttemptState.RUNNING
        others = [
            other_id
            for other_id in tables.attempt_ids_by_request[attempt.request_id]
            if other_id != attempt.attempt_id
        ]
        return [self.finisher.cancel(tables, other_id, now) for other_id in others]

    def _handle_frame(
        self, tables: CoreTables, attempt: AttemptRow, frame: Frame, now: float
    ) -> list[Command]:
        commands = self._claim_lead(tables, attempt, now)
        if commands is None:
            return []
        attempt.next_seq = frame.seq + 1
        req = tables.requests[attempt.request_id]
        progress = tables.progress[attempt.request_id]
        if progress.is_buffered:
            progress.buffer.append(frame.data)
            too_long = tables.held_answers.add(req.request_id, len(frame.data))
            return commands if too_long is None else commands + self._drop(tables, too_long, now)
        req.n_frames_out += 1
        if self.policies.should_sample(tables, req, attempt.version):
            progress.sample.append(frame.data)
        commands.append(Deliver(req.request_id, attempt.version, attempt.upstream_id, frame.data))
        return commands

    def _drop(self, tables: CoreTables, request_id: RequestId, now: float) -> list[Command]:
        """End the attempt whose incomplete answer takes the most memory."""
        attempt = tables.attempts[tables.progress[request_id].leader]
        refused = Refused(
            attempt_id=attempt.attempt_id,
            code=ErrorCode.UPSTREAM_FAILED.name,
            message="the answer was dropped, since no memory was left for answers",
            ran=ExecutionStatus.UNKNOWN,
            step="answer",
            peer=attempt.upstream_id,
        )
        return self._handle_refused(tables, attempt, refused, now)

    def _handle_final(
        self, tables: CoreTables, attempt: AttemptRow, final: Final, now: float
    ) -> list[Command]:
        commands = self._claim_lead(tables, attempt, now)
        if commands is None:
            return []
        req = tables.requests[attempt.request_id]
        progress = tables.progress[attempt.request_id]
        self.finisher.end_attempt(tables, attempt, now, is_success=True)
        row = tables.upstreams.get(attempt.upstream_id)
        if row is not None:
            record_success(row, final.service_s, now)
        if not attempt.is_hedge:
            self.policies.get_hedge_policy(tables).record_latency(req, now - attempt.started_at)
        self.policies.record_outcome(tables, req, attempt.version, now, is_good=True)
        progress.ran = ExecutionStatus.RAN
        progress.usage = add_usage(progress.usage, final.usage)
        req.cost += compute_cost(tables.view, attempt.version, req.service, final.usage)
        progress.pending_answer = PendingAnswer(
            attempt_id=attempt.attempt_id,
            version=attempt.version,
            upstream_id=attempt.upstream_id,
            data=progress.buffer,
            finish_reason=final.finish_reason,
            status=final.status,
            content_type=final.content_type,
        )
        progress.buffer = []
        tables.held_answers.mark_complete(req.request_id)
        progress.leader = None
        if self._has_next_step(req):
            answer = b"".join(progress.pending_answer.data)
            rate = RateAnswer(
                req.request_id, progress.pending_answer.attempt_id, attempt.version, answer
            )
            return [*commands, rate]
        return commands + self.finisher.deliver_pending(tables, req, now)

    @staticmethod
    def _has_next_step(req: RequestRow) -> bool:
        return req.step + 1 < len(req.steps)

    def handle_rating(
        self, tables: CoreTables, request_id: RequestId, score: float | None, now: float
    ) -> list[Command]:
        """Deliver the pending answer or continue with the next model of the cascade."""
        req = tables.requests.get(request_id)
        if req is None:
            return []
        progress = tables.progress[request_id]
        if progress.pending_answer is None or tables.attempt_ids_by_request.get(request_id):
            return []
        version = VersionRef(progress.pending_answer.version)
        if score is not None:
            self.policies.learn_from_rating(tables, req, version, score, now)
        if not self.policies.should_escalate(tables, req, version, score, now):
            return self.finisher.deliver_pending(tables, req, now)
        req.step += 1
        req.avoid.clear()
        self.finisher.requeue(tables, req, now)
        return []

    def _handle_refused(
        self, tables: CoreTables, attempt: AttemptRow, refused: Refused, now: float
    ) -> list[Command]:
        req = tables.requests[attempt.request_id]
        progress = tables.progress[attempt.request_id]
        commands = self._record_failure(tables, attempt, refused, now)
        progress.ran = combine_execution_status(progress.ran, refused.ran)
        others = [
            other_id
            for other_id in tables.attempt_ids_by_request[req.request_id]
            if other_id != attempt.attempt_id
        ]
        if others and progress.leader != attempt.attempt_id:
            self.finisher.end_attempt(tables, attempt, now, is_crash=refused.crashed)
            return commands
        decision = self.policies.retry.decide(req, refused, now)
        if decision.action is RetryAction.RESUME:
            return [*commands, self._resume(tables, attempt, decision)]
        if refused.ran is ExecutionStatus.UNKNOWN:
            # The agent may continue an attempt whose stream broke, and bill it.
            commands.append(self.finisher.make_cancel(tables, attempt))
        self.finisher.end_attempt(tables, attempt, now, is_crash=refused.crashed)
        progress.leader = None
        progress.buffer = []
        tables.held_answers.release(req.request_id)
        is_banned = self.policies.get_quarantine(tables).is_banned(req.digest)
        if decision.action is RetryAction.RETRY and not is_banned:
            self._retry(tables, req, attempt, refused, decision, now)
            return commands
        return commands + self._give_up(tables, req, refused, decision, now)

    def _record_failure(
        self, tables: CoreTables, attempt: AttemptRow, refused: Refused, now: float
    ) -> list[Command]:
        req = tables.requests[attempt.request_id]
        row = tables.upstreams.get(attempt.upstream_id)
        if row is not None and refused.code == ErrorCode.UPSTREAM_FULL.name:
            mark_full(row, now)
        if row is not None and refused.code not in HEALTH_NEUTRAL_CODES:
            record_failure(row, now, is_crash=refused.crashed)
        if refused.ran is not ExecutionStatus.NOT_RUN and refused.code not in HEALTH_NEUTRAL_CODES:
            self.policies.record_outcome(tables, req, attempt.version, now, is_good=False)
        quarantine = self.policies.get_quarantine(tables)
        if not refused.crashed:
            quarantine.record_attempt_end(req.digest, is_success=False)
            return []
        quarantine.record_crash(req.digest, attempt.upstream_id, now, incident=attempt.attempt_id)
        return [ShareQuarantine(req.digest, tables.quarantine[req.digest].n_crashes)]

    def _resume(
        self, tables: CoreTables, attempt: AttemptRow, decision: RetryDecision
    ) -> ResumeAttempt:
        req = tables.requests[attempt.request_id]
        req.n_attempts += 1
        # The assembler has stored the interruption as the end, which the resumed stream replaces.
        tables.assemblers[attempt.attempt_id].end = None
        row = tables.upstreams[attempt.upstream_id]
        return ResumeAttempt(
            row.agent,
            attempt.upstream_id,
            attempt.attempt_id,
            tables.assemblers[attempt.attempt_id].next_seq,
            decision.not_before,
        )

    def _retry(
        self,
        tables: CoreTables,
        req: RequestRow,
        attempt: AttemptRow,
        refused: Refused,
        decision: RetryDecision,
        now: float,
    ) -> None:
        if not decision.is_redirect or refused.code == ErrorCode.UPSTREAM_DOWN.name:
            req.avoid.add(attempt.upstream_id)
        req.not_before = decision.not_before
        self.finisher.requeue(tables, req, now)

    def _give_up(
        self,
        tables: CoreTables,
        req: RequestRow,
        refused: Refused,
        decision: RetryDecision,
        now: float,
    ) -> list[Command]:
        code = choose_final_code(decision.code, decision.ran)
        if self.policies.get_quarantine(tables).is_banned(req.digest):
            code = ErrorCode.CRASHES_UPSTREAMS
        error = RefusedError(
            code,
            refused.message,
            step=refused.step,
            peer=refused.peer,
            ran=decision.ran,
            retry_after_s=decision.retry_after_s,
        )
        return self.finisher.give_up(tables, req, error, now)


def _make_invalid_stream_refusal(attempt: AttemptRow, exc: CrocusvalveError) -> Refused:
    return Refused(
        attempt_id=attempt.attempt_id,
        code=exc.code.name,
        message=exc.message,
        ran=ExecutionStatus.RAN,
        step=exc.step,
        peer=exc.peer,
    )
