"""One attempt to get a stream from an upstream; its connection stays open until it is closed."""

from collections.abc import Callable
from contextlib import AsyncExitStack
from enum import Enum

from msgspec import Struct

from crocusvalve.gateway.base import Reply, Upstream
from crocusvalve.gateway.decisions._health import Outcome
from crocusvalve.gateway.flows._request import GatewayRequest
from crocusvalve.gateway.upstreams._attempt import Attempt
from crocusvalve.gateway.upstreams._attempts import AttemptManager
from crocusvalve.gateway.upstreams._events import EventSplitter, StreamEvent
from crocusvalve.gateway.upstreams._upstream_call import CallError, CallFailure

__all__ = ["AttemptEnd", "StreamAttempt", "StreamStep"]

#: Longest body of an upstream's failure answer that is forwarded.
MAX_FAILURE_BYTES = 1024 * 1024
#: Minimum number of events of a stream at which the mean time between them is measured.
MIN_PACED_EVENTS = 4
#: An answer that goes on for this long after its first event shows that its prompt doesn't crash
#: upstreams; a crash comes within 0.1 s.
PROGRESS_S = 0.5


class AttemptEnd(Enum):
    """How an attempt ended other than by its last event."""

    #: A larger model is to be asked, and the answer discarded if that one accepts the request.
    LARGER_MODEL = "larger_model"
    #: The upstream rejected the request or was not reached; it has not run there.
    NOT_RUN = "not_run"
    #: The upstream answered with a status other than 200.
    FAILED = "failed"
    #: The stream was interrupted, abandoned or was corrupt.
    LOST = "lost"

    @property
    def is_failure(self) -> bool:
        """Whether the attempt has no answer, not even one of too small a model."""
        return self is not AttemptEnd.LARGER_MODEL


class StreamStep(Struct, frozen=True):
    """Result of one read: events and whether they are the last, or how the attempt ended."""

    events: list[StreamEvent] = []
    is_over: bool = False
    end: AttemptEnd | None = None

    @property
    def is_failure(self) -> bool:
        """Whether the attempt has ended without an answer."""
        return self.end is not None and self.end.is_failure

    @property
    def is_progress(self) -> bool:
        """Whether the stream has gone on or the attempt has ended; comments are no progress."""
        has_content = any(event.has_content for event in self.events)
        return has_content or self.is_over or self.end is not None


