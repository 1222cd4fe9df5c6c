"""Placement: starts attempts for queued requests."""

import msgspec

from crocusvalve.answers import AnswerAssembler
from crocusvalve.base import (
    AttemptId,
    BootId,
    ClassKind,
    Command,
    NodeId,
    RequestState,
    System,
    VersionRef,
)
from crocusvalve.entry._commands import ReportInvariantError, StartAttempt
from crocusvalve.entry._finisher import RequestFinisher
from crocusvalve.entry._policies import Policies
from crocusvalve.entry._tables import CoreTables
from crocusvalve.exceptions import ErrorCode, InvariantError, RefusedError
from crocusvalve.model import AttemptRow, RequestRow, UpstreamRow
from crocusvalve.routing import (
    add_prefix_hint,
    check_placement,
    list_candidates,
    record_attempt_start,
)
from crocusvalve.rpc import RunRequest

__all__ = ["PlacementSystem", "make_banned_error", "make_engine_body"]

STEP = "placement"
#: How long a request stays queued while no upstream at all may accept it.
NO_UPSTREAM_GRACE_S = 2.0
NO_UPSTREAM_RETRY_AFTER_S = 2.0


def make_engine_body(body: bytes, version: VersionRef) -> bytes:
    """Rewrite a chat body for an engine: set the version, and request a stream with usage."""
    params = msgspec.json.decode(body)
    params["model"] = version
    params["stream"] = True
    params["stream_options"] = {"include_usage": True}
    return msgspec.json.encode(params)


