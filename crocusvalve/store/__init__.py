"""Client of the platform's service: tables, objects, VM list, weights and ratings."""

from crocusvalve.store._batcher import BatcherCounters, WriteBatcher
from crocusvalve.store._guard import CallGuard, GuardCounters, GuardSettings
from crocusvalve.store._http import HttpPlatform
from crocusvalve.store._ids import WriteIdMaker
from crocusvalve.store._limits import Backoff, CircuitBreaker, CircuitState, TokenBucket
from crocusvalve.store._reliable import ReliableObjects, ReliableTables
from crocusvalve.store.base import (
    MAX_TRANSACT_WRITES,
    ChangeFeed,
    FeedPage,
    FeedRow,
    HistoryLostError,
    ObjectStore,
    Rating,
    RatingRequest,
    RatingService,
    Row,
    StorePosition,
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
    "ChangeFeed",
    "FeedPage",
    "FeedRow",
    "HistoryLostError",
    "MAX_TRANSACT_WRITES",
    "Backoff",
    "BatcherCounters",
    "CallGuard",
    "CircuitBreaker",
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
    "StorePosition",
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
