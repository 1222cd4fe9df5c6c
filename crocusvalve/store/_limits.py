"""Backoff, token bucket and circuit breaker of the client, free of clocks and I/O."""

import random
from enum import Enum

from crocusvalve.utils import check_range

__all__ = ["Backoff", "CircuitBreaker", "CircuitState", "TokenBucket"]


class Backoff:
    """Exponential delays with full jitter.

    Parameters
    ----------
    base_s, max_s : float
        Upper bound of the first delay and of any delay, in seconds.
    random_state : random.Random
        Random source of the jitter.
    """

    def __init__(self, *, base_s: float, max_s: float, random_state: random.Random):
        check_range("base_s", base_s, low=0.0)
        check_range("max_s", max_s, low=base_s)
        self.base_s = base_s
        self.max_s = max_s
        self.random_state = random_state

    def compute_delay_s(self, n_failures: int) -> float:
        """Return the delay after ``n_failures`` consecutive failures (at least 1), in seconds."""
        bound_s = min(self.max_s, self.base_s * 2 ** min(n_failures - 1, 30))
        return self.random_state.uniform(0.0, bound_s)


class TokenBucket:
    """Token bucket that limits the rate of operations.

    Parameters
    ----------
    rate_per_s : float
        Tokens added per second.
    burst : float
        Maximum number of tokens in the bucket.

    Attributes
    ----------
    tokens_ : float
        Tokens at the time ``refilled_at_``; negative while reservations wait for tokens.
    refilled_at_ : float
        Time of the last refill, in seconds.
    """

    def __init__(self, *, rate_per_s: float, burst: float):
        check_range("rate_per_s", rate_per_s, low=0.001)
        check_range("burst", burst, low=1.0)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens_ = float(burst)
        self.refilled_at_ = float("-inf")

    def reserve(self, n_tokens: float, now: float) -> float:
        """Take tokens, letting the balance go negative; return the time to wait, in seconds."""
        self._refill(now)
        self.tokens_ -= n_tokens
        return max(0.0, -self.tokens_ / self.rate_per_s)

    def return_tokens(self, n_tokens: float) -> None:
        """Return the tokens of an operation that was not carried out."""
        self.tokens_ = min(self.burst, self.tokens_ + n_tokens)

    def compute_wait_s(self, n_tokens: float, now: float) -> float:
        """Return how long a reservation made now would wait, in seconds."""
        self._refill(now)
        return max(0.0, (n_tokens - self.tokens_) / self.rate_per_s)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.refilled_at_)
        self.tokens_ = min(self.burst, self.tokens_ + elapsed_s * self.rate_per_s)
        self.refilled_at_ = max(self.refilled_at_, now)


class CircuitState(Enum):
    """State of a circuit breaker; half-open means that the next call is let through as a probe."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Refuses calls after consecutive failures, except for one probe at a time.

    Parameters
    ----------
    n_failures_to_open : int
        Consecutive failures after which calls are refused.
    probe_after_s : float
        Delay between probes while calls are refused, in seconds.

    Attributes
    ----------
    n_failures_ : int
        Consecutive failures so far.
    probe_at_ : float
        Time from which the next probe is let through, in seconds.
    """

    def __init__(self, *, n_failures_to_open: int, probe_after_s: float):
        check_range("n_failures_to_open", n_failures_to_open, low=1)
        check_range("probe_after_s", probe_after_s, low=0.0)
        self.n_failures_to_open = n_failures_to_open
        self.probe_after_s = probe_after_s
        self.n_failures_ = 0
        self.probe_at_ = float("-inf")

    def get_state(self, now: float) -> CircuitState:
        """Return the state at a time."""
        if self.n_failures_ < self.n_failures_to_open:
            return CircuitState.CLOSED
        return CircuitState.HALF_OPEN if now >= self.probe_at_ else CircuitState.OPEN

    def try_acquire(self, now: float) -> bool:
        """Return whether a call may be sent; a probe delays the next probe."""
        state = self.get_state(now)
        if state is CircuitState.HALF_OPEN:
            self.probe_at_ = now + self.probe_after_s
        return state is not CircuitState.OPEN

    def record_success(self) -> None:
        """Reset the failure count, which closes the circuit."""
        self.n_failures_ = 0

    def record_failure(self, now: float) -> None:
        """Count a failure; at ``n_failures_to_open`` and above, open the circuit."""
        self.n_failures_ += 1
        if self.n_failures_ >= self.n_failures_to_open:
            self.probe_at_ = now + self.probe_after_s
