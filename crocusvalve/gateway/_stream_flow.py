"""Flow of a stream: forwards events as they arrive, and resumes an interrupted stream elsewhere."""

import trio
from msgspec import Struct

from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.gateway._cascade import AnswerEstimate, choose_larger_model
from crocusvalve.gateway._flow import Flow, make_gateway_error
from crocusvalve.gateway._listener import AnswerAbortedError, Responder
from crocusvalve.gateway._request import GatewayRequest, RequestEnd
from crocusvalve.gateway._stream_attempt import AttemptEnd, StreamAttempt, StreamStep
from crocusvalve.gateway._takeover import StandbySource, Takeover, TakeoverResult
from crocusvalve.gateway.base import Reply, Upstream

__all__ = ["StreamFlow"]

#: Fraction of the goal after which a request without a first event is sent to another upstream.
FIRST_EVENT_FRACTION = 0.9
#: Multiple of the expected time for an upstream's queued work that is waited in addition.
WORK_TIME_FACTOR = 3.0
#: Multiple of the expected duration of a larger model's answer that must be left for it.
DURATION_MARGIN = 1.25
#: Fraction of the goal for pauses between events after which another upstream is asked as well.
STALL_FRACTION = 0.8
#: The same after which an upstream isn't asked to take over a stream, since it is silent itself.
SILENT_FRACTION = 0.4


class _Progress(Struct):
    """Progress of an answer over its attempts.

    ``failure`` is the last failure of an upstream, forwarded if no attempt succeeds.
    """

    model: str
    last_event_id: bytes
    failure: tuple[Reply, bytes] | None = None


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
            attempt = self.make_attempt(req, progress, upstream)
            end = await self._forward(req, progress, attempt, responder)
            if end is None:
                await responder.finish()
                return RequestEnd.ANSWERED
            if not self.may_continue(req, end):
                return await self._give_up(req, progress, responder, "attempt")

    def make_attempt(
        self, req: GatewayRequest, progress: _Progress, upstream: Upstream
    ) -> StreamAttempt:
        """Return a new attempt at an upstream."""
        return StreamAttempt(
            self.attempt_manager,
            req,
            upstream,
            model=progress.model,
            last_event_id=progress.last_event_id,
            choose_larger_model=lambda reply: self._choose_larger_model(req, progress, reply),
        )

    async def _forward(
        self,
        req: GatewayRequest,
        progress: _Progress,
        attempt: StreamAttempt,
        responder: Responder,
    ) -> AttemptEnd | None:
        """Forward an attempt's events, or those of one that takes it over; None at the last one."""
        try:
            step = await attempt.send()
            silent_since = self.clock.now()
            while True:
                while step is None:
                    step = await self._read(req, attempt, silent_since)
                    if step is None:
                        result = await self._seek_takeover(req, progress, attempt, responder)
                        attempt, step = result.attempt, result.step
                        silent_since = self.clock.now()
                if step.end is not None:
                    self.record_attempt_end(req, progress, attempt, step.end)
                    return step.end
                await self._forward_events(req, progress, attempt, step, responder)
                if step.is_over:
                    attempt.record_end()
                    return None
                if step.is_progress:
                    silent_since = self.clock.now()
                step = None
        finally:
            await attempt.close()

    async def _read(
        self, req: GatewayRequest, attempt: StreamAttempt, silent_since: float
    ) -> StreamStep | None:
        """Read an attempt's next events; None if it is silent and another upstream may be asked."""
        # The answer begins with its first event that has content, since it might be discarded.
        read = attempt.read if attempt.n_events else attempt.read_progress
        if not req.route.is_repeatable:
            return await read()
        if attempt.n_events:
            silence_s = STALL_FRACTION * req.route.gap_goal_s
        else:
            silence_s = self.compute_first_event_s(req, attempt)
        with trio.move_on_after(max(0.0, silent_since + silence_s - self.clock.now())):
            return await read()
        return None

    async def _seek_takeover(
        self,
        req: GatewayRequest,
        progress: _Progress,
        silent: StreamAttempt,
        responder: Responder,
    ) -> TakeoverResult:
        """Wait until a silent attempt goes on, or another one in its place."""
        silent_since = self.clock.now()
        result = await Takeover(silent, _StandbySource(self, req, progress, silent)).run()
        req.upstream_id = result.attempt.upstream.upstream_id
        if result.attempt is silent:
            silence_s = self.clock.now() - silent_since
            req.notes.append(f"{silent.upstream.upstream_id}:silent for {silence_s:.2f} s more")
        else:
            silent.record_late()
            req.tried.add(silent.upstream.upstream_id)
            if responder.has_started:
                self.attempt_manager.observer.count_resume(req.route.name)
        return result

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

    def may_continue(self, req: GatewayRequest, end: AttemptEnd) -> bool:
        """Return whether a request may be sent again after an attempt ended in this way."""
        if not self.attempt_manager.may_send_again(req, self.clock.now()):
            return False
        if end is AttemptEnd.NOT_RUN:
            return True
        is_repeatable = req.route.is_repeatable or end is AttemptEnd.LARGER_MODEL
        return is_repeatable and req.n_attempts_left > 0

    def compute_first_event_s(self, req: GatewayRequest, attempt: StreamAttempt) -> float:
        """Return how many seconds to wait for a first event; more for an upstream with more work.

        A busy upstream is given more time, since a second attempt would add to the total load.
        """
        if req.n_attempts_left > 0 and req.route.is_repeatable:
            work_s = self.attempt_manager.pace.compute_first_event_s(
                req.service.name, attempt.model, attempt.queued_tokens, self.clock.now()
            )
            return FIRST_EVENT_FRACTION * req.route.goal_s + WORK_TIME_FACTOR * work_s
        return float("inf")

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

    def _choose_larger_model(
        self, req: GatewayRequest, progress: _Progress, reply: Reply
    ) -> str | None:
        """Return the model to ask instead of the one that has replied, or None."""
        if not req.route.models or req.n_events:
            return None
        larger = choose_larger_model(
            req.route.models,
            progress.model,
            reply.confidence,
            req.n_attempts_left,
            estimate=lambda model: self._estimate_larger_answer(req, model),
        )
        if larger is None or not self.attempt_manager.may_escalate(req, self.clock.now()):
            return None
        return larger

    def record_attempt_end(
        self, req: GatewayRequest, progress: _Progress, attempt: StreamAttempt, end: AttemptEnd
    ) -> None:
        """Update the progress of a request by an attempt that ended without its last event."""
        if end is AttemptEnd.LARGER_MODEL:
            self.attempt_manager.observer.count_escalation(req.route.name)
            progress.model = attempt.larger_model
            return
        progress.failure = attempt.failure or progress.failure
        req.tried.add(attempt.upstream.upstream_id)

    async def _forward_events(
        self,
        req: GatewayRequest,
        progress: _Progress,
        attempt: StreamAttempt,
        step: StreamStep,
        responder: Responder,
    ) -> None:
        if step.is_progress and req.first_event_at is None:
            req.first_event_at = self.clock.now()
        data = b"".join(event.data for event in step.events)
        if not responder.has_started:
            await responder.start(attempt.reply.status, attempt.reply.headers, data)
        elif data:
            await responder.send(data)
        for event in step.events:
            req.n_events += event.has_content
            progress.last_event_id = event.event_id or progress.last_event_id


