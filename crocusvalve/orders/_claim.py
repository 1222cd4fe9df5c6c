"""Claim of an idempotency key: the row that stands before an order leaves its entry."""

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
    """What is known of the order of a claim."""

    OPEN = "open"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AttemptRecord(Struct, frozen=True):
    """An attempt: the agent that may start it, in which of its runs, and until when."""

    attempt_id: AttemptId
    upstream_id: UpstreamId
    agent: str
    boot_id: BootId
    deadline: float
    version: VersionRef = VersionRef("")


class OrderAnswer(Struct, frozen=True, kw_only=True):
    """Answer to an order; ``body`` is None where it was too large for the record."""

    upstream_id: UpstreamId
    status: int
    content_type: str
    body: bytes | None
    usage: Usage = Usage()
    finish_reason: str = ""


class OrderClaim(Struct, frozen=True, kw_only=True):
    """Claim of the key of a customer.

    Every attempt but the last is proved as not run. Another call may take the claim over from
    ``takeover_at`` on, in Unix seconds, after it has fenced the last attempt.
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
    """A claim as it stands in the store, with the version of its row."""

    claim: OrderClaim
    version: int


class ClaimResult(Struct, frozen=True):
    """Result of a conditional write; ``stored`` is the claim as it stands after it."""

    is_applied: bool
    stored: StoredClaim | None


class ClaimStore(ABC):
    """Claims in the platform's tables; every method raises ``PlatformError`` on failure."""

    @abstractmethod
    async def insert(self, claim: OrderClaim) -> ClaimResult:
        """Write a claim where its key has none."""

    @abstractmethod
    async def update(self, claim: OrderClaim, version: int) -> ClaimResult:
        """Replace a claim that still stands at a version."""

    @abstractmethod
    async def find(self, customer_id: CustomerId, key: str) -> StoredClaim | None:
        """Return the claim of a key, or None."""
