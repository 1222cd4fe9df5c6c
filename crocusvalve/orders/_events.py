"""Events that an order's flow takes and commands that it gives."""

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
    """How a call ends."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    IN_PROGRESS = "in_progress"


class OrderOutcome(Struct, frozen=True, kw_only=True):
    """What the caller is told; ``is_replay`` marks an answer from the record of the key."""

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
    """Choose an upstream, none of ``avoid``, and make an attempt on it."""

    avoid: frozenset[UpstreamId]


class FindClaim(Command, Struct, frozen=True):
    """Read the claim of the key."""


class InsertClaim(Command, Struct, frozen=True):
    """Write the claim where its key has none."""

    claim: OrderClaim


class UpdateClaim(Command, Struct, frozen=True):
    """Replace the claim that stands at a version."""

    claim: OrderClaim
    version: int


class SendAttempt(Command, Struct, frozen=True):
    """Send the attempt to its agent, once."""

    attempt: AttemptRecord


class FenceAttempt(Command, Struct, frozen=True):
    """Fence the attempt at its agent, after a delay in seconds."""

    attempt: AttemptRecord
    delay_s: float = 0.0


class ResumeAttempt(Command, Struct, frozen=True):
    """Fetch the answer of the attempt from its agent, from the first frame missing."""

    attempt: AttemptRecord


class Reply(Command, Struct, frozen=True):
    """Answer the caller; ``unwritten_claim`` is a claim still to be written, or None."""

    outcome: OrderOutcome
    unwritten_claim: OrderClaim | None = None


class AttemptPlaced(Struct, frozen=True):
    """The attempt made, or None where no upstream takes one."""

    attempt: AttemptRecord | None


class ClaimFound(Struct, frozen=True):
    """The claim of the key, or None."""

    stored: StoredClaim | None


class ClaimWritten(Struct, frozen=True):
    """Result of an insert or an update."""

    result: ClaimResult


class StoreFailed(Struct, frozen=True):
    """The store gave no answer."""


class AnswerArrived(Struct, frozen=True):
    """The whole answer arrived."""

    answer: OrderAnswer


class AttemptRefused(Struct, frozen=True):
    """The agent refused or failed the attempt."""

    refused: Refused


class AttemptNotSent(Struct, frozen=True):
    """No connection could be made, so the agent has seen nothing of the attempt."""


class AttemptInterrupted(Struct, frozen=True):
    """The connection was cut, or the answer was damaged, after the attempt may have arrived."""


class FenceAnswered(Struct, frozen=True):
    """What the agent knows of the attempt."""

    reply: FenceReply


class FenceFailed(Struct, frozen=True):
    """The agent gave no answer to a fence."""


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
