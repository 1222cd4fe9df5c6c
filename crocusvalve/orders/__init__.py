"""Non-idempotent requests, run at most once."""

from crocusvalve.orders._guard import MAX_DEADLINE_S, GuardRow, OrderGuard

__all__ = ["MAX_DEADLINE_S", "GuardRow", "OrderGuard"]
