"""Orders: non-idempotent requests, each run at most once per idempotency key.

Before an entry sends an attempt, it records the attempt in a claim of the customer's idempotency
key, in the platform's tables (``ClaimStore``). The agent starts each attempt at most once
(``OrderGuard``), and never starts an attempt that was fenced before. A further attempt, also one
by another call of the same key, is made only when the last attempt is proved not to have run.

``OrderFence`` deals with another kind of order: a command that the controller sends to an engine.
"""

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
