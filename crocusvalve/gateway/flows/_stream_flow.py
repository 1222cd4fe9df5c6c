"""Flow of a stream: forwards events as they arrive, and resumes an interrupted stream elsewhere."""

import trio

from crocusvalve.gateway.callers._listener import AnswerAbortedError, Responder
from crocusvalve.gateway.flows._flow import Flow
from crocusvalve.gateway.flows._request import GatewayRequest, RequestEnd, check_claim
from crocusvalve.gateway.flows._stream_policy import StreamPolicy
from crocusvalve.gateway.flows._takeover import Takeover, TakeoverResult
from crocusvalve.gateway.upstreams._stream_attempt import AttemptEnd, StreamAttempt, StreamStep

__all__ = ["StreamFlow"]

#: Time within which an upstream rejects a request that it can't accept, in seconds.
REJECTION_S = 0.1


class StreamFlow(Flow):
    """Answers requests for streams, with retries, resumption and escalation to a larger model."""

    async def answer(self, req: GatewayRequest, responder: Responder) -> RequestEnd:
        """Forward the events of one or several attempts until the stream is complete."""
        policy = StreamPolicy(self.attempt_manager, req)
        since = self.clock.now()
        while True:
            upstream = await self.wait_for_upstream(req, since, policy.model)
            if upstream is None:
                return await self._give_up(policy, responder, "place")
            if responder.has_started:
                self.attempt_manager.observer.count_resume(req.route.name)
            end = await self._forward(policy, policy.make_attempt(upstream), responder)
            if end is None:
                await responder.finish()
                return RequestEnd.ANSWERED
            if not policy.may_continue(end):
                return await self._give_up(policy, responder, "attempt")
            if end is not AttemptEnd.NOT_RUN:
                since = self.clock.now()

    async def _forward(
        self, policy: StreamPolicy, attempt: StreamAttempt, responder: Responder
    ) -> AttemptEnd | None:
        """Forward an attempt's events, or those of one that takes it over; None at the last one."""
        try:
            step = await attempt.send()
            silent_since = self.clock.now()
            while True:
                if step is None:
                    step = await self._read(policy, attempt, silent_since)
                if step is None:
                    result = await self._seek_takeover(policy, attempt, responder)
                    attempt, step = result.attempt, result.step
                    silent_since = self.clock.now()
                elif step.end is AttemptEnd.LARGER_MODEL:
                    attempt = await self._escalate(policy, attempt)
                    step, silent_since = None, self.clock.now()
                elif step.end is not None:
                    policy.record_failure(attempt, step.end)
                    return step.end
                else:
                    await self._forward_events(policy, attempt, step, responder)
                    if step.is_over:
                        attempt.record_end()
                        return None
                    if step.is_progress:
                        silent_since = self.clock.now()
                    step = None
        finally:
            await attempt.close()

    async def _read(
        self, policy: StreamPolicy, attempt: StreamAttempt, silent_since: float
    ) -> StreamStep | None:
        """Read an attempt's next events; None if it is silent and another upstream may be asked."""
        silence_s = policy.compute_silence_s(attempt)
        with trio.move_on_after(max(0.0, silent_since + silence_s - self.clock.now())):
            # The answer begins with its first event that has content, since it may be discarded.
            return await (attempt.read() if attempt.n_events else attempt.read_progress())
        return None

    async def _seek_takeover(
        self, policy: StreamPolicy, silent: StreamAttempt, responder: Responder
    ) -> TakeoverResult:
        """Wait until a silent attempt goes on, or another one in its place."""
        req = policy.req
        silent_since = self.clock.now()
        result = await Takeover(silent, policy).run()
        req.upstream_id = result.attempt.upstream.upstream_id
        if result.attempt is silent:
            silence_s = self.clock.now() - silent_since
            req.notes.append(f"{silent.upstream.upstream_id}:silent for {silence_s:.2f} s more")
            return result
        if silent.end is None:
            silent.record_late()
        req.tried.add(silent.upstream.upstream_id)
        if responder.has_started:
            self.attempt_manager.observer.count_resume(req.route.name)
        return result

    async def _escalate(self, policy: StreamPolicy, smaller: StreamAttempt) -> StreamAttempt:
        """Return an attempt of the larger model, or the smaller one's if none accepts the request.

        The smaller model's answer stays open until then, since it is ready.
        """
        until = self.clock.now() + REJECTION_S
        while self.clock.now() < until and policy.may_continue(AttemptEnd.LARGER_MODEL):
            upstream = self.find_upstream(policy.req, self.clock.now(), smaller.larger_model)
            if upstream is None:
                break
            larger = policy.make_attempt(upstream, smaller.larger_model)
            try:
                await self._await_rejection(larger)
            except BaseException:
                await larger.close()
                raise
            if not larger.has_failed:
                policy.model = larger.model
                self.attempt_manager.observer.count_escalation(policy.req.route.name)
                await smaller.close()
                return larger
            policy.record_failure(larger, larger.end)
            await larger.close()
        policy.req.model, policy.req.upstream_id = smaller.model, smaller.upstream.upstream_id
        smaller.accept_reply()
        return smaller

    @staticmethod
    async def _await_rejection(attempt: StreamAttempt) -> None:
        """Send an attempt, and read its reply if it comes within ``REJECTION_S``."""
        if await attempt.send() is None:
            with trio.move_on_after(REJECTION_S):
                await attempt.read_reply()

    def estimate_answer_s(
        self, req: GatewayRequest, model: str, queued_tokens: float, now: float
    ) -> float | None:
        """Return the expected time to the first event after so many queued prompt tokens."""
        pace = self.attempt_manager.pace
        return pace.compute_first_event_s(req.service.name, model, queued_tokens, now)

    def record_cut_answer(self, req: GatewayRequest) -> None:
        """Record how long a stream took that the deadline has cut."""
        now = self.clock.now()
        if req.first_event_at is not None:
            duration_s = now - req.first_event_at
            self.attempt_manager.pace.record_cut_stream(
                req.service.name, req.model, req.caller.max_output_tokens, duration_s, now
            )

    async def _give_up(self, policy: StreamPolicy, responder: Responder, step: str) -> RequestEnd:
        if responder.has_started:
            reason = policy.describe_obstacle(self.clock.now())
            raise AnswerAbortedError(f"the stream can't be resumed: {reason}")
        if policy.failure is not None:
            reply, body = policy.failure
            check_claim(reply, policy.req.upstream_id)
            await responder.answer(reply.status, reply.headers, body)
            return RequestEnd.UPSTREAM_FAILURE
        raise self.make_refusal(policy.req, "no upstream sent an answer", step)

    async def _forward_events(
        self,
        policy: StreamPolicy,
        attempt: StreamAttempt,
        step: StreamStep,
        responder: Responder,
    ) -> None:
        req = policy.req
        if step.is_progress and req.first_event_at is None:
            req.first_event_at = self.clock.now()
        data = b"".join(event.data for event in step.events)
        if not responder.has_started:
            await responder.start(attempt.reply.status, attempt.reply.headers, data)
        elif data:
            await responder.send(data)
        for event in step.events:
            req.n_events += event.has_content
            policy.last_event_id = event.event_id or policy.last_event_id
            if event.has_content:
                policy.has_position = bool(event.event_id)
