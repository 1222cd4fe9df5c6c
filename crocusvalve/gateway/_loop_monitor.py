"""Notices that the process was suspended, so that a stop signal may have waited for it."""

import trio

from crocusvalve.utils import Clock

__all__ = ["LoopMonitor"]

#: Interval of the checks in seconds.
INTERVAL_S = 0.2
#: Longest time between two checks, in seconds, without a suspension.
MAX_GAP_S = 0.5
#: Seconds after the end of a suspension in which a signal that arrived in it is handled.
HANDLING_S = 0.2


class LoopMonitor:
    """Remembers the last suspension of the process, or of its event loop.

    A signal sent to a suspended process is handled when the process goes on, while the time until
    it is killed runs from the signal.
    """

    def __init__(self, now: float):
        self._checked_at = now
        self._suspended_at = now
        self._resumed_at = float("-inf")

    def record_check(self, now: float) -> None:
        """Record that the event loop runs at a local time in seconds."""
        if now - self._checked_at > MAX_GAP_S:
            self._suspended_at, self._resumed_at = self._checked_at, now
        self._checked_at = now

    def estimate_signal_time(self, now: float) -> float:
        """Return the earliest time in seconds at which a signal that is handled now was sent."""
        self.record_check(now)
        return self._suspended_at if now - self._resumed_at <= HANDLING_S else now

    async def run(self, clock: Clock) -> None:
        """Check the event loop until cancelled."""
        while True:
            self.record_check(clock.now())
            await trio.sleep(INTERVAL_S)
