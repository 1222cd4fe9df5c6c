"""Decides which attempts of a stream are made: upstreams, models, times to wait."""

from crocusvalve.gateway.base import Reply, Upstream
from crocusvalve.gateway.decisions._cascade import (
    AnswerEstimate,
    choose_larger_model,
    is_confident_escalation,
)
from crocusvalve.gateway.decisions._placement import PlacementReason
from crocusvalve.gateway.flows._request import GatewayRequest
from crocusvalve.gateway.flows._takeover import StandbySource
from crocusvalve.gateway.upstreams._attempts import AttemptManager
from crocusvalve.gateway.upstreams._stream_attempt import AttemptEnd, StreamAttempt

__all__ = ["StreamPolicy"]

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
#: Further seconds after which silent upstreams are asked as well.
SILENT_PREFERENCE_S = 1.0


class StreamPolicy(StandbySource):
    """Decides about the attempts of one request for a stream.

    Attributes
    ----------
    model : str
        Model of the next attempt.
    last_event_id : bytes
        Id of the last event that the caller has; empty for none.
    has_position : bool
        Whether the last event that the caller has is known by its id, so that another upstream can
        go on after it.
    failure : tuple or None
        Head and body of the last failure of an upstream, forwarded if no attempt succeeds.
    """

    def __init__(self, attempt_manager: AttemptManager, req: GatewayRequest):
        self.req = req
        self._manager = attempt_manager
        self._clock = attempt_manager.clock
        self.last_event_id = req.caller.last_event_id
        self.has_position = True
        self.failure: tuple[Reply, bytes] | None = None
        self._smaller_confidence: float | None = None
        self.model = self._choose_first_model()

    def make_attempt(self, upstream: Upstream, model: str | None = None) -> StreamAttempt:
        """Return a new attempt at an upstream, by default of the model chosen so far."""
        model = self.model if model is None else model
        return StreamAttempt(
            self._manager,
            self.req,
            upstream,
            model=model,
            last_event_id=self.last_event_id,
            choose_larger_model=lambda reply: self._choose_larger_model(model, reply),
        )

    def may_continue(self, end: AttemptEnd) -> bool:
        """Return whether a request may be sent again after an attempt ended in this way."""
        if not self._manager.may_send_again(self.req, self._clock.now()):
            return False
        if end is AttemptEnd.NOT_RUN:
            return True
        if not self.has_position:
            return False
        is_repeatable = self.req.route.is_repeatable or end is AttemptEnd.LARGER_MODEL
        return is_repeatable and self.req.n_attempts_left > 0

    def may_start_standby(self) -> bool:
        """Return whether route, budget and prompt allow an attempt besides a silent one."""
        is_allowed = self.may_continue(AttemptEnd.LOST)
        return is_allowed and not self._manager.is_banned(self.req, self._clock.now())

    def start_standby(self, silent: StreamAttempt) -> StreamAttempt | None:
        """Return an attempt at an upstream that isn't silent itself, or None."""
        req, now = self.req, self._clock.now()
        silent_since = now - SILENT_FRACTION * req.route.gap_goal_s
        excluded = req.tried | {silent.upstream.upstream_id}
        if now - silent.progress_at < self.compute_silence_s(silent) + SILENT_PREFERENCE_S:
            excluded |= self._manager.tables.find_silent(req.service.name, silent_since)
        req.placement = self._manager.place(req, now, self.model, excluded)
        if req.placement.reason is PlacementReason.ALL_TRIED:
            # Upstreams that were full or failed are asked again, as long as the silence lasts.
            req.tried.clear()
        upstream = req.placement.upstream
        return None if upstream is None else self.make_attempt(upstream)

    def compute_silence_s(self, attempt: StreamAttempt) -> float:
        """Return how many seconds to wait for an attempt's next event before others are asked."""
        if not self.req.route.is_repeatable:
            return float("inf")
        if attempt.n_events:
            return STALL_FRACTION * self.req.route.gap_goal_s
        return self.compute_first_event_s(attempt)

    def compute_first_event_s(self, attempt: StreamAttempt) -> float:
        """Return how many seconds to wait for a first event; more for an upstream with more work.

        A busy upstream is given more time, since a second attempt would add to the total load.
        Infinite if the request can't be sent again.
        """
        if self.req.n_attempts_left > 0 and self.req.route.is_repeatable:
            work_s = self._manager.pace.compute_first_event_s(
                self.req.service.name, attempt.model, attempt.queued_tokens, self._clock.now()
            )
            return FIRST_EVENT_FRACTION * self.req.route.goal_s + WORK_TIME_FACTOR * work_s
        return float("inf")

    def record_failure(self, attempt: StreamAttempt, end: AttemptEnd) -> None:
        """Record that an attempt has ended without the stream's last event."""
        self.failure = attempt.failure or self.failure
        self.req.tried.add(attempt.upstream.upstream_id)

    def describe_obstacle(self, now: float) -> str:
        """Return why a request that has run is not sent to another upstream."""
        if not self.req.route.is_repeatable:
            return "it may run only once"
        if not self.has_position:
            return "its last event has no id"
        if self.req.n_attempts_left <= 0:
            return f"it has run {self.req.n_runs} times"
        if not self._manager.may_send_again(self.req, now):
            return "no budget for extra attempts"
        placement = self.req.placement
        return f"no upstream, {placement.reason.value}" if placement else "no upstream"

    def _choose_first_model(self) -> str:
        """Return the cheapest model, or the largest one if the budget allows no second attempt.

        Load that it answers: most requests are too hard for the cheapest model, while the budget of
        extra attempts is used up by faults.
        """
        models = self.req.route.models
        if not models:
            return ""
        if len(models) > 1 and not self._manager.may_escalate(self.req, self._clock.now()):
            expected = self._estimate_larger_answer(models[-1], 0.0)
            if expected.lateness <= 1.0 and expected.ends_in_time:
                return models[-1]
        return models[0]

    def _estimate_larger_answer(self, model: str, confidence: float) -> AnswerEstimate:
        """Estimate a larger model's answer to a request that a smaller one was unsure of."""
        now = self._clock.now()
        pace, service = self._manager.pace, self.req.service.name
        placement = self._manager.place(self.req, now, model)
        first_s = pace.compute_first_event_s(service, model, placement.work, now)
        stream_s = pace.compute_stream_s(service, model, self.req.caller.max_output_tokens)
        return AnswerEstimate(
            lateness=(now + first_s - self.req.arrived_at) / max(0.001, self.req.route.goal_s),
            ends_in_time=first_s + DURATION_MARGIN * stream_s <= self.req.compute_left_s(now),
            cost=self.req.service.get_model_weight(model),
            confident_share=self._manager.escalations.get_confident_share(
                service, model, confidence, now
            ),
        )

    def _choose_larger_model(self, model: str, reply: Reply) -> str | None:
        """Return the model to ask instead of the one that has replied, or None."""
        if not self.req.route.models or self.req.n_events:
            return None
        confidence = reply.confidence
        self._record_escalation(model, confidence)
        larger = choose_larger_model(
            self.req.route.models,
            model,
            confidence,
            self.req.n_attempts_left,
            estimate=lambda larger: self._estimate_larger_answer(larger, confidence),
        )
        if larger is None or not self._manager.may_escalate(self.req, self._clock.now()):
            return None
        self._smaller_confidence = confidence
        return larger

    def _record_escalation(self, model: str, confidence: float | None) -> None:
        """Record whether a model that was asked after a smaller one is confident of its answer."""
        if self._smaller_confidence is not None and confidence is not None:
            self._manager.escalations.record(
                self.req.service.name,
                model,
                self._smaller_confidence,
                is_confident=is_confident_escalation(confidence),
                now=self._clock.now(),
            )
            self._smaller_confidence = None
