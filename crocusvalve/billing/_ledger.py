"""Rows of the ledger: pages of bills, and usage totals that are written together with them."""

from collections.abc import Iterable

import msgspec
from msgspec import Struct, field

from crocusvalve.base import CustomerId, RequestId, VersionRef
from crocusvalve.exceptions import InvariantError
from crocusvalve.rpc import BillRecord

__all__ = [
    "BILL_TABLE",
    "TOTALS_TABLE",
    "BillPage",
    "MergeResult",
    "UsageLine",
    "UsageTotals",
    "merge_bills",
    "sum_bills",
]

BILL_TABLE = "bills"
TOTALS_TABLE = "bill_totals"

_ENCODER = msgspec.msgpack.Encoder()


class UsageLine(Struct, kw_only=True):
    """Usage of one version by one customer in one class; ``cost`` in currency units."""

    customer_id: CustomerId
    class_name: str
    version: VersionRef
    n_requests: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0
    cost: float = 0.0

    @property
    def key(self) -> tuple[CustomerId, str, VersionRef]:
        """Customer, class and version that identify the line."""
        return self.customer_id, self.class_name, self.version

    def add_line(self, other: "UsageLine") -> None:
        """Add the counts and cost of another line with the same key."""
        self.n_requests += other.n_requests
        self.prompt_tokens += other.prompt_tokens
        self.completion_tokens += other.completion_tokens
        self.cached_tokens += other.cached_tokens
        self.cost += other.cost


class UsageTotals(Struct):
    """Usage lines, one per customer, class and version."""

    lines: list[UsageLine] = field(default_factory=list)

    def add_lines(self, lines: Iterable[UsageLine]) -> None:
        """Add each line to the one with the same key, creating it if needed."""
        by_key = {line.key: line for line in self.lines}
        for line in lines:
            total = by_key.get(line.key)
            if total is None:
                total = by_key[line.key] = UsageLine(
                    customer_id=line.customer_id, class_name=line.class_name, version=line.version
                )
                self.lines.append(total)
            total.add_line(line)


class BillPage(Struct):
    """Bills in one row of the ledger; ``version`` is the row's, 0 if it does not exist."""

    bills: list[BillRecord] = field(default_factory=list)
    version: int = 0

    def encode(self) -> bytes:
        """Encode the bills as the value of the row.

        Raises
        ------
        InvariantError
            Two bills have the same request id.
        """
        n_ids = len({bill.request_id for bill in self.bills})
        if n_ids != len(self.bills):
            raise InvariantError("a ledger page has two bills of one request", step="flush_bills")
        return _ENCODER.encode(self.bills)

    @classmethod
    def decode(cls, data: bytes, version: int) -> "BillPage":
        """Decode the value of a row with the given version."""
        return cls(msgspec.msgpack.decode(data, type=list[BillRecord]), version)


class MergeResult(Struct, frozen=True):
    """Result of merging bills into a page.

    Attributes
    ----------
    page : BillPage
        Page with the new bills added.
    new_bills : list of BillRecord
        Bills that the page did not contain.
    n_repeats, n_conflicts : int
        Bills that the page already contained, and those of them that differ from the stored bill;
        the stored bill is retained.
    """

    page: BillPage
    new_bills: list[BillRecord]
    n_repeats: int
    n_conflicts: int


def merge_bills(page: BillPage, bills: Iterable[BillRecord]) -> MergeResult:
    """Add bills to a copy of a page, at most one per request id."""
    bills_by_id: dict[RequestId, BillRecord] = {bill.request_id: bill for bill in page.bills}
    new_bills = []
    n_repeats = n_conflicts = 0
    for bill in bills:
        first = bills_by_id.get(bill.request_id)
        if first is None:
            bills_by_id[bill.request_id] = bill
            new_bills.append(bill)
            continue
        n_repeats += 1
        n_conflicts += first != bill
    return MergeResult(
        BillPage(list(bills_by_id.values()), page.version), new_bills, n_repeats, n_conflicts
    )


def sum_bills(bills: Iterable[BillRecord]) -> UsageTotals:
    """Return the usage totals of bills by customer, class and version."""
    totals = UsageTotals()
    totals.add_lines(_make_line(bill) for bill in bills)
    return totals


def _make_line(bill: BillRecord) -> UsageLine:
    return UsageLine(
        customer_id=bill.customer_id,
        class_name=bill.class_name,
        version=bill.version,
        n_requests=1,
        prompt_tokens=bill.usage.prompt_tokens,
        completion_tokens=bill.usage.completion_tokens,
        cached_tokens=bill.usage.cached_tokens,
        cost=bill.cost,
    )
