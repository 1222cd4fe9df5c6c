"""Ends of requests and attempts: what is delivered, refused, cancelled and forgotten."""

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
from crocusvalve.entry._tables import CoreTables, HeldAnswer, ProgressRow
from crocusvalve.exceptions import RefusedError
from crocusvalve.model import AttemptRow, RequestRow
from crocusvalve.routing import note_end, note_success

__all__ = ["RequestEndings", "combine_ran"]

RAN_ORDER = (ExecutionStatus.NOT_RUN, ExecutionStatus.UNKNOWN, ExecutionStatus.RAN)


def combine_ran(first: ExecutionStatus, second: ExecutionStatus) -> ExecutionStatus:
    """Combine what is known of two attempts: RAN goes before UNKNOWN before NOT_RUN."""
    return max(first, second, key=RAN_ORDER.index)


class RequestEndings:
    """Ends requests and attempts in the tables of an entry.

    Parameters
    ----------
    policies : Policies
        Policies by subject.
    """

    def __init__(self, policies: Policies):
        self.policies = policies

    def deliver_held(self, tables: CoreTables, req: RequestRow, now: float) -> list[Command]:
        """Deliver a whole answer and end the request; the bill is made by the shell."""
        progress = tables.progress[req.request_id]
        held = progress.held
        commands = self.cancel_attempts(tables, req.request_id, now)
        data = b"".join(held.data)
        if data:
            commands.append(
                Deliver(req.request_id, VersionRef(held.version), held.upstream_id, data)
            )
        commands.append(Finish(req.request_id, self._make_summary(req, progress, held)))
        commands += self._sample(tables, req, progress, data)
        req.state = RequestState.DONE
        self.forget(tables, req)
        return commands

    def _sample(
        self, tables: CoreTables, req: RequestRow, progress: ProgressRow, data: bytes
    ) -> list[Command]:
        version = VersionRef(progress.held.version)
        # An answer of a cascade's earlier step has been rated already.
        if req.step or not self.policies.should_sample(tables, req, version):
            return []
        return [SampleAnswer(req, version, b"".join(progress.sample) + data)]

    @staticmethod
    def _make_summary(req: RequestRow, progress: ProgressRow, held: HeldAnswer) -> AnswerSummary:
        return AnswerSummary(
            request_id=req.request_id,
            model=get_model_ref(VersionRef(held.version)),
            version=VersionRef(held.version),
            upstream_id=held.upstream_id,
            usage=progress.usage,
            cost=req.cost,
            n_attempts=req.n_attempts,
            finish_reason=held.finish_reason,
            status=held.status,
            content_type=held.content_type,
        )

    def give_up(
        self, tables: CoreTables, req: RequestRow, error: RefusedError, now: float
    ) -> list[Command]:
        """End a request with a cheaper model's whole answer where it is held, else refuse it."""
        progress = tables.progress[req.request_id]
        if progress.held is not None and req.n_frames_out == 0:
            return self.deliver_held(tables, req, now)
        return self.refuse(tables, req, error)

    def refuse(self, tables: CoreTables, req: RequestRow, error: RefusedError) -> list[Command]:
        """End a request without an answer; the caller is told at once.

        Whatever the last error says, "not run" is told only where no attempt may have run.
        """
        progress = tables.progress[req.request_id]
        error.ran = combine_ran(progress.ran, error.ran)
        req.state = RequestState.REFUSED
        self.forget(tables, req)
        return [Refuse(req.request_id, error)]

    def cancel_attempts(
        self, tables: CoreTables, request_id: RequestId, now: float
    ) -> list[Command]:
        """Cancel all attempts of a request."""
        attempts = list(tables.attempt_ids_by_request.get(request_id, ()))
        return [self.cancel(tables, ref, now) for ref in attempts]

    def cancel(self, tables: CoreTables, attempt_id: AttemptId, now: float) -> CancelAttempt:
        """Cancel one attempt."""
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
        """Count the end of an order's attempt; ``service_s`` is None where it failed."""
        attempt = tables.attempts.get(attempt_id)
        if attempt is None:
            return
        row = tables.upstreams.get(attempt.upstream_id)
        if row is not None and service_s is not None:
            note_success(row, service_s, now)
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
        """Remove an attempt; a crash has been counted as its end already."""
        if not is_crash:
            digest = tables.requests[attempt.request_id].digest
            quarantine = self.policies.get_quarantine(tables)
            quarantine.note_end(digest, attempt.upstream_id, is_success=is_success)
        row = tables.upstreams.get(attempt.upstream_id)
        if row is not None:
            note_end(row, now)
        tables.assemblers.pop(attempt.attempt_id).close()
        del tables.attempts[attempt.attempt_id]
        refs = tables.attempt_ids_by_request[attempt.request_id]
        refs.remove(attempt.attempt_id)
        if not refs:
            del tables.attempt_ids_by_request[attempt.request_id]

    def requeue(self, tables: CoreTables, req: RequestRow, now: float) -> None:
        """Queue a request for its next attempt."""
        cfg = tables.view.customers.get(req.customer_id)
        req.state = RequestState.QUEUED
        tables.progress[req.request_id].had_candidates_at = now
        tables.queue.push(req, weight=cfg.cfg.weight if cfg else 1.0)

    @staticmethod
    def forget(tables: CoreTables, req: RequestRow) -> None:
        """Remove a request that has ended."""
        tables.queue.remove(req.request_id)
        tables.requests.pop(req.request_id, None)
        tables.progress.pop(req.request_id, None)
        customer = tables.customers.get(req.customer_id)
        if customer is not None:
            customer.in_flight = max(0, customer.in_flight - 1)
