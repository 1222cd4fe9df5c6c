"""Core of an entry: decides on requests, attempts and answers; no I/O and no clock."""

from msgspec import Struct

from crocusvalve.base import (
    AttemptId,
    Command,
    NodeId,
    RequestId,
    RequestState,
    UpstreamId,
    VersionRef,
)
from crocusvalve.entry._admission import AdmissionSystem
from crocusvalve.entry._finisher import RequestFinisher
from crocusvalve.entry._outcome import OutcomeSystem
from crocusvalve.entry._placement import PlacementSystem
from crocusvalve.entry._policies import Policies
from crocusvalve.entry._tables import CoreTables
from crocusvalve.entry._timers import TimerSystem
from crocusvalve.exceptions import ErrorCode, InvariantError, RefusedError
from crocusvalve.model import RequestRow
from crocusvalve.rpc import Frame, RunEvent

__all__ = ["CoreLimits", "EntryCore"]


class CoreLimits(Struct, frozen=True):
    """Bounds that the shell tells the core.

    ``quota_share`` is the part of each customer's quota that this entry hands out.
    """

    can_bill: bool = True
    quota_share: float = 1.0
    is_draining: bool = False


class EntryCore:
    """Runs the systems of an entry over its tables.

    Parameters
    ----------
    tables : CoreTables
        All rows.
    policies : Policies
        Policies by subject.
    node_id : NodeId
        This entry.
    """

    def __init__(self, *, tables: CoreTables, policies: Policies, node_id: NodeId):
        self.tables = tables
        self.policies = policies
        self.node_id = node_id
        self.limits = CoreLimits()
        self.finisher = RequestFinisher(policies)
        self.outcome = OutcomeSystem(policies, self.finisher)
        self.placement = PlacementSystem(policies, self.finisher, node_id)
        self.timers = TimerSystem(self.finisher, self.placement)
        self.admission = AdmissionSystem(policies, self.finisher)

    def submit(self, req: RequestRow, now: float) -> list[Command]:
        """Take a request.

        Raises
        ------
        RefusedError
            Where it is refused at once; nothing of it is kept then.
        """
        self._check_not_draining()
        limits = self.limits
        commands = self.admission.admit(self.tables, req, now, limits.can_bill, limits.quota_share)
        return commands + self.placement.run(self.tables, now)

    def check_durable(self, req: RequestRow, now: float) -> None:
        """Take a durable request's quota before it is kept.

        Raises
        ------
        RefusedError
            Always as not run.
        """
        self._check_not_draining()
        self.admission.check_durable(self.tables, req, now, self.limits.quota_share)

    def _check_not_draining(self) -> None:
        if self.limits.is_draining:
            raise RefusedError(
                ErrorCode.DRAINING, "this entry is stopping", step="admission", retry_after_s=1.0
            )

    def place_order(
        self, req: RequestRow, avoid: frozenset[UpstreamId], now: float
    ) -> list[Command]:
        """Queue an order for a placement outside some upstreams.

        Raises
        ------
        RefusedError
            Where it is refused at once, always as not run.
        """
        req.avoid = set(avoid)
        if req.request_id not in self.tables.requests:
            return self.submit(req, now)
        self.finisher.requeue(self.tables, req, now)
        return self.placement.run(self.tables, now)

    def end_order_attempt(
        self, attempt_id: AttemptId, service_s: float | None, now: float
    ) -> list[Command]:
        """Free the upstream of an order's attempt; ``service_s`` is None where it failed."""
        self.finisher.end_order_attempt(self.tables, attempt_id, service_s, now)
        return self.placement.run(self.tables, now) if len(self.tables.queue) else []

    def remove_order(self, request_id: RequestId, now: float) -> None:
        """Remove an order that has ended."""
        req = self.tables.requests.get(request_id)
        if req is not None:
            self.finisher.cancel_attempts(self.tables, request_id, now)
            self.finisher.remove_request(self.tables, req)

    def handle_event(self, attempt_id: AttemptId, event: RunEvent, now: float) -> list[Command]:
        """Take an event of an attempt: a frame, the end or a refusal."""
        commands = self.outcome.handle_event(self.tables, attempt_id, event, now)
        if not isinstance(event, Frame) and len(self.tables.queue):
            commands += self.placement.run(self.tables, now)
        return commands

    def handle_rating(
        self, request_id: RequestId, score: float | None, now: float
    ) -> list[Command]:
        """Take the rating of a held answer; None where it could not be rated."""
        commands = self.outcome.handle_rating(self.tables, request_id, score, now)
        return commands + self.placement.run(self.tables, now)

    def learn_from_rating(
        self, req: RequestRow, version: VersionRef, score: float, now: float
    ) -> None:
        """Learn from the rating of an answer that was delivered."""
        self.policies.learn_from_rating(self.tables, req, version, score, now)

    def abandon(self, request_id: RequestId, now: float) -> list[Command]:
        """The caller has gone: drop a request that has not ended."""
        req = self.tables.requests.get(request_id)
        if req is None:
            return []
        commands = self.finisher.cancel_attempts(self.tables, request_id, now)
        self.finisher.remove_request(self.tables, req)
        return commands + self.placement.run(self.tables, now)

    def tick(self, now: float) -> list[Command]:
        """Run what is due: deadlines, hedges, retries and placements."""
        commands = self.timers.run(self.tables, now)
        commands += self.placement.refuse_banned(self.tables, now)
        commands += self.placement.run(self.tables, now)
        self.check_invariants(now)
        return commands

    def check_invariants(self, now: float) -> None:
        """Assert that the tables agree with each other.

        Raises
        ------
        InvariantError
            Where a request has no progress, an attempt no request, or a request that is refused
            for good still waits.
        """
        tables = self.tables
        quarantine = self.policies.get_quarantine(tables)
        if tables.requests.keys() != tables.progress.keys():
            raise InvariantError("requests and their progress differ", step="check")
        for req in tables.requests.values() if tables.quarantine else ():
            is_due = req.state is RequestState.QUEUED and req.not_before <= now < req.deadline
            if is_due and req.request_id in tables.queue and quarantine.is_banned(req.digest):
                raise InvariantError(f"{req.request_id} is banned and waits", step="check")
        for attempt in tables.attempts.values():
            if attempt.request_id not in tables.requests:
                raise InvariantError(f"attempt {attempt.attempt_id} has no request", step="check")
