"""Clocks of the runtime (the I/O layer); the core receives the present time as an argument."""

import time
from abc import ABC, abstractmethod

__all__ = ["BootClock", "Clock", "MonotonicClock"]


class Clock(ABC):
    """Source of the present time."""

    @abstractmethod
    def now(self) -> float:
        """Return Unix time in seconds; it never decreases within a process."""


class MonotonicClock(Clock):
    """Unix time when the clock was created plus the monotonic time elapsed since."""

    def __init__(self):
        self._offset_s = time.time() - time.monotonic()

    def now(self) -> float:
        """Return Unix time in seconds; steps of the wall clock are not followed."""
        return self._offset_s + time.monotonic()


class BootClock(Clock):
    """Unix time when the clock was created plus the time since, suspensions of the VM included."""

    def __init__(self):
        self._offset_s = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> float:
        """Return Unix time in seconds; steps of the wall clock are not followed."""
        return self._offset_s + time.clock_gettime(time.CLOCK_BOOTTIME)
