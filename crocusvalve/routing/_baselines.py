"""Baseline routers: random, round robin and fewest requests in flight."""

import random
from collections.abc import Sequence

from crocusvalve.model import RequestRow, UpstreamRow
from crocusvalve.routing.base import Router

__all__ = ["LeastInFlightRouter", "RandomRouter", "RoundRobinRouter"]


def _list_free(candidates: Sequence[UpstreamRow], now: float) -> list[UpstreamRow]:
    return [
        row for row in candidates if row.in_flight < row.reported_limit and now >= row.full_until
    ]


class RandomRouter(Router):
    """Chooses at random among the upstreams that have a free slot by this entry's own count.

    Parameters
    ----------
    random_state : random.Random
        Source of randomness.
    """

    def __init__(self, *, random_state: random.Random):
        self.random_state = random_state

    def choose(self, req: RequestRow, candidates: Sequence[UpstreamRow], now: float):
        """Choose an upstream; see ``Router.choose``."""
        free = _list_free(candidates, now)
        return self.random_state.choice(free) if free else None


class RoundRobinRouter(Router):
    """Chooses in turn among the upstreams that have a free slot by this entry's own count."""

    def __init__(self):
        self.n_chosen_ = 0

    def choose(self, req: RequestRow, candidates: Sequence[UpstreamRow], now: float):
        """Choose an upstream; see ``Router.choose``."""
        free = _list_free(candidates, now)
        if not free:
            return None
        self.n_chosen_ += 1
        return free[self.n_chosen_ % len(free)]


class LeastInFlightRouter(Router):
    """Chooses the upstream with the fewest attempts of this entry; ties are broken at random.

    Parameters
    ----------
    random_state : random.Random
        Source of randomness.
    """

    def __init__(self, *, random_state: random.Random):
        self.random_state = random_state

    def choose(self, req: RequestRow, candidates: Sequence[UpstreamRow], now: float):
        """Choose an upstream; see ``Router.choose``."""
        free = _list_free(candidates, now)
        if not free:
            return None
        fewest = min(row.in_flight for row in free)
        return self.random_state.choice([row for row in free if row.in_flight == fewest])
