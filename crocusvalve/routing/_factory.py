"""Construction of the router that the configuration document names."""

import random

from crocusvalve.routing._baselines import LeastInFlightRouter, RandomRouter, RoundRobinRouter
from crocusvalve.routing._expected_wait import ExpectedWaitRouter
from crocusvalve.routing.base import Router

__all__ = ["ROUTER_NAMES", "make_router"]

ROUTER_NAMES = ("expected_wait", "least_in_flight", "random", "round_robin")


def make_router(
    name: str, *, random_state: random.Random, domain: str = "", region: str = ""
) -> Router:
    """Build a router by its name in the configuration document.

    Parameters
    ----------
    name : str
        One of ``ROUTER_NAMES``.
    random_state : random.Random
        Source of randomness.
    domain, region : str
        Failure domain and region of the entry; empty if unknown.

    Raises
    ------
    ValueError
        If there is no router of that name.
    """
    if name == "expected_wait":
        return ExpectedWaitRouter(random_state=random_state, domain=domain, region=region)
    if name == "least_in_flight":
        return LeastInFlightRouter(random_state=random_state)
    if name == "random":
        return RandomRouter(random_state=random_state)
    if name == "round_robin":
        return RoundRobinRouter()
    raise ValueError(f"routing must be one of {ROUTER_NAMES}, got {name!r}")
