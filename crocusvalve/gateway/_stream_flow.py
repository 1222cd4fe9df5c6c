"""Way of a stream: events passed on as they come, resumed where an upstream breaks off."""

from enum import Enum

import trio
from msgspec import Struct

from crocusvalve.gateway._attempts import Attempt
from crocusvalve.gateway._cascade import choose_larger_model
from crocusvalve.gateway._events import EventSplitter, StreamEvent
from crocusvalve.gateway._flow import Flow, make_gateway_error
from crocusvalve.gateway._health import Outcome
from crocusvalve.gateway._listener import AnswerAbortedError, Responder
from crocusvalve.gateway._request import GatewayRequest, RequestEnd
from crocusvalve.gateway._upstream_call import CallError, CallFailure
from crocusvalve.gateway.base import Reply, Upstream

__all__ = ["StreamFlow"]

MAX_FAILURE_BYTES = 1024 * 1024
#: Part of the goal after which a first event that hasn't come is asked for elsewhere.
FIRST_EVENT_PART = 0.9
#: Events from which the pace of a stream is judged.
MIN_PACED_EVENTS = 4
#: Prompt tokens of the costliest model that an upstream reads in a second, from the users' sheet,
#: and the multiple of the time for its work that is waited besides.
READ_TOKENS_PER_S = 18_000.0
PATIENCE = 3.0
#: Time from the last prompt token to the first event, from the users' sheet.
FIRST_EVENT_S = 0.12
#: Part of the longest good pause after which the stream is resumed elsewhere.
STALL_PART = 0.8


class _End(Enum):
    WHOLE = "whole"
    LARGER_MODEL = "larger_model"
    NOT_RUN = "not_run"
    #: The upstream answered with a failure.
    FAILED = "failed"
    #: The stream broke, or stalled.
    LOST = "lost"


class _Progress(Struct):
    """How far the answer is; ``failure`` is the upstream's last one, to be passed on."""

    model: str
    last_event_id: bytes
    failure: tuple[Reply, bytes] | None = None


