"""What the ways of plain requests and of streams have in common."""

from abc import ABC, abstractmethod

import trio

from crocusvalve.base import Ran
from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.gateway._attempts import AttemptManager
from crocusvalve.gateway._listener import AnswerAbortedError, Responder
from crocusvalve.gateway._placement import PlacementReason
from crocusvalve.gateway._request import GatewayRequest, RequestEnd
from crocusvalve.gateway.base import Upstream

__all__ = ["Flow", "make_gateway_error"]

#: Time between looks for an upstream, and the part of the goal that a request waits for one.
POLL_INTERVAL_S = 0.05
MAX_WAIT_FRACTION = 0.3
#: When a caller may come back whose request no upstream took: suspended ones return by then.
RETRY_AFTER_S = 0.3
#: The same where no upstream is there or allowed: domains and upstreams are out for seconds.
ABSENT_RETRY_AFTER_S = 2.0
ABSENT_REASONS = (PlacementReason.NONE_REGISTERED, PlacementReason.NONE_ALLOWED)


def make_gateway_error(req: GatewayRequest, message: str, step: str) -> RefusedError:
    """Make the error of a request that is given up; it tells the truth of whether it ran."""
    if req.has_run:
        return RefusedError(ErrorCode.UPSTREAM_FAILED, message, step=step, ran=Ran.UNKNOWN)
    is_absent = req.placement is not None and req.placement.reason in ABSENT_REASONS
    retry_after_s = ABSENT_RETRY_AFTER_S if is_absent else RETRY_AFTER_S
    return RefusedError(ErrorCode.NO_UPSTREAM, message, step=step, retry_after_s=retry_after_s)


class Flow(ABC):
    """Way of a kind of request.

    Parameters
    ----------
    attempt_manager : AttemptManager
        Places attempts.
    """

    def __init__(self, attempt_manager: AttemptManager):
        self.attempt_manager = attempt_manager
        self.clock = attempt_manager.clock

    async def run(self, req: GatewayRequest, responder: Responder) -> RequestEnd:
        """Answer a request within the time that it has.

        Raises
        ------
        RefusedError
            Where nothing of the answer was sent and none can be had.
        AnswerAbortedError
            Where a part was sent and the rest can't be had.
        """
        with trio.move_on_after(max(0.0, req.compute_left_s(self.clock.now()))):
            return await self.answer(req, responder)
        if responder.has_started:
            raise AnswerAbortedError("the time allowed is over")
        if req.has_run:
            message = "no answer within the time allowed"
            raise RefusedError(ErrorCode.DEADLINE_PASSED, message, step="wait", ran=Ran.UNKNOWN)
        raise make_gateway_error(req, "no upstream was free in time", "wait")

    @abstractmethod
    async def answer(self, req: GatewayRequest, responder: Responder) -> RequestEnd:
        """Answer a request; cancelled when its time is over."""

    async def wait_for_upstream(
        self, req: GatewayRequest, since: float, model: str = ""
    ) -> Upstream | None:
        """Return an upstream for the next attempt; wait for one a part of the goal.

        Those that rejected the request are asked again while it waits.

        Parameters
        ----------
        since : float
            Time from which the part of the goal is counted.
        """
        until = since + MAX_WAIT_FRACTION * req.route.goal_s
        while True:
            now = self.clock.now()
            upstream = self.find_upstream(req, now, model)
            if req.compute_left_s(now) <= 0.0:
                return None
            if upstream is not None or now >= until:
                return upstream
            req.tried.clear()
            await trio.sleep(POLL_INTERVAL_S)
            req.waited_s += self.clock.now() - now

    def find_upstream(self, req: GatewayRequest, now: float, model: str = "") -> Upstream | None:
        """Return an upstream for the next attempt, or None; the request keeps the reason."""
        req.placement = self.attempt_manager.place(req, now, model)
        return req.placement.upstream
