"""Base of the flows of plain requests and of streams: search for an upstream, deadline, errors."""

from abc import abstractmethod
from collections.abc import Callable

import trio

from crocusvalve.base import ExecutionStatus
from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.gateway.base import ServiceName, Upstream
from crocusvalve.gateway.callers._listener import AnswerAbortedError, Responder
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.decisions._placement import Placement, PlacementReason
from crocusvalve.gateway.decisions._return_schedule import ReturnSchedule
from crocusvalve.gateway.decisions._tickets import RefusalReason
from crocusvalve.gateway.flows._request import GatewayRequest, RequestEnd
from crocusvalve.gateway.flows._upstream_wait import UpstreamFinder, UpstreamWait
from crocusvalve.gateway.flows._waiting import WaitingRoom
from crocusvalve.gateway.upstreams._attempts import AttemptManager

__all__ = ["Flow", "compute_retry_after_s", "make_gateway_error"]

#: Seconds after which a caller may retry a request that no upstream accepted; suspended upstreams
#: are tried again by then.
RETRY_AFTER_S = 0.3
#: The same delay if no upstream is registered or allowed: failure domains and upstreams stay
#: unavailable for seconds.
ABSENT_RETRY_AFTER_S = 2.0
#: Shortest such delay.
MIN_RETRY_AFTER_S = 0.05
ABSENT_REASONS = (PlacementReason.NONE_REGISTERED, PlacementReason.NONE_ALLOWED)


def make_gateway_error(req: GatewayRequest, message: str, step: str, now: float) -> RefusedError:
    """Make the error of an abandoned request; its ``ran`` says whether it may have run."""
    is_banned = req.placement is not None and req.placement.reason is PlacementReason.BANNED
    if is_banned or req.is_withdrawn:
        message = "the request, or a part of its prompt, crashes upstreams"
    if req.has_run:
        return RefusedError(
            ErrorCode.UPSTREAM_FAILED, message, step=step, ran=ExecutionStatus.UNKNOWN
        )
    if is_banned or req.is_withdrawn:
        return RefusedError(ErrorCode.CRASHES_UPSTREAMS, message, step=step)
    retry_after_s = compute_retry_after_s(req.placement, now)
    return_at = req.retry_at if req.return_at is None else req.return_at
    if return_at is not None:
        retry_after_s = max(MIN_RETRY_AFTER_S, return_at - now)
    return RefusedError(ErrorCode.NO_UPSTREAM, message, step=step, retry_after_s=retry_after_s)


def compute_retry_after_s(placement: Placement | None, now: float) -> float:
    """Return the seconds after which a caller may retry, by why there was no upstream."""
    if placement is None:
        return RETRY_AFTER_S
    if placement.reopens_at is not None:
        return max(MIN_RETRY_AFTER_S, placement.reopens_at - now)
    return ABSENT_RETRY_AFTER_S if placement.reason in ABSENT_REASONS else RETRY_AFTER_S


