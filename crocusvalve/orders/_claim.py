"""Claim of an idempotency key: the record that is stored before the entry sends an order."""

from abc import ABC, abstractmethod
from enum import Enum

from msgspec import Struct

from crocusvalve.base import (
    AttemptId,
    BootId,
    CustomerId,
    ExecutionStatus,
    NodeId,
    RequestId,
    UpstreamId,
    VersionRef,
)
from crocusvalve.rpc import Usage

__all__ = [
    "AttemptRecord",
    "ClaimResult",
    "ClaimState",
    "ClaimStore",
    "OrderAnswer",
    "OrderClaim",
    "StoredClaim",
]


class ClaimState(Enum):
    """Known outcome of the order of a claim.

    ``OPEN``: an attempt may be running; ``DONE``: answered; ``NOT_RUN``: no attempt has run or will
    run; ``UNKNOWN``: the last attempt may have run, or ran without an answer.
    """

    OPEN = "open"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AttemptRecord(Struct, frozen=True):
    """An attempt: the agent that may start it, in which process instance, and until when.

    Attributes
    ----------
    attempt_id : AttemptId
        The attempt.
    upstream_id : UpstreamId
        Upstream that the attempt is made on.
    agent : str
        Address of the upstream's agent.
    boot_id : BootId
        The only process instance of the agent that may start the attempt.
    deadline : float
        Time from which the agent no longer starts the attempt, in Unix seconds.
    version : VersionRef
        Model version to run; empty where the order has none.
    """

    attempt_id: AttemptId
    upstream_id: UpstreamId
    agent: str
    boot_id: BootId
    deadline: float
    version: VersionRef = VersionRef("")


class OrderAnswer(Struct, frozen=True, kw_only=True):
    """Answer to an order; ``body`` is None if it was too large to be stored in the claim."""

    upstream_id: UpstreamId
    status: int
    content_type: str
    body: bytes | None
    usage: Usage = Usage()
    finish_reason: str = ""


class OrderClaim(Struct, frozen=True, kw_only=True):
    """Claim of an idempotency key of a customer.

    Attributes
    ----------
    customer_id : CustomerId
        Customer that the key belongs to.
    key : str
        Idempotency key.
    body_digest : str
        Digest of the order; a call of the key with another digest is refused.
    request_id : RequestId
        Request that wrote the claim.
    owner : NodeId
        Entry that wrote the claim.
    state : ClaimState
        Known outcome of the order.
    attempts : tuple of AttemptRecord
        Attempts in the order in which they were made. All but the last are proved not to have run.
    takeover_at : float
        Time in Unix seconds from which another call of the key may take the claim over, after it
        has fenced the last attempt.
    at : float
        Time in Unix seconds at which this state of the claim was made.
    ran : ExecutionStatus
        Whether the order has run, as far as known.
    answer : OrderAnswer or None
        Answer of the order, where ``state`` is ``DONE``.
    """

    customer_id: CustomerId
    key: str
    body_digest: str
    request_id: RequestId
    owner: NodeId
    state: ClaimState
    attempts: tuple[AttemptRecord, ...]
    takeover_at: float
    at: float
    ran: ExecutionStatus = ExecutionStatus.UNKNOWN
    answer: OrderAnswer | None = None


class StoredClaim(Struct, frozen=True):
    """A claim as read from the store, with the version of its row."""

    claim: OrderClaim
    version: int


class ClaimResult(Struct, frozen=True):
    """Result of a conditional write; ``stored`` is the stored claim after the write."""

    is_applied: bool
    stored: StoredClaim | None


class ClaimStore(ABC):
    """Claims in the platform's tables; every method raises ``PlatformError`` if the store fails."""

    @abstractmethod
    async def insert(self, claim: OrderClaim) -> ClaimResult:
        """Write a claim, on the condition that its key has none."""

    @abstractmethod
    async def update(self, claim: OrderClaim, version: int) -> ClaimResult:
        """Replace a claim, on the condition that its row still has ``version``."""

    @abstractmethod
    async def find(self, customer_id: CustomerId, key: str) -> StoredClaim | None:
        """Return the claim of a key, or None if the key has none."""
