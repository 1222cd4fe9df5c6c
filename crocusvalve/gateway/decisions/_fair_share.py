"""Share of each customer in the requests that start, compared with what is usual for it."""

from collections.abc import Iterable

from msgspec import Struct

__all__ = ["FairShare"]

#: Seconds in which an arrival loses half its weight in what is usual for a customer. A surge of a
#: few seconds then raises its share little, while a lasting change is followed within a minute.
USUAL_HALF_LIFE_S = 30.0
#: The same for the starts that are compared with it.
STARTED_HALF_LIFE_S = 2.0
#: Arrivals that each customer has in advance, so that a new one isn't over its share at once.
PRIOR_ARRIVALS = 3.0
#: A customer is over its share from this multiple of it, plus one request, on.
TOLERANCE = 1.1
#: Customers with less are forgotten.
MIN_WEIGHT = 0.05
MAX_CUSTOMERS = 1000


class _Count(Struct):
    """A count that decays with age."""

    value: float = 0.0
    at: float = 0.0

    def get(self, half_life_s: float, now: float) -> float:
        return self.value * 0.5 ** (max(0.0, now - self.at) / half_life_s)

    def add(self, weight: float, half_life_s: float, now: float) -> None:
        self.value, self.at = max(0.0, self.get(half_life_s, now) + weight), now


class FairShare:
    """Tells which customers get more than their usual share of the starts.

    Load that it answers: one customer sends several times its usual number of requests. One that
    usually has a large part of the requests keeps it. All times are local, in seconds.
    """

    def __init__(self) -> None:
        self._usual: dict[str, _Count] = {}
        self._started: dict[str, _Count] = {}

    def record_arrival(self, customer: str, now: float) -> None:
        """Record that a customer's request has arrived."""
        self._usual.setdefault(customer, _Count()).add(1.0, USUAL_HALF_LIFE_S, now)
        _forget(self._usual, USUAL_HALF_LIFE_S, now)

    def record_start(self, customer: str, now: float, *, weight: float = 1.0) -> None:
        """Record that a customer's request is sent, or was rejected (weight -1)."""
        self._started.setdefault(customer, _Count()).add(weight, STARTED_HALF_LIFE_S, now)
        _forget(self._started, STARTED_HALF_LIFE_S, now)

    def find_over_share(self, waiting: Iterable[str], now: float) -> set[str]:
        """Return the customers among those with waiting requests that are over their share."""
        waiting = set(waiting)
        if len(waiting) < 2:
            return set()
        started = {
            name: count.get(STARTED_HALF_LIFE_S, now) for name, count in self._started.items()
        }
        active = waiting | {name for name, value in started.items() if value >= MIN_WEIGHT}
        usual = {name: PRIOR_ARRIVALS + self._get_usual(name, now) for name in active}
        starts_per_arrival = sum(started.values()) / sum(usual.values())
        return {
            name
            for name in waiting
            if started.get(name, 0.0) > TOLERANCE * usual[name] * starts_per_arrival + 1.0
        }

    def _get_usual(self, customer: str, now: float) -> float:
        count = self._usual.get(customer)
        return 0.0 if count is None else count.get(USUAL_HALF_LIFE_S, now)


def _forget(counts: dict[str, _Count], half_life_s: float, now: float) -> None:
    """Drop the lightest counts if there are too many."""
    if len(counts) > MAX_CUSTOMERS:
        ranked = sorted(counts, key=lambda name: counts[name].get(half_life_s, now))
        for name in ranked[: MAX_CUSTOMERS // 10]:
            del counts[name]