class StreamFlow(Flow):
    """Runs streams."""

    async def answer(self, req: GatewayRequest, responder: Responder) -> RequestEnd:
        """Answer a request."""
        models = req.route.models
        progress = _Progress(
            model=models[0] if models else "", last_event_id=req.caller.last_event_id
        )
        while True:
            upstream = await self.wait_for_upstream(req, self.clock.now(), progress.model)
            if upstream is None:
                return await self._give_up(req, progress, responder, "place")
            if responder.has_started:
                self.desk.observer.count_resume(req.route.name)
            end = await self._attempt(req, progress, upstream, responder)
            if end is _End.WHOLE:
                await responder.finish()
                return RequestEnd.ANSWERED
            if not self._may_go_on(req, end):
                return await self._give_up(req, progress, responder, "attempt")

    async def _give_up(
        self, req: GatewayRequest, progress: _Progress, responder: Responder, step: str
    ) -> RequestEnd:
        if responder.has_started:
            raise AnswerAbortedError("the stream can't be resumed")
        if progress.failure is not None:
            reply, body = progress.failure
            await responder.answer(reply.status, reply.headers, body)
            return RequestEnd.UPSTREAM_FAILURE
        raise make_gateway_error(req, "no upstream gave an answer", step)

    def _may_go_on(self, req: GatewayRequest, end: _End) -> bool:
        if not self.desk.may_send_again(req, self.clock.now()):
            return False
        if end is _End.NOT_RUN:
            return True
        is_repeatable = req.route.is_repeatable or end is _End.LARGER_MODEL
        return is_repeatable and req.n_attempts_left > 0

    async def _attempt(
        self, req: GatewayRequest, progress: _Progress, upstream: Upstream, responder: Responder
    ) -> _End:
        started_at = self.clock.now()
        n_before = req.n_events
        try:
            async with self.desk.attempt(
                req, upstream, model=progress.model, last_event_id=progress.last_event_id
            ) as attempt:
                end = await self._follow(req, progress, attempt, responder, started_at)
        except CallError as exc:
            self.desk.note_error(req, upstream, exc)
            req.notes.append(f"{upstream.upstream_id}:{exc.failure.value}")
            end = _End.NOT_RUN if exc.is_unsent else _End.LOST
        if end not in (_End.WHOLE, _End.LARGER_MODEL):
            req.tried.add(upstream.upstream_id)
        if end is _End.LOST and req.n_events > n_before:
            req.notes.append(f"broke after {req.n_events} events")
        return end

    async def _follow(
        self,
        req: GatewayRequest,
        progress: _Progress,
        attempt: Attempt,
        responder: Responder,
        started_at: float,
    ) -> _End:
        """Read one reply and pass its events on."""
        upstream = attempt.upstream
        first_s = self._compute_first_event_s(req, attempt)
        reply: Reply | None = None
        with trio.move_on_after(first_s) as scope:
            reply = await attempt.read_head(req.caller.attempt_id)
            if reply.is_not_run:
                self.desk.note_not_run(req)
                self.desk.record_outcome(req, upstream, Outcome.FULL)
                req.notes.append(f"{upstream.upstream_id}:not_run")
                return _End.NOT_RUN
            if reply.status != 200:
                return await self._take_failure(req, progress, attempt, reply)
            larger = None
            if req.route.models and not req.n_events:
                larger = choose_larger_model(
                    req.route.models,
                    progress.model,
                    reply.confidence,
                    req.n_attempts_left,
                    is_in_time=lambda: self._is_in_time(req),
                )
            if larger is not None and self.desk.may_send_again(req, self.clock.now()):
                waited_s = self.clock.now() - started_at
                self.desk.record_outcome(req, upstream, Outcome.SUCCESS, first_s=waited_s)
                req.notes.append(
                    f"{progress.model}:confidence {reply.confidence:.0f} after {waited_s:.2f} s"
                )
                self.desk.observer.count_escalation(req.route.name)
                progress.model = larger
                return _End.LARGER_MODEL
            splitter = EventSplitter()
            events, is_over = await self._read_events(attempt, splitter)
        if scope.cancelled_caught:
            self.desk.record_outcome(req, upstream, Outcome.LATE)
            req.notes.append(f"{upstream.upstream_id}:no event in {first_s:.2f} s")
            return _End.LOST
        attempt.work.finish()
        first_at = self.clock.now()
        n_before = req.n_events
        self.desk.record_outcome(req, upstream, Outcome.SUCCESS, first_s=first_at - started_at)
        stall_s = STALL_PART * req.route.gap_goal_s
        while True:
            if events and req.first_event_at is None:
                req.first_event_at = self.clock.now()
            await self._pass_on(req, progress, reply, events, responder)
            if is_over:
                self._note_pause(req, upstream, req.n_events - n_before, first_at)
                return _End.WHOLE
            with trio.move_on_after(stall_s) as scope:
                events, is_over = await self._read_events(attempt, splitter)
            if scope.cancelled_caught:
                if not self._may_go_on(req, _End.LOST):
                    stall_s = float("inf")
                    events = []
                    continue
                self.desk.record_outcome(req, upstream, Outcome.LATE)
                req.notes.append(f"{upstream.upstream_id}:stalled")
                return _End.LOST

    def _compute_first_event_s(self, req: GatewayRequest, attempt: Attempt) -> float:
        """Return how long to wait for a first event; the longer, the more the upstream has to do.

        A busy upstream is waited for, since asking a second one adds to the load of all.
        """
        if req.n_attempts_left > 0 and req.route.is_repeatable:
            work_s = attempt.work.queued_tokens / READ_TOKENS_PER_S
            return FIRST_EVENT_PART * req.route.goal_s + PATIENCE * work_s
        return float("inf")

    def _note_pause(
        self, req: GatewayRequest, upstream: Upstream, n_events: int, first_at: float
    ) -> None:
        if n_events >= MIN_PACED_EVENTS:
            pause_s = (self.clock.now() - first_at) / n_events
            self.desk.record_outcome(req, upstream, Outcome.SUCCESS, pause_s=pause_s)

    def _is_in_time(self, req: GatewayRequest) -> bool:
        """Tell whether the largest model's first event would come within the goal."""
        now = self.clock.now()
        placement = self.desk.place(req, now, req.route.models[-1])
        expected_s = FIRST_EVENT_S + placement.work / READ_TOKENS_PER_S
        return now + expected_s <= req.arrived_at + req.route.goal_s

    async def _take_failure(
        self, req: GatewayRequest, progress: _Progress, attempt: Attempt, reply: Reply
    ) -> _End:
        body = await attempt.read_whole(MAX_FAILURE_BYTES)
        progress.failure = (reply, body)
        self.desk.record_outcome(req, attempt.upstream, Outcome.FAILURE)
        req.notes.append(f"{attempt.upstream.upstream_id}:status {reply.status}")
        if reply.status < 500:
            req.n_runs = req.route.max_attempts
        return _End.FAILED

    @staticmethod
    async def _read_events(
        attempt: Attempt, splitter: EventSplitter
    ) -> tuple[list[StreamEvent], bool]:
        """Read until an event is whole or the reply has ended."""
        while True:
            part = await attempt.call.read_part()
            if part is None:
                if splitter.has_rest:
                    raise CallError(
                        CallFailure.BROKEN,
                        "the stream ended within an event",
                        step="read_body",
                        peer=attempt.call.peer,
                    )
                return [], True
            events = splitter.feed(part)
            if events:
                return events, False
            if splitter.is_too_long:
                raise CallError(
                    CallFailure.DAMAGED,
                    "an event is too long",
                    step="read_body",
                    peer=attempt.call.peer,
                )

    @staticmethod
    async def _pass_on(
        req: GatewayRequest,
        progress: _Progress,
        reply: Reply,
        events: list[StreamEvent],
        responder: Responder,
    ) -> None:
        data = b"".join(event.data for event in events)
        if not responder.has_started:
            await responder.start(reply.status, reply.headers, data)
        elif data:
            await responder.send(data)
        for event in events:
            req.n_events += 1
            progress.last_event_id = event.event_id or progress.last_event_id
