"""Sends requests to upstreams, and records what their outcomes say about the upstreams."""

import logging
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio

from crocusvalve.base import NodeId, UpstreamId
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway._sockets import CONNECT_TIMEOUT_S
from crocusvalve.gateway.base import (
    GatewaySettings,
    HeaderCodec,
    SendContext,
    ServiceName,
    Upstream,
)
from crocusvalve.gateway.decisions._bans import RequestBans
from crocusvalve.gateway.decisions._budget import AttemptBudget
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.decisions._cold_start import compute_cold_quota, record_cold_send
from crocusvalve.gateway.decisions._crashes import CrashRegistry
from crocusvalve.gateway.decisions._crashing_parts import CrashingPartRegistry, get_suspect_ids
from crocusvalve.gateway.decisions._escalations import EscalationTable
from crocusvalve.gateway.decisions._health import Outcome, update_health
from crocusvalve.gateway.decisions._outcome_counts import OutcomeCountsTable
from crocusvalve.gateway.decisions._pace import PaceTable
from crocusvalve.gateway.decisions._placement import (
    Placement,
    PlacementQuery,
    PlacementReason,
    choose_upstream,
)
from crocusvalve.gateway.decisions._prompts import (
    count_unread_tokens,
    get_shared_parts,
    record_parts,
)
from crocusvalve.gateway.decisions._slowness import record_answer_time
from crocusvalve.gateway.decisions._upgrades import update_choice
from crocusvalve.gateway.flows._request import GatewayRequest
from crocusvalve.gateway.shared._gossip_message import SentPromptParts
from crocusvalve.gateway.shared._peers import PeerTable
from crocusvalve.gateway.tables._tables import GatewayTables, UpstreamLoad
from crocusvalve.gateway.upstreams._attempt import Attempt, PromptWork
from crocusvalve.gateway.upstreams._crash_detector import CrashDetector
from crocusvalve.gateway.upstreams._reply_recorder import ReplyRecorder
from crocusvalve.gateway.upstreams._upstream_call import CallError, CallFailure, UpstreamCall
from crocusvalve.utils import Clock

__all__ = ["AttemptManager"]

logger = logging.getLogger(__name__)

#: Maximum number of recently sent prompts whose parts are reported to the other gateways.
MAX_SENT_PROMPT_PARTS = 32
#: Longest time for which a lost request waits for the check whether its upstream has crashed, so
#: that it isn't sent on if it is known to crash upstreams by then.
CRASH_CHECK_WAIT_S = 0.15


