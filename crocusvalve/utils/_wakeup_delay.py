"""Whether this process itself has been late, so that it can't judge its peers."""

__all__ = ["WakeupDelayMonitor"]

#: A wake-up later than this is no ordinary jitter of a timer, in seconds.
LATE_S = 0.3


class WakeupDelayMonitor:
    """Remembers when the process last woke up late, was frozen or starved.

    Parameters
    ----------
    late_s : float
        Delay of a wake-up from which it counts.
    """

    def __init__(self, late_s: float = LATE_S):
        self.late_s = late_s
        self.late_at = float("-inf")

    def record_wakeup(self, due: float, now: float) -> bool:
        """Compare a wake-up with the time it was due; tell whether it was late."""
        is_late = now - due > self.late_s
        if is_late:
            self.late_at = now
        return is_late

    def compute_silence_s(self, last_seen_at: float, now: float) -> float:
        """Return how long a peer has been silent while this process was in time."""
        return now - max(last_seen_at, self.late_at)
