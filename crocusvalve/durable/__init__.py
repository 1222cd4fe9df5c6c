"""Durable requests: stored records, leases, scheduling rules and the worker."""

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
    "DURABLE_TABLE",
    "OPEN_TABLE",
    "AcceptedRequest",
    "ClaimRow",
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
