"""Rate of the requests that a gateway gets from callers."""

from math import exp

__all__ = ["RequestRate"]

#: Time constant of the moving mean, in seconds.
TIME_CONSTANT_S = 5.0


class RequestRate:
    """Moving mean of the requests per second, weighted exponentially by age."""

    def __init__(self) -> None:
        self._n_weighted = 0.0
        self._decayed_at = 0.0

    def record_request(self, now: float) -> None:
        """Count a request at a local time in seconds."""
        self._decay(now)
        self._n_weighted += 1.0

    def compute(self, now: float) -> float:
        """Return the rate in requests per second."""
        self._decay(now)
        return self._n_weighted / TIME_CONSTANT_S

    def _decay(self, now: float) -> None:
        self._n_weighted *= exp(-max(0.0, now - self._decayed_at) / TIME_CONSTANT_S)
        self._decayed_at = now
