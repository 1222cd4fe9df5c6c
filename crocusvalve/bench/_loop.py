"""Event loop in virtual time."""

import heapq
from collections.abc import Callable
from typing import Any

__all__ = ["EventLoop"]


class EventLoop:
    """Runs callbacks in order of their virtual time.

    Attributes
    ----------
    now : float
        Current virtual time in seconds.
    """

    def __init__(self, now: float = 0.0):
        self.now = now
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._n_events = 0

    def call_at(self, time_s: float, callback: Callable, *args: Any) -> None:
        """Schedule a callback at a virtual time, or at the current time if that is past."""
        self._n_events += 1
        heapq.heappush(self._events, (max(time_s, self.now), self._n_events, callback, args))

    def call_after(self, delay_s: float, callback: Callable, *args: Any) -> None:
        """Schedule a callback after a delay in seconds."""
        self.call_at(self.now + delay_s, callback, *args)

    def run_until(self, end_s: float) -> None:
        """Run all events up to and including a virtual time, and set the clock to it."""
        while self._events and self._events[0][0] <= end_s:
            self.now, _, callback, args = heapq.heappop(self._events)
            callback(*args)
        self.now = end_s
