"""Client of the platform's service."""

from crocusvalve.platform._batcher import BatcherCounters, WriteBatcher
from crocusvalve.platform._guard import CallGuard, GuardCounters, GuardSettings
from crocusvalve.platform._http import HttpPlatform
from crocusvalve.platform._ids import WriteIdMaker
from crocusvalve.platform._limits import Backoff, Circuit, CircuitState, TokenBucket
from crocusvalve.platform._reliable import ReliableObjects, ReliableTables
from crocusvalve.platform.base import (
    MAX_TRANSACT_WRITES,
    ObjectStore,
    Rating,
    RatingRequest,
    RatingService,
    Row,
    TableService,
    VmDirectory,
    VmInfo,
    VmState,
    WeightReservation,
    WeightStore,
    Write,
    WriteResult,
    WriteState,
)

__all__ = [
    "MAX_TRANSACT_WRITES",
    "Backoff",
    "BatcherCounters",
    "CallGuard",
    "Circuit",
    "CircuitState",
    "GuardCounters",
    "GuardSettings",
    "HttpPlatform",
    "ObjectStore",
    "Rating",
    "RatingRequest",
    "RatingService",
    "ReliableObjects",
    "ReliableTables",
    "Row",
    "TableService",
    "TokenBucket",
    "VmDirectory",
    "VmInfo",
    "VmState",
    "WeightReservation",
    "WeightStore",
    "Write",
    "WriteBatcher",
    "WriteIdMaker",
    "WriteResult",
    "WriteState",
]
