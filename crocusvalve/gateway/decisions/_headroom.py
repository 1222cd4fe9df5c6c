"""Room that requests with time to spare leave for more urgent ones of the same service."""

from collections.abc import Iterable

from crocusvalve.base import UpstreamId
from crocusvalve.gateway.base import Route, RouteKind, ServiceName, Upstream
from crocusvalve.gateway.tables._tables import GatewayTables

__all__ = ["compute_hold_s", "find_full", "has_urgent_routes"]

#: Longest goal of an urgent route, as a fraction of a request's own goal, for which the request
#: leaves room.
MAX_URGENT_GOAL_FRACTION = 0.67
#: Part of a request's slack for which it waits. The other half is for what the expected time to its
#: first event may be wrong by, since it is the mean of times that differ by about that much.
HOLD_FRACTION = 0.5
#: The same for a stream, which may need the rest for a larger model's answer. It is long enough for
#: the urgent requests of a crowd that comes at once to be sent first.
STREAM_HOLD_FRACTION = 0.05
#: Part of an upstream's slots that is kept free for urgent requests.
FREE_SLOTS_FRACTION = 0.125


def has_urgent_routes(
    routes: Iterable[Route], service: ServiceName, own: Route, priority: int
) -> bool:
    """Return whether a service has more urgent routes for which a request leaves room.

    It has no time to spare for those whose goal isn't much shorter than its own.

    Parameters
    ----------
    own : Route
        Route of the request.
    priority : int
        Urgency of the request; its customer's priority may differ from the route's.
    """
    priority = min(priority, own.priority)
    is_stream = own.kind is RouteKind.STREAM
    return any(
        route.priority < priority
        and (route.kind is RouteKind.STREAM) == is_stream
        and route.goal_s <= MAX_URGENT_GOAL_FRACTION * own.goal_s
        and any(target.service == service for target in route.targets)
        for route in routes
    )


def compute_hold_s(
    goal_s: float, elapsed_s: float, expected_s: float, left_s: float, *, is_stream: bool
) -> float:
    """Return for how many seconds a request may wait for the sake of more urgent ones.

    Parameters
    ----------
    goal_s : float
        Time in seconds from its arrival to its first event, or its answer, that it aims at.
    elapsed_s, left_s : float
        Time since its arrival and until its deadline, in seconds.
    expected_s : float
        Expected time from its start to its first event, or its answer, in seconds.
    """
    slack_s = min(goal_s - elapsed_s, left_s) - expected_s
    return max(0.0, (STREAM_HOLD_FRACTION if is_stream else HOLD_FRACTION) * slack_s)


def find_full(tables: GatewayTables, service: ServiceName) -> set[UpstreamId]:
    """Return the upstreams of a service without a slot besides those kept free.

    Load that it answers: more requests at once than there are slots, of which the less urgent ones
    come first. A queue of prompts is no reason to wait: the time is missing for a larger model.
    """
    upstreams: Iterable[Upstream] = tables.by_service.get(service, {}).values()
    full = set()
    for upstream in upstreams:
        load = tables.get_load(upstream.upstream_id)
        n_kept = max(1, round(FREE_SLOTS_FRACTION * upstream.slots)) if upstream.slots > 1 else 0
        if 0 < upstream.slots - n_kept <= load.n_inflight + load.n_peer_inflight:
            full.add(upstream.upstream_id)
    return full
