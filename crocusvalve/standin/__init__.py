"""Small fakes of the systems that crocusvalve serves."""

from crocusvalve.standin._platform import MemoryPlatform, PlatformCounters
from crocusvalve.standin._platform_faults import ALL_CALLS, PlatformFaults, RatingFault
from crocusvalve.standin._platform_server import make_platform_app, serve_platform

__all__ = [
    "ALL_CALLS",
    "MemoryPlatform",
    "PlatformCounters",
    "PlatformFaults",
    "RatingFault",
    "make_platform_app",
    "serve_platform",
]
