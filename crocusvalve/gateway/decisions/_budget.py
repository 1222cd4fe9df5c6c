"""Budget of extra attempts in a sliding window: this gateway's share of the common budget."""

from collections import deque

__all__ = ["AttemptBudget"]

#: Fraction of the operators' bound per request that is used. The rest is a margin, since a window
#: that starts at another time contains other requests.
RATIO_FACTOR = 0.93
#: Fraction of the constant bound that is used. A gateway that starts again within a window has it a
#: second time.
SLACK_FACTOR = 0.5
#: Fraction of the budget that is reserved for requests that have failed.
RETRY_RESERVE = 0.1


class AttemptBudget:
    """Limits the attempts beyond the first of each request to a service.

    Parameters
    ----------
    ratio : float
        Extra attempts per request in the window.
    slack : float
        Extra attempts that all gateways together may make in a window, whatever the number of
        requests; each gateway gets an equal part.
    window_s : float
        Length of the window in seconds.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self._requests: deque[float] = deque()
        self._extras: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)

    def compute_left(self, n_gateways: int, now: float) -> float:
        """Return how many extra attempts may be made now; negative if the budget is exceeded."""
        return self._compute_bound(n_gateways, now) - len(self._extras)

    def compute_left_for_choice(self, n_gateways: int, now: float) -> float:
        """Return how many extra attempts may be made for requests that have not failed."""
        return (1.0 - RETRY_RESERVE) * self._compute_bound(n_gateways, now) - len(self._extras)

    def _compute_bound(self, n_gateways: int, now: float) -> float:
        self._expire(now)
        ratio = RATIO_FACTOR * self.ratio
        return ratio * len(self._requests) + SLACK_FACTOR * self.slack / max(1, n_gateways)

    def count_extra_attempt(self, now: float) -> None:
        """Count an extra attempt."""
        self._extras.append(now)

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._extras):
            while times and now - times[0] >= self.window_s:
                times.popleft()
