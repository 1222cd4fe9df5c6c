"""Rates of requests that upstreams have named, and this gateway's share of each."""

import heapq
from collections import OrderedDict
from collections.abc import Iterable, Mapping

from msgspec import Struct

from crocusvalve.base import NodeId
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.shared._report_queue import ReportQueue
from crocusvalve.utils import hash_to_unit

__all__ = ["RateLimitReport", "RateLimitTable", "compute_share"]

#: Part of a limit that the gateways use together. The rest covers shares that are computed from
#: reports of different ages.
USED_FRACTION = 0.9
#: Gateways beyond the number of requests a second that share a limit. Each may send one request at
#: any moment, so more of them would exceed the limit in short spans.
N_EXTRA_SHARES = 3
#: A limit below this rate counts as this one, since only an answer shows that it has ended.
MIN_RATE_PER_S = 0.1
#: Weight of a gateway without recent requests, in requests a second.
MIN_WEIGHT = 0.1
#: Time for which the end of a limit is remembered, so that older reports don't restore it.
END_EXPIRY_S = 30.0
#: Runs of upstreams that are remembered; those without a recent answer are evicted first.
MAX_RUNS = 4096


def compute_share(
    rate_per_s: float, run: UpstreamRun, node_id: NodeId, weights: Mapping[NodeId, float]
) -> float:
    """Return how many requests per second a gateway may send to an upstream with a limit.

    Shares follow the weights. A low limit is shared by a few gateways only, the first ones by
    rendezvous hash, since a share of a request every few minutes serves nobody.

    Parameters
    ----------
    rate_per_s : float
        Requests per second that the upstream takes from all gateways together.
    weights : mapping of NodeId to float
        Requests per second that each active gateway has, including this one.
    """
    n_shares = max(1, min(len(weights), int(rate_per_s) + N_EXTRA_SHARES))
    ranked = heapq.nlargest(
        n_shares, weights, key=lambda node: hash_to_unit(f"limit|{run.upstream_id}|{node}")
    )
    if node_id not in ranked:
        return 0.0
    total = sum(max(MIN_WEIGHT, weights[node]) for node in ranked)
    return USED_FRACTION * rate_per_s * max(MIN_WEIGHT, weights[node_id]) / total


class RateLimitReport(Struct, frozen=True, array_like=True):
    """What an upstream's last known answer said.

    Attributes
    ----------
    rate_per_s : float or None
        Requests per second that it takes from all gateways together; None if the limit has ended.
    age_ms : int
        Time since the answer.
    """

    run: UpstreamRun
    rate_per_s: float | None
    age_ms: int


class _Limit(Struct):
    """Limit of a run; times are local, in seconds."""

    rate_per_s: float | None
    answered_at: float
    share_per_s: float
    last_sent_at: float

    @property
    def interval_s(self) -> float:
        """Time between two requests of this gateway, or of all gateways if it has no share."""
        return 1.0 / (self.share_per_s or self.rate_per_s)

    def compute_next_at(self, now: float) -> float:
        """Return the time from which this gateway may send a request."""
        if self.rate_per_s is None:
            return 0.0
        since = self.last_sent_at if self.share_per_s else now
        return since + self.interval_s


