"""Billing: bills of requests, their outbox, the ledger and usage reports."""

from crocusvalve.billing._cost import add_usage, compute_cost
from crocusvalve.billing._flusher import BillFlusher, FlusherCounters
from crocusvalve.billing._ledger import BILL_TABLE, TOTALS_TABLE, UsageLine, UsageTotals, sum_bills
from crocusvalve.billing._outbox import BillOutbox, OutboxCounters
from crocusvalve.billing._request_id import (
    BILLS_PER_PAGE,
    RequestIdMaker,
    find_bill_page,
    format_day,
)
from crocusvalve.billing._usage import UsageReport

__all__ = [
    "BILLS_PER_PAGE",
    "BILL_TABLE",
    "TOTALS_TABLE",
    "BillFlusher",
    "BillOutbox",
    "FlusherCounters",
    "OutboxCounters",
    "RequestIdMaker",
    "UsageLine",
    "UsageReport",
    "UsageTotals",
    "add_usage",
    "compute_cost",
    "find_bill_page",
    "format_day",
    "sum_bills",
]
