"""Counts and service rates of queued requests, for bounds and estimates of the wait."""

from collections import Counter, defaultdict

from crocusvalve.base import CustomerId, MemberId, Priority, RequestId
from crocusvalve.limits._schedule import make_flow_key
from crocusvalve.model import RequestRow

__all__ = ["Backlog", "DrainRate"]

#: Weight of a new gap in the mean gap between two departures.
GAP_SMOOTHING = 0.05


class DrainRate:
    """Mean gap between two departures for a target while requests wait for it, in seconds.

    A gap counts only as far as the request that ends it has waited, so the mean tells what the
    upstreams can take, not what the callers ask for, and a request that is held back alone changes
    nothing.
    """

    def __init__(self):
        self.gap_s_ = 0.0
        self.served_at_ = 0.0

    def record_departure(self, queued_at: float, now: float) -> None:
        """Count a departure of a request that was ready to leave from ``queued_at`` on."""
        gap_s = max(0.0, now - max(self.served_at_, queued_at))
        self.gap_s_ = (
            gap_s if not self.gap_s_ else self.gap_s_ + GAP_SMOOTHING * (gap_s - self.gap_s_)
        )
        self.served_at_ = max(self.served_at_, now)


class Backlog:
    """Queued requests by member, by class and by target."""

    def __init__(self):
        self.by_member: Counter[MemberId] = Counter()
        self.by_class: dict[tuple[MemberId, str], Counter[CustomerId]] = defaultdict(Counter)
        self._by_target: dict[str, dict[Priority, Counter[CustomerId]]] = {}
        self._ready_at: dict[RequestId, float] = {}
        self._rates: dict[str, DrainRate] = {}
        self.weights: dict[CustomerId, float] = {}

    def add(self, req: RequestRow, weight: float, now: float) -> None:
        """Count a request that is queued and ready to leave from ``now`` on."""
        self.weights[req.customer_id] = weight
        self.by_member[req.member] += 1
        self.by_class[req.member, req.class_name][req.customer_id] += 1
        target = make_flow_key(req).target
        levels = self._by_target.setdefault(target, {})
        self._ready_at[req.request_id] = now
        levels.setdefault(req.priority, Counter())[req.customer_id] += 1

    def remove(self, req: RequestRow) -> None:
        """Count a request that leaves the queue."""
        del self._ready_at[req.request_id]
        _decrease(self.by_member, req.member)
        class_key = (req.member, req.class_name)
        _decrease(self.by_class[class_key], req.customer_id)
        if not self.by_class[class_key]:
            del self.by_class[class_key]
        _decrease(self._by_target[make_flow_key(req).target][req.priority], req.customer_id)

    def record_departure(self, req: RequestRow, now: float) -> None:
        """Count a request that leaves the queue for an upstream."""
        rate = self._rates.setdefault(make_flow_key(req).target, DrainRate())
        rate.record_departure(self._ready_at[req.request_id], now)

    def estimate_wait_s(self, req: RequestRow, weight: float) -> float:
        """Estimate how long a request would wait in fair order, in seconds; 0 where unknown."""
        target = make_flow_key(req).target
        levels = self._by_target.get(target, {})
        rate = self._rates.get(target)
        if rate is None or not any(levels.values()):
            return 0.0
        n_ahead = sum(counts.total() for level, counts in levels.items() if level < req.priority)
        peers = levels.get(req.priority, Counter())
        n_own = peers[req.customer_id]
        n_rounds = (n_own + 1) / weight
        for customer_id, n_queued in peers.items():
            if customer_id != req.customer_id:
                n_ahead += min(n_queued, n_rounds * self.weights[customer_id])
        return (n_ahead + n_own) * rate.gap_s_


def _decrease(counter: Counter, key: str) -> None:
    counter[key] -= 1
    if counter[key] <= 0:
        del counter[key]
