"""Flow of a stream: forwards events as they arrive, and resumes an interrupted stream elsewhere."""

from enum import Enum

import trio
from msgspec import Struct

from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.gateway._attempt import Attempt
from crocusvalve.gateway._cascade import AnswerEstimate, choose_larger_model
from crocusvalve.gateway._events import EventSplitter, StreamEvent
from crocusvalve.gateway._flow import Flow, make_gateway_error
from crocusvalve.gateway._health import Outcome
from crocusvalve.gateway._listener import AnswerAbortedError, Responder
from crocusvalve.gateway._request import GatewayRequest, RequestEnd
from crocusvalve.gateway._upstream_call import CallError, CallFailure
from crocusvalve.gateway.base import Reply, Upstream

__all__ = ["StreamFlow"]

#: Longest body of an upstream's failure answer that is forwarded.
MAX_FAILURE_BYTES = 1024 * 1024
#: Fraction of the goal after which a request without a first event is sent to another upstream.
FIRST_EVENT_FRACTION = 0.9
#: An answer that goes on for this long after its first event shows that its prompt doesn't crash
#: upstreams; a crash comes within 0.1 s.
PROGRESS_S = 0.5
#: Longest time for which a lost request waits for the check whether its upstream has crashed, so
#: that it isn't sent on if its prompt is known to crash upstreams by then.
CRASH_CHECK_WAIT_S = 0.15
#: Minimum number of events of a stream at which the mean time between them is measured.
MIN_PACED_EVENTS = 4
#: Multiple of the expected time for an upstream's queued work that is waited in addition.
WORK_TIME_FACTOR = 3.0
#: Multiple of the expected duration of a larger model's answer that must be left for it.
DURATION_MARGIN = 1.25
#: Fraction of the goal for pauses between events after which a stream is resumed elsewhere.
STALL_FRACTION = 0.8


class _AttemptEnd(Enum):
    COMPLETE = "whole"
    #: The answer is discarded and a larger model asked instead.
    LARGER_MODEL = "larger_model"
    #: The upstream rejected the request or was not reached; it has not run there.
    NOT_RUN = "not_run"
    #: The upstream answered with a status other than 200.
    FAILED = "failed"
    #: The stream was interrupted, stalled or was corrupt.
    LOST = "lost"


class _Progress(Struct):
    """Progress of an answer over its attempts.

    ``failure`` is the last failure of an upstream, forwarded if no attempt succeeds.
    ``has_progressed`` is whether the present attempt's answer shows that the prompt doesn't crash
    upstreams.
    """

    model: str
    last_event_id: bytes
    failure: tuple[Reply, bytes] | None = None
    has_progressed: bool = False


