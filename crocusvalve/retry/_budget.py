"""Budget that bounds retries and hedges, so that they can't amplify an outage."""

from crocusvalve.base import MemberId

__all__ = ["RetryBudget"]

#: Largest number of unused retries that a member's budget holds.
MAX_SAVED_RETRIES = 20.0
#: Retries per second that a member may make even if it sends hardly any requests.
MIN_RATE_PER_S = 0.2


class RetryBudget:
    """Token bucket per member that each first attempt fills and each retry or hedge drains.

    A bucket also fills at ``MIN_RATE_PER_S`` and starts half full.

    Parameters
    ----------
    ratio : float
        Retries per request, such as 0.1; the ratio in a member's own configuration overrides it.
    """

    def __init__(self, ratio: float = 0.1):
        self.ratio = ratio
        self.tokens_: dict[MemberId, float] = {}
        self.refilled_at_: dict[MemberId, float] = {}

    def count_request(self, member: MemberId, now: float, *, ratio: float | None = None) -> None:
        """Credit a member's budget for a first attempt; ``ratio`` overrides the default."""
        self._refill(member, now)
        gain = self.ratio if ratio is None else ratio
        self.tokens_[member] = min(MAX_SAVED_RETRIES, self.tokens_[member] + gain)

    def try_acquire(self, member: MemberId, now: float) -> bool:
        """Acquire one retry from a member's budget; return False if it is used up."""
        self._refill(member, now)
        if self.tokens_[member] < 1.0:
            return False
        self.tokens_[member] -= 1.0
        return True

    def _refill(self, member: MemberId, now: float) -> None:
        since = self.refilled_at_.setdefault(member, now)
        tokens = self.tokens_.setdefault(member, MAX_SAVED_RETRIES / 2.0)
        self.tokens_[member] = min(
            MAX_SAVED_RETRIES, tokens + max(0.0, now - since) * MIN_RATE_PER_S
        )
        self.refilled_at_[member] = max(since, now)
