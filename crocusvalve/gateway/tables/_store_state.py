"""Availability and era of the store, as all followers of its tables see them."""

import trio

from crocusvalve.store.base import FeedPage

__all__ = ["StoreState"]


class StoreState:
    """Availability of the store for each followed table, and an estimate of its clock.

    The tables are kept apart, since the store may answer for one of them while calls for another
    one fail.

    Attributes
    ----------
    answered_at : float
        Local time of the last answered call, in seconds; ``-inf`` before the first one.
    returned_after : float
        Local time in seconds after which the store has become available again: the start of the
        last call that failed. ``-inf`` if none did.
    era : int
        Latest era of the store.
    """

    def __init__(self) -> None:
        self.answered_at = float("-inf")
        self.returned_after = float("-inf")
        self.era = 0
        self._failing: set[str] = set()
        self._answered_at: dict[str, float] = {}
        self._offset_s = 0.0
        self._recovered = trio.Event()

    @property
    def is_up(self) -> bool:
        """Whether a call was answered, and for each table the last call was."""
        return self.answered_at > float("-inf") and not self._failing

    def is_failing(self, table: str) -> bool:
        """Return whether the last call for a table failed."""
        return table in self._failing

    def get_answered_at(self, table: str) -> float:
        """Return the local time in seconds of a table's last answered call; -inf without one."""
        return self._answered_at.get(table, float("-inf"))

    def has_other_failures(self, table: str) -> bool:
        """Return whether the last call for another table failed."""
        return bool(self._failing - {table})

    def forget(self, table: str) -> None:
        """Forget the last call for a table that is no longer followed."""
        self._failing.discard(table)

    def record_answer(self, table: str, page: FeedPage, now: float) -> bool:
        """Record an answered call; return whether the table's call before it had failed."""
        was_failing = table in self._failing
        self._failing.discard(table)
        self.answered_at = self._answered_at[table] = now
        self.era = max(self.era, page.era)
        self._offset_s = page.time_s - now
        self._recovered.set()
        return was_failing

    def record_failure(self, table: str, started_at: float) -> bool:
        """Record a failed call; return whether it is the table's first one since an answer.

        Parameters
        ----------
        started_at : float
            Local time of the call's start in seconds.
        """
        self.returned_after = max(self.returned_after, started_at)
        is_first = table not in self._failing
        self._failing.add(table)
        if self._recovered.is_set():
            self._recovered = trio.Event()
        return is_first

    def record_peer_outage(self, started_at: float) -> None:
        """Record that a call of a peer failed, which started at a local time in seconds."""
        self.returned_after = max(self.returned_after, started_at)

    async def wait_until_up(self, timeout_s: float) -> None:
        """Wait until a call is answered, at most for ``timeout_s`` seconds."""
        with trio.move_on_after(timeout_s):
            await self._recovered.wait()

    def compute_time_s(self, now: float) -> float:
        """Return the store's time in seconds at a local time."""
        return now + self._offset_s
