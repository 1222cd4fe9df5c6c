"""Upstreams that have asked for no more requests, for a while or for good."""

from collections import OrderedDict
from collections.abc import Iterable

from msgspec import Struct

from crocusvalve.base import UpstreamId
from crocusvalve.gateway.base import Upstream
from crocusvalve.gateway.shared._report_queue import ReportQueue

__all__ = ["ClosureTable", "UpstreamRun"]

#: Runs of upstreams that are remembered. A closure outlives the upstream's entry, since the entry
#: may expire and be registered again, or come back with an older copy of the store.
MAX_RUNS = 4096


class UpstreamRun(Struct, frozen=True, array_like=True):
    """One run of an upstream's process, identified by the upstream and the time of its start."""

    upstream_id: UpstreamId
    started_ms: int

    @classmethod
    def of(cls, upstream: Upstream) -> "UpstreamRun":
        """Return the run that an upstream's entry describes."""
        return cls(upstream.upstream_id, upstream.started_ms)


class ClosureTable:
    """Runs of upstreams that get no requests from this gateway.

    A leaving upstream gets none until it starts again, whichever gateway it has told. An overloaded
    one gets none from the gateway that it has told, until the time that it has set.
    """

    def __init__(self) -> None:
        self._leaving: OrderedDict[UpstreamRun, None] = OrderedDict()
        self._leaving_reports: ReportQueue[UpstreamRun] = ReportQueue()
        self._reopens_at: OrderedDict[UpstreamRun, float] = OrderedDict()

    def mark_leaving(self, run: UpstreamRun, *, is_own: bool = True) -> bool:
        """Record that an upstream is about to stop; return whether this was unknown.

        Parameters
        ----------
        is_own : bool
            Whether the upstream has told this gateway.
        """
        if run in self._leaving:
            return False
        self._leaving[run] = None
        self._leaving_reports.add(run, is_own=is_own)
        for evicted in _evict(self._leaving):
            self._leaving_reports.discard(evicted)
        return True

    def merge_leaving(self, runs: Iterable[UpstreamRun]) -> list[UpstreamRun]:
        """Record the leaving upstreams that another gateway reports; return the unknown ones."""
        return [run for run in runs if self.mark_leaving(run, is_own=False)]

    def choose_leaving(self, n_runs: int) -> tuple[UpstreamRun, ...]:
        """Return leaving upstreams for the next message: new ones first, then all in turn."""
        return tuple(self._leaving_reports.choose(n_runs, is_complete=True))

    def list_leaving(self) -> tuple[UpstreamRun, ...]:
        """Return the leaving upstreams, the newest last."""
        return tuple(self._leaving)

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether an upstream has told a gateway that it is about to stop."""
        return bool(self._leaving) and UpstreamRun.of(upstream) in self._leaving

    def close_until(self, upstream: Upstream, until: float, now: float) -> bool:
        """Send an upstream no requests until a local time; return whether it was open."""
        run = UpstreamRun.of(upstream)
        previous = self._reopens_at.get(run, 0.0)
        self._reopens_at[run] = max(previous, until)
        _evict(self._reopens_at)
        return previous <= now

    def get_reopens_at(self, upstream: Upstream) -> float:
        """Return the local time in seconds from which an upstream accepts requests again."""
        if not self._reopens_at:
            return 0.0
        return self._reopens_at.get(UpstreamRun.of(upstream), 0.0)


def _evict(runs: OrderedDict) -> list[UpstreamRun]:
    """Remove the oldest runs above the limit, and return them."""
    return [runs.popitem(last=False)[0] for _ in range(len(runs) - MAX_RUNS)]
