"""Search of one request for an upstream, in the order that the queue of its service decides."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import trio

from crocusvalve.base import UpstreamId
from crocusvalve.gateway.base import Upstream
from crocusvalve.gateway.decisions._headroom import (
    compute_hold_s,
    find_full,
    has_urgent_routes,
)
from crocusvalve.gateway.decisions._placement import PlacementReason
from crocusvalve.gateway.decisions._tickets import AdmissionRequest, RefusalReason
from crocusvalve.gateway.flows._request import GatewayRequest
from crocusvalve.gateway.flows._waiting import WaitingRoom
from crocusvalve.gateway.upstreams._attempts import AttemptManager

__all__ = ["MAX_WAIT_FRACTION", "UpstreamFinder", "UpstreamWait"]

#: Fraction of the route's goal for which a request waits if all upstreams are closed or absent.
MAX_WAIT_FRACTION = 0.3
#: Reasons for which no place becomes free by the end of another request.
UNAVAILABLE_REASONS = (
    PlacementReason.NONE_REGISTERED,
    PlacementReason.NONE_ALLOWED,
    PlacementReason.ALL_CLOSED,
    PlacementReason.ALL_LIMITED,
)


class UpstreamFinder(ABC):
    """Finds upstreams for requests of one kind, plain ones or streams.

    Attributes
    ----------
    attempt_manager : AttemptManager
        Chooses upstreams.
    waiting_room : WaitingRoom
        Waiting requests of the gateway.
    """

    attempt_manager: AttemptManager
    waiting_room: WaitingRoom

    @abstractmethod
    def book_return(self, req: GatewayRequest, now: float) -> float | None:
        """Return when an upstream takes a request; those of limited ones follow each other."""

    @abstractmethod
    def yield_to_booked(self, req: GatewayRequest, upstream: Upstream | None, now: float) -> bool:
        """Return whether a limited upstream's next request is for a caller told to return."""

    @abstractmethod
    def compute_retry_at(self, req: GatewayRequest, now: float) -> float:
        """Return the local time in seconds before which no upstream takes a request."""

    @abstractmethod
    def estimate_answer_s(
        self, req: GatewayRequest, model: str, queued_tokens: float, now: float
    ) -> float | None:
        """Return the expected time to the first event or the answer; None if unknown.

        Parameters
        ----------
        queued_tokens : float
            Prompt tokens queued at the upstream, the request's own included, weighted by cost.
        """