class StreamFlow(Flow):
    """Answers requests for streams, with retries, resumption and escalation to a larger model."""

    async def answer(self, req: GatewayRequest, responder: Responder) -> RequestEnd:
        """Forward the events of one or several attempts until the stream is complete."""
        progress = _Progress(
            model=self._choose_first_model(req), last_event_id=req.caller.last_event_id
        )
        while True:
            upstream = await self.wait_for_upstream(req, self.clock.now(), progress.model)
            if upstream is None:
                return await self._give_up(req, progress, responder, "place")
            if self.attempt_manager.find_banned_part(req) is not None:
                return await self._refuse_banned(req, progress, responder)
            if responder.has_started:
                self.attempt_manager.observer.count_resume(req.route.name)
            end = await self._attempt(req, progress, upstream, responder)
            if end is _AttemptEnd.COMPLETE:
                await responder.finish()
                return RequestEnd.ANSWERED
            if not self._may_continue(req, end):
                return await self._give_up(req, progress, responder, "attempt")

    def _choose_first_model(self, req: GatewayRequest) -> str:
        """Return the cheapest model, or the largest one if the budget allows no second attempt.

        Load that it answers: most requests are too hard for the cheapest model, while the budget of
        extra attempts is used up by faults.
        """
        models = req.route.models
        if not models:
            return ""
        if len(models) > 1 and not self.attempt_manager.may_escalate(req, self.clock.now()):
            expected = self._estimate_larger_answer(req, models[-1])
            if expected.lateness <= 1.0 and expected.ends_in_time:
                return models[-1]
        return models[0]

    def record_cut_answer(self, req: GatewayRequest) -> None:
        """Record how long a stream took that the deadline has cut."""
        now = self.clock.now()
        if req.first_event_at is not None:
            duration_s = now - req.first_event_at
            self.attempt_manager.pace.record_cut_stream(
                req.service.name, req.model, req.caller.max_output_tokens, duration_s, now
            )

    async def _give_up(
        self, req: GatewayRequest, progress: _Progress, responder: Responder, step: str
    ) -> RequestEnd:
        if responder.has_started:
            reason = self._describe_obstacle(req, self.clock.now())
            raise AnswerAbortedError(f"the stream can't be resumed: {reason}")
        if progress.failure is not None:
            reply, body = progress.failure
            await responder.answer(reply.status, reply.headers, body)
            return RequestEnd.UPSTREAM_FAILURE
        raise make_gateway_error(req, "no upstream sent an answer", step, self.clock.now())

    def _describe_obstacle(self, req: GatewayRequest, now: float) -> str:
        """Return why a request that has run is not sent to another upstream."""
        if not req.route.is_repeatable:
            return "it may run only once"
        if req.n_attempts_left <= 0:
            return f"it has run {req.n_runs} times"
        if not self.attempt_manager.may_send_again(req, now):
            return "no budget for extra attempts"
        placement = req.placement
        return f"no upstream, {placement.reason.value}" if placement else "no upstream"

    async def _refuse_banned(
        self, req: GatewayRequest, progress: _Progress, responder: Responder
    ) -> RequestEnd:
        """Give up a request whose prompt has become known to crash upstreams while it waited."""
        if req.has_run:
            return await self._give_up(req, progress, responder, "place")
        message = "a part of the prompt crashes upstreams"
        raise RefusedError(ErrorCode.CRASHES_UPSTREAMS, message, step="place")

    def _may_continue(self, req: GatewayRequest, end: _AttemptEnd) -> bool:
        if not self.attempt_manager.may_send_again(req, self.clock.now()):
            return False
        if end is _AttemptEnd.NOT_RUN:
            return True
        is_repeatable = req.route.is_repeatable or end is _AttemptEnd.LARGER_MODEL
        return is_repeatable and req.n_attempts_left > 0

    async def _attempt(
        self, req: GatewayRequest, progress: _Progress, upstream: Upstream, responder: Responder
    ) -> _AttemptEnd:
        started_at = self.clock.now()
        n_before = req.n_events
        progress.has_progressed = False
        try:
            async with self.attempt_manager.start_attempt(
                req, upstream, model=progress.model, last_event_id=progress.last_event_id
            ) as attempt:
                end = await self._process_reply(req, progress, attempt, responder, started_at)
        except CallError as exc:
            checked = self.attempt_manager.record_call_error(
                req, upstream, exc, has_progressed=progress.has_progressed
            )
            if req.caller.prefix:
                with trio.move_on_after(CRASH_CHECK_WAIT_S):
                    await checked.wait()
            req.notes.append(f"{upstream.upstream_id}:{exc.failure.value}")
            end = _AttemptEnd.NOT_RUN if exc.is_unsent else _AttemptEnd.LOST
        if end not in (_AttemptEnd.COMPLETE, _AttemptEnd.LARGER_MODEL):
            req.tried.add(upstream.upstream_id)
        if end is _AttemptEnd.LOST and req.n_events > n_before:
            req.notes.append(f"interrupted after {req.n_events} events")
        return end

    async def _process_reply(
        self,
        req: GatewayRequest,
        progress: _Progress,
        attempt: Attempt,
        responder: Responder,
        started_at: float,
    ) -> _AttemptEnd:
        """Read one reply and forward its events."""
        upstream = attempt.upstream
        first_event_timeout_s = self._compute_first_event_s(req, attempt)
        reply: Reply | None = None
        with trio.move_on_after(first_event_timeout_s) as scope:
            reply = await attempt.read_head(req.caller.attempt_id)
            if reply.is_not_run:
                self.attempt_manager.uncount_run(req)
                self.attempt_manager.record_outcome(req, upstream, Outcome.FULL)
                req.notes.append(f"{upstream.upstream_id}:not_run")
                return _AttemptEnd.NOT_RUN
            if reply.status != 200:
                return await self._record_failure(req, progress, attempt, reply)
            larger = None
            if req.route.models and not req.n_events:
                larger = choose_larger_model(
                    req.route.models,
                    progress.model,
                    reply.confidence,
                    req.n_attempts_left,
                    estimate=lambda model: self._estimate_larger_answer(req, model),
                )
            if larger is not None and self.attempt_manager.may_escalate(req, self.clock.now()):
                waited_s = self.clock.now() - started_at
                self.attempt_manager.record_outcome(
                    req, upstream, Outcome.SUCCESS, first_s=waited_s
                )
                req.notes.append(
                    f"{progress.model}:confidence {reply.confidence:.0f} after {waited_s:.2f} s"
                )
                self.attempt_manager.observer.count_escalation(req.route.name)
                progress.model = larger
                return _AttemptEnd.LARGER_MODEL
            splitter = EventSplitter()
            events, is_over = await self._read_events(attempt, splitter)
        if scope.cancelled_caught:
            self.attempt_manager.record_outcome(req, upstream, Outcome.LATE)
            self.attempt_manager.record_first_event(req, attempt, self.clock.now() - started_at)
            req.notes.append(
                f"{upstream.upstream_id}:no event within {first_event_timeout_s:.2f} s"
            )
            return _AttemptEnd.LOST
        attempt.work.finish()
        first_at = self.clock.now()
        self.attempt_manager.record_first_event(req, attempt, first_at - started_at)
        n_before = req.n_events
        self.attempt_manager.record_outcome(
            req, upstream, Outcome.SUCCESS, first_s=first_at - started_at
        )
        stall_s = STALL_FRACTION * req.route.gap_goal_s
        while True:
            if events and req.first_event_at is None:
                req.first_event_at = self.clock.now()
            await self._forward_events(req, progress, reply, events, responder)
            is_whole = is_over and attempt.call.is_delimited
            if is_whole or (events and self.clock.now() - first_at >= PROGRESS_S):
                self._record_progress(req, progress)
            if is_over:
                self._record_pause(req, upstream, req.n_events - n_before, first_at)
                if n_before == 0 and not req.caller.last_event_id:
                    self._record_duration(req, progress.model, first_at)
                return _AttemptEnd.COMPLETE
            with trio.move_on_after(stall_s) as scope:
                events, is_over = await self._read_events(attempt, splitter)
            if scope.cancelled_caught:
                if not self._may_continue(req, _AttemptEnd.LOST):
                    stall_s = float("inf")
                    events = []
                    continue
                self.attempt_manager.record_outcome(req, upstream, Outcome.LATE)
                req.notes.append(f"{upstream.upstream_id}:stalled for {stall_s:.2f} s")
                return _AttemptEnd.LOST

    def _record_progress(self, req: GatewayRequest, progress: _Progress) -> None:
        if not progress.has_progressed:
            progress.has_progressed = True
            self.attempt_manager.record_answer_progress(req)

    def _compute_first_event_s(self, req: GatewayRequest, attempt: Attempt) -> float:
        """Return how many seconds to wait for a first event; more for an upstream with more work.

        A busy upstream is given more time, since a second attempt would add to the total load.
        """
        if req.n_attempts_left > 0 and req.route.is_repeatable:
            work_s = self.attempt_manager.pace.compute_first_event_s(
                req.service.name, attempt.model, attempt.work.queued_tokens, self.clock.now()
            )
            return FIRST_EVENT_FRACTION * req.route.goal_s + WORK_TIME_FACTOR * work_s
        return float("inf")

    def _record_pause(
        self, req: GatewayRequest, upstream: Upstream, n_events: int, first_at: float
    ) -> None:
        if n_events >= MIN_PACED_EVENTS:
            pause_s = (self.clock.now() - first_at) / n_events
            self.attempt_manager.record_outcome(req, upstream, Outcome.SUCCESS, pause_s=pause_s)

    def _record_duration(self, req: GatewayRequest, model: str, first_at: float) -> None:
        """Record the time from the first to the last event of a stream from one upstream."""
        now = self.clock.now()
        self.attempt_manager.pace.record_stream(
            req.service.name, model, req.caller.max_output_tokens, now - first_at, now
        )

    def _estimate_larger_answer(self, req: GatewayRequest, model: str) -> AnswerEstimate:
        """Estimate whether a larger model's answer begins within the goal, and ends in time."""
        now = self.clock.now()
        pace, service = self.attempt_manager.pace, req.service.name
        placement = self.attempt_manager.place(req, now, model)
        first_s = pace.compute_first_event_s(service, model, placement.work, now)
        stream_s = pace.compute_stream_s(service, model, req.caller.max_output_tokens)
        return AnswerEstimate(
            lateness=(now + first_s - req.arrived_at) / max(0.001, req.route.goal_s),
            ends_in_time=first_s + DURATION_MARGIN * stream_s <= req.compute_left_s(now),
        )

    async def _record_failure(
        self, req: GatewayRequest, progress: _Progress, attempt: Attempt, reply: Reply
    ) -> _AttemptEnd:
        body = await attempt.read_body(MAX_FAILURE_BYTES)
        progress.failure = (reply, body)
        req.notes.append(f"{attempt.upstream.upstream_id}:status {reply.status}")
        if reply.status < 500:
            # An error of the caller, which every upstream would answer in the same way.
            req.n_runs = req.route.max_attempts
        else:
            self.attempt_manager.record_outcome(req, attempt.upstream, Outcome.FAILURE)
        return _AttemptEnd.FAILED

    @staticmethod
    async def _read_events(
        attempt: Attempt, splitter: EventSplitter
    ) -> tuple[list[StreamEvent], bool]:
        """Read until an event is complete or the reply ends; return events and whether it ended."""
        while True:
            part = await attempt.call.read_part()
            if part is None:
                if splitter.has_partial_event:
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
                    CallFailure.CORRUPT,
                    "an event is longer than the limit",
                    step="read_body",
                    peer=attempt.call.peer,
                )

    @staticmethod
    async def _forward_events(
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
