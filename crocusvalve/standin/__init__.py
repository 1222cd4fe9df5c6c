"""Stand-ins for the systems around crocusvalve, for tests, soak runs and benchmarks.

They stand in for callers, upstreams, model engines, the store, the platform and its operators.
"""

from crocusvalve.standin._caller import CallerAnswer, CallerRequest, StandinCaller, split_events
from crocusvalve.standin._engine import (
    EngineLoad,
    EngineOrder,
    EngineOrderAction,
    EngineOrderReply,
    EngineRole,
    FaultRequest,
    StandinEngine,
)
from crocusvalve.standin._engine_model import EngineModel
from crocusvalve.standin._engine_server import serve_engine
from crocusvalve.standin._engine_types import (
    EngineFaults,
    EngineRefusedError,
    EngineRun,
    EngineRunState,
    EngineSpec,
    VersionSpec,
)
from crocusvalve.standin._http_server import ReceivedRequest, StandinServer
from crocusvalve.standin._loopback import make_loopback_host
from crocusvalve.standin._operator import (
    StandinOperator,
    make_config,
    make_order,
    make_route,
    make_settings,
)
from crocusvalve.standin._plain import PlainCall, PlainFaults, StandinPlainService, serve_plain
from crocusvalve.standin._platform import MemoryPlatform, PlatformCounters
from crocusvalve.standin._platform_faults import ALL_CALLS, PlatformFaults, RatingFault
from crocusvalve.standin._platform_server import make_platform_app, serve_platform
from crocusvalve.standin._store import StandinStore, StoreFault
from crocusvalve.standin._upstream import N_EVENTS, StandinUpstream, make_event
from crocusvalve.standin._upstream_fault import UpstreamFault

__all__ = [
    "ALL_CALLS",
    "EngineFaults",
    "EngineLoad",
    "EngineModel",
    "EngineOrder",
    "EngineOrderAction",
    "EngineOrderReply",
    "EngineRefusedError",
    "EngineRole",
    "EngineRun",
    "EngineRunState",
    "EngineSpec",
    "FaultRequest",
    "MemoryPlatform",
    "N_EVENTS",
    "CallerAnswer",
    "ReceivedRequest",
    "StandinCaller",
    "StandinOperator",
    "CallerRequest",
    "StandinServer",
    "StandinStore",
    "StandinUpstream",
    "PlainCall",
    "PlainFaults",
    "PlatformCounters",
    "PlatformFaults",
    "RatingFault",
    "StandinEngine",
    "StandinPlainService",
    "StoreFault",
    "UpstreamFault",
    "VersionSpec",
    "make_config",
    "make_event",
    "make_loopback_host",
    "make_order",
    "make_platform_app",
    "make_route",
    "make_settings",
    "serve_engine",
    "serve_plain",
    "serve_platform",
    "split_events",
]
