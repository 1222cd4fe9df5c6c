"""Choice of an upstream for an attempt."""

import heapq
from collections.abc import Callable, Sequence
from enum import Enum

from msgspec import Struct

from crocusvalve.base import DomainId, UpstreamId
from crocusvalve.gateway.base import PrefixPart, ServiceName, Upstream
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.decisions._cold_start import may_send_cold
from crocusvalve.gateway.decisions._health import is_suspended
from crocusvalve.gateway.decisions._prompts import count_unread_tokens
from crocusvalve.gateway.decisions._slowness import compute_slowness
from crocusvalve.gateway.decisions._upgrades import VersionChoice
from crocusvalve.gateway.tables._tables import GatewayTables, UpstreamLoad
from crocusvalve.utils import hash_to_unit

__all__ = ["Placement", "PlacementQuery", "PlacementReason", "choose_upstream"]

#: Work that a request in flight adds for the other requests on its upstream, in prompt tokens: each
#: one makes a step of the engine about 3 % longer.
INFLIGHT_WORK = 100.0
#: A model whose cost is below this fraction of the costliest model's is light. Requests for light
#: models share one upstream in ``UPSTREAMS_PER_LIGHT``, rounded up, since in the users' data sheets
#: they are most of the requests but a sixth of the work.
LIGHT_WEIGHT = 0.3
UPSTREAMS_PER_LIGHT = 5
#: Minimum number of upstreams at which light and heavy models are placed on different upstreams.
MIN_UPSTREAMS_TO_SPLIT = 4
#: Extra work, in prompt tokens, that counts against sending a heavy (False) or light (True) request
#: to an upstream of the other kind.
MIXING_PENALTY = {False: 40_000.0, True: 10_000.0}
#: Weights of a prompt's unprocessed tokens on its preferred upstreams, which are the same on all
#: gateways, from the first one on.
PREFERRED_FACTORS = (0.4, 0.6, 0.8)


class PlacementReason(Enum):
    """Why an upstream was chosen, or none."""

    AFFINITY = "affinity"
    LEAST_LOADED = "least_loaded"
    #: All upstreams are suspended; the one whose suspension ends first is tried.
    LAST_RESORT = "last_resort"
    NONE_REGISTERED = "none_registered"
    NONE_ALLOWED = "none_allowed"
    #: All allowed upstreams are overloaded and have set a time from which they accept requests.
    ALL_CLOSED = "all_closed"
    #: All allowed upstreams are closed, and some of them until this gateway's share of the limit
    #: that they have named allows a further request.
    ALL_LIMITED = "all_limited"
    ALL_TRIED = "all_tried"
    ALL_COLD = "all_cold"
    #: The request is refused, since it crashes upstreams.
    BANNED = "banned"


class PlacementQuery(Struct, kw_only=True):
    """Requirements of an attempt on its upstream.

    Attributes
    ----------
    affinity : str
        Key shared by requests with a cached prompt prefix in common; empty for none.
    model : str
        Model that is to answer; empty if the upstream has only one.
    model_weight : float
        Cost of the model relative to the costliest one.
    parts : sequence of PrefixPart
        Parts of the prompt, in order.
    tried : set of UpstreamId
        Upstreams to which the request was already sent.
    cold_quota : callable
        Returns how many requests per second this gateway may send to a cold upstream.
    """

    service: ServiceName
    domain: DomainId
    versions: VersionChoice = VersionChoice()
    affinity: str = ""
    model: str = ""
    model_weight: float = 1.0
    parts: Sequence[PrefixPart] = ()
    tried: set[UpstreamId] = set()
    cold_quota: Callable[[Upstream], int]


class Placement(Struct, frozen=True):
    """The chosen upstream, or None, and the reason.

    ``work`` is what the upstream has to process before the first event, including the request's
    prompt, in prompt tokens of the costliest model. ``reopens_at`` is the local time in seconds at
    which the first of the closed upstreams accepts requests again, ``reopen_interval_s`` the time
    between the requests that they accept from then on; 0 if that isn't limited.
    """

    upstream: Upstream | None
    reason: PlacementReason
    work: float = 0.0
    reopens_at: float | None = None
    reopen_interval_s: float = 0.0


def choose_upstream(tables: GatewayTables, query: PlacementQuery, now: float) -> Placement:
    """Choose an upstream for an attempt.

    Requests with an affinity go to the upstream with the least expected work, all others to the one
    with the least requests in flight per slot.
    """
    upstreams = tables.by_service.get(query.service)
    if not upstreams:
        return Placement(None, PlacementReason.NONE_REGISTERED)
    allowed = _filter_allowed(tables, query, list(upstreams.values()))
    if not allowed:
        return Placement(None, PlacementReason.NONE_ALLOWED)
    opened = [upstream for upstream in allowed if tables.compute_reopens_at(upstream, now) <= now]
    if not opened:
        return _describe_closure(tables, allowed, now)
    untried = [upstream for upstream in opened if upstream.upstream_id not in query.tried]
    if not untried:
        return Placement(None, PlacementReason.ALL_TRIED)
    admitted = [upstream for upstream in untried if _is_admitted(tables, query, upstream, now)]
    if not admitted:
        return Placement(None, PlacementReason.ALL_COLD)
    healthy = [
        upstream
        for upstream in admitted
        if not is_suspended(tables.get_load(upstream.upstream_id), now)
    ]
    if not healthy:
        best = min(
            admitted, key=lambda upstream: tables.get_load(upstream.upstream_id).suspended_until
        )
        return Placement(best, PlacementReason.LAST_RESORT)
    if query.affinity:
        return _choose_by_work(tables, query, healthy, now)
    return Placement(
        min(healthy, key=lambda upstream: _rank_by_requests(tables, query, upstream, now)),
        PlacementReason.LEAST_LOADED,
    )


