"""Bills that the agent stores until an entry has written them to the ledger."""

from collections import OrderedDict
from collections.abc import Iterable

from msgspec import Struct

from crocusvalve.base import AttemptId, CustomerId, RequestId, VersionRef
from crocusvalve.billing import add_usage, compute_cost
from crocusvalve.config import DocumentView
from crocusvalve.rpc import BillRecord, RunRequest, Usage

__all__ = ["BillHolder", "UndeliveredBill", "compute_attempt_cost"]

#: Multiplies ``offer_after_s`` for a cascade step that a later step may replace, so that its bill
#: is offered only after the bill of the later step would have been.
ESCALATION_FACTOR = 3.0


def compute_attempt_cost(view: DocumentView | None, req: RunRequest, usage: Usage) -> float:
    """Return the cost of one attempt at the prices of the configuration, in currency units."""
    if view is None:
        return 0.0
    return compute_cost(view, VersionRef(req.version), req.service, usage)


class UndeliveredBill(Struct, frozen=True):
    """A bill that is not in the ledger yet; ``offer_at`` is when it is offered, in Unix seconds."""

    bill: BillRecord
    offer_at: float


class BillHolder:
    """Bills that no entry has acknowledged yet, oldest first.

    A bill is owed once the end of the answer has been delivered to an entry. Until then it is
    pending: an answer that no entry has fetched is not billed.

    Parameters
    ----------
    max_bills : int
        Maximum number of stored bills; above it the oldest is dropped, and counted in ``n_lost``
        if it was owed.
    offer_after_s : float
        Age in seconds from which a bill is offered to any entry that asks: by then the entry
        that handled the request should have written it to the ledger.
    """

    def __init__(self, *, max_bills: int = 100_000, offer_after_s: float = 10.0):
        self.max_bills = max_bills
        self.offer_after_s = offer_after_s
        self.n_lost = 0
        self._pending: dict[AttemptId, UndeliveredBill] = {}
        self._owed: dict[RequestId, UndeliveredBill] = {}
        self._owed_request_ids: OrderedDict[AttemptId, RequestId] = OrderedDict()

    def __len__(self) -> int:
        return len(self._owed)

    def hold(self, req: RunRequest, usage: Usage, cost: float, now: float) -> BillRecord:
        """Store the bill of a request whose attempt completed.

        Parameters
        ----------
        req : RunRequest
            The attempt; includes the usage and cost of earlier cascade steps.
        usage : Usage
            Tokens of this attempt.
        cost : float
            Cost of this attempt in currency units.
        now : float
            Current Unix time in seconds.
        """
        bill = BillRecord(
            request_id=req.request_id,
            customer_id=CustomerId(req.customer_id),
            class_name=req.class_name,
            version=req.version,
            upstream_id=req.upstream_id,
            usage=add_usage(req.usage_before, usage),
            cost=req.cost_before + cost,
            n_attempts=req.n_attempts,
            at=now,
        )
        offer_at = now + self.offer_after_s
        if req.may_escalate:
            offer_at = req.deadline + ESCALATION_FACTOR * self.offer_after_s
        self._pending[req.attempt_id] = UndeliveredBill(bill, offer_at)
        self._drop_oldest(self._pending)
        return bill

    def mark_delivered(self, attempt_id: AttemptId) -> None:
        """Mark the end of an answer as delivered to an entry, so that its bill is owed."""
        stored = self._pending.pop(attempt_id, None)
        if stored is None:
            return
        known = self._owed.get(stored.bill.request_id)
        if known is None or known.bill.n_attempts < stored.bill.n_attempts:
            self._owed[stored.bill.request_id] = stored
            self._owed_request_ids[attempt_id] = stored.bill.request_id
            self.n_lost += self._drop_oldest(self._owed)
            self._drop_oldest(self._owed_request_ids)

    def cancel(self, attempt_id: AttemptId) -> None:
        """Remove the bill, pending or owed, of an attempt whose answer the entry has abandoned."""
        self._pending.pop(attempt_id, None)
        request_id = self._owed_request_ids.pop(attempt_id, None)
        if request_id is not None:
            self._owed.pop(request_id, None)

    def list_due(self, now: float, *, is_draining: bool = False) -> tuple[BillRecord, ...]:
        """Return the bills that are due to be offered; all owed bills while the agent drains."""
        return tuple(
            stored.bill for stored in self._owed.values() if is_draining or stored.offer_at <= now
        )

    def acknowledge(self, request_ids: Iterable[RequestId]) -> None:
        """Remove bills that are in the ledger."""
        for request_id in request_ids:
            self._owed.pop(request_id, None)

    def _drop_oldest(self, bills: dict) -> int:
        if len(bills) <= self.max_bills:
            return 0
        del bills[next(iter(bills))]
        return 1