class PlacementSystem(System):
    """Starts attempts for the queued requests for which an upstream is available.

    Parameters
    ----------
    policies : Policies
        Routing, hedge, quarantine and roll-out policies.
    finisher : RequestFinisher
        Ends requests that can't be placed.
    node_id : NodeId
        Node ID of this entry.
    """

    def __init__(self, policies: Policies, finisher: RequestFinisher, node_id: NodeId):
        self.policies = policies
        self.finisher = finisher
        self.node_id = node_id
        # Upstream chosen for the request that the queue yields next.
        self._chosen: UpstreamRow | None = None
        # Requests found in this run that can't be placed, each with its error.
        self._unplaceable: list[tuple[RequestRow, RefusedError]] = []

    def run(self, tables: CoreTables, now: float) -> list[Command]:
        """Start the requests that can be placed now and end those that can't be placed.

        A request is ended if it has had no candidate upstream for the grace period.
        """
        commands: list[Command] = []
        self._unplaceable = []

        def can_place(req: RequestRow) -> bool:
            self._chosen = self._choose(tables, req, now)
            return self._chosen is not None

        for req in tables.queue.drain_ready(can_place, now):
            commands += self._try_start(tables, req, self._chosen, now)
        for req, error in self._unplaceable:
            commands += self.finisher.give_up(tables, req, error, now)
        return commands

    def refuse_banned(self, tables: CoreTables, now: float) -> list[Command]:
        """Refuse the queued requests whose digest is banned, at any position in the queue."""
        if not tables.quarantine:
            return []
        quarantine = self.policies.get_quarantine(tables)
        banned = [
            req
            for req in tables.requests.values()
            if req.request_id in tables.queue and quarantine.is_banned(req.digest)
        ]
        commands: list[Command] = []
        for req in banned:
            commands += self.finisher.give_up(tables, req, make_banned_error(STEP), now)
        return commands

    def _try_start(
        self, tables: CoreTables, req: RequestRow, row: UpstreamRow, now: float
    ) -> list[Command]:
        try:
            return [self.start(tables, req, row, now)]
        except InvariantError as exc:
            message = "internal error: an invariant does not hold"
            error = RefusedError(ErrorCode.INTERNAL, message, step=STEP)
            return [ReportInvariantError(exc), *self.finisher.give_up(tables, req, error, now)]

    def _choose(self, tables: CoreTables, req: RequestRow, now: float) -> UpstreamRow | None:
        if self.policies.get_quarantine(tables).is_banned(req.digest):
            self._unplaceable.append((req, make_banned_error(STEP)))
            return None
        if not req.service:
            try:
                req.version = self.policies.choose_version(tables, req, req.steps[req.step])
            except RefusedError as exc:
                self._unplaceable.append((req, exc))
                return None
        progress = tables.progress[req.request_id]
        candidates = self._list_candidates(tables, req, now)
        if not candidates:
            if now - progress.last_had_candidates_at >= self._get_grace_s(tables, req):
                self._unplaceable.append((req, self._make_unplaceable_error(tables, req)))
            return None
        progress.last_had_candidates_at = now
        candidates = self.policies.get_quarantine(tables).filter_candidates(req.digest, candidates)
        return self.policies.get_router(tables, req.member).choose(req, candidates, now)

    @staticmethod
    def _list_candidates(tables: CoreTables, req: RequestRow, now: float) -> list[UpstreamRow]:
        candidates = list_candidates(tables, req, req.version, now)
        if not req.is_repeatable:
            # An order's attempt specifies the boot ID of the agent, so that only that process may
            # start it.
            return [row for row in candidates if row.boot_id]
        if not candidates and req.avoid:
            # Every other upstream is unavailable: the ones that failed are better than none.
            req.avoid.clear()
            candidates = list_candidates(tables, req, req.version, now)
        return candidates

    @staticmethod
    def _get_grace_s(tables: CoreTables, req: RequestRow) -> float:
        if not req.service and tables.is_version_withdrawn(req.version):
            return 0.0
        return float("inf") if req.kind is ClassKind.DURABLE else NO_UPSTREAM_GRACE_S

    @staticmethod
    def _make_unplaceable_error(tables: CoreTables, req: RequestRow) -> RefusedError:
        if not req.service and tables.is_version_withdrawn(req.version):
            message = f"version {req.version} is withdrawn"
            return RefusedError(ErrorCode.VERSION_WITHDRAWN, message, step=STEP)
        return RefusedError(
            ErrorCode.NO_UPSTREAM,
            "no upstream can accept the request now",
            step=STEP,
            retry_after_s=NO_UPSTREAM_RETRY_AFTER_S,
        )

    def start(
        self,
        tables: CoreTables,
        req: RequestRow,
        row: UpstreamRow,
        now: float,
        *,
        is_hedge: bool = False,
    ) -> StartAttempt:
        """Start an attempt on an upstream.

        Raises
        ------
        InvariantError
            If the placement, which is checked immediately before the start, is not allowed.
        """
        check_placement(tables, req, row, now)
        self.policies.get_quarantine(tables).record_attempt_start(req.digest, row.upstream_id)
        req.n_attempts += 1
        req.state = RequestState.RUNNING
        attempt_id = AttemptId(f"{req.request_id}.{req.n_attempts}")
        attempt = AttemptRow(
            attempt_id=attempt_id,
            request_id=req.request_id,
            upstream_id=row.upstream_id,
            version=req.version,
            started_at=now,
            is_hedge=is_hedge,
            boot_id=row.boot_id,
        )
        tables.attempts[attempt_id] = attempt
        tables.attempt_ids_by_request.setdefault(req.request_id, []).append(attempt_id)
        tables.assemblers[attempt_id] = AnswerAssembler(attempt_id, peer=row.upstream_id)
        record_attempt_start(row, now)
        if req.prefix_digest:
            add_prefix_hint(row, req.prefix_digest, now)
        self._schedule_hedge(tables, req, now)
        return StartAttempt(row.agent, self._make_run_request(tables, req, row, attempt_id))

    def _schedule_hedge(self, tables: CoreTables, req: RequestRow, now: float) -> None:
        cfg = tables.view.get_class_config(req.member, req.class_name)
        if cfg is None or req.n_attempts > 1:
            return
        req.hedge_at = self.policies.get_hedge_policy(tables).compute_hedge_at(req, cfg, now)
        if req.hedge_at:
            tables.add_timer(tables.hedges, req.hedge_at, req.request_id)

    def _make_run_request(
        self, tables: CoreTables, req: RequestRow, row: UpstreamRow, attempt_id: AttemptId
    ) -> RunRequest:
        body = req.body if req.service else make_engine_body(req.body, req.version)
        return RunRequest(
            attempt_id=attempt_id,
            request_id=req.request_id,
            entry_id=self.node_id,
            customer_id=req.customer_id,
            class_name=req.class_name,
            kind=req.kind,
            upstream_id=row.upstream_id,
            upstream_kind=row.kind,
            version=req.version,
            revision=tables.view.revision,
            deadline=req.deadline,
            priority=req.priority,
            body=body,
            digest=req.digest,
            session_id=req.session_id,
            idempotency_key=req.idempotency_key,
            boot_id=BootId("") if req.is_repeatable else row.boot_id,
            method=req.method,
            path=req.path or "/v1/chat/completions",
            service=req.service,
            cost_before=req.cost,
            usage_before=tables.progress[req.request_id].usage,
            n_attempts=req.n_attempts,
            may_escalate=req.step + 1 < len(req.steps),
        )

    def start_hedge(self, tables: CoreTables, req: RequestRow, now: float) -> list[Command]:
        """Start a second attempt of a slow lookup on another upstream, if the budget allows it."""
        attempts = tables.attempt_ids_by_request.get(req.request_id, ())
        used = {tables.attempts[attempt_id].upstream_id for attempt_id in attempts}
        candidates = [
            row
            for row in list_candidates(tables, req, req.version, now)
            if row.upstream_id not in used
        ]
        quarantine = self.policies.get_quarantine(tables)
        candidates = quarantine.filter_candidates(req.digest, candidates)
        row = self.policies.get_router(tables, req.member).choose(req, candidates, now)
        hedges = self.policies.get_hedge_policy(tables)
        if row is None or not hedges.should_hedge(req, len(attempts), now):
            return []
        return [self.start(tables, req, row, now, is_hedge=True)]


def make_banned_error(step: str) -> RefusedError:
    """Make the refusal of a request whose digest is banned, as it crashed upstreams."""
    message = "this request crashed upstreams and is permanently refused"
    return RefusedError(ErrorCode.CRASHES_UPSTREAMS, message, step=step)