def _describe_closure(tables: GatewayTables, allowed: list[Upstream], now: float) -> Placement:
    """Return when the first of some closed upstreams accepts a request, and how many follow."""
    reopens_at = min(tables.compute_reopens_at(upstream, now) for upstream in allowed)
    runs = [UpstreamRun.of(upstream) for upstream in allowed]
    intervals_s = [tables.rate_limits.get_interval_s(run) for run in runs]
    limited = [interval_s for interval_s in intervals_s if interval_s is not None]
    if not limited:
        return Placement(None, PlacementReason.ALL_CLOSED, reopens_at=reopens_at)
    are_all_limited = len(limited) == len(intervals_s)
    rate_per_s = sum(1.0 / interval_s for interval_s in limited)
    return Placement(
        None,
        PlacementReason.ALL_LIMITED,
        reopens_at=reopens_at,
        reopen_interval_s=1.0 / rate_per_s if are_all_limited else 0.0,
    )


def _filter_allowed(
    tables: GatewayTables, query: PlacementQuery, upstreams: list[Upstream]
) -> list[Upstream]:
    open_upstreams = [upstream for upstream in upstreams if tables.accepts_work(upstream)]
    choice = query.versions
    if choice.required is not None:
        required = [upstream for upstream in open_upstreams if upstream.version == choice.required]
        return required or open_upstreams
    if choice.avoid is not None:
        return [upstream for upstream in open_upstreams if upstream.version != choice.avoid]
    versions = tables.allowed_versions.get(query.service)
    return [
        upstream for upstream in open_upstreams if versions is None or upstream.version in versions
    ] or open_upstreams


def _is_admitted(
    tables: GatewayTables, query: PlacementQuery, upstream: Upstream, now: float
) -> bool:
    load = tables.get_load(upstream.upstream_id)
    return load.cold_until <= now or may_send_cold(load, query.cold_quota(upstream), now)


def _count_inflight(load: UpstreamLoad) -> int:
    return load.n_inflight + load.n_peer_inflight


def _rank_by_requests(
    tables: GatewayTables, query: PlacementQuery, upstream: Upstream, now: float
) -> tuple[float, int, float]:
    load = tables.get_load(upstream.upstream_id)
    is_far = int(upstream.domain != query.domain)
    n_requests = _count_inflight(load)
    slowness = compute_slowness(load, now)
    if slowness > 1.0:
        # Counts the request itself, so that an idle slow upstream ranks behind an idle fast one.
        n_requests = (n_requests + 1) * slowness
    return (n_requests / upstream.slots, is_far, load.failure_weight)


def _choose_light_upstreams(query: PlacementQuery, upstreams: list[Upstream]) -> set[UpstreamId]:
    """Return the ids of the upstreams for light models, which are the same on every gateway."""
    if len(upstreams) < MIN_UPSTREAMS_TO_SPLIT or not query.model:
        return set()
    ranked = sorted(upstreams, key=lambda upstream: hash_to_unit(f"light|{upstream.upstream_id}"))
    return {
        upstream.upstream_id for upstream in ranked[: -(-len(upstreams) // UPSTREAMS_PER_LIGHT)]
    }


def _choose_by_work(
    tables: GatewayTables, query: PlacementQuery, upstreams: list[Upstream], now: float
) -> Placement:
    """Choose the upstream on which the first event is expected soonest.

    Every gateway ranks the upstreams for a prompt in the same order by rendezvous hashing, and
    expects the first ones to have its shared parts cached. So the gateways that find the first one
    busy agree on the next.
    """
    light = _choose_light_upstreams(query, upstreams)
    is_light = query.model_weight < LIGHT_WEIGHT
    same_kind = [
        upstream for upstream in upstreams if (upstream.upstream_id in light) == is_light
    ] or upstreams
    preferred = heapq.nlargest(
        len(PREFERRED_FACTORS),
        same_kind,
        key=lambda upstream: hash_to_unit(f"{query.affinity}|{upstream.upstream_id}"),
    )
    factors = {
        upstream.upstream_id: factor
        for upstream, factor in zip(preferred, PREFERRED_FACTORS, strict=False)
    }

    def compute_work(upstream: Upstream) -> float:
        load = tables.get_load(upstream.upstream_id)
        unread = count_unread_tokens(load, query.model, query.parts) * query.model_weight
        unread *= factors.get(upstream.upstream_id, 1.0)
        if light and (upstream.upstream_id in light) != is_light:
            unread += MIXING_PENALTY[is_light]
        waiting = load.pending_work + load.peer_pending_work
        work = unread + waiting + INFLIGHT_WORK * _count_inflight(load)
        return work * compute_slowness(load, now)

    best = min(upstreams, key=compute_work)
    reason = PlacementReason.AFFINITY if best is preferred[0] else PlacementReason.LEAST_LOADED
    return Placement(best, reason, compute_work(best))
