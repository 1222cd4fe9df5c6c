"""Clocks of the shell; the core is handed the present time."""

import time
from abc import ABC, abstractmethod

__all__ = ["BootClock", "Clock", "MonotonicClock"]


class Clock(ABC):
    """Source of the present time for a shell."""

    @abstractmethod
    def now(self) -> float:
        """Return Unix time in seconds; never goes back within a process."""


class MonotonicClock(Clock):
    """Unix time at the start of the process plus the monotonic time since."""

    def __init__(self):
        self._offset_s = time.time() - time.monotonic()

    def now(self) -> float:
        """Return Unix time in seconds; steps of the wall clock are not followed."""
        return self._offset_s + time.monotonic()


class BootClock(Clock):
    """Unix time at the start plus the time since, in which a suspension of the VM counts."""

    def __init__(self):
        self._offset_s = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> float:
        """Return Unix time in seconds; steps of the wall clock are not followed."""
        return self._offset_s + time.clock_gettime(time.CLOCK_BOOTTIME)
