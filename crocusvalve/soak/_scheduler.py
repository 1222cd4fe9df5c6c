"""Virtual clock that runs scheduled calls in order of time."""

import heapq
import itertools
from collections.abc import Callable

__all__ = ["Scheduler"]


class Scheduler:
    """Runs calls at virtual times; calls of the same time run in the order they were added.

    Parameters
    ----------
    now : float
        Virtual Unix time at the start, in seconds.
    """

    def __init__(self, now: float = 1_000_000.0):
        self.now = now
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def add(self, delay_s: float, call: Callable[[], None]) -> None:
        """Add a call after a delay in seconds."""
        heapq.heappush(self._calls, (self.now + delay_s, next(self._numbers), call))

    def run_next(self) -> None:
        """Advance the clock to the next call and run it."""
        at, _, call = heapq.heappop(self._calls)
        self.now = max(self.now, at)
        call()