class UpstreamWait:
    """Waits until a request is sent or refused.

    Parameters
    ----------
    since, now : float
        Times of the gateway's clock in seconds: from which the wait is counted, and the present.
    """

    def __init__(
        self, finder: UpstreamFinder, req: GatewayRequest, model: str, since: float, now: float
    ):
        self._finder = finder
        self._req = req
        self._model = model
        self._wait_s = MAX_WAIT_FRACTION * req.route.goal_s
        self._waiting = finder.waiting_room.get(req.service.name)
        #: Whether it leaves room for more urgent requests, until ``_hold_until``.
        self._leaves_room = self._has_urgent_routes()
        self._hold_until: float | None = None
        self._excluded: set[UpstreamId] = set()
        self._is_place_seen = False
        self._has_slept = False
        described = self._describe(now)
        #: Until then the request waits for upstreams that are closed or absent.
        self._reopen_limit = since + self._wait_s
        if described.was_rejected:
            self._waiting.record_rejection(req.upstream_id, req.n_sent_beside, now)
        self._ticket = self._waiting.join(described, self._reopen_limit, now)

    async def run(self, now: float, read_clock: Callable[[], float]) -> Upstream | None:
        """Return the upstream to which the request is to be sent, or None if it is refused."""
        ticket, req = self._ticket, self._req
        upstream = None
        try:
            while True:
                found = self._search(now)
                if req.compute_left_s(now) <= 0.0:
                    return None
                reopens_at = self._finder.book_return(req, now)
                if found is not None or req.placement.reason is PlacementReason.BANNED:
                    upstream = found
                    if upstream is not None:
                        req.n_sent_beside = self._waiting.count_own(upstream)
                    return upstream
                if not ticket.is_held and self._is_refused(reopens_at, now):
                    return None
                if ticket.is_offered:
                    self._waiting.block(ticket, reopens_at, now)
                if not ticket.is_waiting:
                    req.queue_length = len(self._waiting.queue) - 1
                self._waiting.begin_wait(ticket, now)
                while not self._is_turn(now):
                    now = await self._sleep(now, read_clock)
        except trio.Cancelled:
            now = read_clock()
            raise
        finally:
            self._waiting.leave(ticket, now, has_started=upstream is not None)

    async def _sleep(self, now: float, read_clock: Callable[[], float]) -> float:
        """Sleep until something has changed for the request, and return the time then."""
        ticket, req = self._ticket, self._req
        until = self._hold_until if ticket.is_held else ticket.wait_until
        await self._waiting.sleep(ticket, until, now)
        later, self._has_slept = read_clock(), True
        req.waited_s += later - now
        req.held_s += (later - now) * ticket.is_held
        self._waiting.keep_time(ticket, later)
        return later

    def _is_turn(self, now: float) -> bool:
        """Return whether the request is to search for an upstream, or to be refused."""
        ticket = self._ticket
        until = self._hold_until if ticket.is_held else ticket.wait_until
        return ticket.is_offered or ticket.refusal is not None or now >= until

    def _describe(self, now: float) -> AdmissionRequest:
        """Return what the queue knows of the request."""
        req, model = self._req, self._model
        weight = req.service.get_model_weight(model) if model else 1.0
        tokens = weight * req.caller.n_prompt_tokens
        answer_s = self._finder.estimate_answer_s(req, model, tokens, now) or 0.0
        return AdmissionRequest(
            key=req.digest,
            customer=req.customer.name if req.customer else "",
            rank=req.priority,
            kind=(model, req.versions, req.priority, self._leaves_room),
            start_by=min(req.arrived_at + req.route.goal_s, req.deadline) - answer_s,
            n_bytes=len(req.caller.body),
            was_sent=req.n_sends > 0,
            was_rejected=req.n_sends > 0 and not req.has_run,
        )

    def _search(self, now: float) -> Upstream | None:
        """Return an upstream if it is the request's turn, or its last chance.

        The placement says in any case what is known of the upstreams.
        """
        ticket, req = self._ticket, self._req
        if ticket.is_held and (now >= self._hold_until or ticket.refusal is not None):
            self._end_hold(now)
            self._waiting.offer(ticket)
        if ticket.is_offered and self._has_slept:
            req.tried.clear()
        self._excluded = req.tried | self._waiting.find_full(now)
        req.placement = self._finder.attempt_manager.place(req, now, self._model, self._excluded)
        upstream = req.placement.upstream
        if req.placement.reason not in UNAVAILABLE_REASONS:
            # A place may become free at any time, so it waits as long as it can be in time.
            ticket.wait_until = max(self._reopen_limit, ticket.req.start_by)
        if upstream is None:
            if ticket.is_held:
                self._end_hold(now)
            return None
        if self._leaves_room and self._hold_until is None:
            self._hold_until = now + self._compute_hold_s(now)
        if not ticket.is_offered and not self._may_overtake(now):
            return None
        upstream = self._leave_room(upstream, now)
        return None if self._finder.yield_to_booked(req, upstream, now) else upstream

    def _may_overtake(self, now: float) -> bool:
        """Return whether a request may be sent though the queue hasn't offered it.

        It is the last chance to send it, or it has found a place that has become free unnoticed and
        is the first in the queue.
        """
        ticket = self._ticket
        if self._leaves_room and now < self._hold_until:
            ticket.is_held = True
            return False
        if not self._waiting.has_place(now):
            return False
        if ticket.refusal is not None or now >= ticket.wait_until:
            return True
        self._is_place_seen = True
        self._waiting.record_free_place(now)
        return ticket.is_offered

    def _end_hold(self, now: float) -> None:
        """Treat the request from now on like any other that has just come."""
        self._ticket.is_held = self._leaves_room = False
        self._ticket.wait_until = self._reopen_limit = now + self._wait_s

    def _has_urgent_routes(self) -> bool:
        req, config = self._req, self._finder.attempt_manager.tables.config
        if config is None or req.n_sends:
            return False
        return has_urgent_routes(config.routes, req.service.name, req.route, req.priority)

    def _leave_room(self, upstream: Upstream, now: float) -> Upstream | None:
        """Return an upstream with room for more urgent requests, or None to wait for one."""
        req, ticket = self._req, self._ticket
        ticket.is_held = False
        if not self._leaves_room or now >= self._hold_until:
            return upstream
        manager = self._finder.attempt_manager
        crowded = find_full(manager.tables, req.service.name)
        if upstream.upstream_id not in crowded:
            return upstream
        placement = manager.place(req, now, self._model, self._excluded | crowded)
        if placement.reason in (PlacementReason.AFFINITY, PlacementReason.LEAST_LOADED):
            req.placement = placement
            return placement.upstream
        ticket.is_held = True
        return None

    def _compute_hold_s(self, now: float) -> float:
        req = self._req
        work = req.placement.work
        expected_s = self._finder.estimate_answer_s(req, self._model, work, now)
        if expected_s is None:
            return 0.0
        elapsed_s = now - req.arrived_at
        left_s, is_stream = req.compute_left_s(now), req.is_stream
        return compute_hold_s(req.route.goal_s, elapsed_s, expected_s, left_s, is_stream=is_stream)

    def _is_refused(self, reopens_at: float | None, now: float) -> bool:
        """Return whether the request is refused now; its caller then gets a time to return."""
        ticket, req, queue = self._ticket, self._req, self._waiting.queue
        earliest_at = self._finder.compute_retry_at(req, now)
        reason = ticket.refusal
        if reason is None and now >= ticket.wait_until:
            reason = RefusalReason.WAITED
        if reason is None and reopens_at is not None and reopens_at > self._reopen_limit:
            reason = RefusalReason.CLOSED
        if reason is None and not ticket.held_bytes and not self._is_place_seen:
            wait_s = queue.estimate(ticket, now)
            if wait_s is not None and now + wait_s > ticket.wait_until:
                reason = RefusalReason.TOO_LATE
        if reason is None:
            return False
        if reason is not RefusalReason.CLOSED:
            earliest_at = max(earliest_at, now + (queue.estimate(None, now) or 0.0))
        req.refusal = reason
        if not ticket.is_waiting:
            req.queue_length = len(queue) - 1
        req.retry_at = queue.book_return(req.digest, earliest_at, now)
        self._waiting.count_refusal(reason)
        return True
