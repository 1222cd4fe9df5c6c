"""Events that an order's flow handles and commands that it returns."""

from enum import Enum

from msgspec import Struct

from crocusvalve.base import Command, ExecutionStatus, UpstreamId
from crocusvalve.exceptions import ErrorCode
from crocusvalve.orders._claim import (
    AttemptRecord,
    ClaimResult,
    OrderAnswer,
    OrderClaim,
    StoredClaim,
)
from crocusvalve.rpc import FenceReply, Refused

__all__ = [
    "AnswerArrived",
    "AttemptInterrupted",
    "AttemptNotSent",
    "AttemptPlaced",
    "AttemptRefused",
    "ClaimFound",
    "ClaimWritten",
    "FenceAnswered",
    "FenceAttempt",
    "FenceFailed",
    "FindClaim",
    "DeadlinePassed",
    "InsertClaim",
    "OrderEvent",
    "OrderOutcome",
    "OutcomeKind",
    "PlaceAttempt",
    "Reply",
    "ResumeAttempt",
    "SendAttempt",
    "StoreFailed",
    "UpdateClaim",
]


class OutcomeKind(Enum):
    """How a call of an order ends.

    ``ANSWERED``: with the answer; ``NOT_RUN``: the order has not run through this call and won't;
    ``UNKNOWN``: the order may have run, or ran without an answer; ``IN_PROGRESS``: another call of
    the same key is still running it.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    IN_PROGRESS = "in_progress"


class OrderOutcome(Struct, frozen=True, kw_only=True):
    """Outcome that is reported to the caller of an order.

    Attributes
    ----------
    kind : OutcomeKind
        How the call ended.
    ran : ExecutionStatus
        Whether the order has run.
    code : ErrorCode or None
        Code of the error; None for an answer.
    message : str
        Text of the error.
    answer : OrderAnswer or None
        The answer, where ``kind`` is ``ANSWERED``.
    retry_after_s : float or None
        Time in seconds after which the caller may try again.
    peer : str
        Upstream that answered or failed.
    is_replay : bool
        Whether the answer is that of an earlier call of the key.
    crashed : bool
        Whether the upstream crashed under the attempt.
    """

    kind: OutcomeKind
    ran: ExecutionStatus
    code: ErrorCode | None = None
    message: str = ""
    answer: OrderAnswer | None = None
    retry_after_s: float | None = None
    peer: str = ""
    is_replay: bool = False
    crashed: bool = False


class PlaceAttempt(Command, Struct, frozen=True):
    """Choose an upstream that is not in ``avoid`` and create an attempt on it."""

    avoid: frozenset[UpstreamId]


class FindClaim(Command, Struct, frozen=True):
    """Read the claim of the order's key from the store."""


class InsertClaim(Command, Struct, frozen=True):
    """Write the claim, on the condition that its key has none."""

    claim: OrderClaim


class UpdateClaim(Command, Struct, frozen=True):
    """Replace the stored claim, on the condition that its row still has ``version``."""

    claim: OrderClaim
    version: int


class SendAttempt(Command, Struct, frozen=True):
    """Send the attempt to its agent, without retries."""

    attempt: AttemptRecord


class FenceAttempt(Command, Struct, frozen=True):
    """Fence the attempt at its agent, after ``delay_s`` seconds."""

    attempt: AttemptRecord
    delay_s: float = 0.0


class ResumeAttempt(Command, Struct, frozen=True):
    """Fetch the answer of the attempt from its agent, from the first missing frame on."""

    attempt: AttemptRecord


class Reply(Command, Struct, frozen=True):
    """Answer the caller; ``unwritten_claim`` is a claim that is still to be written, or None."""

    outcome: OrderOutcome
    unwritten_claim: OrderClaim | None = None


class AttemptPlaced(Struct, frozen=True):
    """The attempt that was created, or None if no upstream accepts one."""

    attempt: AttemptRecord | None


class ClaimFound(Struct, frozen=True):
    """The claim of the key was read; ``stored`` is None if the key has none."""

    stored: StoredClaim | None


class ClaimWritten(Struct, frozen=True):
    """An insert or update of the claim returned its result."""

    result: ClaimResult


class StoreFailed(Struct, frozen=True):
    """The store failed or did not answer in time; a write may still be applied."""


class AnswerArrived(Struct, frozen=True):
    """The complete answer arrived."""

    answer: OrderAnswer


class AttemptRefused(Struct, frozen=True):
    """The agent refused or failed the attempt."""

    refused: Refused


class AttemptNotSent(Struct, frozen=True):
    """No connection could be made, so the agent has not received any part of the attempt."""


class AttemptInterrupted(Struct, frozen=True):
    """The connection broke or the answer was corrupt, after the attempt may have arrived."""


class FenceAnswered(Struct, frozen=True):
    """The agent replied to a fence with what it knows of the attempt."""

    reply: FenceReply


class FenceFailed(Struct, frozen=True):
    """The agent did not reply to a fence."""


class DeadlinePassed(Struct, frozen=True):
    """The caller's deadline has passed."""


OrderEvent = (
    AttemptPlaced
    | ClaimFound
    | ClaimWritten
    | StoreFailed
    | AnswerArrived
    | AttemptRefused
    | AttemptNotSent
    | AttemptInterrupted
    | FenceAnswered
    | FenceFailed
    | DeadlinePassed
)