class RateLimitTable:
    """Limits that upstreams have named, by their last answers to any gateway.

    Load that it answers: upstreams in need take few requests a second from all gateways together,
    while gateways come and go and have callers of their own. Each gateway spaces its requests by
    its share of the limit, so that the sum keeps to it without a call before each request.

    Parameters
    ----------
    node_id : NodeId
        Identifier of this gateway.
    """

    def __init__(self, node_id: NodeId):
        self.node_id = node_id
        self._limits: OrderedDict[UpstreamRun, _Limit] = OrderedDict()
        self._reports: ReportQueue[UpstreamRun] = ReportQueue()
        self._weights: Mapping[NodeId, float] = {node_id: MIN_WEIGHT}

    @property
    def n_active(self) -> int:
        """Number of upstreams with a limit."""
        return sum(limit.rate_per_s is not None for limit in self._limits.values())

    @property
    def is_empty(self) -> bool:
        """Whether no upstream has named a limit lately."""
        return not self._limits

    def get_rate(self, run: UpstreamRun) -> float | None:
        """Return the limit of an upstream in requests per second, or None."""
        limit = self._limits.get(run)
        return None if limit is None else limit.rate_per_s

    def record_answer(self, run: UpstreamRun, rate_per_s: float | None, now: float) -> bool:
        """Record the limit that an answer names, or that it names none; return whether it is new.

        Parameters
        ----------
        rate_per_s : float or None
            Requests per second that the upstream takes from all gateways together.
        """
        if rate_per_s is None and run not in self._limits:
            return False
        return self._update(run, rate_per_s, now, now, is_own=True)

    def merge(self, reports: Iterable[RateLimitReport], now: float) -> list[RateLimitReport]:
        """Merge the reports of a peer; return those that change a limit."""
        changed = []
        for report in reports:
            answered_at = now - max(0, report.age_ms) / 1000
            limit = self._limits.get(report.run)
            if limit is not None and limit.answered_at >= answered_at:
                continue
            if self._update(report.run, report.rate_per_s, answered_at, now, is_own=False):
                changed.append(report)
        return changed

    def _update(
        self,
        run: UpstreamRun,
        rate_per_s: float | None,
        answered_at: float,
        now: float,
        *,
        is_own: bool,
    ) -> bool:
        if rate_per_s is not None:
            rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        limit = self._limits.get(run)
        if limit is None:
            # This gateway may have sent requests until now, so that the first one has to wait.
            limit = _Limit(None, answered_at, 0.0, last_sent_at=now)
            self._limits[run] = limit
        is_new = limit.rate_per_s != rate_per_s
        if limit.rate_per_s is None:
            limit.last_sent_at = now
        limit.rate_per_s, limit.answered_at = rate_per_s, answered_at
        self._limits.move_to_end(run)
        if is_new:
            limit.share_per_s = self._compute_share(run, limit)
            self._reports.add(run, is_own=is_own)
        if len(self._limits) > MAX_RUNS:
            self._forget(next(iter(self._limits)))
        return is_new

    def _compute_share(self, run: UpstreamRun, limit: _Limit) -> float:
        if limit.rate_per_s is None:
            return 0.0
        return compute_share(limit.rate_per_s, run, self.node_id, self._weights)

    def _forget(self, run: UpstreamRun) -> None:
        del self._limits[run]
        self._reports.discard(run)

    def update_shares(self, weights: Mapping[NodeId, float], now: float) -> None:
        """Compute this gateway's shares anew, and forget limits that ended long ago.

        Parameters
        ----------
        weights : mapping of NodeId to float
            Requests per second that each active gateway has, including this one.
        """
        self._weights = weights
        for run, limit in list(self._limits.items()):
            if limit.rate_per_s is None and now - limit.answered_at > END_EXPIRY_S:
                self._forget(run)
            else:
                limit.share_per_s = self._compute_share(run, limit)

    def choose_reports(self, n_reports: int, now: float) -> tuple[RateLimitReport, ...]:
        """Return reports for the next message: changed limits first, then all in turn."""
        return tuple(
            RateLimitReport(
                run,
                self._limits[run].rate_per_s,
                round((now - self._limits[run].answered_at) * 1000),
            )
            for run in self._reports.choose(n_reports, is_complete=True)
        )

    def get_next_at(self, run: UpstreamRun, now: float) -> float:
        """Return the local time in seconds from which this gateway may send a request."""
        limit = self._limits.get(run)
        return 0.0 if limit is None else limit.compute_next_at(now)

    def record_send(self, run: UpstreamRun, now: float) -> None:
        """Record that this gateway sends a request to an upstream."""
        limit = self._limits.get(run)
        if limit is not None:
            limit.last_sent_at = now

    def get_interval_s(self, run: UpstreamRun) -> float | None:
        """Return the time between two requests to an upstream; None without a limit."""
        limit = self._limits.get(run)
        return None if limit is None or limit.rate_per_s is None else limit.interval_s
