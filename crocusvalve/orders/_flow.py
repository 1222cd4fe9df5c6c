"""Entry side of at-most-once orders: the state machine of one call, from claim to outcome."""

from enum import Enum

from msgspec.structs import replace

from crocusvalve.base import Command, ExecutionStatus
from crocusvalve.exceptions import ErrorCode, InvariantError
from crocusvalve.orders import _events as ev
from crocusvalve.orders._claim import (
    AttemptRecord,
    ClaimResult,
    ClaimState,
    OrderAnswer,
    OrderClaim,
    StoredClaim,
)
from crocusvalve.orders._outcomes import (
    IN_PROGRESS_RETRY_S,
    make_deadline_passed,
    make_in_progress,
    make_no_upstream,
    make_not_run,
    make_refused_outcome,
    make_replay,
    make_unknown,
)
from crocusvalve.orders._spec import OrderSpec, make_open_claim, make_settled_claim
from crocusvalve.rpc import Refused

__all__ = ["FlowPhase", "OrderFlow"]

STEP = "order"
#: Retry-after time of a call that ends because the store failed.
STORE_RETRY_S = 2.0
#: Delay before the second fence of an attempt; doubled for each further one.
FENCE_DELAY_S = 0.2
MAX_FENCES = 5
#: Codes of refusals that any other upstream would return too, so no further attempt is made.
FINAL_CODES = frozenset(
    code.name
    for code in (
        ErrorCode.BAD_DEADLINE,
        ErrorCode.BAD_JSON,
        ErrorCode.BAD_REQUEST,
        ErrorCode.CRASHES_UPSTREAMS,
        ErrorCode.DEADLINE_PASSED,
        ErrorCode.FORBIDDEN,
        ErrorCode.MODEL_NOT_ALLOWED,
        ErrorCode.VERSION_WITHDRAWN,
    )
)


class FlowPhase(Enum):
    """What the flow waits for.

    ``PLACING``: an attempt on an upstream; ``FINDING``: the claim of the key, read from the store;
    ``CLAIMING``: the write of an open claim; ``RUNNING``: the answer of the attempt; ``FENCING``:
    the reply to a fence; ``RESUMING``: the rest of the answer; ``SETTLING``: the write of the
    claim with its outcome; ``ENDED``: nothing more.
    """

    PLACING = "placing"
    FINDING = "finding"
    CLAIMING = "claiming"
    RUNNING = "running"
    FENCING = "fencing"
    RESUMING = "resuming"
    SETTLING = "settling"
    ENDED = "ended"


