"""Availability and era of the store, as all followers of its tables see them."""

import trio

from crocusvalve.store.base import FeedPage

__all__ = ["StoreState"]


class StoreState:
    """Availability of the store as seen by its followers, and an estimate of its clock.

    Attributes
    ----------
    failed_at, answered_at : float
        Local times of the last failed and the last answered call, in seconds; ``-inf`` before the
        first one.
    era : int
        Latest era of the store.
    """

    def __init__(self) -> None:
        self.failed_at = float("-inf")
        self.answered_at = float("-inf")
        self.era = 0
        self._offset_s = 0.0
        self._recovered = trio.Event()

    @property
    def is_up(self) -> bool:
        """Whether the last call was answered."""
        return self.answered_at > self.failed_at

    def record_answer(self, page: FeedPage, now: float) -> bool:
        """Record an answered call; return whether the call before it had failed."""
        was_down = self.failed_at > self.answered_at
        self.answered_at = now
        self.era = max(self.era, page.era)
        self._offset_s = page.time_s - now
        self._recovered.set()
        return was_down

    def record_failure(self, now: float) -> bool:
        """Record a failed call; return whether it is the first since the start or an answer."""
        was_up = self.is_up or self.failed_at == float("-inf")
        self.failed_at = now
        if self._recovered.is_set():
            self._recovered = trio.Event()
        return was_up

    async def wait_until_up(self, timeout_s: float) -> None:
        """Wait until a call is answered, at most for ``timeout_s`` seconds."""
        with trio.move_on_after(timeout_s):
            await self._recovered.wait()

    def compute_time_s(self, now: float) -> float:
        """Return the store's time in seconds at a local time."""
        return now + self._offset_s
