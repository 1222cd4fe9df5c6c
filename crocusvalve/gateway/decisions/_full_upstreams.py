"""Upstreams that have rejected a request since they were full."""

from collections import OrderedDict

from msgspec import Struct

from crocusvalve.gateway.decisions._closures import UpstreamRun

__all__ = ["FullUpstreams"]

#: Time in seconds after a rejection in which no other request is sent there, unless fewer of this
#: gateway's are in flight than at the rejection. Each further rejection doubles it: peers' requests
#: end unnoticed until their next report, which they send every 0.4 s.
PAUSE_S = 0.05
MAX_PAUSE_S = 0.4
#: Time without a rejection after which the first pause applies again.
MEMORY_S = 2.0
MAX_RUNS = 4000


class _Rejection(Struct):
    n_inflight: int
    rejected_at: float
    pause_s: float


class FullUpstreams:
    """Remembers for all requests of a service which upstreams are full.

    Only the gateway's own requests in flight are counted, since peers' reports are up to seconds
    old and places that become free there are taken by others.

    Load that it answers: all upstreams are full. Were each request sent to each of them to be
    rejected, the budget of extra attempts would be used up by that. Times are local, in seconds.
    """

    def __init__(self) -> None:
        self._rejections: OrderedDict[UpstreamRun, _Rejection] = OrderedDict()

    def record_rejection(self, run: UpstreamRun, n_inflight: int, now: float) -> None:
        """Record that an upstream has rejected a request while others were in flight."""
        last = self._rejections.pop(run, None)
        pause_s = PAUSE_S
        if last is not None and now - last.rejected_at < MEMORY_S:
            pause_s = last.pause_s
            if now - last.rejected_at >= last.pause_s and n_inflight >= last.n_inflight:
                pause_s = min(MAX_PAUSE_S, 2.0 * last.pause_s)
        self._rejections[run] = _Rejection(n_inflight, now, pause_s)
        if len(self._rejections) > MAX_RUNS:
            self._rejections.popitem(last=False)

    def is_full(self, run: UpstreamRun, n_inflight: int, now: float) -> bool:
        """Return whether an upstream with so many requests in flight would reject another one."""
        last = self._rejections.get(run)
        if last is None:
            return False
        return n_inflight >= last.n_inflight and now < last.rejected_at + last.pause_s

    @property
    def is_empty(self) -> bool:
        """Whether no rejection is remembered."""
        return not self._rejections

    def drop_old(self, now: float) -> None:
        """Forget rejections that no longer matter."""
        while self._rejections:
            oldest = next(iter(self._rejections.values()))
            if now - oldest.rejected_at < MEMORY_S:
                return
            self._rejections.popitem(last=False)
