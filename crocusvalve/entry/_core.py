"""Core of an entry: decides on requests, attempts and answers, without I/O or a clock.

The runtime passes in requests, events and the time, and executes the commands that the core
returns.
"""

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
    """Limits on new requests, set by the runtime.

    ``can_bill`` is False while the outbox of bills is full. ``quota_share`` is the fraction of each
    customer's quota that this entry grants, in (0, 1]. A draining entry refuses new requests.
    """

    can_bill: bool = True
    quota_share: float = 1.0
    is_draining: bool = False


class EntryCore:
    """Runs admission, placement, outcome handling and timers over the tables of an entry.

    Parameters
    ----------
    tables : CoreTables
        Requests, attempts, upstreams and customers of the entry.
    policies : Policies
        Routing, retry, quarantine, cascade and roll-out policies.
    node_id : NodeId
        Node ID of this entry.
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
        """Admit a request, then start the queued requests that can be placed.

        Raises
        ------
        RefusedError
            If the request is refused immediately; none of it is stored then.
        """
        self._check_not_draining()
        limits = self.limits
        commands = self.admission.admit(self.tables, req, now, limits.can_bill, limits.quota_share)
        return commands + self.placement.run(self.tables, now)

    def check_durable(self, req: RequestRow, now: float) -> None:
        """Check a durable request and charge its quota before it is stored.

        Raises
        ------
        RefusedError
            If the request is refused; its execution status is always ``NOT_RUN``.
        """
        self._check_not_draining()
        self.admission.check_durable(self.tables, req, now, self.limits.quota_share)

    def _check_not_draining(self) -> None:
        if self.limits.is_draining:
            raise RefusedError(
                ErrorCode.DRAINING,
                "this entry is shutting down",
                step="admission",
                retry_after_s=1.0,
            )

    def place_order(
        self, req: RequestRow, avoid: frozenset[UpstreamId], now: float
    ) -> list[Command]:
        """Queue an order for placement on an upstream that is not in ``avoid``.

        Raises
        ------
        RefusedError
            If the order is refused immediately; its execution status is always ``NOT_RUN``.
        """
        req.avoid = set(avoid)
        if req.request_id not in self.tables.requests:
            return self.submit(req, now)
        self.finisher.requeue(self.tables, req, now)
        return self.placement.run(self.tables, now)

    def end_order_attempt(
        self, attempt_id: AttemptId, service_s: float | None, now: float
    ) -> list[Command]:
        """Free the upstream of an order's attempt.

        ``service_s`` is the service time in seconds, None if the attempt failed.
        """
        self.finisher.end_order_attempt(self.tables, attempt_id, service_s, now)
        return self.placement.run(self.tables, now) if len(self.tables.queue) else []

    def remove_order(self, request_id: RequestId, now: float) -> None:
        """Remove an order that has ended, with its remaining attempts."""
        req = self.tables.requests.get(request_id)
        if req is not None:
            self.finisher.cancel_attempts(self.tables, request_id, now)
            self.finisher.remove_request(self.tables, req)

    def handle_event(self, attempt_id: AttemptId, event: RunEvent, now: float) -> list[Command]:
        """Handle an event of an attempt: a frame, the end or a refusal."""
        commands = self.outcome.handle_event(self.tables, attempt_id, event, now)
        if not isinstance(event, Frame) and len(self.tables.queue):
            commands += self.placement.run(self.tables, now)
        return commands

    def handle_rating(
        self, request_id: RequestId, score: float | None, now: float
    ) -> list[Command]:
        """Handle the rating of a pending answer; ``score`` is None if it could not be rated."""
        commands = self.outcome.handle_rating(self.tables, request_id, score, now)
        return commands + self.placement.run(self.tables, now)

    def learn_from_rating(
        self, req: RequestRow, version: VersionRef, score: float, now: float
    ) -> None:
        """Update the quality estimates from the rating of a delivered answer."""
        self.policies.learn_from_rating(self.tables, req, version, score, now)

    def abandon(self, request_id: RequestId, now: float) -> list[Command]:
        """Drop a request that has not ended and whose caller has disconnected."""
        req = self.tables.requests.get(request_id)
        if req is None:
            return []
        commands = self.finisher.cancel_attempts(self.tables, request_id, now)
        self.finisher.remove_request(self.tables, req)
        return commands + self.placement.run(self.tables, now)

    def tick(self, now: float) -> list[Command]:
        """Process deadlines, hedges, retries and placements that are due."""
        commands = self.timers.run(self.tables, now)
        commands += self.placement.refuse_banned(self.tables, now)
        commands += self.placement.run(self.tables, now)
        self.check_invariants(now)
        return commands

    def check_invariants(self, now: float) -> None:
        """Check that the tables are consistent with each other.

        Raises
        ------
        InvariantError
            If a request has no progress row, an attempt has no request, or a request with a
            banned digest is still queued although it is due for placement.
        """
        tables = self.tables
        quarantine = self.policies.get_quarantine(tables)
        if tables.requests.keys() != tables.progress.keys():
            raise InvariantError(
                "the tables of requests and of their progress have different keys", step="check"
            )
        for req in tables.requests.values() if tables.quarantine else ():
            is_due = req.state is RequestState.QUEUED and req.not_before <= now < req.deadline
            if is_due and req.request_id in tables.queue and quarantine.is_banned(req.digest):
                raise InvariantError(f"{req.request_id} is banned and waits", step="check")
        for attempt in tables.attempts.values():
            if attempt.request_id not in tables.requests:
                raise InvariantError(f"attempt {attempt.attempt_id} has no request", step="check")
