"""Small fakes of the systems that crocusvalve serves."""

from crocusvalve.standin._engine import (
    EngineLoad,
    EngineOrder,
    EngineOrderAction,
    EngineOrderReply,
    EngineRole,
    FaultRequest,
    StandinEngine,
)
from crocusvalve.standin._engine_model import (
    EngineFaults,
    EngineModel,
    EngineRefusedError,
    EngineRun,
    EngineRunState,
    EngineSpec,
    VersionSpec,
)
from crocusvalve.standin._engine_server import serve_app, serve_engine
from crocusvalve.standin._plain import PlainCall, PlainFaults, StandinPlainService, serve_plain

__all__ = [
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
    "PlainCall",
    "PlainFaults",
    "StandinEngine",
    "StandinPlainService",
    "VersionSpec",
    "serve_app",
    "serve_engine",
    "serve_plain",
]
