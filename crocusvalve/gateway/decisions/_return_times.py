"""Times at which callers of refused requests are to send them again."""

from collections import OrderedDict

__all__ = ["ReturnTimes"]

#: Time between two callers' returns while no rate is known, in seconds: a gateway is sent less than
#: 50 requests a second.
DEFAULT_INTERVAL_S = 0.02
#: Longest time over which returns are spread, in seconds; deadlines are 10 to 20 s, and a caller
#: must still get its answer after it has returned.
MAX_SPAN_S = 5.0
#: Time by which a caller may return before it was told to, and after which it counts as a newcomer.
EARLY_TOLERANCE_S = 0.1
LIFETIME_S = 2.0
#: Times that are remembered; later callers get a time all the same.
MAX_TIMES = 2000


class ReturnTimes:
    """Gives each refused request a time of its own, and recognises it when it returns.

    Load that it answers: hundreds of callers are refused within a second. Told the same time, they
    would return together and be refused again. A request is recognised by the digest of target,
    customer and body. All times are local, in seconds.
    """

    def __init__(self) -> None:
        self._times: OrderedDict[str, float] = OrderedDict()
        self._last = float("-inf")

    def has(self, key: str) -> bool:
        """Return whether a request was refused and hasn't started since."""
        return key in self._times

    def is_due(self, key: str, now: float) -> bool:
        """Return whether the caller of a refused request was told to return about now."""
        return_at = self._times.get(key)
        return return_at is not None and (
            return_at - EARLY_TOLERANCE_S <= now <= return_at + LIFETIME_S
        )

    def discard(self, key: str) -> None:
        """Forget a request, since it has started."""
        self._times.pop(key, None)

    def book(self, key: str, earliest_at: float, interval_s: float | None, now: float) -> float:
        """Return when a refused request is to be sent again.

        A caller that returns before its time is told the same time again.

        Parameters
        ----------
        earliest_at : float
            Time before which no upstream is expected to accept it.
        interval_s : float or None
            Time between two starts of waiting requests; None if unknown.
        """
        return_at = self._times.get(key)
        if return_at is not None and return_at > now + EARLY_TOLERANCE_S:
            return return_at
        return_at = max(earliest_at, self._last + (interval_s or DEFAULT_INTERVAL_S))
        if return_at > earliest_at + MAX_SPAN_S:
            # Begins again at the earliest time, between the times that were given there before.
            return_at = earliest_at + 0.5 * (interval_s or DEFAULT_INTERVAL_S)
        self._last = return_at
        self._times[key] = return_at
        self._times.move_to_end(key)
        while len(self._times) > MAX_TIMES or self._is_first_lapsed(now):
            self._times.popitem(last=False)
        return return_at

    def _is_first_lapsed(self, now: float) -> bool:
        return next(iter(self._times.values()), now) < now - LIFETIME_S
