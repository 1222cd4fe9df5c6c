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
from crocusvalve.orders._flow import OrderFlow, OrderSpec
from crocusvalve.orders._guard import GuardRow, OrderGuard
from crocusvalve.orders._runner import OrderRunner
from crocusvalve.orders._settler import ClaimSettler

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