class OrderFlow:
    """State machine of one call of an order; for each event it returns the next command.

    An attempt is sent once, after the claim that records it has been written. A further attempt is
    made only when the last one is proved not to have run, and is recorded before it is sent.

    Parameters
    ----------
    spec : OrderSpec
        The order.

    Attributes
    ----------
    phase : FlowPhase
        What the flow waits for.
    stored : StoredClaim or None
        The claim as this flow last read or wrote it.
    """

    def __init__(self, spec: OrderSpec):
        self.spec = spec
        self.phase = FlowPhase.PLACING
        self.stored: StoredClaim | None = None
        self._attempt: AttemptRecord | None = None
        self._avoid: set[str] = set()
        self._n_sent = 0
        self._n_fences = 0
        self._last_refused: Refused | None = None
        self._outcome: ev.OrderOutcome | None = None
        self._is_owner = False

    def start(self, now: float) -> Command:
        """Return the first command."""
        return ev.PlaceAttempt(frozenset())

    def handle(self, event: ev.OrderEvent, now: float) -> Command:
        """Handle an event and return the next command."""
        if self.phase is FlowPhase.ENDED:
            raise InvariantError("an event reached a flow that has ended", step=STEP)
        match event:
            case ev.AttemptPlaced():
                return self._on_placed(event.attempt, now)
            case ev.ClaimFound():
                return self._on_found(event.stored, now)
            case ev.ClaimWritten():
                return self._on_written(event.result, now)
            case ev.StoreFailed():
                return self._on_store_failed(now)
            case ev.AnswerArrived():
                return self._end_answered(event.answer, now)
            case ev.AttemptRefused():
                return self._on_refused(event.refused, now)
            case ev.AttemptNotSent():
                return self._on_not_run(None, now)
            case ev.AttemptInterrupted():
                return self._fence(now)
            case ev.FenceAnswered():
                return self._on_fence_reply(event.reply.ran, event.reply.boot_id, now)
            case ev.FenceFailed():
                return self._on_fence_failed(now)
            case ev.DeadlinePassed():
                return self._on_deadline_passed(now)
        raise InvariantError(f"unexpected event {event!r}", step=STEP)

    def _on_placed(self, attempt: AttemptRecord | None, now: float) -> Command:
        if attempt is None:
            if self.stored is None:
                self.phase = FlowPhase.FINDING
                return ev.FindClaim()
            return self._end_not_run(self._make_last_outcome(self._last_refused, now), now)
        if attempt.deadline > self.spec.deadline:
            raise InvariantError("the attempt's deadline is later than the order's", step=STEP)
        self._attempt = attempt
        self.phase = FlowPhase.CLAIMING
        if self.stored is None:
            return ev.InsertClaim(make_open_claim(self.spec, (attempt,), now))
        attempts = (*self.stored.claim.attempts, attempt)
        return ev.UpdateClaim(make_open_claim(self.spec, attempts, now), self.stored.version)

    def _on_found(self, stored: StoredClaim | None, now: float) -> Command:
        if stored is None:
            return self._reply(make_no_upstream())
        return self._handle_existing_claim(stored, now)

    def _on_written(self, result: ClaimResult, now: float) -> Command:
        if self.phase is FlowPhase.SETTLING:
            return self._on_settled(result)
        stored = result.stored
        if not (result.is_applied or self._is_own_claim(stored)):
            if self.stored is None and stored is not None:
                return self._handle_existing_claim(stored, now)
            return self._reply(make_in_progress())
        self.stored = stored
        self._is_owner = True
        if now >= self._attempt.deadline:
            return self._end_not_run(make_deadline_passed(), now)
        self.phase = FlowPhase.RUNNING
        self._n_sent += 1
        return ev.SendAttempt(self._attempt)

    def _on_settled(self, result: ClaimResult) -> Command:
        if not result.is_applied and self._outcome.kind is ev.OutcomeKind.NOT_RUN:
            return self._reply(make_in_progress())
        return self._reply(self._outcome)

    def _on_store_failed(self, now: float) -> Command:
        if self.phase is FlowPhase.SETTLING:
            return self._on_settle_failed(now)
        message = "the platform's service did not confirm the claim"
        outcome = make_not_run(ErrorCode.PLATFORM_DOWN, message, retry_after_s=STORE_RETRY_S)
        return self._end_unsent(outcome, now)

    def _end_unsent(self, outcome: ev.OrderOutcome, now: float) -> Command:
        """End a call whose last write may still be applied; its attempt is never sent."""
        if self._attempt is None:
            return self._reply(outcome)
        if self._is_taken_over:
            return self._reply(make_in_progress())
        attempts = self.stored.claim.attempts if self.stored else ()
        if self._attempt not in attempts:
            attempts = (*attempts, self._attempt)
        claim = make_open_claim(self.spec, attempts, now)
        return self._reply(
            outcome, replace(claim, state=ClaimState.NOT_RUN, ran=ExecutionStatus.NOT_RUN)
        )

    def _on_settle_failed(self, now: float) -> Command:
        if self._outcome.kind is ev.OutcomeKind.NOT_RUN and self._is_taken_over:
            return self._reply(make_in_progress())
        return self._reply(self._outcome, make_settled_claim(self.stored.claim, self._outcome, now))

    def _on_refused(self, refused: Refused, now: float) -> Command:
        self._last_refused = refused
        if refused.ran is ExecutionStatus.NOT_RUN:
            return self._on_not_run(refused, now)
        if refused.code in ("UNKNOWN_REQUEST", "ANSWER_DAMAGED"):
            message = "the agent no longer holds the answer"
        else:
            message = f"the upstream failed the order: {refused.code}"
        return self._end_unknown(message, refused.ran, now, crashed=refused.crashed)

    def _on_not_run(self, refused: Refused | None, now: float) -> Command:
        """Continue with another upstream: the last attempt has not run and never will."""
        if self._n_sent:
            self._avoid.add(self._attempt.upstream_id)
        is_final = refused is not None and refused.code in FINAL_CODES
        if is_final or self._n_sent >= self.spec.max_attempts or now >= self.spec.deadline:
            return self._end_not_run(self._make_last_outcome(refused, now), now)
        self.phase = FlowPhase.PLACING
        return ev.PlaceAttempt(frozenset(self._avoid))

    def _fence(self, now: float, *, delay_s: float = 0.0) -> Command:
        self.phase = FlowPhase.FENCING
        self._n_fences += 1
        return ev.FenceAttempt(self._attempt, delay_s)

    def _on_fence_reply(self, ran: ExecutionStatus, boot_id: str, now: float) -> Command:
        if boot_id != self._attempt.boot_id:
            return self._end_unknown("the agent was restarted", ExecutionStatus.UNKNOWN, now)
        if ran is ExecutionStatus.NOT_RUN:
            return self._on_not_run(None, now)
        if self._n_fences > MAX_FENCES:
            return self._end_unknown("the answer could not be fetched", ran, now)
        self.phase = FlowPhase.RESUMING
        return ev.ResumeAttempt(self._attempt)

    def _on_fence_failed(self, now: float) -> Command:
        if self._n_fences >= MAX_FENCES:
            return self._end_unknown("the agent does not answer", ExecutionStatus.UNKNOWN, now)
        return self._fence(now, delay_s=FENCE_DELAY_S * 2 ** (self._n_fences - 1))

    def _on_deadline_passed(self, now: float) -> Command:
        if self.phase in (FlowPhase.RUNNING, FlowPhase.FENCING, FlowPhase.RESUMING):
            return self._end_unknown("the deadline passed", ExecutionStatus.UNKNOWN, now)
        if self.phase is FlowPhase.SETTLING:
            return self._on_settle_failed(now)
        return self._end_unsent(make_deadline_passed(), now)

    def _handle_existing_claim(self, stored: StoredClaim, now: float) -> Command:
        """Choose the next command by a claim that another call of the key has written."""
        claim = stored.claim
        if claim.body_digest != self.spec.body_digest:
            return self._reply(
                make_not_run(
                    ErrorCode.IDEMPOTENCY_KEY_REUSED,
                    "the idempotency key was used with another body",
                )
            )
        self.stored = stored
        if claim.state is ClaimState.DONE:
            return self._reply(make_replay(claim))
        if claim.state is ClaimState.OPEN and now < claim.takeover_at:
            wait_s = max(0.1, min(IN_PROGRESS_RETRY_S, claim.takeover_at - now))
            return self._reply(make_in_progress(wait_s))
        if claim.state is ClaimState.NOT_RUN:
            self.phase = FlowPhase.PLACING
            return ev.PlaceAttempt(frozenset())
        self._attempt = claim.attempts[-1]
        return self._fence(now)

    def _end_answered(self, answer: OrderAnswer, now: float) -> Command:
        outcome = ev.OrderOutcome(
            kind=ev.OutcomeKind.ANSWERED,
            ran=ExecutionStatus.RAN,
            answer=answer,
            peer=answer.upstream_id,
            is_replay=not self._is_owner,
        )
        self._outcome = outcome
        return self._reply(outcome, make_settled_claim(self.stored.claim, self._outcome, now))

    def _end_not_run(self, outcome: ev.OrderOutcome, now: float) -> Command:
        self._outcome = outcome
        if not self._is_owner and self.stored.claim.state is ClaimState.NOT_RUN:
            return self._reply(outcome)
        return self._settle(now)

    def _end_unknown(
        self, message: str, ran: ExecutionStatus, now: float, *, crashed: bool = False
    ) -> Command:
        self._outcome = make_unknown(message, ran, peer=self._attempt.upstream_id, crashed=crashed)
        if not self._is_owner and self.stored.claim.state is ClaimState.UNKNOWN:
            return self._reply(self._outcome)
        return self._reply(self._outcome, make_settled_claim(self.stored.claim, self._outcome, now))

    def _settle(self, now: float) -> Command:
        self.phase = FlowPhase.SETTLING
        return ev.UpdateClaim(
            make_settled_claim(self.stored.claim, self._outcome, now), self.stored.version
        )

    def _reply(
        self, outcome: ev.OrderOutcome, unwritten_claim: OrderClaim | None = None
    ) -> Command:
        self.phase = FlowPhase.ENDED
        if outcome.kind is ev.OutcomeKind.NOT_RUN and outcome.ran is not ExecutionStatus.NOT_RUN:
            raise InvariantError(
                "an outcome of kind NOT_RUN has another execution status", step=STEP
            )
        return ev.Reply(outcome, unwritten_claim)

    @property
    def _is_taken_over(self) -> bool:
        """Whether another call fenced the attempt, and so may run the order itself."""
        refused = self._last_refused
        return refused is not None and refused.code == ErrorCode.FENCED.name

    def _is_own_claim(self, stored: StoredClaim | None) -> bool:
        if stored is None or self._attempt is None:
            return False
        claim = stored.claim
        is_open = claim.state is ClaimState.OPEN and claim.request_id == self.spec.request_id
        return is_open and claim.attempts[-1] == self._attempt

    def _make_last_outcome(self, refused: Refused | None, now: float) -> ev.OrderOutcome:
        if refused is not None:
            return make_refused_outcome(refused)
        return make_deadline_passed() if now >= self.spec.deadline else make_no_upstream()
