"""Retries, hedged attempts, their budget, and the quarantine of requests that crash upstreams."""

from crocusvalve.retry._backoff import compute_backoff_s
from crocusvalve.retry._budget import RetryBudget
from crocusvalve.retry._final_code import choose_final_code
from crocusvalve.retry._hedge import HedgePolicy, LatencyWindow
from crocusvalve.retry._policy import NON_RETRYABLE_CODES, RetryAction, RetryDecision, RetryPolicy
from crocusvalve.retry._quarantine import Quarantine

__all__ = [
    "NON_RETRYABLE_CODES",
    "HedgePolicy",
    "LatencyWindow",
    "Quarantine",
    "RetryAction",
    "RetryBudget",
    "RetryDecision",
    "RetryPolicy",
    "choose_final_code",
    "compute_backoff_s",
]
