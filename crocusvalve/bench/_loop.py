"""Loop of events in virtual time."""

import heapq
from collections.abc import Callable
from typing import Any

__all__ = ["EventLoop"]


class EventLoop:
    """Runs callbacks in order of their virtual time.

    Attributes
    ----------
    now : float
        Present virtual time in seconds.
    """

    def __init__(self, now: float = 0.0):
        self.now = now
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._n_events = 0

    def call_at(self, at: float, callback: Callable, *args: Any) -> None:
        """Call back at a time, or at once where it is past."""
        self._n_events += 1
        heapq.heappush(self._events, (max(at, self.now), self._n_events, callback, args))

    def call_after(self, delay_s: float, callback: Callable, *args: Any) -> None:
        """Call back after a delay in seconds."""
        self.call_at(self.now + delay_s, callback, *args)

    def run_until(self, end: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, callback, args = heapq.heappop(self._events)
            callback(*args)
        self.now = end
