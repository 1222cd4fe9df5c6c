"""A simulated entry, which runs the real queue, routers, limits, retries and hedges."""

import random

from msgspec import Struct

from crocusvalve.base import (
    AttemptId,
    ClassKind,
    DomainId,
    ExecutionStatus,
    NodeId,
    RequestId,
    UpstreamId,
    VersionRef,
)
from crocusvalve.bench._loop import EventLoop
from crocusvalve.bench._upstream import FAR_DELAY_S, NEAR_DELAY_S, Attempt, BenchUpstream
from crocusvalve.config import DocumentView
from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.limits import FairQueue, check_deadline, check_quota, make_customer_row
from crocusvalve.membership import MembershipSystem, merge_load_report
from crocusvalve.model import EntryTables, RequestRow, UpstreamRow
from crocusvalve.retry import HedgePolicy, Quarantine, RetryAction, RetryBudget, RetryPolicy
from crocusvalve.routing import (
    add_prefix_hint,
    check_placement,
    list_candidates,
    make_router,
    mark_full,
    record_attempt_end,
    record_attempt_start,
    record_failure,
    record_success,
)
from crocusvalve.rpc import LoadReport, Refused

__all__ = ["BenchEntry", "Outcome"]

MEMBERSHIP_INTERVAL_S = 0.25


class Outcome(Struct, kw_only=True):
    """Outcome of a request.

    Attributes
    ----------
    class_name, customer_id : str
        Class and customer of the request.
    arrived_at : float
        Virtual time of arrival in seconds.
    latency_s : float
        Seconds from arrival to the end.
    code : str
        Error code; empty for an answer.
    ran : ExecutionStatus
        Whether the request ran, as far as the entry knows.
    n_attempts : int
        Number of attempts, hedges included.
    """

    class_name: str
    customer_id: str
    arrived_at: float
    latency_s: float
    code: str = ""
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN
    n_attempts: int = 1


