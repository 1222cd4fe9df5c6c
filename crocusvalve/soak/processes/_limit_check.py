"""Checks that upstreams get no more requests than the rate that they name allows."""

from collections import deque
from collections.abc import Callable

from msgspec import Struct, field

from crocusvalve.soak.processes._disruption_table import DisruptionTable
from crocusvalve.soak.processes.base import SoakBounds

__all__ = ["LimitCheck"]


class _Limit(Struct):
    """Limit of an upstream: when it was first named, to which gateways, and what arrived since."""

    rate_per_s: float
    named_at: float
    told_at: dict[str, float] = field(default_factory=dict)
    arrivals: deque[tuple[float, str]] = field(default_factory=deque)


class LimitCheck:
    """Counts the requests that upstreams with a limit get from gateways that know of it.

    Parameters
    ----------
    bounds : SoakBounds
        Time bounds of the users' requirements.
    table : DisruptionTable
        Disruptions, which excuse the gateways that they concern.
    report : callable
        Called with a description of what was observed.
    """

    def __init__(self, bounds: SoakBounds, table: DisruptionTable, report: Callable[[str], None]):
        self.bounds = bounds
        self.table = table
        self.report = report
        self._limits: dict[str, _Limit] = {}

    def begin(self, upstream: str, rate_per_s: float, now: float) -> None:
        """Record that an upstream names a limit from now on."""
        self._limits[upstream] = _Limit(rate_per_s, now)

    def end(self, upstream: str) -> None:
        """Record that an upstream names no limit any more, or has started again."""
        self._limits.pop(upstream, None)

    def record_answer(self, upstream: str, gateway: str, now: float) -> None:
        """Record an answer with the limit that a gateway gets."""
        limit = self._limits.get(upstream)
        if limit is not None:
            limit.told_at.setdefault(gateway, now)

    def record_arrival(self, upstream: str, gateway: str, now: float) -> None:
        """Record a request that reaches an upstream, and check the sum of the last seconds."""
        limit, bounds = self._limits.get(upstream), self.bounds
        if limit is None:
            return
        told_at = limit.told_at.get(gateway)
        if told_at is not None and not self.table.is_undisrupted(gateway, told_at):
            del limit.told_at[gateway]
            return
        if told_at is None or now < told_at + bounds.limit_known_s:
            return
        limit.arrivals.append((now, gateway))
        while limit.arrivals[0][0] <= now - bounds.limit_span_s:
            limit.arrivals.popleft()
        allowed = bounds.limit_factor * bounds.limit_span_s * limit.rate_per_s + bounds.limit_slack
        n_counted = sum(name in limit.told_at for _, name in limit.arrivals)
        if now >= limit.named_at + bounds.contact_s and n_counted > allowed:
            span = f"{n_counted} requests in {bounds.limit_span_s:g} s"
            self.report(f"{upstream} takes {limit.rate_per_s:g} a second and gets {span}")
