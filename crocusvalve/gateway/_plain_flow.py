"""Way of a plain request: one answer, read whole before it is passed on."""

from enum import Enum

import trio
from msgspec import Struct

from crocusvalve.base import Ran
from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.gateway._attempts import AttemptDesk
from crocusvalve.gateway._health import Outcome
from crocusvalve.gateway._listener import Responder
from crocusvalve.gateway._request import GatewayRequest, RequestEnd
from crocusvalve.gateway._upstream_call import CallError
from crocusvalve.gateway.base import Reply, RouteKind, Upstream

__all__ = ["PlainFlow", "make_gateway_error"]

MAX_BODY_BYTES = 8 * 1024 * 1024
#: A safe request that has no answer after this part of its goal is sent to a second upstream.
HEDGE_PART = 0.5
#: Time between looks for a free upstream, and the part of the goal that a request waits for one.
LOOK_S = 0.05
WAIT_PART = 0.3
RETRY_AFTER_S = 0.3


class _End(Enum):
    REPLIED = "replied"
    NOT_RUN = "not_run"
    LOST = "lost"


class _Result(Struct, frozen=True):
    end: _End
    upstream: Upstream
    reply: Reply | None = None
    body: bytes = b""


def make_gateway_error(req: GatewayRequest, message: str, step: str) -> RefusedError:
    """Make the error of a request that is given up; it tells the truth of whether it ran."""
    if req.has_run:
        return RefusedError(ErrorCode.UPSTREAM_FAILED, message, step=step, ran=Ran.UNKNOWN)
    return RefusedError(ErrorCode.NO_UPSTREAM, message, step=step, retry_after_s=RETRY_AFTER_S)


class PlainFlow:
    """Runs plain requests.

    Parameters
    ----------
    desk : AttemptDesk
        Places attempts.
    """

    def __init__(self, desk: AttemptDesk):
        self.desk = desk
        self.clock = desk.clock

    async def run(self, req: GatewayRequest, responder: Responder) -> RequestEnd:
        """Answer a request.

        Raises
        ------
        RefusedError
            Where no upstream gave an answer.
        """
        result: _Result | None = None
        with trio.move_on_after(max(0.0, req.compute_left_s(self.clock.now()))):
            result = await self._find_answer(req)
        if result is None:
            raise self._make_late(req)
        reply = result.reply
        await responder.answer(reply.status, reply.headers, result.body)
        return RequestEnd.ANSWERED if reply.status < 400 else RequestEnd.UPSTREAM_FAILURE

    def _make_late(self, req: GatewayRequest) -> RefusedError:
        if req.has_run:
            message = "no answer within the time allowed"
            return RefusedError(ErrorCode.DEADLINE_PASSED, message, step="wait", ran=Ran.UNKNOWN)
        return make_gateway_error(req, "no upstream was free in time", "wait")

    async def _find_answer(self, req: GatewayRequest) -> _Result:
        async with trio.open_nursery() as nursery:
            answer = await self._run_attempts(req, nursery)
            nursery.cancel_scope.cancel()
        if isinstance(answer, RefusedError):
            raise answer
        return answer

    async def _run_attempts(
        self, req: GatewayRequest, nursery: trio.Nursery
    ) -> _Result | RefusedError:
        send, receive = trio.open_memory_channel[_Result](req.route.max_attempts + 8)
        hedge_s: float | None = HEDGE_PART * req.route.goal_s
        n_pending = 0
        failure: _Result | None = None
        while True:
            if not n_pending:
                upstream = await self._wait_for_upstream(req, is_first=not req.n_arrivals)
                if upstream is None:
                    message = "no upstream takes the request"
                    return failure or make_gateway_error(req, message, "place")
                nursery.start_soon(self._attempt, req, upstream, send)
                n_pending += 1
            result = await self._receive(req, receive, hedge_s if n_pending == 1 else None)
            if result is None:
                # Late: a second upstream is asked as well.
                hedge_s = None
                upstream = self._find_upstream(req) if self._may_repeat(req) else None
                if upstream is not None:
                    req.notes.append("hedge")
                    nursery.start_soon(self._attempt, req, upstream, send)
                    n_pending += 1
                continue
            n_pending -= 1
            if result.end is _End.REPLIED:
                if result.reply.status < 500:
                    return result
                failure = result
            if not n_pending and not self._may_go_on(req, result):
                return failure or make_gateway_error(req, "the upstream gave no answer", "attempt")

    def _may_repeat(self, req: GatewayRequest) -> bool:
        return (
            req.route.kind is RouteKind.SAFE
            and req.n_attempts_left > 0
            and self.desk.may_send_again(req, self.clock.now())
        )

    def _may_go_on(self, req: GatewayRequest, result: _Result) -> bool:
        if result.end is _End.NOT_RUN and not req.has_run:
            return self.desk.may_send_again(req, self.clock.now())
        return self._may_repeat(req)

    def _find_upstream(self, req: GatewayRequest) -> Upstream | None:
        return self.desk.place(req, self.clock.now()).upstream

    async def _wait_for_upstream(self, req: GatewayRequest, is_first: bool) -> Upstream | None:
        """Return an upstream; wait for one a part of the goal where the request has not run."""
        until = req.arrived_at + WAIT_PART * req.route.goal_s
        while True:
            upstream = self._find_upstream(req)
            if upstream is not None or req.has_run or self.clock.now() >= until:
                return upstream
            if not is_first:
                req.tried.clear()
            await trio.sleep(LOOK_S)

    @staticmethod
    async def _receive(
        req: GatewayRequest, receive: trio.MemoryReceiveChannel, hedge_s: float | None
    ) -> _Result | None:
        if hedge_s is None or req.route.kind is not RouteKind.SAFE:
            return await receive.receive()
        with trio.move_on_after(hedge_s):
            return await receive.receive()
        return None

    async def _attempt(
        self, req: GatewayRequest, upstream: Upstream, send: trio.MemorySendChannel
    ) -> None:
        req.tried.add(upstream.upstream_id)
        started_at = self.clock.now()
        try:
            async with self.desk.attempt(req, upstream, model="", last_event_id=b"") as attempt:
                reply = await attempt.read_head(req.caller.attempt_id)
                body = await attempt.read_whole(MAX_BODY_BYTES)
        except CallError as exc:
            self.desk.note_error(req, upstream, exc)
            req.notes.append(f"{upstream.upstream_id}:{exc.failure.value}")
            await send.send(_Result(_End.NOT_RUN if exc.is_unsent else _End.LOST, upstream))
            return
        elapsed_s = self.clock.now() - started_at
        if reply.is_not_run:
            self.desk.note_not_run(req)
            self.desk.note(req, upstream, Outcome.FULL)
            req.notes.append(f"{upstream.upstream_id}:not_run")
            await send.send(_Result(_End.NOT_RUN, upstream))
            return
        is_failure = reply.status >= 500
        outcome = Outcome.FAILURE if is_failure else Outcome.SUCCESS
        self.desk.note(req, upstream, outcome, first_s=elapsed_s)
        await send.send(_Result(_End.REPLIED, upstream, reply, body))
