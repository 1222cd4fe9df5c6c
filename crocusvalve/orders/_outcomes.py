"""Functions that make the outcomes that are reported to callers of orders."""

from crocusvalve.base import ExecutionStatus
from crocusvalve.exceptions import ErrorCode
from crocusvalve.orders._claim import OrderClaim
from crocusvalve.orders._events import OrderOutcome, OutcomeKind
from crocusvalve.rpc import Refused

__all__ = [
    "IN_PROGRESS_RETRY_S",
    "make_in_progress",
    "make_deadline_passed",
    "make_no_upstream",
    "make_not_run",
    "make_refused_outcome",
    "make_replay",
    "make_unknown",
]

IN_PROGRESS_RETRY_S = 1.0


def make_not_run(
    code: ErrorCode, message: str, *, retry_after_s: float | None = None
) -> OrderOutcome:
    """Make the outcome of a call of which no attempt has run or will run."""
    return OrderOutcome(
        kind=OutcomeKind.NOT_RUN,
        ran=ExecutionStatus.NOT_RUN,
        code=code,
        message=message,
        retry_after_s=retry_after_s,
    )


def make_no_upstream() -> OrderOutcome:
    """Make the outcome of a call that no upstream accepts."""
    message = "no upstream accepts the order now"
    return make_not_run(ErrorCode.NO_UPSTREAM, message, retry_after_s=IN_PROGRESS_RETRY_S)


def make_deadline_passed() -> OrderOutcome:
    """Make the outcome of a call whose deadline passed before the order was sent."""
    return make_not_run(ErrorCode.DEADLINE_PASSED, "the deadline passed before the order was sent")


def make_refused_outcome(refused: Refused) -> OrderOutcome:
    """Make the outcome of a call whose last attempt was refused as not run."""
    return OrderOutcome(
        kind=OutcomeKind.NOT_RUN,
        ran=ExecutionStatus.NOT_RUN,
        code=ErrorCode[refused.code],
        message=refused.message,
        retry_after_s=refused.retry_after_s,
        peer=refused.peer,
        crashed=refused.crashed,
    )


def make_unknown(
    message: str, ran: ExecutionStatus, *, peer: str = "", crashed: bool = False
) -> OrderOutcome:
    """Make the outcome of a call whose attempt may have run, or ran without a usable answer."""
    return OrderOutcome(
        kind=OutcomeKind.UNKNOWN,
        ran=ExecutionStatus.RAN if ran is ExecutionStatus.RAN else ExecutionStatus.UNKNOWN,
        code=ErrorCode.OUTCOME_UNKNOWN,
        message=message,
        peer=peer,
        crashed=crashed,
    )


def make_in_progress(retry_after_s: float = IN_PROGRESS_RETRY_S) -> OrderOutcome:
    """Make the outcome of a call whose key is claimed by another call that is in progress."""
    return OrderOutcome(
        kind=OutcomeKind.IN_PROGRESS,
        ran=ExecutionStatus.UNKNOWN,
        code=ErrorCode.IN_PROGRESS,
        message="another call of this idempotency key is in progress",
        retry_after_s=retry_after_s,
    )


def make_replay(claim: OrderClaim) -> OrderOutcome:
    """Make the outcome of a call from the answer in the claim of an earlier call of its key."""
    if claim.answer is None or claim.answer.body is None:
        return OrderOutcome(
            kind=OutcomeKind.UNKNOWN,
            ran=ExecutionStatus.RAN,
            code=ErrorCode.ANSWER_DAMAGED,
            message="the order ran; its answer was too large to be stored",
        )
    return OrderOutcome(
        kind=OutcomeKind.ANSWERED,
        ran=ExecutionStatus.RAN,
        answer=claim.answer,
        peer=claim.answer.upstream_id,
        is_replay=True,
    )
