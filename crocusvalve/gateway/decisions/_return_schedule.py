"""Times at which callers may return to upstreams that take a limited rate of requests."""

from bisect import insort

__all__ = ["ReturnSchedule"]

#: Time by which callers may return earlier or later than they were told.
TOLERANCE_S = 0.3
#: Times that are remembered; later callers get the times after them all the same.
MAX_TIMES = 1000


class ReturnSchedule:
    """Gives each caller that a service refuses a time of its own.

    Load that it answers: more callers than all upstreams of a service take together. Were all told
    when the next request is taken, all but one would come back in vain; and a caller that comes at
    another time would take the place of one that was told to return. All times are local, in
    seconds.
    """

    def __init__(self) -> None:
        self._times: list[float] = []
        #: Times of callers that have returned and wait here.
        self._claimed: list[float] = []
        self._last = float("-inf")

    def book(self, reopens_at: float, interval_s: float, now: float) -> float:
        """Return the time at which a request can be sent that can't be sent now.

        Parameters
        ----------
        reopens_at : float
            Time from which the upstreams take a request.
        interval_s : float
            Time between the requests that they take together; 0 if that isn't limited.
        """
        self._drop_lapsed(now)
        if self._times and self._times[0] <= now + TOLERANCE_S:
            # Its caller was told to return about now.
            claimed_at = max(reopens_at, self._times.pop(0))
            self._claimed.append(claimed_at)
            return claimed_at
        self._last = max(reopens_at, self._last + interval_s)
        if len(self._times) < MAX_TIMES:
            insort(self._times, self._last)
        return self._last

    def take(self, booked_at: float | None, interval_s: float, now: float) -> bool:
        """Return whether a request may be sent now to an upstream that takes one.

        Parameters
        ----------
        booked_at : float or None
            Time that the request was given while it waited here; None if it has just come.
        interval_s : float
            Time after which the upstream takes the next request.
        """
        self._drop_lapsed(now)
        for times in (self._claimed, self._times):
            if booked_at in times:
                times.remove(booked_at)
                return True
        if self._claimed:
            return False
        if not self._times or self._times[0] - now >= interval_s:
            return True
        if self._times[0] <= now + TOLERANCE_S:
            del self._times[0]
            return True
        return False

    def _drop_lapsed(self, now: float) -> None:
        """Drop the times of callers that have given up, or returned to another gateway."""
        for times in (self._claimed, self._times):
            while times and times[0] < now - TOLERANCE_S:
                del times[0]