class _StandbySource(StandbySource):
    """Attempts at other upstreams for a request whose present attempt is silent."""

    def __init__(
        self, flow: StreamFlow, req: GatewayRequest, progress: _Progress, silent: StreamAttempt
    ):
        self._flow = flow
        self._manager = flow.attempt_manager
        self._req = req
        self._progress = progress
        self._silent = silent

    def may_start(self) -> bool:
        """Return whether route, budget and the prompt's parts allow a further attempt."""
        is_allowed = self._flow.may_continue(self._req, AttemptEnd.LOST)
        return is_allowed and self._manager.find_banned_part(self._req) is None

    def start(self) -> StreamAttempt | None:
        """Return an attempt at an upstream that isn't silent itself, or None."""
        req = self._req
        now = self._flow.clock.now()
        excluded = req.tried | {self._silent.upstream.upstream_id}
        silent_since = now - SILENT_FRACTION * req.route.gap_goal_s
        excluded |= self._manager.tables.find_silent(req.service.name, silent_since)
        req.placement = self._manager.place(req, now, self._progress.model, excluded)
        if req.placement.upstream is None:
            return None
        return self._flow.make_attempt(req, self._progress, req.placement.upstream)

    def compute_first_event_s(self, attempt: StreamAttempt) -> float:
        """Return how many seconds to wait for the first event of a new attempt."""
        return self._flow.compute_first_event_s(self._req, attempt)

    def record_failure(self, attempt: StreamAttempt, end: AttemptEnd) -> None:
        """Record that a new attempt can't go on with the stream."""
        self._flow.record_attempt_end(self._req, self._progress, attempt, end)
