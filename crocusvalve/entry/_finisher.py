"""Ends requests and attempts: delivers, refuses, cancels and removes them."""

from crocusvalve.base import (
    AttemptId,
    Command,
    ExecutionStatus,
    RequestId,
    RequestState,
    VersionRef,
)
from crocusvalve.config._view import get_model_ref
from crocusvalve.entry._commands import (
    AnswerSummary,
    CancelAttempt,
    Deliver,
    Finish,
    Refuse,
    SampleAnswer,
)
from crocusvalve.entry._policies import Policies
from crocusvalve.entry._tables import CoreTables, PendingAnswer, ProgressRow
from crocusvalve.exceptions import RefusedError
from crocusvalve.model import AttemptRow, RequestRow
from crocusvalve.routing import record_attempt_end, record_success

__all__ = ["RequestFinisher", "combine_execution_status"]

EXECUTION_STATUS_ORDER = (ExecutionStatus.NOT_RUN, ExecutionStatus.UNKNOWN, ExecutionStatus.RAN)


def combine_execution_status(first: ExecutionStatus, second: ExecutionStatus) -> ExecutionStatus:
    """Combine the execution statuses of two attempts: RAN outranks UNKNOWN outranks NOT_RUN."""
    return max(first, second, key=EXECUTION_STATUS_ORDER.index)


class RequestFinisher:
    """Ends requests and attempts in the tables of an entry.

    Parameters
    ----------
    policies : Policies
        Quarantine and sampling of answers for rating.
    """

    def __init__(self, policies: Policies):
        self.policies = policies

    def deliver_pending(self, tables: CoreTables, req: RequestRow, now: float) -> list[Command]:
        """Deliver the pending answer and end the request; the runtime issues the bill."""
        progress = tables.progress[req.request_id]
        pending_answer = progress.pending_answer
        commands = self.cancel_attempts(tables, req.request_id, now)
        data = b"".join(pending_answer.data)
        if data:
            commands.append(
                Deliver(
                    req.request_id,
                    VersionRef(pending_answer.version),
                    pending_answer.upstream_id,
                    data,
                )
            )
        commands.append(Finish(req.request_id, self._make_summary(req, progress, pending_answer)))
        commands += self._sample_answer(tables, req, progress, data)
        req.state = RequestState.DONE
        self.remove_request(tables, req)
        return commands

    def _sample_answer(
        self, tables: CoreTables, req: RequestRow, progress: ProgressRow, data: bytes
    ) -> list[Command]:
        version = VersionRef(progress.pending_answer.version)
        # In a later step of a cascade, the answer of an earlier step has been rated already.
        if req.step or not self.policies.should_sample(tables, req, version):
            return []
        return [SampleAnswer(req, version, b"".join(progress.sample) + data)]

    @staticmethod
    def _make_summary(
        req: RequestRow, progress: ProgressRow, pending_answer: PendingAnswer
    ) -> AnswerSummary:
        return AnswerSummary(
            request_id=req.request_id,
            model=get_model_ref(VersionRef(pending_answer.version)),
            version=VersionRef(pending_answer.version),
            upstream_id=pending_answer.upstream_id,
            usage=progress.usage,
            cost=req.cost,
            n_attempts=req.n_attempts,
            finish_reason=pending_answer.finish_reason,
            status=pending_answer.status,
            content_type=pending_answer.content_type,
        )

    def give_up(
        self, tables: CoreTables, req: RequestRow, error: RefusedError, now: float
    ) -> list[Command]:
        """End a request with a cheaper model's pending answer if there is one, or refuse it."""
        progress = tables.progress[req.request_id]
        if progress.pending_answer is not None and req.n_frames_out == 0:
            return self.deliver_pending(tables, req, now)
        return self.refuse(tables, req, error)

    def refuse(self, tables: CoreTables, req: RequestRow, error: RefusedError) -> list[Command]:
        """End a request without an answer and send its caller the error immediately.

        The error reports ``NOT_RUN`` only if no attempt may have run, whatever the execution status
        of the last error is.
        """
        progress = tables.progress[req.request_id]
        error.ran = combine_execution_status(progress.ran, error.ran)
        req.state = RequestState.REFUSED
        self.remove_request(tables, req)
        return [Refuse(req.request_id, error)]

    def cancel_attempts(
        self, tables: CoreTables, request_id: RequestId, now: float
    ) -> list[Command]:
        """Remove all attempts of a request and return the commands that cancel them."""
        attempts = list(tables.attempt_ids_by_request.get(request_id, ()))
        return [self.cancel(tables, attempt_id, now) for attempt_id in attempts]

    def cancel(self, tables: CoreTables, attempt_id: AttemptId, now: float) -> CancelAttempt:
        """Remove one attempt and return the command that cancels it at its agent."""
        attempt = tables.attempts[attempt_id]
        command = self.make_cancel(tables, attempt)
        self.end_attempt(tables, attempt, now)
        return command

    @staticmethod
    def make_cancel(tables: CoreTables, attempt: AttemptRow) -> CancelAttempt:
        """Make the command that cancels an attempt at its agent."""
        row = tables.upstreams.get(attempt.upstream_id)
        return CancelAttempt(row.agent if row else "", attempt.attempt_id)

    def end_order_attempt(
        self, tables: CoreTables, attempt_id: AttemptId, service_s: float | None, now: float
    ) -> None:
        """Record the end of an order's attempt and remove it.

        ``service_s`` is the service time in seconds, None if the attempt failed.
        """
        attempt = tables.attempts.get(attempt_id)
        if attempt is None:
            return
        row = tables.upstreams.get(attempt.upstream_id)
        if row is not None and service_s is not None:
            record_success(row, service_s, now)
        self.end_attempt(tables, attempt, now, is_success=service_s is not None)

    def end_attempt(
        self,
        tables: CoreTables,
        attempt: AttemptRow,
        now: float,
        *,
        is_success: bool = False,
        is_crash: bool = False,
    ) -> None:
        """Remove an attempt and free its place on the upstream.

        The quarantine has already recorded a crash as the end of the attempt.
        """
        if not is_crash:
            digest = tables.requests[attempt.request_id].digest
            quarantine = self.policies.get_quarantine(tables)
            quarantine.record_attempt_end(digest, attempt.upstream_id, is_success=is_success)
        row = tables.upstreams.get(attempt.upstream_id)
        if row is not None:
            record_attempt_end(row, now)
        tables.assemblers.pop(attempt.attempt_id).close()
        del tables.attempts[attempt.attempt_id]
        attempt_ids = tables.attempt_ids_by_request[attempt.request_id]
        attempt_ids.remove(attempt.attempt_id)
        if not attempt_ids:
            del tables.attempt_ids_by_request[attempt.request_id]

    def requeue(self, tables: CoreTables, req: RequestRow, now: float) -> None:
        """Put a request back into the queue for its next attempt."""
        cfg = tables.view.customers.get(req.customer_id)
        req.state = RequestState.QUEUED
        tables.progress[req.request_id].last_had_candidates_at = now
        tables.queue.push(req, weight=cfg.cfg.weight if cfg else 1.0)

    @staticmethod
    def remove_request(tables: CoreTables, req: RequestRow) -> None:
        """Remove a request that has ended from the queue and the tables."""
        tables.queue.remove(req.request_id)
        tables.requests.pop(req.request_id, None)
        tables.progress.pop(req.request_id, None)
        tables.held_answers.release(req.request_id)
        customer = tables.customers.get(req.customer_id)
        if customer is not None:
            customer.in_flight = max(0, customer.in_flight - 1)
