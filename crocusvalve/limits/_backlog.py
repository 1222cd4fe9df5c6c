"""Counts and departure rates of queued requests, for queue bounds and wait estimates."""

from collections import Counter, defaultdict

from crocusvalve.base import CustomerId, MemberId, Priority, RequestId
from crocusvalve.limits._schedule import make_flow_key
from crocusvalve.model import RequestRow

__all__ = ["Backlog", "DepartureGap"]

#: Weight of a new gap in the moving average of the gaps between departures.
GAP_SMOOTHING = 0.05


class DepartureGap:
    """Moving average of the gap between two departures for a target while requests wait for it.

    A gap is counted only from the instant at which the request that ends it was ready to leave. So
    the average measures the capacity of the upstreams, not the rate of arrivals, and a request that
    is delayed on its own doesn't change it.

    Attributes
    ----------
    mean_gap_s_ : float
        Moving average of the gap in seconds; 0 before the first departure.
    served_at_ : float
        Unix time of the last departure in seconds.
    """

    def __init__(self):
        self.mean_gap_s_ = 0.0
        self.served_at_ = 0.0

    def record_departure(self, queued_at: float, now: float) -> None:
        """Record a departure of a request that was ready to leave from ``queued_at`` on."""
        gap_s = max(0.0, now - max(self.served_at_, queued_at))
        self.mean_gap_s_ = (
            gap_s
            if not self.mean_gap_s_
            else self.mean_gap_s_ + GAP_SMOOTHING * (gap_s - self.mean_gap_s_)
        )
        self.served_at_ = max(self.served_at_, now)


class Backlog:
    """Counts of queued requests by member, by class and by target."""

    def __init__(self):
        self.by_member: Counter[MemberId] = Counter()
        self.by_class: dict[tuple[MemberId, str], Counter[CustomerId]] = defaultdict(Counter)
        self._by_target: dict[str, dict[Priority, Counter[CustomerId]]] = {}
        self._ready_at: dict[RequestId, float] = {}
        self._gaps: dict[str, DepartureGap] = {}
        self.weights: dict[CustomerId, float] = {}

    def add(self, req: RequestRow, weight: float, now: float) -> None:
        """Add a queued request to the counts; it is ready to leave from ``now`` on."""
        self.weights[req.customer_id] = weight
        self.by_member[req.member] += 1
        self.by_class[req.member, req.class_name][req.customer_id] += 1
        target = make_flow_key(req).target
        by_priority = self._by_target.setdefault(target, {})
        self._ready_at[req.request_id] = now
        by_priority.setdefault(req.priority, Counter())[req.customer_id] += 1

    def remove(self, req: RequestRow) -> None:
        """Remove a request that leaves the queue from the counts."""
        del self._ready_at[req.request_id]
        _decrease(self.by_member, req.member)
        class_key = (req.member, req.class_name)
        _decrease(self.by_class[class_key], req.customer_id)
        if not self.by_class[class_key]:
            del self.by_class[class_key]
        _decrease(self._by_target[make_flow_key(req).target][req.priority], req.customer_id)

    def record_departure(self, req: RequestRow, now: float) -> None:
        """Record that a request leaves the queue for an upstream; call it before ``remove``."""
        gap = self._gaps.setdefault(make_flow_key(req).target, DepartureGap())
        gap.record_departure(self._ready_at[req.request_id], now)

    def estimate_wait_s(self, req: RequestRow, weight: float) -> float:
        """Estimate how long a request would wait in fair order, in seconds; 0 if unknown.

        Requests of higher priority count in full; those of other customers at the same priority
        count up to their weighted share of the rounds that the request has to wait.
        """
        target = make_flow_key(req).target
        by_priority = self._by_target.get(target, {})
        gap = self._gaps.get(target)
        if gap is None or not any(by_priority.values()):
            return 0.0
        n_ahead = sum(
            counts.total() for priority, counts in by_priority.items() if priority < req.priority
        )
        peers = by_priority.get(req.priority, Counter())
        n_same_customer = peers[req.customer_id]
        n_rounds = (n_same_customer + 1) / weight
        for customer_id, n_queued in peers.items():
            if customer_id != req.customer_id:
                n_ahead += min(n_queued, n_rounds * self.weights[customer_id])
        return (n_ahead + n_same_customer) * gap.mean_gap_s_


def _decrease(counter: Counter, key: str) -> None:
    counter[key] -= 1
    if counter[key] <= 0:
        del counter[key]
