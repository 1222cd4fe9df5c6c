"""Choice of an upstream for a prompt: cached prefix, queue and speed of each upstream."""

import math
from collections.abc import Iterator, Sequence

from msgspec import Struct

from crocusvalve.base import UpstreamId
from crocusvalve.gateway.base import PrefixPart, ServiceName, Upstream
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.decisions._prompts import count_unread_tokens, get_shared_parts
from crocusvalve.gateway.decisions._slowness import compute_slowness
from crocusvalve.gateway.decisions._work_split import is_short
from crocusvalve.gateway.tables._tables import GatewayTables, UpstreamLoad
from crocusvalve.utils import hash_to_unit

__all__ = ["PromptPlacement", "PromptQuery", "count_inflight"]

#: Work that a request in flight adds for the other requests on its upstream, in prompt tokens: each
#: one makes a step of the engine about 3 % longer.
INFLIGHT_WORK = 100.0
#: Minimum number of upstreams at which short and long prompts are placed on different upstreams.
MIN_UPSTREAMS_TO_SPLIT = 4
#: Extra work, in prompt tokens, that counts against sending a long (False) or short (True) prompt
#: to an upstream of the other kind.
MIXING_PENALTY = {False: 40_000.0, True: 10_000.0}
#: Weights of a prompt's unprocessed tokens on its preferred upstreams, which are the same on all
#: gateways, from the first one on.
PREFERRED_FACTORS = (0.4, 0.6, 0.8)
#: With more gateways than this, each one hears from the others' failure domains in sums only, and
#: less often than a prompt is queued.
MAX_GATEWAYS_COMPARING_ALL = 7
#: Largest number of prompts, of the length of the one to be placed, that its reading is expected to
#: delay at an upstream. Reports of queues are seconds old.
MAX_DELAYED = 3.0
#: Steps to which learned speeds are rounded for the ranks of upstreams, since gateways learn
#: slightly different speeds and have to agree on the ranks.
SPEED_STEPS_PER_DOUBLING = 2


def count_inflight(load: UpstreamLoad) -> int:
    """Return the number of requests in flight at an upstream, from all gateways."""
    return load.n_inflight + load.n_peer_inflight


class PromptQuery(Struct, frozen=True, kw_only=True):
    """A prompt to be placed, and the number of gateways; see ``PlacementQuery``."""

    service: ServiceName
    affinity: str
    model: str
    model_weight: float
    parts: Sequence[PrefixPart]
    uses_cache: bool = True
    n_gateways: int = 1


