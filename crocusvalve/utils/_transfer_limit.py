"""Time limit of a transfer of unknown length over a link of unknown speed."""

__all__ = ["TransferLimit"]

#: Bytes of a transfer that have to arrive within ``PROGRESS_STALLS`` times its longest pause, so
#: that one that only trickles is given up as well. A link of 5 Mbit/s takes 7 ms for them.
MIN_PROGRESS_BYTES = 4096
PROGRESS_STALLS = 2.0


class TransferLimit:
    """Time until which a transfer may go on, extended while it progresses.

    Parameters
    ----------
    now : float
        Start of the transfer in seconds; all times are of the same clock.
    stall_s : float
        Longest pause, in seconds.
    max_s : float
        Longest time for the whole transfer, in seconds.
    """

    def __init__(self, now: float, *, stall_s: float, max_s: float = float("inf")):
        self.stall_s = stall_s
        self.ends_at = now + max_s
        self._n_bytes = 0
        self._progress_at = now

    def extend(self, n_bytes: int, now: float) -> float:
        """Return the deadline after further bytes have arrived."""
        self._n_bytes += n_bytes
        if self._n_bytes >= MIN_PROGRESS_BYTES:
            self._n_bytes = 0
            self._progress_at = now
        return min(
            self.ends_at, now + self.stall_s, self._progress_at + PROGRESS_STALLS * self.stall_s
        )
