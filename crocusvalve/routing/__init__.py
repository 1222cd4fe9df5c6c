"""Selection of the upstream for each attempt of a request."""

from crocusvalve.routing._affinity import add_prefix_hint, remove_prefix_hint
from crocusvalve.routing._baselines import LeastInFlightRouter, RandomRouter, RoundRobinRouter
from crocusvalve.routing._candidates import list_candidates
from crocusvalve.routing._expected_wait import ExpectedWaitRouter
from crocusvalve.routing._factory import ROUTER_NAMES, make_router
from crocusvalve.routing._load import (
    estimate_load,
    estimate_wait_s,
    find_in_flight_at,
    is_full,
    mark_full,
    record_attempt_end,
    record_attempt_start,
    update_service_time,
)
from crocusvalve.routing._outliers import record_failure, record_success
from crocusvalve.routing._placement import check_placement
from crocusvalve.routing.base import Router

__all__ = [
    "ROUTER_NAMES",
    "ExpectedWaitRouter",
    "LeastInFlightRouter",
    "RandomRouter",
    "RoundRobinRouter",
    "Router",
    "check_placement",
    "estimate_load",
    "estimate_wait_s",
    "find_in_flight_at",
    "is_full",
    "update_service_time",
    "list_candidates",
    "make_router",
    "record_attempt_end",
    "record_failure",
    "mark_full",
    "add_prefix_hint",
    "remove_prefix_hint",
    "record_attempt_start",
    "record_success",
]