class PromptPlacement:
    """Compares upstreams for one prompt by what its answer costs there.

    The cost is the time to the first event, and the time by which reading the prompt delays the
    prompts queued behind it; both in prompt tokens that an upstream of average speed reads. So an
    idle upstream is preferred to one with a cached prefix once the wait there is longer than
    reading the prefix, while among busy upstreams the saved work counts for more.

    Load that it answers: reports of queues are seconds old and incomplete, so that dozens of
    gateways that all choose the shortest reported queue overload it together. Each prompt is
    therefore compared on a few upstreams only, which are the same on all gateways.

    Parameters
    ----------
    tables : GatewayTables
        Loads and speeds of the upstreams.
    query : PromptQuery
        The prompt.
    upstreams : list of Upstream
        Upstreams that may get it; not empty.
    now : float
        Local time in seconds.

    Attributes
    ----------
    preferred : list of Upstream
        Upstreams that are expected to have the prompt's shared parts cached, the first one most.
    """

    def __init__(
        self, tables: GatewayTables, query: PromptQuery, upstreams: list[Upstream], now: float
    ):
        self._tables = tables
        self._query = query
        self._now = now
        self._upstreams = upstreams
        self._n_tokens = sum(part.n_tokens for part in query.parts) * query.model_weight
        self._has_old_reports = query.n_gateways > MAX_GATEWAYS_COMPARING_ALL
        n_short = tables.work_split.count_short_upstreams(
            query.service, len(upstreams), query.n_gateways, now
        )
        self._short_upstreams = _choose_short_upstreams(upstreams, n_short)
        self._is_short = is_short(self._n_tokens)
        same_kind = [upstream for upstream in upstreams if self._is_same_kind(upstream)]
        self._ranked = sorted(same_kind or upstreams, key=self._rank)
        self.preferred = self._ranked[: len(PREFERRED_FACTORS)]
        self._factors: dict[UpstreamId, float] = {}
        if query.uses_cache:
            self._factors = {
                upstream.upstream_id: factor
                for upstream, factor in zip(self.preferred, PREFERRED_FACTORS, strict=False)
            }
        waiting = sum(self._compute_waiting(upstream) for upstream in self._ranked)
        self._mean_waiting = waiting / sum(self._get_speed(upstream) for upstream in self._ranked)

    def choose(self) -> Upstream:
        """Return the upstream on which the answer costs least.

        The first few upstreams by rank are compared, and those that have the shared parts cached;
        the next few only if the answer costs less at an average upstream without the prefix. With
        few gateways, whose reports are recent and complete, all upstreams are compared.
        """
        if not self._has_old_reports or not self._query.uses_cache:
            return min(self._upstreams, key=self.compute_cost)
        limit = self._compute_cost(self._n_tokens, self._mean_waiting)
        for group in self._list_groups():
            best = min(group, key=self.compute_cost)
            if self.compute_cost(best) <= limit:
                return best
        return min(self._upstreams, key=self.compute_cost)

    def compute_cost(self, upstream: Upstream) -> float:
        """Return the cost of the answer at an upstream, in prompt tokens."""
        cost = self._compute_cost(self._compute_unread(upstream), self._compute_waiting(upstream))
        if self._short_upstreams and not self._is_same_kind(upstream):
            cost += MIXING_PENALTY[self._is_short]
        return cost / self._compute_speed(upstream)

    def compute_work(self, upstream: Upstream) -> float:
        """Return the tokens that an upstream of average speed would read until the first event."""
        work = self._compute_unread(upstream) + self._compute_waiting(upstream)
        return work / self._compute_speed(upstream)

    def _compute_cost(self, unread: float, waiting: float) -> float:
        cost = waiting + unread
        if self._has_old_reports:
            cost += unread * min(MAX_DELAYED, waiting / max(1.0, self._n_tokens))
        return cost

    def _list_groups(self) -> Iterator[list[Upstream]]:
        """Return the candidates in groups, most preferred first."""
        n = len(PREFERRED_FACTORS)
        yield [*self.preferred, *(row for row in self._ranked[n:] if self._has_cached(row))]
        for start in range(n, len(self._ranked), n):
            yield self._ranked[start : start + n]

    def _has_cached(self, upstream: Upstream) -> bool:
        """Return whether an upstream presumably has all shared parts of the prompt cached."""
        shared = get_shared_parts(self._query.parts)
        cached = self._tables.get_load(upstream.upstream_id).cached_parts
        return bool(shared) and all((self._query.model, part.part_id) in cached for part in shared)

    def _is_same_kind(self, upstream: Upstream) -> bool:
        return (upstream.upstream_id in self._short_upstreams) == self._is_short

    def _rank(self, upstream: Upstream) -> float:
        """Return the rank by weighted rendezvous hashing; fast upstreams are first more often."""
        point = hash_to_unit(f"{self._query.affinity}|{upstream.upstream_id}")
        steps = round(SPEED_STEPS_PER_DOUBLING * math.log2(self._get_speed(upstream)))
        return -math.log(max(point, 1e-12)) / 2 ** (steps / SPEED_STEPS_PER_DOUBLING)

    def _compute_unread(self, upstream: Upstream) -> float:
        if not self._query.uses_cache:
            return self._n_tokens
        load = self._tables.get_load(upstream.upstream_id)
        unread = count_unread_tokens(load, self._query.model, self._query.parts)
        return unread * self._query.model_weight * self._factors.get(upstream.upstream_id, 1.0)

    def _compute_waiting(self, upstream: Upstream) -> float:
        load = self._tables.get_load(upstream.upstream_id)
        return load.pending_work + load.peer_pending_work + INFLIGHT_WORK * count_inflight(load)

    def _get_speed(self, upstream: Upstream) -> float:
        """Return the learned speed; with complete reports the queues show which one is slow."""
        if not self._has_old_reports:
            return 1.0
        return self._tables.capacities.get_speed(UpstreamRun.of(upstream), self._now)

    def _compute_speed(self, upstream: Upstream) -> float:
        """Return the learned speed, less if the latest answers were slow."""
        load = self._tables.get_load(upstream.upstream_id)
        return self._get_speed(upstream) / compute_slowness(load, self._now)


def _choose_short_upstreams(upstreams: list[Upstream], n_short: int) -> set[UpstreamId]:
    """Return the ids of the upstreams for short prompts, which hardly differ between gateways."""
    if len(upstreams) < MIN_UPSTREAMS_TO_SPLIT:
        return set()
    ranked = sorted(upstreams, key=lambda upstream: hash_to_unit(f"short|{upstream.upstream_id}"))
    return {upstream.upstream_id for upstream in ranked[:n_short]}
