"""Timers of requests: deadlines and hedges."""

from crocusvalve.base import Command, ExecutionStatus, RequestState, System
from crocusvalve.entry._finisher import RequestFinisher
from crocusvalve.entry._placement import PlacementSystem
from crocusvalve.entry._tables import CoreTables
from crocusvalve.exceptions import ErrorCode, RefusedError

__all__ = ["TimerSystem"]


class TimerSystem(System):
    """Ends requests at their deadline and hedges slow lookups.

    Parameters
    ----------
    finisher : RequestFinisher
        Ends requests.
    placement : PlacementSystem
        Starts hedges.
    """

    def __init__(self, finisher: RequestFinisher, placement: PlacementSystem):
        self.finisher = finisher
        self.placement = placement

    def run(self, tables: CoreTables, now: float) -> list[Command]:
        """Process the timers that are due."""
        commands: list[Command] = []
        for request_id in tables.pop_due(tables.deadlines, now):
            if request_id in tables.requests:
                commands += self._expire(tables, request_id, now)
        # Queued requests past their deadline have just been ended.
        tables.queue.pop_expired(now)
        for request_id in tables.pop_due(tables.hedges, now):
            commands += self._hedge(tables, request_id, now)
        return commands

    def _expire(self, tables: CoreTables, request_id: str, now: float) -> list[Command]:
        req = tables.requests[request_id]
        progress = tables.progress[request_id]
        if progress.pending_answer is not None and req.n_frames_out == 0:
            return self.finisher.deliver_pending(tables, req, now)
        has_running = bool(tables.attempt_ids_by_request.get(request_id))
        if has_running and not req.is_repeatable:
            # The order's flow enforces the deadline and reports the attempt's execution status.
            return []
        ran = ExecutionStatus.UNKNOWN if has_running else progress.ran
        commands = self.finisher.cancel_attempts(tables, request_id, now)
        message = "the deadline has passed"
        error = RefusedError(ErrorCode.DEADLINE_PASSED, message, step="deadline", ran=ran)
        return commands + self.finisher.refuse(tables, req, error)

    def _hedge(self, tables: CoreTables, request_id: str, now: float) -> list[Command]:
        req = tables.requests.get(request_id)
        if req is None or req.state is not RequestState.RUNNING:
            return []
        if tables.progress[request_id].leader is not None:
            return []
        return self.placement.start_hedge(tables, req, now)
