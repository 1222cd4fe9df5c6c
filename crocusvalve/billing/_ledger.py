"""Rows of the ledger: pages of bills, and totals that are written together with them."""

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
    """Use of one version by one class of one customer; ``cost`` in currency units."""

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
        """What the line sums over."""
        return self.customer_id, self.class_name, self.version

    def add_line(self, other: "UsageLine") -> None:
        """Add another line of the same key."""
        self.n_requests += other.n_requests
        self.prompt_tokens += other.prompt_tokens
        self.completion_tokens += other.completion_tokens
        self.cached_tokens += other.cached_tokens
        self.cost += other.cost


class UsageTotals(Struct):
    """Lines of usage, one a key."""

    lines: list[UsageLine] = field(default_factory=list)

    def add_lines(self, lines: Iterable[UsageLine]) -> None:
        """Add lines to those of the same key."""
        by_key = {line.key: line for line in self.lines}
        for line in lines:
            held = by_key.get(line.key)
            if held is None:
                held = by_key[line.key] = UsageLine(
                    customer_id=line.customer_id, class_name=line.class_name, version=line.version
                )
                self.lines.append(held)
            held.add_line(line)


class BillPage(Struct):
    """Bills of one row; ``version`` is that of the row, 0 where it is absent."""

    bills: list[BillRecord] = field(default_factory=list)
    version: int = 0

    def encode(self) -> bytes:
        """Encode the bills."""
        n_ids = len({bill.request_id for bill in self.bills})
        if n_ids != len(self.bills):
            raise InvariantError("two bills of one request in a page", step="flush_bills")
        return _ENCODER.encode(self.bills)

    @classmethod
    def decode(cls, data: bytes, version: int) -> "BillPage":
        """Decode the bills of a row."""
        return cls(msgspec.msgpack.decode(data, type=list[BillRecord]), version)


class MergeResult(Struct, frozen=True):
    """What a merge makes of a page.

    Attributes
    ----------
    page : BillPage
        The page with the new bills.
    new : list of BillRecord
        Bills that the page did not hold.
    n_repeats, n_conflicts : int
        Bills that it held, and those of them that differ; the first stands.
    """

    page: BillPage
    new: list[BillRecord]
    n_repeats: int
    n_conflicts: int


def merge_bills(page: BillPage, bills: Iterable[BillRecord]) -> MergeResult:
    """Add bills to a page, one a request id."""
    held: dict[RequestId, BillRecord] = {bill.request_id: bill for bill in page.bills}
    new = []
    n_repeats = n_conflicts = 0
    for bill in bills:
        first = held.get(bill.request_id)
        if first is None:
            held[bill.request_id] = bill
            new.append(bill)
            continue
        n_repeats += 1
        n_conflicts += first != bill
    return MergeResult(BillPage(list(held.values()), page.version), new, n_repeats, n_conflicts)


def sum_bills(bills: Iterable[BillRecord]) -> UsageTotals:
    """Sum bills by customer, class and version."""
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
