"""Times that the plain answers of each route took lately, by their distribution."""

from collections import OrderedDict, deque

from msgspec import Struct

__all__ = ["AnswerTimes"]

#: Number of answers of a route that are remembered.
MAX_ANSWERS = 64
#: Seconds without an answer after which those of a route say nothing any more.
MAX_AGE_S = 300.0
#: Maximum number of routes; those without an answer for longest are forgotten.
MAX_ROUTES = 1024


class _Recent(Struct):
    """Times of a route's latest answers in seconds, and the local time of the last one."""

    elapsed_s: deque[float]
    recorded_at: float


class AnswerTimes:
    """Recent times to the answers of routes, from a request's arrival.

    A mean doesn't tell whether nearly all requests of a route end within a time; the share of the
    remembered answers that did so does.
    """

    def __init__(self) -> None:
        self._routes: OrderedDict[str, _Recent] = OrderedDict()

    def record(self, route: str, elapsed_s: float, now: float) -> None:
        """Record the time to an answer, or a time within which none has come."""
        recent = self._routes.get(route)
        if recent is None or now - recent.recorded_at > MAX_AGE_S:
            recent = self._routes[route] = _Recent(deque(maxlen=MAX_ANSWERS), now)
        recent.elapsed_s.append(elapsed_s)
        recent.recorded_at = now
        self._routes.move_to_end(route)
        if len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)

    def compute_quantile_s(self, route: str, share: float, now: float) -> float:
        """Return the time within which a share of the answers came; 0 if nothing is known.

        Parameters
        ----------
        share : float
            Share of the answers, at least 0 and less than 1.
        """
        recent = self._routes.get(route)
        if recent is None or now - recent.recorded_at > MAX_AGE_S:
            return 0.0
        ordered = sorted(recent.elapsed_s)
        return ordered[int(share * len(ordered))]
