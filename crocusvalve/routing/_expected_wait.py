"""Router by expected wait, with locality costs and bounded cache affinity."""

import random
from collections.abc import Sequence

from crocusvalve.model import RequestRow, UpstreamRow
from crocusvalve.routing._affinity import compute_affinity
from crocusvalve.routing._load import estimate_wait_s, is_full
from crocusvalve.routing.base import Router

__all__ = ["ExpectedWaitRouter"]

#: Round trip to another failure domain of the same region, in seconds.
DOMAIN_COST_S = 0.002
#: Round trip to another region, in seconds.
REGION_COST_S = 0.06
#: Upstreams sampled at random and compared by cost.
N_CHOICES = 2
#: Share of the service time that a cached prefix is assumed to save; it bounds the extra wait that
#: affinity may cost.
AFFINITY_SAVING_SHARE = 0.25


class ExpectedWaitRouter(Router):
    """Chooses the better of two random upstreams by expected wait.

    Upstreams are sampled with their limits as weights, so that a cold one is rarely sampled. If the
    entry's region is known, two are sampled from that region and two more from the other regions.
    The upstream that holds the session's cache or the prompt's prefix is chosen instead if its
    longer wait costs less than the cache saves.

    Parameters
    ----------
    random_state : random.Random
        Source of randomness.
    domain, region : str
        Failure domain and region of this entry; empty if unknown.
    """

    def __init__(self, *, random_state: random.Random, domain: str = "", region: str = ""):
        self.random_state = random_state
        self.domain = domain
        self.region = region

    def choose(self, req: RequestRow, candidates: Sequence[UpstreamRow], now: float):
        """Choose an upstream; see ``Router.choose``."""
        free = [row for row in candidates if not is_full(row, now)]
        if not free:
            return None
        best = min(self._sample_candidates(free), key=lambda row: self._compute_cost_s(row, now))
        row, strength = self._find_strongest_affinity(req, free, now)
        if row is None or row is best:
            return best
        saving_s = strength * AFFINITY_SAVING_SHARE * row.ewma_service_s
        best_s = self._compute_cost_s(best, now)
        return row if self._compute_cost_s(row, now) - saving_s <= best_s else best

    def _sample_candidates(self, rows: list[UpstreamRow]) -> list[UpstreamRow]:
        near = [row for row in rows if row.region == self.region] if self.region else []
        if not near or len(near) == len(rows):
            return self._sample_weighted(rows)
        far = [row for row in rows if row.region != self.region]
        return self._sample_weighted(near) + self._sample_weighted(far)

    def _sample_weighted(self, rows: list[UpstreamRow]) -> list[UpstreamRow]:
        if len(rows) <= N_CHOICES:
            return rows
        weights = [row.reported_limit for row in rows]
        return self.random_state.choices(rows, weights, k=N_CHOICES)

    def _compute_cost_s(self, row: UpstreamRow, now: float) -> float:
        wait_s = estimate_wait_s(row, now)
        if not self.domain or row.domain == self.domain:
            return wait_s
        return wait_s + (DOMAIN_COST_S if row.region == self.region else REGION_COST_S)

    def _find_strongest_affinity(
        self, req: RequestRow, rows: list[UpstreamRow], now: float
    ) -> tuple[UpstreamRow | None, float]:
        found, best = None, 0.0
        if not req.preferred_upstream and not req.prefix_digest:
            return found, best
        for row in rows:
            strength = compute_affinity(req, row, now)
            if strength > best:
                found, best = row, strength
        return found, best
