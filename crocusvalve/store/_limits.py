"""Rules of the client: backoff, write budget and circuit; no clock and no I/O."""

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
        Source of the jitter.
    """

    def __init__(self, *, base_s: float, max_s: float, random_state: random.Random):
        check_range("base_s", base_s, low=0.0)
        check_range("max_s", max_s, low=base_s)
        self.base_s = base_s
        self.max_s = max_s
        self.random_state = random_state

    def compute_delay_s(self, n_failures: int) -> float:
        """Return the delay after a number of failures in a row, in seconds."""
        bound_s = min(self.max_s, self.base_s * 2 ** min(n_failures - 1, 30))
        return self.random_state.uniform(0.0, bound_s)


class TokenBucket:
    """Budget of operations a second.

    Parameters
    ----------
    rate_per_s : float
        Tokens that flow in a second.
    burst : float
        Most tokens held.
    """

    def __init__(self, *, rate_per_s: float, burst: float):
        check_range("rate_per_s", rate_per_s, low=0.001)
        check_range("burst", burst, low=1.0)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens_ = float(burst)
        self.refilled_at_ = float("-inf")

    def reserve(self, n_tokens: float, now: float) -> float:
        """Take tokens, in debt where there are too few, and return the wait in seconds."""
        self._refill(now)
        self.tokens_ -= n_tokens
        return max(0.0, -self.tokens_ / self.rate_per_s)

    def return_tokens(self, n_tokens: float) -> None:
        """Return tokens of an operation that was given up."""
        self.tokens_ = min(self.burst, self.tokens_ + n_tokens)

    def compute_wait_s(self, n_tokens: float, now: float) -> float:
        """Return the wait that a reservation would have, in seconds."""
        self._refill(now)
        return max(0.0, (n_tokens - self.tokens_) / self.rate_per_s)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.refilled_at_)
        self.tokens_ = min(self.burst, self.tokens_ + elapsed_s * self.rate_per_s)
        self.refilled_at_ = max(self.refilled_at_, now)


class CircuitState(Enum):
    """Whether calls are let through."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Refuses calls at once after failures in a row, and lets one probe through at a time.

    Parameters
    ----------
    n_failures_to_open : int
        Failures in a row after which calls are refused.
    probe_after_s : float
        Delay between probes while calls are refused, in seconds.
    """

    def __init__(self, *, n_failures_to_open: int, probe_after_s: float):
        check_range("n_failures_to_open", n_failures_to_open, low=1)
        check_range("probe_after_s", probe_after_s, low=0.0)
        self.n_failures_to_open = n_failures_to_open
        self.probe_after_s = probe_after_s
        self.n_failures_ = 0
        self.probe_at_ = float("-inf")

    def get_state(self, now: float) -> CircuitState:
        """Return the state at an instant."""
        if self.n_failures_ < self.n_failures_to_open:
            return CircuitState.CLOSED
        return CircuitState.HALF_OPEN if now >= self.probe_at_ else CircuitState.OPEN

    def try_acquire(self, now: float) -> bool:
        """Tell whether a call may go out; a probe delays the next one."""
        state = self.get_state(now)
        if state is CircuitState.HALF_OPEN:
            self.probe_at_ = now + self.probe_after_s
        return state is not CircuitState.OPEN

    def record_success(self) -> None:
        """Close the circuit."""
        self.n_failures_ = 0

    def record_failure(self, now: float) -> None:
        """Count a failure; from the threshold on, refuse calls until the next probe."""
        self.n_failures_ += 1
        if self.n_failures_ >= self.n_failures_to_open:
            self.probe_at_ = now + self.probe_after_s
