"""Choice of an upstream for an attempt."""

from collections.abc import Callable, Sequence
from enum import Enum

from msgspec import Struct

from crocusvalve.base import DomainId, UpstreamId
from crocusvalve.gateway._prompts import count_unread_tokens
from crocusvalve.gateway._tables import GatewayTables, UpstreamLoad
from crocusvalve.gateway._upgrades import VersionChoice
from crocusvalve.gateway._warmth import may_send_cold
from crocusvalve.gateway.base import PrefixPart, ServiceName, Upstream
from crocusvalve.utils import hash_to_unit

__all__ = ["Placement", "PlacementQuery", "PlacementReason", "choose_upstream"]

#: Work that a request in flight is to the others on its upstream, in prompt tokens: a step takes
#: about 3 % longer for each.
RUNNING_WORK = 100.0
#: A model below this part of the costliest one's cost is light; light requests share one upstream
#: in this many, rounded up: they are most requests and a sixth of the work on the users' sheets.
LIGHT_WEIGHT = 0.3
ROWS_PER_LIGHT = 5
MIN_ROWS_TO_SPLIT = 4
#: Work, in prompt tokens, for which a heavy (False) or light (True) request goes to the others'.
MIX_WORK = {False: 40_000.0, True: 10_000.0}
#: Weight of a prompt's unread tokens on the upstream that all gateways take first for it.
HOME_FACTOR = 0.4


class PlacementReason(Enum):
    """Why an upstream was chosen, or none."""

    AFFINITY = "affinity"
    LEAST_LOADED = "least_loaded"
    #: All upstreams are suspended; the one that returns first is tried.
    LAST_RESORT = "last_resort"
    NONE_REGISTERED = "none_registered"
    NONE_ALLOWED = "none_allowed"
    ALL_TRIED = "all_tried"
    ALL_COLD = "all_cold"


class PlacementQuery(Struct, kw_only=True):
    """What an attempt asks for.

    Attributes
    ----------
    affinity : str
        What requests that share a cached prompt have in common; empty for none.
    model : str
        Model that is to answer; empty where the upstream has but one.
    model_weight : float
        Cost of the model against the costliest one.
    parts : sequence of PrefixPart
        The prompt, in order.
    tried : set of UpstreamId
        Upstreams that had the request already.
    cold_quota : callable
        Requests that a cold upstream may get from this gateway within a second.
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
    """An upstream and the reason for it; None where there is none.

    ``work`` is what it has to read before the first event, the request's prompt included, in
    prompt tokens of the costliest model.
    """

    upstream: Upstream | None
    reason: PlacementReason
    work: float = 0.0


def choose_upstream(tables: GatewayTables, query: PlacementQuery, now: float) -> Placement:
    """Choose an upstream for an attempt."""
    rows = tables.by_service.get(query.service)
    if not rows:
        return Placement(None, PlacementReason.NONE_REGISTERED)
    allowed = _filter_allowed(tables, query, list(rows.values()))
    if not allowed:
        return Placement(None, PlacementReason.NONE_ALLOWED)
    fresh = [row for row in allowed if row.upstream_id not in query.tried]
    if not fresh:
        return Placement(None, PlacementReason.ALL_TRIED)
    warm = [row for row in fresh if _is_admitted(tables, query, row, now)]
    if not warm:
        return Placement(None, PlacementReason.ALL_COLD)
    healthy = [row for row in warm if tables.get_load(row.upstream_id).suspended_until <= now]
    if not healthy:
        best = min(warm, key=lambda row: tables.get_load(row.upstream_id).suspended_until)
        return Placement(best, PlacementReason.LAST_RESORT)
    if query.affinity:
        return _choose_by_work(tables, query, healthy)
    return Placement(
        min(healthy, key=lambda row: _rank_plain(tables, query, row)),
        PlacementReason.LEAST_LOADED,
    )


def _filter_allowed(
    tables: GatewayTables, query: PlacementQuery, rows: list[Upstream]
) -> list[Upstream]:
    open_rows = [
        row for row in rows if not row.is_draining and row.domain not in tables.evacuated_domains
    ]
    choice = query.versions
    if choice.required is not None:
        required = [row for row in open_rows if row.version == choice.required]
        return required or open_rows
    if choice.avoid is not None:
        return [row for row in open_rows if row.version != choice.avoid]
    known = tables.allowed_versions.get(query.service)
    return [row for row in open_rows if known is None or row.version in known] or open_rows


def _is_admitted(tables: GatewayTables, query: PlacementQuery, row: Upstream, now: float) -> bool:
    load = tables.get_load(row.upstream_id)
    return load.cold_until <= now or may_send_cold(load, query.cold_quota(row), now)


def _count_inflight(load: UpstreamLoad) -> int:
    return load.n_inflight + load.n_peer_inflight


def _rank_plain(
    tables: GatewayTables, query: PlacementQuery, row: Upstream
) -> tuple[float, int, float]:
    load = tables.get_load(row.upstream_id)
    is_far = int(row.domain != query.domain)
    return (_count_inflight(load) / row.slots, is_far, load.failure_weight)


def _choose_light_rows(query: PlacementQuery, rows: list[Upstream]) -> set[UpstreamId]:
    """Return the upstreams that run the cheap models, the same on every gateway."""
    if len(rows) < MIN_ROWS_TO_SPLIT or not query.model:
        return set()
    ranked = sorted(rows, key=lambda row: hash_to_unit(f"light|{row.upstream_id}"))
    return {row.upstream_id for row in ranked[: -(-len(rows) // ROWS_PER_LIGHT)]}


def _choose_by_work(
    tables: GatewayTables, query: PlacementQuery, rows: list[Upstream]
) -> Placement:
    """Choose the upstream on which the first event is due soonest."""
    light = _choose_light_rows(query, rows)
    is_light = query.model_weight < LIGHT_WEIGHT
    own = [row for row in rows if (row.upstream_id in light) == is_light] or rows
    home = max(own, key=lambda row: hash_to_unit(f"{query.affinity}|{row.upstream_id}"))

    def compute_work(row: Upstream) -> float:
        load = tables.get_load(row.upstream_id)
        unread = count_unread_tokens(load, query.model, query.parts) * query.model_weight
        if row is home:
            unread *= HOME_FACTOR
        if light and (row.upstream_id in light) != is_light:
            unread += MIX_WORK[is_light]
        waiting = load.pending_work + load.peer_pending_work
        return unread + waiting + RUNNING_WORK * _count_inflight(load)

    best = min(rows, key=compute_work)
    reason = PlacementReason.AFFINITY if best is home else PlacementReason.LEAST_LOADED
    return Placement(best, reason, compute_work(best))
