"""Flow of a plain request: a single answer, read completely before it is forwarded."""

from contextlib import ExitStack
from enum import Enum
from functools import partial

import trio
from msgspec import Struct

from crocusvalve.base import UpstreamId
from crocusvalve.exceptions import RefusedError
from crocusvalve.gateway.base import Reply, RouteKind, Upstream
from crocusvalve.gateway.callers._listener import Responder
from crocusvalve.gateway.decisions._health import Outcome
from crocusvalve.gateway.flows._flow import Flow
from crocusvalve.gateway.flows._request import GatewayRequest, RequestEnd, check_claim
from crocusvalve.gateway.flows._waiting import WaitingRoom
from crocusvalve.gateway.upstreams._answer_memory import AnswerMemory
from crocusvalve.gateway.upstreams._attempt import Attempt
from crocusvalve.gateway.upstreams._attempts import AttemptManager
from crocusvalve.gateway.upstreams._upstream_call import CallError, CallFailure

__all__ = ["PlainFlow"]

#: Longest body of an answer.
MAX_BODY_BYTES = 8 * 1024 * 1024
#: Maximum size of all plain answers that a gateway holds: the smallest VMs have 88 MB, and the
#: process takes 52 MB of them.
MAX_HELD_BYTES = 16 * 1024 * 1024
#: Longer bodies are sent in parts of this size, so that they aren't copied as a whole.
SEND_BYTES = 65536
#: A safe request without an answer after this fraction of its goal is sent to a second upstream;
#: again so after the same time if that upstream has rejected or failed it.
HEDGE_FRACTION = 0.5
MIN_HEDGE_S = 0.05


class _AttemptEnd(Enum):
    REPLIED = "replied"
    #: The upstream rejected the request or was not reached; it has not run there.
    NOT_RUN = "not_run"
    #: The connection broke or the reply was corrupt; the request may have run.
    LOST = "lost"


class _Result(Struct, frozen=True):
    end: _AttemptEnd
    upstream: Upstream
    reply: Reply | None = None
    body: bytes | bytearray = b""


