"""Budget of extra attempts in a sliding window: this gateway's share of the common budget."""

from collections import deque

__all__ = ["AttemptBudget"]

#: Fraction of the operators' bound that is used. The rest is a margin, since a window that starts
#: at another time contains other requests.
SAFETY_FACTOR = 0.8


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
        self._expire(now)
        bound = self.ratio * len(self._requests) + self.slack / max(1, n_gateways)
        return SAFETY_FACTOR * bound - len(self._extras)

    def count_extra_attempt(self, now: float) -> None:
        """Count an extra attempt."""
        self._extras.append(now)

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._extras):
            while times and now - times[0] >= self.window_s:
                times.popleft()