class AttemptManager:
    """Chooses upstreams for attempts, sends requests to them and records the outcomes.

    Attributes
    ----------
    bans : RequestBans
        Requests that get no upstream since they crash them.
    pace : PaceTable
        Expected times of answers.
    escalations : EscalationTable
        Expected confidence of larger models.
    spawn : callable
        Starts a background task; set by the gateway's process.
    on_attempt_end : callable
        Called with the service after an attempt has ended.
    sent_prompt_parts : deque
        Shared parts of recently sent prompts, to be reported to the other gateways.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        tables: GatewayTables,
        peers: PeerTable,
        crashes: CrashRegistry,
        outcome_counts: OutcomeCountsTable,
        codec: HeaderCodec,
        observer: GatewayObserver,
        clock: Clock,
    ):
        self.settings = settings
        self.tables = tables
        self.peers = peers
        self.outcome_counts = outcome_counts
        self.codec = codec
        self.observer = observer
        self.clock = clock
        self.bans = RequestBans(
            crashes, CrashingPartRegistry(), settings.node_id, peers.list_active_nodes
        )
        self._reply_recorder = ReplyRecorder(tables, observer, clock)
        self.pace = PaceTable()
        self.escalations = EscalationTable()
        self.crash_detector = CrashDetector(
            tables=tables,
            bans=self.bans,
            observer=observer.crashes,
            clock=clock,
        )
        self.spawn: Callable[..., None] = lambda *_: None
        self.on_attempt_end: Callable[[ServiceName], None] = lambda _: None
        self.sent_prompt_parts: deque[SentPromptParts] = deque(maxlen=MAX_SENT_PROMPT_PARTS)
        self._budgets: dict[ServiceName, AttemptBudget] = {}

    @property
    def node_id(self) -> NodeId:
        """Id of this gateway."""
        return self.settings.node_id

    def get_budget(self, service: ServiceName) -> AttemptBudget:
        """Return the budget of extra attempts for a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = self._budgets[service] = AttemptBudget(
                ratio=bounds.retry_ratio,
                slack=bounds.retry_slack,
                window_s=bounds.retry_window_s,
            )
        return budget

    def may_escalate(self, req: GatewayRequest, now: float) -> bool:
        """Return whether the budget allows a larger model for a request that has an answer."""
        n_gateways = len(self.peers.list_active_nodes(now))
        return self.get_budget(req.service.name).compute_left_for_choice(n_gateways, now) >= 1.0

    def may_send_again(self, req: GatewayRequest, now: float) -> bool:
        """Return whether the budget allows sending a request once more.

        A request that has reached no upstream yet needs no budget.
        """
        if not req.n_arrivals:
            return True
        n_gateways = len(self.peers.list_active_nodes(now))
        n_left = self.get_budget(req.service.name).compute_left(n_gateways, now)
        self.observer.set_budget(req.service.name, n_left)
        return n_left >= 1.0

    def place(
        self,
        req: GatewayRequest,
        now: float,
        model: str = "",
        excluded: set[UpstreamId] | None = None,
    ) -> Placement:
        """Choose an upstream for the next attempt; by default those already tried are excluded."""
        if self.is_banned(req, now):
            return Placement(None, PlacementReason.BANNED)
        service = req.service.name
        order, status = self.tables.orders.get(service), self.tables.get_status(service)
        req.versions = update_choice(req.versions, order, status)
        query = PlacementQuery(
            service=service,
            domain=self.settings.domain,
            versions=req.versions,
            affinity=req.affinity,
            model=model,
            model_weight=req.service.get_model_weight(model) if model else 1.0,
            parts=req.caller.prefix,
            tried=req.tried if excluded is None else excluded,
            uses_cache=self.settings.uses_prefix_cache,
            n_gateways=len(self.peers.list_active_nodes(now)),
            cold_quota=lambda upstream: self._compute_cold_quota(req, upstream, now),
        )
        return choose_upstream(self.tables, query, now)

    def get_limit_interval_s(self, run: UpstreamRun) -> float | None:
        """Return the time between two requests to an upstream with a limit, or None."""
        return self.tables.rate_limits.get_interval_s(run)

    def _compute_cold_quota(self, req: GatewayRequest, upstream: Upstream, now: float) -> int:
        rate_per_s = req.service.cold_per_s
        if rate_per_s <= 0.0:
            return 1_000_000
        return compute_cold_quota(
            rate_per_s, upstream.upstream_id, self.node_id, self.peers.list_active_nodes(now)
        )

    @asynccontextmanager
    async def start_attempt(
        self, req: GatewayRequest, upstream: Upstream, *, model: str, last_event_id: bytes
    ) -> AsyncIterator[Attempt]:
        """Send a request to an upstream; the connection is closed when the block ends.

        Raises
        ------
        CallError
            If the request could not be sent.
        """
        now = self.clock.now()
        load = self.tables.get_load(upstream.upstream_id)
        req.n_sends += 1
        load.n_inflight += 1
        work = self._queue_prompt(req, upstream, load, model)
        if load.cold_until > now:
            record_cold_send(load, now)
        req.model, req.upstream_id, req.sent_at = model, upstream.upstream_id, now
        if req.is_stream:
            req.expected_s = self.pace.compute_first_event_s(
                req.service.name, model, work.queued_tokens, now
            )
        call = UpstreamCall(upstream.address, self.codec)
        try:
            left_s = req.compute_left_s(now)
            await call.open(min(CONNECT_TIMEOUT_S, max(0.01, left_s)))
            # Reads the clock again, since the process may have been suspended while connecting.
            left_s = req.compute_left_s(self.clock.now())
            if left_s <= 0.0:
                message = "the deadline passed before the request was sent"
                raise CallError(CallFailure.NOT_SENT, message, step="send", peer=call.peer)
            if not self.tables.is_open(upstream, self.clock.now()):
                message = "the upstream stopped accepting requests"
                raise CallError(CallFailure.CLOSED, message, step="send", peer=call.peer)
            if self.is_banned(req, self.clock.now()):
                message = "the request has become known to crash upstreams"
                raise CallError(CallFailure.CLOSED, message, step="send", peer=call.peer)
            context = SendContext(
                upstream_id=upstream.upstream_id,
                deadline_s=left_s,
                customer=req.customer.name if req.customer else "",
                model=model,
                priority=req.priority,
                last_event_id=last_event_id,
            )
            caller = req.caller
            headers = self.codec.make_request_headers(caller, context)
            if req.n_arrivals:
                self.get_budget(req.service.name).count_extra_attempt(self.clock.now())
            req.n_arrivals += 1
            req.n_runs += 1
            self.tables.rate_limits.record_send(UpstreamRun.of(upstream), self.clock.now())
            await call.send(self.spawn, caller.method, caller.target, headers, caller.body)
            yield Attempt(upstream, call, model, work, self._reply_recorder)
        finally:
            load.n_inflight -= 1
            work.finish()
            self.on_attempt_end(req.service.name)
            with trio.CancelScope(shield=True):
                await call.close()

    def _queue_prompt(
        self, req: GatewayRequest, upstream: Upstream, load: UpstreamLoad, model: str
    ) -> PromptWork:
        """Add a prompt to an upstream's pending work, and record its shared parts as cached."""
        parts = req.caller.prefix
        unread = count_unread_tokens(load, model, parts)
        shared = get_shared_parts(parts)
        if shared:
            record_parts(load, model, shared, req.service.memory_tokens)
            self.sent_prompt_parts.append(
                SentPromptParts(self.clock.now(), upstream.upstream_id, model, tuple(shared))
            )
        weight = req.service.get_model_weight(model) if model else 1.0
        n_tokens = sum(part.n_tokens for part in parts)
        self.tables.work_split.record(
            req.service.name, n_tokens * weight, unread * weight, self.clock.now()
        )
        return PromptWork(load, unread * weight)

    def uncount_run(self, req: GatewayRequest) -> None:
        """Subtract a counted run, since the upstream rejected the request without running it."""
        req.n_runs -= 1

    def record_outcome(
        self,
        req: GatewayRequest,
        upstream: Upstream,
        outcome: Outcome,
        *,
        first_s: float | None = None,
        pause_s: float | None = None,
    ) -> None:
        """Update the upstream's health and its version's counts by an attempt's outcome.

        Parameters
        ----------
        first_s, pause_s : float or None
            Time to the first event or the complete answer, and mean time between events, in
            seconds; None if not measured.
        """
        now = self.clock.now()
        load = self.tables.get_load(upstream.upstream_id)
        if update_health(load, outcome, now):
            self.observer.record_suspension(upstream, outcome, load.suspended_until - now)
        if outcome is Outcome.LATE:
            self.outcome_counts.record_late(
                upstream.service, upstream.version, req.route.name, upstream.upstream_id, now
            )
        elif outcome in (Outcome.SUCCESS, Outcome.FAILURE):
            order = self.tables.orders.get(upstream.service)
            self.outcome_counts.record_outcome(
                upstream.service,
                upstream.version,
                req.route.name,
                is_failure=outcome is not Outcome.SUCCESS,
                model=req.model,
                first_s=first_s,
                pause_s=pause_s,
                is_reference=order is None or upstream.version != order.version,
            )

    def record_first_event(self, req: GatewayRequest, attempt: Attempt, first_s: float) -> None:
        """Record the time to a stream's first event, or for which none has arrived."""
        now = self.clock.now()
        queued_tokens = attempt.work.queued_tokens
        service, model = req.service.name, attempt.model
        expected_s = self.pace.compute_first_event_s(service, model, queued_tokens, now)
        run = UpstreamRun.of(attempt.upstream)
        speed = self.tables.capacities.get_speed(run, now)
        load = self.tables.get_load(attempt.upstream.upstream_id)
        record_answer_time(load, first_s, expected_s / speed, now)
        self.tables.capacities.record(run, first_s, expected_s, now)
        self.pace.record_first_event(service, model, queued_tokens, first_s, now)

    def record_plain_answer(
        self, req: GatewayRequest, upstream: Upstream, elapsed_s: float
    ) -> None:
        """Record the time to a plain answer."""
        now = self.clock.now()
        expected_s = self.pace.compute_plain_s(req.service.name)
        if expected_s is not None:
            load = self.tables.get_load(upstream.upstream_id)
            record_answer_time(load, elapsed_s, expected_s, now)
        self.pace.record_plain_answer(req.service.name, elapsed_s, now)
        self.pace.plain_times.record(req.route.name, now - req.arrived_at, now)

    def is_banned(self, req: GatewayRequest, now: float) -> bool:
        """Return whether a request is refused, since it crashes upstreams."""
        return self.bans.find_reason(req.digest, req.caller.prefix, now) is not None

    def record_answer_progress(self, req: GatewayRequest) -> None:
        """Record that an answer went on beyond the time at which its prompt would crash."""
        self.bans.crashing_parts.record_answer(get_suspect_ids(req.caller.prefix), self.clock.now())

    def record_call_error(
        self,
        req: GatewayRequest,
        upstream: Upstream,
        exc: CallError,
        *,
        has_progressed: bool = False,
    ) -> trio.Event:
        """Record an attempt that failed without a valid reply; check for a crash.

        Parameters
        ----------
        has_progressed : bool
            Whether the answer went on beyond the time at which its prompt would crash.

        Returns
        -------
        trio.Event
            Set once the check for a crash has ended.
        """
        checked = trio.Event()
        if exc.is_unsent or exc.failure is CallFailure.CLOSED:
            checked.set()
            if exc.failure is not CallFailure.CLOSED:
                self.record_outcome(req, upstream, Outcome.SILENT)
        else:
            self.record_outcome(req, upstream, Outcome.BROKEN)
            self.spawn(self.crash_detector.check, req, upstream, has_progressed, checked)
        return checked

    async def wait_for_crash_check(self, req: GatewayRequest, checked: trio.Event) -> None:
        """Wait for a check for a crash, if its result may be that the request is refused."""
        if req.caller.prefix or self.bans.crashes.is_suspect(req.digest):
            with trio.move_on_after(CRASH_CHECK_WAIT_S):
                await checked.wait()
