"""Choice of the upstream of an attempt."""

from crocusvalve.routing._affinity import note_prefix, note_prefix_gone
from crocusvalve.routing._baselines import LeastInFlightRouter, RandomRouter, RoundRobinRouter
from crocusvalve.routing._candidates import list_candidates
from crocusvalve.routing._expected_wait import ExpectedWaitRouter
from crocusvalve.routing._factory import ROUTER_NAMES, make_router
from crocusvalve.routing._load import (
    estimate_load,
    estimate_wait_s,
    find_own_load,
    is_full,
    learn_service_time,
    note_end,
    note_full,
    note_start,
)
from crocusvalve.routing._outliers import note_failure, note_success
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
    "find_own_load",
    "is_full",
    "learn_service_time",
    "list_candidates",
    "make_router",
    "note_end",
    "note_failure",
    "note_full",
    "note_prefix",
    "note_prefix_gone",
    "note_start",
    "note_success",
]