class Flow(UpstreamFinder):
    """Life cycle of one kind of request, from its admission to the end of its answer.

    Parameters
    ----------
    attempt_manager : AttemptManager
        Chooses upstreams and sends the attempts.
    waiting_room : WaitingRoom
        Requests of the gateway that wait for an upstream.
    """

    def __init__(self, attempt_manager: AttemptManager, waiting_room: WaitingRoom):
        self.attempt_manager = attempt_manager
        self.waiting_room = waiting_room
        self.clock = attempt_manager.clock
        self._running: dict[trio.CancelScope, GatewayRequest] = {}
        self._schedules: dict[ServiceName, ReturnSchedule] = {}

    def limit_deadlines(self, until: float, now: float) -> None:
        """End all running requests at a local time in seconds, unless they end earlier."""
        for scope, req in self._running.items():
            req.deadline = min(req.deadline, until)
            left_s = max(0.0, req.compute_left_s(now))
            scope.deadline = min(scope.deadline, trio.current_time() + left_s)

    def end_requests(self, must_end: Callable[[GatewayRequest], bool], retry_s: float) -> None:
        """End the running requests that can't end before the gateway does.

        Parameters
        ----------
        retry_s : float
            Seconds after which their callers may retry those that haven't run.
        """
        for scope, req in self._running.items():
            if req.stop_retry_s is None and must_end(req):
                req.stop_retry_s = retry_s
                scope.cancel()

    def withdraw_banned(self) -> None:
        """End running requests without an answer that have become known to crash upstreams.

        They may wait in the queue of an upstream, which would crash when it begins to run them.
        """
        now = self.clock.now()
        for scope, req in self._running.items():
            if req.first_event_at is None and self.attempt_manager.is_banned(req, now):
                req.is_withdrawn = True
                scope.cancel()

    async def run(self, req: GatewayRequest, responder: Responder) -> RequestEnd:
        """Answer a request before its deadline.

        Raises
        ------
        RefusedError
            If nothing of the answer was sent and no answer can be obtained.
        AnswerAbortedError
            If a part was sent and the rest can't be obtained.
        """
        with trio.move_on_after(max(0.0, req.compute_left_s(self.clock.now()))) as scope:
            self._running[scope] = req
            try:
                return await self.answer(req, responder)
            finally:
                del self._running[scope]
        if req.is_withdrawn and responder.has_started:
            raise AnswerAbortedError("the request has become known to crash upstreams")
        if req.is_withdrawn:
            raise self.make_refusal(req, "withdrawn", "wait")
        if responder.has_started:
            self.record_cut_answer(req)
            cause = "the deadline passed" if req.stop_retry_s is None else "the gateway has stopped"
            raise AnswerAbortedError(f"{cause} within the answer")
        if req.has_run:
            message = "no answer before the deadline"
            raise RefusedError(
                ErrorCode.DEADLINE_PASSED, message, step="wait", ran=ExecutionStatus.UNKNOWN
            )
        if req.stop_retry_s is not None:
            message = "the gateway stops before the request could end"
            raise RefusedError(
                ErrorCode.DRAINING, message, step="wait", retry_after_s=req.stop_retry_s
            )
        message = "no upstream was available before the deadline"
        raise self.make_refusal(req, message, "wait")

    @abstractmethod
    async def answer(self, req: GatewayRequest, responder: Responder) -> RequestEnd:
        """Answer a request; cancelled at its deadline."""

    def record_cut_answer(self, req: GatewayRequest) -> None:  # noqa: B027
        """Record that the deadline passed within an answer."""

    async def wait_for_upstream(
        self, req: GatewayRequest, since: float, model: str = ""
    ) -> Upstream | None:
        """Return an upstream for the next attempt, waiting up to a fraction of the route's goal.

        The queue of the service decides when the request is sent. Upstreams that rejected it are
        considered again then.

        Parameters
        ----------
        since : float
            Time of the gateway's clock in seconds from which the wait is counted.
        """
        now = self.clock.now()
        return await UpstreamWait(self, req, model, since, now).run(now, self.clock.now)

    def book_return(self, req: GatewayRequest, now: float) -> float | None:
        """Return when an upstream takes a request; those of limited ones follow each other."""
        placement = req.placement
        if placement.reason is not PlacementReason.ALL_LIMITED:
            req.return_at = None
        elif req.return_at is None or req.return_at <= now:
            schedule = self._schedules.setdefault(req.service.name, ReturnSchedule())
            req.return_at = schedule.book(placement.reopens_at, placement.reopen_interval_s, now)
        return placement.reopens_at if req.return_at is None else req.return_at

    def yield_to_booked(self, req: GatewayRequest, upstream: Upstream | None, now: float) -> bool:
        """Return whether a limited upstream's next request is for another caller.

        The placement is changed accordingly.
        """
        schedule = self._schedules.get(req.service.name)
        run = None if upstream is None else UpstreamRun.of(upstream)
        interval_s = None if run is None else self.attempt_manager.get_limit_interval_s(run)
        if schedule is None or interval_s is None:
            return False
        if schedule.take(req.return_at, interval_s, now):
            return False
        req.placement = Placement(
            None,
            PlacementReason.ALL_LIMITED,
            reopens_at=now + interval_s,
            reopen_interval_s=interval_s,
        )
        return True

    def find_upstream(self, req: GatewayRequest, now: float, model: str = "") -> Upstream | None:
        """Return an upstream for the next attempt, or None; the reason is in ``req.placement``."""
        req.placement = self.attempt_manager.place(req, now, model)
        return req.placement.upstream

    def make_refusal(self, req: GatewayRequest, message: str, step: str) -> RefusedError:
        """Make the error of an abandoned request, with a time of its own for its return."""
        now = self.clock.now()
        is_banned = req.placement is not None and req.placement.reason is PlacementReason.BANNED
        if req.refusal is None and not (req.has_run or is_banned or req.is_withdrawn):
            waiting = self.waiting_room.get(req.service.name)
            earliest_at = self.compute_retry_at(req, now)
            req.retry_at = waiting.queue.book_return(req.digest, earliest_at, now)
            req.refusal = RefusalReason.REJECTED
            waiting.count_refusal(req.refusal)
        return make_gateway_error(req, message, step, now)

    def compute_retry_at(self, req: GatewayRequest, now: float) -> float:
        """Return the local time in seconds before which no upstream takes a request."""
        return now + compute_retry_after_s(req.placement, now)
