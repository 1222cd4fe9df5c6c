"""Durable requests and claims of orders: rows, rules and the worker."""

from crocusvalve.durable._claims import (
    CLAIM_TABLE,
    Claim,
    ClaimRecord,
    ClaimState,
    ClaimStore,
)
from crocusvalve.durable._records import (
    ClaimRow,
    DurableRecord,
    DurableRequest,
    DurableResult,
    DurableState,
    ExpireRow,
    MarkAlarm,
    OpenRecord,
    RenewRow,
)
from crocusvalve.durable._runner import DurableCounters
from crocusvalve.durable._store import DURABLE_TABLE, OPEN_TABLE, AcceptedRequest, DurableStore
from crocusvalve.durable._system import DurableSystem
from crocusvalve.durable._tables import DurableRow, DurableTables, OpenRow
from crocusvalve.durable._worker import DurableWorker

__all__ = [
    "CLAIM_TABLE",
    "DURABLE_TABLE",
    "OPEN_TABLE",
    "AcceptedRequest",
    "Claim",
    "ClaimRecord",
    "ClaimRow",
    "ClaimState",
    "ClaimStore",
    "DurableCounters",
    "DurableRecord",
    "DurableRequest",
    "DurableResult",
    "DurableRow",
    "DurableState",
    "DurableStore",
    "DurableSystem",
    "DurableTables",
    "DurableWorker",
    "ExpireRow",
    "MarkAlarm",
    "OpenRecord",
    "OpenRow",
    "RenewRow",
]