class PlainFlow(Flow):
    """Answers plain requests, with retries and a hedged attempt if the route allows them.

    Attributes
    ----------
    memory : AnswerMemory
        Answers that are held until they are complete and have been sent.
    """

    def __init__(self, attempt_manager: AttemptManager, waiting_room: WaitingRoom):
        super().__init__(attempt_manager, waiting_room)
        self.memory = AnswerMemory(MAX_HELD_BYTES)

    async def answer(self, req: GatewayRequest, responder: Responder) -> RequestEnd:
        """Forward the first good answer of an upstream, or the last failure."""
        with ExitStack() as held:
            result = await self._find_answer(req, held)
            check_claim(result.reply, result.upstream.upstream_id)
            await _send(responder, result)
        status = result.reply.status
        return RequestEnd.ANSWERED if status < 400 else RequestEnd.UPSTREAM_FAILURE

    async def _find_answer(self, req: GatewayRequest, held: ExitStack) -> _Result:
        async with trio.open_nursery() as nursery:
            answer = await self._run_attempts(req, nursery, held)
            nursery.cancel_scope.cancel()
        if isinstance(answer, RefusedError):
            raise answer
        return answer

    async def _run_attempts(
        self, req: GatewayRequest, nursery: trio.Nursery, held: ExitStack
    ) -> _Result | RefusedError:
        send, receive = trio.open_memory_channel[_Result](req.route.max_attempts + 8)
        pending: set[UpstreamId] = set()
        failure: _Result | None = None
        while True:
            if not pending:
                upstream = await self._find_next(req)
                if upstream is None:
                    message = "no upstream can accept the request"
                    return failure or self.make_refusal(req, message, "place")
                nursery.start_soon(self._attempt, req, upstream, send, held)
                pending.add(upstream.upstream_id)
            result = await self._receive_result(req, receive, may_hedge=len(pending) == 1)
            if result is None:
                # The answer is late: sends the request to a second upstream as well.
                upstream = self._find_hedge(req, pending)
                if upstream is not None:
                    req.notes.append("hedge")
                    nursery.start_soon(self._attempt, req, upstream, send, held)
                    pending.add(upstream.upstream_id)
                continue
            pending.discard(result.upstream.upstream_id)
            if result.end is _AttemptEnd.REPLIED:
                if result.reply.status < 500:
                    return result
                failure = result
            if not pending and not self._may_continue(req, result):
                message = "the upstream sent no answer"
                return failure or self.make_refusal(req, message, "attempt")

    def _find_hedge(self, req: GatewayRequest, pending: set[UpstreamId]) -> Upstream | None:
        """Return an upstream for a hedged attempt, or None.

        Without another one, upstreams that have rejected or failed the request may get it again.
        """
        if not self._may_repeat(req):
            return None
        upstream = self.find_upstream(req, self.clock.now())
        if upstream is None:
            req.tried.intersection_update(pending)
            upstream = self.find_upstream(req, self.clock.now())
        return upstream

    def _may_repeat(self, req: GatewayRequest) -> bool:
        return (
            req.route.kind is RouteKind.SAFE
            and req.n_attempts_left > 0
            and self.attempt_manager.may_send_again(req, self.clock.now())
        )

    def _may_continue(self, req: GatewayRequest, result: _Result) -> bool:
        if result.end is _AttemptEnd.NOT_RUN and not req.has_run:
            return self.attempt_manager.may_send_again(req, self.clock.now())
        return self._may_repeat(req)

    async def _find_next(self, req: GatewayRequest) -> Upstream | None:
        """Return an upstream or None; waits for one only while the request has not run."""
        if req.has_run:
            return self.find_upstream(req, self.clock.now())
        return await self.wait_for_upstream(req, req.arrived_at)

    def estimate_answer_s(
        self, req: GatewayRequest, model: str, queued_tokens: float, now: float
    ) -> float | None:
        """Return the mean time to an answer; None if nothing is learned."""
        return self.attempt_manager.pace.compute_plain_s(req.service.name)

    @staticmethod
    async def _receive_result(
        req: GatewayRequest, receive: trio.MemoryReceiveChannel, *, may_hedge: bool
    ) -> _Result | None:
        """Return the next result, or None if it is time for a hedged attempt."""
        if not may_hedge or req.route.kind is not RouteKind.SAFE:
            return await receive.receive()
        with trio.move_on_after(max(MIN_HEDGE_S, HEDGE_FRACTION * req.route.goal_s)):
            return await receive.receive()
        return None

    async def _attempt(
        self,
        req: GatewayRequest,
        upstream: Upstream,
        send: trio.MemorySendChannel,
        held: ExitStack,
    ) -> None:
        req.tried.add(upstream.upstream_id)
        started_at = self.clock.now()
        reply: Reply | None = None
        try:
            async with self.attempt_manager.start_attempt(
                req, upstream, model="", last_event_id=b""
            ) as attempt:
                reply = await attempt.read_head(req.caller.attempt_id)
                body = b"" if reply.is_not_run else await self._read_body(attempt, held)
        except trio.Cancelled:
            if reply is not None and self._is_late(req, started_at):
                # Its answer has begun and doesn't end.
                self.attempt_manager.record_outcome(req, upstream, Outcome.LATE)
            self._record_unanswered(req)
            raise
        except CallError as exc:
            checked = self.attempt_manager.record_call_error(req, upstream, exc)
            await self.attempt_manager.wait_for_crash_check(req, checked)
            reason = f", {exc.message}" if exc.failure is CallFailure.CORRUPT else ""
            req.notes.append(f"{upstream.upstream_id}:{exc.failure.value}{reason}")
            await send.send(
                _Result(_AttemptEnd.NOT_RUN if exc.is_unsent else _AttemptEnd.LOST, upstream)
            )
            return
        elapsed_s = self.clock.now() - started_at
        if reply.is_not_run:
            self.attempt_manager.uncount_run(req)
            self.attempt_manager.record_outcome(req, upstream, Outcome.FULL)
            req.notes.append(f"{upstream.upstream_id}:not_run")
            await send.send(_Result(_AttemptEnd.NOT_RUN, upstream))
            return
        self.attempt_manager.record_plain_answer(req, upstream, elapsed_s)
        if reply.is_success:
            self.attempt_manager.crash_detector.record_answer(req)
        if reply.status >= 500:
            self.attempt_manager.record_outcome(req, upstream, Outcome.FAILURE, first_s=elapsed_s)
        elif reply.status < 400:
            self.attempt_manager.record_outcome(req, upstream, Outcome.SUCCESS, first_s=elapsed_s)
        await send.send(_Result(_AttemptEnd.REPLIED, upstream, reply, body))

    def _record_unanswered(self, req: GatewayRequest) -> None:
        """Record that a request has no answer at its deadline, as one that takes so long."""
        now = self.clock.now()
        if req.compute_left_s(now) <= 0.0:
            times = self.attempt_manager.pace.plain_times
            times.record(req.route.name, now - req.arrived_at, now)

    def _is_late(self, req: GatewayRequest, started_at: float) -> bool:
        """Return whether an attempt has taken so long that it is hedged, or all of its time."""
        now = self.clock.now()
        is_hedged = now - started_at >= HEDGE_FRACTION * req.route.goal_s
        return is_hedged or req.compute_left_s(now) <= 0.0

    async def _read_body(self, attempt: Attempt, held: ExitStack) -> bytearray:
        """Read a body within the bound on memory; it is held until ``held`` is closed."""
        answer = held.enter_context(self.memory.hold())
        body = bytearray()
        try:
            with answer.scope:
                grow = partial(self.memory.grow, answer)
                body = await attempt.read_body(MAX_BODY_BYTES, grow)
                answer.is_complete = True
        finally:
            if not answer.is_complete:
                self.memory.release(answer)
        if not answer.is_complete:
            message = f"dropped at {answer.size} bytes, since no memory was left for answers"
            raise attempt.make_error(message, "read_body")
        return body


async def _send(responder: Responder, result: _Result) -> None:
    """Send an answer; a long one in parts."""
    reply, body = result.reply, result.body
    if len(body) <= SEND_BYTES:
        await responder.answer(reply.status, reply.headers, bytes(body))
        return
    await responder.start(reply.status, reply.headers)
    for start in range(0, len(body), SEND_BYTES):
        await responder.send(bytes(body[start : start + SEND_BYTES]))
    await responder.finish()