class StreamAttempt:
    """An attempt of a stream at one upstream.

    A cancelled read may be repeated without loss of events.

    Parameters
    ----------
    model : str
        Model that is to answer; empty if the upstream has only one.
    last_event_id : bytes
        Id of the last event that the caller has; empty for none.
    choose_larger_model : callable
        Returns the model to ask instead, or None, when the head of the reply has been read.

    Attributes
    ----------
    has_reply : bool
        Whether the head of a good reply has been read.
    n_events : int
        Events that were read; 0 before the first one with content.
    failure : tuple or None
        Head and body of an upstream's failure.
    larger_model : str or None
        The model to ask instead.
    progress_at : float
        Local time of the last event with content, or of the start, in seconds.
    """

    def __init__(
        self,
        attempt_manager: AttemptManager,
        req: GatewayRequest,
        upstream: Upstream,
        *,
        model: str,
        last_event_id: bytes,
        choose_larger_model: Callable[[Reply], str | None],
    ):
        self.req = req
        self.upstream = upstream
        self.model = model
        self.last_event_id = last_event_id
        self.has_reply = False
        self.n_events = 0
        self.failure: tuple[Reply, bytes] | None = None
        self.larger_model: str | None = None
        self._manager = attempt_manager
        self._clock = attempt_manager.clock
        self._choose_larger_model = choose_larger_model
        self._started_at = self.progress_at = self._clock.now()
        self._first_event_at: float | None = None
        self._load = attempt_manager.tables.get_load(upstream.upstream_id)
        self._has_progressed = False
        self._stack = AsyncExitStack()
        self._attempt: Attempt | None = None
        self._splitter = EventSplitter(last_event_id)
        self._head: Reply | None = None
        self._failure_body = b""
        self._end: AttemptEnd | None = None

    @property
    def end(self) -> AttemptEnd | None:
        """How the attempt has ended; None while it goes on, and after its last event."""
        return self._end

    @property
    def has_failed(self) -> bool:
        """Whether the attempt has ended without an answer."""
        return self._end is not None and self._end.is_failure

    @property
    def is_final(self) -> bool:
        """Whether the upstream has answered with an error that every upstream would answer."""
        return self.failure is not None and self.failure[0].status < 500

    @property
    def reply(self) -> Reply:
        """Head of the reply."""
        return self._head

    @property
    def queued_tokens(self) -> float:
        """Prompt tokens that the upstream has to process first."""
        return self._attempt.work.queued_tokens

    async def send(self) -> StreamStep | None:
        """Send the request; return the step that ends the attempt if that fails."""
        context = self._manager.start_attempt(
            self.req, self.upstream, model=self.model, last_event_id=self.last_event_id
        )
        try:
            self._attempt = await self._stack.enter_async_context(context)
        except CallError as exc:
            await self._record_error(exc)
            return StreamStep(end=self._end)
        return None

    async def read_reply(self) -> StreamStep | None:
        """Read the head of the reply; return the step that ends the attempt unless it is good."""
        if self._end is None and not self.has_reply:
            try:
                self._end = await self._read_reply()
            except CallError as exc:
                await self._record_error(exc)
        return None if self._end is None else StreamStep(end=self._end)

    def accept_reply(self) -> None:
        """Go on with an answer for which a larger model should have been asked, but can't be."""
        self._end = None
        self.has_reply = True

    async def read(self) -> StreamStep:
        """Return the next complete events."""
        step = await self.read_reply()
        if step is not None:
            return step
        is_counted = self.n_events > 0
        self._load.n_streams_read += is_counted
        try:
            step = await self._read_events()
        except CallError as exc:
            await self._record_error(exc)
            return StreamStep(end=self._end)
        finally:
            self._load.n_streams_read -= is_counted
        if step.is_progress:
            self._record_progress(step)
        return step

    async def read_progress(self) -> StreamStep:
        """Read until the stream goes on; comments before that are returned with its events."""
        events: list[StreamEvent] = []
        while not (step := await self.read()).is_progress:
            events += step.events
        return StreamStep(events + step.events, step.is_over, step.end)

    def record_late(self) -> None:
        """Record that the upstream was abandoned because it sent nothing in time."""
        self._note("no event in time")
        self._manager.record_outcome(self.req, self.upstream, Outcome.LATE)
        if self._first_event_at is None:
            waited_s = self._clock.now() - self._started_at
            self._manager.record_first_event(self.req, self._attempt, waited_s)

    def record_end(self) -> None:
        """Record that a stream's last event was forwarded, and its pace."""
        self._manager.crash_detector.record_answer(self.req)
        now = self._clock.now()
        first_at = self._first_event_at
        if self.n_events >= MIN_PACED_EVENTS:
            pause_s = (now - first_at) / self.n_events
            self._manager.record_outcome(self.req, self.upstream, Outcome.SUCCESS, pause_s=pause_s)
        if not self.last_event_id:
            n_tokens = self.req.caller.max_output_tokens
            service = self.req.service.name
            self._manager.pace.record_stream(service, self.model, n_tokens, now - first_at, now)

    async def close(self) -> None:
        """Close the connection; before the end of the stream this cancels the upstream's work."""
        await self._stack.aclose()

    async def _read_reply(self) -> AttemptEnd | None:
        if self._head is None:
            self._head = await self._attempt.read_head(self.req.caller.attempt_id)
        reply = self._head
        if reply.is_not_run:
            self._manager.uncount_run(self.req)
            self._manager.record_outcome(self.req, self.upstream, Outcome.FULL)
            self._note("not_run")
            return AttemptEnd.NOT_RUN
        if reply.status != 200:
            return await self._read_failure(reply)
        if self.last_event_id and not reply.is_event_stream:
            raise self._attempt.make_error("the reply is no stream of events", "read_head")
        self.larger_model = self._choose_larger_model(reply)
        if self.larger_model is not None:
            waited_s = self._clock.now() - self._started_at
            self._manager.record_outcome(self.req, self.upstream, Outcome.SUCCESS, first_s=waited_s)
            self._manager.record_first_event(self.req, self._attempt, waited_s)
            confidence = f"{self.model}:confidence {reply.confidence:.0f} after {waited_s:.2f} s"
            self.req.notes.append(confidence)
            return AttemptEnd.LARGER_MODEL
        self.has_reply = True
        return None

    async def _read_failure(self, reply: Reply) -> AttemptEnd:
        call = self._attempt.call
        while (part := await call.read_part()) is not None:
            self._failure_body += part
            if len(self._failure_body) > MAX_FAILURE_BYTES:
                message = f"the body is longer than {MAX_FAILURE_BYTES} bytes"
                raise CallError(CallFailure.CORRUPT, message, step="read_body", peer=call.peer)
        self.failure = (reply, self._failure_body)
        self._note(f"status {reply.status}")
        if self.is_final:
            self.req.n_runs = self.req.route.max_attempts
        else:
            self._manager.record_outcome(self.req, self.upstream, Outcome.FAILURE)
        return AttemptEnd.FAILED

    async def _read_events(self) -> StreamStep:
        """Read until an event is complete or the reply ends."""
        call = self._attempt.call
        while True:
            part = await call.read_part()
            if part is None:
                if self._splitter.has_partial_event:
                    message = "the stream ended within an event"
                    raise CallError(CallFailure.BROKEN, message, step="read_body", peer=call.peer)
                return StreamStep(is_over=True)
            events = self._splitter.feed(part)
            if self._splitter.fault:
                raise self._attempt.make_error(self._splitter.fault, "read_body")
            if self._splitter.is_too_long:
                message = "an event, or the comments between two events, are longer than the limit"
                raise CallError(CallFailure.CORRUPT, message, step="read_body", peer=call.peer)
            if events:
                return StreamStep(events)

    async def _record_error(self, exc: CallError) -> None:
        """Record how the attempt ended, and check for a crash."""
        req = self.req
        self._end = AttemptEnd.NOT_RUN if exc.is_unsent else AttemptEnd.LOST
        self._note(exc.failure.value)
        if not exc.is_unsent and self.n_events:
            req.notes.append(f"interrupted after {req.n_events} events")
        checked = self._manager.record_call_error(
            req, self.upstream, exc, has_progressed=self._has_progressed
        )
        await self._manager.wait_for_crash_check(req, checked)

    def _record_first_event(self) -> None:
        self._attempt.work.finish()
        now = self._first_event_at = self._clock.now()
        first_s = now - self._started_at
        self._manager.record_first_event(self.req, self._attempt, first_s)
        self._manager.record_outcome(self.req, self.upstream, Outcome.SUCCESS, first_s=first_s)

    def _record_progress(self, step: StreamStep) -> None:
        if self._first_event_at is None:
            self._record_first_event()
        now = self.progress_at = self._load.last_event_at = self._clock.now()
        self.n_events += len(step.events)
        is_whole = step.is_over and self._attempt.call.is_delimited
        has_lasted = step.events and now - self._first_event_at >= PROGRESS_S
        if not self._has_progressed and (is_whole or has_lasted):
            self._has_progressed = True
            self._manager.record_answer_progress(self.req)

    def _note(self, text: str) -> None:
        self.req.notes.append(f"{self.upstream.upstream_id}:{text}")
