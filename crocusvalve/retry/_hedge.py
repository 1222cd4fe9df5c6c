"""Hedging: a second attempt of a slow lookup on another upstream."""

from collections import deque

from sortedcontainers import SortedList

from crocusvalve.base import ClassKind, MemberId
from crocusvalve.config import ClassConfig
from crocusvalve.model import RequestRow
from crocusvalve.retry._budget import RetryBudget
from crocusvalve.retry._quarantine import Quarantine

__all__ = ["HedgePolicy", "LatencyWindow"]

#: A lookup is hedged once it takes longer than this quantile of the recent latencies of its class.
HEDGE_QUANTILE = 0.95
#: Latencies stored per class.
WINDOW_SIZE = 500
#: Latencies that must be stored before the quantile is used.
MIN_SAMPLES = 20
#: Shortest delay of a hedge in seconds.
MIN_HEDGE_S = 0.005


class LatencyWindow:
    """Sliding window of the last latencies of one class, to compute their quantiles.

    Parameters
    ----------
    size : int
        Largest number of latencies stored.
    """

    def __init__(self, *, size: int = WINDOW_SIZE):
        self.size = size
        self._in_order: deque[float] = deque()
        self._sorted: SortedList = SortedList()

    def add(self, latency_s: float) -> None:
        """Add a latency in seconds; drop the oldest if the window is full."""
        self._in_order.append(latency_s)
        self._sorted.add(latency_s)
        if len(self._in_order) > self.size:
            self._sorted.remove(self._in_order.popleft())

    def compute_quantile(self, q: float) -> float | None:
        """Return the ``q`` quantile in seconds; None if there are too few latencies."""
        n = len(self._sorted)
        return self._sorted[min(n - 1, int(q * n))] if n >= MIN_SAMPLES else None


class HedgePolicy:
    """Decides whether and when a lookup is hedged.

    Parameters
    ----------
    budget : RetryBudget
        Budget shared with the retries.
    quarantine : Quarantine
        Requests whose digest is a suspect in it aren't hedged.
    """

    def __init__(self, *, budget: RetryBudget, quarantine: Quarantine):
        self.budget = budget
        self.quarantine = quarantine
        self.windows_: dict[tuple[MemberId, str], LatencyWindow] = {}

    def record_latency(self, req: RequestRow, latency_s: float) -> None:
        """Record the latency in seconds of an answered attempt that isn't a hedge."""
        key = (req.member, req.class_name)
        self.windows_.setdefault(key, LatencyWindow()).add(latency_s)

    def compute_hedge_at(self, req: RequestRow, cfg: ClassConfig, now: float) -> float:
        """Return the Unix time from which a request that starts now may be hedged.

        Parameters
        ----------
        req : RequestRow
            The request.
        cfg : ClassConfig
            Its class; ``hedge_after_s`` is the shortest delay, and the delay itself until enough
            latencies are stored.
        now : float
            Current Unix time in seconds.

        Returns
        -------
        float
            Unix time in seconds; 0 if the request is never hedged.
        """
        if req.kind is not ClassKind.LOOKUP or not req.is_repeatable:
            return 0.0
        window = self.windows_.get((req.member, req.class_name))
        quantile_s = window.compute_quantile(HEDGE_QUANTILE) if window else None
        delay_s = max(quantile_s or 0.0, cfg.hedge_after_s)
        return now + max(delay_s, MIN_HEDGE_S) if delay_s > 0.0 else 0.0

    def should_hedge(self, req: RequestRow, n_running: int, now: float) -> bool:
        """Return whether to hedge a request now; if so, the hedge is charged to the budget.

        A request is hedged only while exactly one attempt of it runs (``n_running``) and no frame
        of its answer has been sent to the caller.
        """
        if not 0.0 < req.hedge_at <= now or now >= req.deadline or n_running != 1:
            return False
        if req.n_frames_out or self.quarantine.is_suspect(req.digest):
            return False
        return self.budget.try_acquire(req.member, now)
