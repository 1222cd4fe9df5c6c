"""Choice of an upstream for an attempt."""

from collections.abc import Callable, Sequence
from enum import Enum

from msgspec import Struct

from crocusvalve.base import DomainId, UpstreamId
from crocusvalve.gateway.base import PrefixPart, ServiceName, Upstream
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.decisions._cold_start import may_send_cold
from crocusvalve.gateway.decisions._health import is_suspended
from crocusvalve.gateway.decisions._prompt_placement import (
    PromptPlacement,
    PromptQuery,
    count_inflight,
)
from crocusvalve.gateway.decisions._slowness import compute_slowness
from crocusvalve.gateway.decisions._upgrades import VersionChoice
from crocusvalve.gateway.tables._tables import GatewayTables

__all__ = ["Placement", "PlacementQuery", "PlacementReason", "choose_upstream"]


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
    uses_cache : bool
        Whether upstreams are preferred that have a shared prefix of the prompt cached.
    n_gateways : int
        Number of gateways that send requests.
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
    uses_cache: bool = True
    n_gateways: int = 1
    cold_quota: Callable[[Upstream], int]


class Placement(Struct, frozen=True):
    """The chosen upstream, or None, and the reason.

    ``work`` is what the upstream has to process before the first event, including the request's
    prompt, in prompt tokens of the costliest model and for an upstream of average speed.
    ``reopens_at`` is the local time in seconds at which the first of the closed upstreams accepts
    requests again, ``reopen_interval_s`` the time between the requests that they accept from then
    on; 0 if that isn't limited.
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
        return _choose_by_cost(tables, query, healthy, now)
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


def _rank_by_requests(
    tables: GatewayTables, query: PlacementQuery, upstream: Upstream, now: float
) -> tuple[float, int, float]:
    load = tables.get_load(upstream.upstream_id)
    is_far = int(upstream.domain != query.domain)
    n_requests = count_inflight(load)
    slowness = compute_slowness(load, now)
    if slowness > 1.0:
        # Counts the request itself, so that an idle slow upstream ranks behind an idle fast one.
        n_requests = (n_requests + 1) * slowness
    return (n_requests / upstream.slots, is_far, load.failure_weight)


def _choose_by_cost(
    tables: GatewayTables, query: PlacementQuery, upstreams: list[Upstream], now: float
) -> Placement:
    """Choose the upstream on which a prompt's answer costs least."""
    prompt = PromptQuery(
        service=query.service,
        affinity=query.affinity,
        model=query.model,
        model_weight=query.model_weight,
        parts=query.parts,
        uses_cache=query.uses_cache,
        n_gateways=query.n_gateways,
    )
    placement = PromptPlacement(tables, prompt, upstreams, now)
    best = placement.choose()
    is_preferred = best is placement.preferred[0]
    return Placement(
        best,
        PlacementReason.AFFINITY if is_preferred else PlacementReason.LEAST_LOADED,
        placement.compute_work(best),
    )