class BenchEntry:
    """Entry in virtual time with the policies of the real entry.

    Parameters
    ----------
    loop : EventLoop
        Loop that runs the entry's events.
    view : DocumentView
        Revision in force at the start.
    upstreams : dict of UpstreamId to BenchUpstream
        All upstreams of the deployment.
    node_id : str
        Name of the entry.
    domain, region : str
        Failure domain and region of the entry.
    router : str
        Name of the routing policy.
    random_state : int
        Seed of the routing and retry policies.
    quota_share : float
        Fraction of each customer's quota that this entry may use.

    Attributes
    ----------
    outcomes : list of Outcome
        Outcomes of all requests that have ended.
    placements : list of tuple of float and DomainId
        Time and failure domain of each attempt.
    """

    def __init__(
        self,
        loop: EventLoop,
        view: DocumentView,
        upstreams: dict[UpstreamId, BenchUpstream],
        *,
        node_id: str,
        domain: str,
        region: str,
        router: str,
        random_state: int,
        quota_share: float = 1.0,
    ):
        rng = random.Random(random_state)
        self.loop = loop
        self.node_id = NodeId(node_id)
        self.domain = domain
        self.quota_share = quota_share
        self.upstreams = upstreams
        self.tables = EntryTables(view)
        self.queue = FairQueue()
        self.router = make_router(router, random_state=rng, domain=domain, region=region)
        budget = RetryBudget()
        self.budget = budget
        self.retries = RetryPolicy(budget=budget, random_state=rng)
        self.quarantine = Quarantine(self.tables.quarantine)
        self.hedges = HedgePolicy(budget=budget, quarantine=self.quarantine)
        self.membership = MembershipSystem(self.node_id)
        self.running: dict[RequestId, list[Attempt]] = {}
        self.prompts: dict[RequestId, tuple[str, int]] = {}
        self.outcomes: list[Outcome] = []
        self.placements: list[tuple[float, DomainId]] = []
        self._chosen_row: UpstreamRow | None = None
        # Versions that no upstream had room for in the current pass.
        self._full_versions: set[VersionRef] = set()
        self._n_attempts = 0
        self._next_call_at = float("inf")
        self._run_membership()

    def apply_view(self, view: DocumentView) -> None:
        """Apply a revision and place the requests that it allows to run."""
        self.tables.apply_view(view)
        self.place_ready()

    def merge_load_report(self, report: LoadReport) -> None:
        """Merge a load report, which arrives with a delay, and place ready requests."""
        merge_load_report(self.tables, report, self.loop.now)
        self.place_ready()

    def admit(self, req: RequestRow, prompt: str, n_out: int) -> None:
        """Admit a request or refuse it."""
        now = self.loop.now
        self.budget.count_request(req.member, now)
        cfg = self.tables.view.customers[req.customer_id].cfg
        row = self.tables.customers.get(req.customer_id)
        if row is None:
            row = make_customer_row(req.customer_id, cfg, now)
            self.tables.customers[req.customer_id] = row
        if check_quota(row, cfg, now, share=self.quota_share) is not None:
            self._finish(req, ErrorCode.RATE_LIMITED.code, ExecutionStatus.NOT_RUN)
            return
        if check_deadline(self.queue, req, self._estimate_service_s(req), now) is not None:
            self._finish(req, ErrorCode.OVERLOADED.code, ExecutionStatus.NOT_RUN)
            return
        try:
            dropped = self.queue.push(req)
        except RefusedError as exc:
            self._finish(req, exc.code.code, ExecutionStatus.NOT_RUN)
            return
        self.prompts[req.request_id] = (prompt, n_out)
        row.in_flight += 1
        if dropped is not None:
            self._finish(dropped, ErrorCode.OVERLOADED.code, ExecutionStatus.NOT_RUN)
        self.place_ready()

    def place_ready(self) -> None:
        """Start an attempt for each queued request that has an upstream; fail expired requests."""
        now = self.loop.now
        self._full_versions.clear()
        for req in self.queue.drain_ready(self._can_place, now):
            self._start_attempt(req, self._chosen_row)
        for req in self.queue.pop_expired(now):
            self._finish(req, ErrorCode.DEADLINE_PASSED.code, ExecutionStatus.NOT_RUN)
        due_at = self.queue.get_next_due()
        if due_at is not None and due_at < self._next_call_at - 1e-9:
            self._next_call_at = due_at
            self.loop.call_at(due_at, self._place_due, due_at)

    def _place_due(self, due_at: float) -> None:
        if due_at != self._next_call_at:
            # A call at an earlier time has replaced this one.
            return
        self._next_call_at = float("inf")
        self.place_ready()

    def _run_membership(self) -> None:
        self.membership.run(self.tables, self.loop.now)
        self.loop.call_after(MEMBERSHIP_INTERVAL_S, self._run_membership)

    def _estimate_service_s(self, req: RequestRow) -> float:
        rows = self.tables.subset_by_version.get(req.version, ())
        return min((row.ewma_service_s for row in rows), default=0.0)

    def _can_place(self, req: RequestRow) -> bool:
        if req.version in self._full_versions:
            return False
        candidates = list_candidates(self.tables, req, req.version, self.loop.now)
        if not candidates and req.avoid:
            req.avoid.clear()
            candidates = list_candidates(self.tables, req, req.version, self.loop.now)
        self._chosen_row = self.router.choose(req, candidates, self.loop.now)
        if self._chosen_row is None and not req.avoid:
            self._full_versions.add(req.version)
        return self._chosen_row is not None

    def _start_attempt(self, req: RequestRow, row: UpstreamRow, *, is_hedge: bool = False) -> None:
        now = self.loop.now
        check_placement(self.tables, req, row, now)
        req.n_attempts += 1
        self._n_attempts += 1
        record_attempt_start(row, now)
        prompt, n_out = self.prompts[req.request_id]
        attempt = Attempt(
            attempt_id=AttemptId(f"{self.node_id}-{self._n_attempts}"),
            req=req,
            prompt=prompt,
            n_out=n_out,
            started_at=now,
            upstream_id=row.upstream_id,
            delay_s=NEAR_DELAY_S if row.domain == self.domain else FAR_DELAY_S,
            on_answer=self._on_answer,
            on_refused=self._on_refused,
            is_hedge=is_hedge,
        )
        self.running.setdefault(req.request_id, []).append(attempt)
        self.placements.append((now, row.domain))
        add_prefix_hint(row, req.prefix_digest, now)
        self.loop.call_after(attempt.delay_s, self.upstreams[row.upstream_id].receive, attempt)
        if not is_hedge:
            self._schedule_hedge(req, now)

    def _schedule_hedge(self, req: RequestRow, now: float) -> None:
        cfg = self.tables.view.get_class_config(req.member, req.class_name)
        req.hedge_at = self.hedges.compute_hedge_at(req, cfg, now)
        if req.hedge_at:
            self.loop.call_at(req.hedge_at, self._start_hedge, req, req.n_attempts)

    def _start_hedge(self, req: RequestRow, n_attempts: int) -> None:
        running = self.running.get(req.request_id, [])
        if req.n_attempts != n_attempts or len(running) != 1:
            return
        candidates = [
            row
            for row in list_candidates(self.tables, req, req.version, self.loop.now)
            if row.upstream_id != running[0].upstream_id
        ]
        row = self.router.choose(req, candidates, self.loop.now)
        if row is not None and self.hedges.should_hedge(req, 1, self.loop.now):
            self._start_attempt(req, row, is_hedge=True)

    def _on_answer(self, attempt: Attempt, service_s: float) -> None:
        req, now = attempt.req, self.loop.now
        if not self._end_attempt(attempt):
            return
        row = self.tables.upstreams.get(attempt.upstream_id)
        record_success(row, service_s, now)
        if req.kind is ClassKind.LOOKUP and not attempt.is_hedge:
            self.hedges.record_latency(req, now - attempt.started_at)
        for other in self.running.get(req.request_id, []):
            self.loop.call_after(other.delay_s, self.upstreams[other.upstream_id].cancel, other)
            record_attempt_end(self.tables.upstreams[other.upstream_id], now)
        self._finish(req, "", ExecutionStatus.RAN)
        self.place_ready()

    def _on_refused(self, attempt: Attempt, refused: Refused) -> None:
        req, now = attempt.req, self.loop.now
        if not self._end_attempt(attempt):
            return
        row = self.tables.upstreams[attempt.upstream_id]
        if refused.code == ErrorCode.UPSTREAM_FULL.name:
            mark_full(row, now)
            self.loop.call_at(row.full_until, self.place_ready)
        elif refused.code != ErrorCode.DOMAIN_OUT.name:
            record_failure(row, now)
        if not self.running.get(req.request_id):
            self._retry(req, refused)
        self.place_ready()

    def _retry(self, req: RequestRow, refused: Refused) -> None:
        req.avoid.add(UpstreamId(refused.peer))
        decision = self.retries.decide(req, refused, self.loop.now)
        if decision.action is not RetryAction.RETRY:
            self._finish(req, decision.code.code, decision.ran)
            return
        req.not_before = decision.not_before
        self.queue.push(req)

    def _end_attempt(self, attempt: Attempt) -> bool:
        """Record the end of an attempt; return False if it was cancelled before."""
        running = self.running.get(attempt.req.request_id)
        if not running or attempt not in running:
            return False
        running.remove(attempt)
        record_attempt_end(self.tables.upstreams[attempt.upstream_id], self.loop.now)
        return True

    def _finish(self, req: RequestRow, code: str, ran: ExecutionStatus) -> None:
        self.running.pop(req.request_id, None)
        if self.prompts.pop(req.request_id, None) is not None:
            self.tables.customers[req.customer_id].in_flight -= 1
        outcome = Outcome(
            class_name=req.class_name,
            customer_id=req.customer_id,
            arrived_at=req.arrived_at,
            latency_s=self.loop.now - req.arrived_at,
            code=code,
            ran=ran,
            n_attempts=req.n_attempts,
        )
        self.outcomes.append(outcome)
