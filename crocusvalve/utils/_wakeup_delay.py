"""Detects late wake-ups of the local process, so that it does not report its peers as silent."""

__all__ = ["WakeupDelayMonitor"]

#: Delay of a wake-up beyond ordinary timer jitter, in seconds.
MAX_WAKEUP_DELAY_S = 0.3


class WakeupDelayMonitor:
    """Records when the process last woke up late, because it was frozen or starved of CPU time.

    Parameters
    ----------
    max_delay_s : float
        Delay in seconds above which a wake-up counts as late.
    """

    def __init__(self, max_delay_s: float = MAX_WAKEUP_DELAY_S):
        self.max_delay_s = max_delay_s
        self.last_late_at = float("-inf")

    def record_wakeup(self, due: float, now: float) -> bool:
        """Record a wake-up that was due at ``due`` and return whether it was late."""
        is_late = now - due > self.max_delay_s
        if is_late:
            self.last_late_at = now
        return is_late

    def compute_silence_s(self, last_seen_at: float, now: float) -> float:
        """Return how long a peer has been silent, in seconds.

        Time before the last late wake-up is not counted: the delay was in this process.
        """
        return now - max(last_seen_at, self.last_late_at)
