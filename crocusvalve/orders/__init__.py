"""Non-idempotent requests, run at most once."""

from crocusvalve.orders._claim import (
    AttemptRecord,
    ClaimResult,
    ClaimState,
    ClaimStore,
    OrderAnswer,
    OrderClaim,
    StoredClaim,
)
from crocusvalve.orders._events import OrderOutcome, OutcomeKind
from crocusvalve.orders._fence import OrderFence
from crocusvalve.orders._flow import OrderFlow
from crocusvalve.orders._guard import GuardRow, OrderGuard
from crocusvalve.orders._runner import OrderRunner
from crocusvalve.orders._settler import ClaimSettler
from crocusvalve.orders._spec import OrderSpec

__all__ = [
    "AttemptRecord",
    "ClaimResult",
    "ClaimSettler",
    "ClaimState",
    "ClaimStore",
    "GuardRow",
    "OrderAnswer",
    "OrderClaim",
    "OrderFence",
    "OrderFlow",
    "OrderGuard",
    "OrderOutcome",
    "OrderRunner",
    "OrderSpec",
    "OutcomeKind",
    "StoredClaim",
]
