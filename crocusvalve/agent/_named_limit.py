"""Rate of requests that an upstream names in its answers."""

__all__ = ["NamedLimit", "parse_rate"]

#: A limit below this rate counts as this one, since only an answer shows that it has ended.
MIN_RATE_PER_S = 0.1


def parse_rate(value: str | None) -> float | None:
    """Return a rate per second; None if it is missing or no finite number of 0 or more."""
    try:
        rate_per_s = float(value) if value is not None else None
    except ValueError:
        return None
    if rate_per_s is None or not 0.0 <= rate_per_s < float("inf"):
        return None
    return rate_per_s


class NamedLimit:
    """Spaces the attempts at an upstream by the rate that its last answer has named.

    All requests for the upstream pass this agent, so that no share has to be agreed on.

    Attributes
    ----------
    rate_per_s : float or None
        Requests per second that the upstream takes; None without a limit.
    """

    def __init__(self) -> None:
        self.rate_per_s: float | None = None
        self._last_sent_at = float("-inf")

    def record_answer(self, rate_per_s: float | None) -> bool:
        """Record the rate that an answer names, None for none; return whether it has changed."""
        if rate_per_s is not None:
            rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        has_changed = rate_per_s != self.rate_per_s
        self.rate_per_s = rate_per_s
        return has_changed

    def record_send(self, now: float) -> None:
        """Record that an attempt is admitted at a time in seconds."""
        self._last_sent_at = now

    def compute_wait_s(self, now: float) -> float:
        """Return the seconds until the upstream takes the next attempt; 0 if it takes one now."""
        if self.rate_per_s is None:
            return 0.0
        return max(0.0, self._last_sent_at + 1.0 / self.rate_per_s - now)
