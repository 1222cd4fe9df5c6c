"""The gateway: an entry that forwards requests to upstreams without agents."""

from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway._process import Gateway

__all__ = ["Gateway", "GatewayObserver"]
