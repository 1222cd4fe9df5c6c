"""Room that requests with time to spare leave for more urgent ones of the same service."""

from collections.abc import Iterable, Sequence

from crocusvalve.base import UpstreamId
from crocusvalve.gateway.base import PrefixPart, Route, RouteKind, Service, ServiceName, Upstream
from crocusvalve.gateway.decisions._pace import PaceTable
from crocusvalve.gateway.decisions._prompts import count_unread_tokens
from crocusvalve.gateway.decisions._slowness import compute_slowness
from crocusvalve.gateway.tables._tables import GatewayTables

__all__ = [
    "compute_hold_s",
    "find_full",
    "find_long_queues",
    "find_urgent_goal_s",
    "must_hold_escalation",
]

#: Part of an urgent request's goal for which prompts may be queued ahead of it. The other half is
#: for its own prompt, and for a second attempt, which begins after 0.9 of the goal at the latest.
ROOM_FRACTION = 0.5
#: Longest goal of an urgent route, as a fraction of a request's own goal, for which the request
#: leaves room.
MAX_URGENT_GOAL_FRACTION = 0.67
#: Part of that which may be queued before a prompt that is itself too long for the room. Without
#: it such a prompt would wait in vain on an idle upstream.
LONG_PROMPT_FRACTION = 0.5
#: Part of a request's slack for which it waits. The other half is for what the expected time to its
#: first event may be wrong by, since it is the mean of times that differ by about that much.
HOLD_FRACTION = 0.5
#: Part of an upstream's slots that is kept free for urgent plain requests.
FREE_SLOTS_FRACTION = 0.125

#: The same for a larger model's prompts, in the mean over its upstreams. It is smaller, since the
#: urgent request has spent a part of its goal on the smaller model's answer, and reads its own
#: prompt several times as slowly.
ESCALATION_ROOM_FRACTION = 0.2
#: Part of its own goal for which a request may hold its escalation; its caller then has no event.
MAX_ESCALATION_HOLD_FRACTION = 0.5


def find_urgent_goal_s(
    routes: Iterable[Route], service: ServiceName, own: Route, priority: int
) -> float | None:
    """Return the shortest goal of the routes of a service that are more urgent, in seconds.

    None if there are none, or if it isn't much shorter than the request's own goal: then the
    request has no time to spare for them.

    Parameters
    ----------
    own : Route
        Route of the request.
    priority : int
        Urgency of the request; its customer's priority may differ from the route's.
    """
    priority = min(priority, own.priority)
    is_stream = own.kind is RouteKind.STREAM
    goals_s = [
        route.goal_s
        for route in routes
        if route.priority < priority
        and (route.kind is RouteKind.STREAM) == is_stream
        and any(target.service == service for target in route.targets)
    ]
    goal_s = min(goals_s, default=None)
    has_time = goal_s is not None and goal_s <= MAX_URGENT_GOAL_FRACTION * own.goal_s
    return goal_s if has_time else None


def compute_hold_s(goal_s: float, elapsed_s: float, expected_s: float, left_s: float) -> float:
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
    return max(0.0, HOLD_FRACTION * slack_s)


def must_hold_escalation(
    goal_s: float, elapsed_s: float, urgent_goal_s: float | None, mean_wait_s: float
) -> bool:
    """Return whether a request waits before it is sent to a larger model.

    Load that it answers: long prompts with time to spare fill the upstreams of the largest model,
    so that urgent ones with a shorter goal get no answer of it in time.

    Parameters
    ----------
    goal_s, elapsed_s : float
        Time in seconds from the request's arrival to its first event that it aims at, and the time
        since its arrival.
    urgent_goal_s : float or None
        Shortest goal of the more urgent routes of the service in seconds; None if there are none.
    mean_wait_s : float
        Mean time in seconds until a prompt that is sent now is read. The mean is used, since the
        queue that seems to be shortest is often the one that is known least.
    """
    if urgent_goal_s is None:
        return False
    is_held_long = elapsed_s >= MAX_ESCALATION_HOLD_FRACTION * goal_s
    return not is_held_long and mean_wait_s > ESCALATION_ROOM_FRACTION * urgent_goal_s


def find_long_queues(
    tables: GatewayTables,
    pace: PaceTable,
    service: Service,
    model: str,
    parts: Sequence[PrefixPart],
    urgent_goal_s: float,
    now: float,
) -> set[UpstreamId]:
    """Return the upstreams on which a prompt would leave no room for a more urgent one.

    An upstream of which no queued work is known has room.
    """
    name, room_s = service.name, ROOM_FRACTION * urgent_goal_s
    weight = service.get_model_weight(model) if model else 1.0
    crowded = set()
    for upstream_id in tables.by_service.get(name, ()):
        load = tables.get_load(upstream_id)
        queued = load.pending_work + load.peer_pending_work
        if queued <= 0.0:
            continue
        slowness = compute_slowness(load, now)
        before_s = slowness * pace.compute_first_event_s(name, model, queued, now)
        if before_s <= LONG_PROMPT_FRACTION * room_s:
            continue
        own = weight * count_unread_tokens(load, model, parts)
        after_s = slowness * pace.compute_first_event_s(name, model, queued + own, now)
        if after_s > room_s:
            crowded.add(upstream_id)
    return crowded


def find_full(tables: GatewayTables, service: ServiceName) -> set[UpstreamId]:
    """Return the upstreams of a plain service without a slot besides those kept free."""
    upstreams: Iterable[Upstream] = tables.by_service.get(service, {}).values()
    full = set()
    for upstream in upstreams:
        load = tables.get_load(upstream.upstream_id)
        n_kept = max(1, round(FREE_SLOTS_FRACTION * upstream.slots)) if upstream.slots > 1 else 0
        if 0 < upstream.slots - n_kept <= load.n_inflight + load.n_peer_inflight:
            full.add(upstream.upstream_id)
    return full
