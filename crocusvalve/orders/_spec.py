"""An order as its entry admits it, and the claims that its flow writes."""

from msgspec import Struct
from msgspec.structs import replace

from crocusvalve.base import CustomerId, NodeId, RequestId
from crocusvalve.orders._claim import AttemptRecord, ClaimState, OrderClaim
from crocusvalve.orders._events import OrderOutcome, OutcomeKind

__all__ = ["OrderSpec", "make_open_claim", "make_settled_claim"]

TAKEOVER_AFTER_S = 5.0
MAX_RECORDED_BYTES = 256 * 1024
SETTLED_STATES = {
    OutcomeKind.ANSWERED: ClaimState.DONE,
    OutcomeKind.NOT_RUN: ClaimState.NOT_RUN,
    OutcomeKind.UNKNOWN: ClaimState.UNKNOWN,
}


class OrderSpec(Struct, frozen=True, kw_only=True):
    """A non-idempotent request as its entry admits it."""

    customer_id: CustomerId
    key: str
    body_digest: str
    request_id: RequestId
    entry_id: NodeId
    deadline: float
    max_attempts: int = 3


def make_open_claim(spec: OrderSpec, attempts: tuple[AttemptRecord, ...], now: float) -> OrderClaim:
    """Make the claim of an order whose last attempt is about to be sent."""
    return OrderClaim(
        customer_id=spec.customer_id,
        key=spec.key,
        body_digest=spec.body_digest,
        request_id=spec.request_id,
        owner=spec.entry_id,
        state=ClaimState.OPEN,
        attempts=attempts,
        takeover_at=now + TAKEOVER_AFTER_S,
        at=now,
    )


def make_settled_claim(claim: OrderClaim, outcome: OrderOutcome, now: float) -> OrderClaim:
    """Make the claim that records an outcome; a large answer is recorded without its body."""
    answer = outcome.answer
    if answer is not None and len(answer.body or b"") > MAX_RECORDED_BYTES:
        answer = replace(answer, body=None)
    return replace(
        claim, state=SETTLED_STATES[outcome.kind], ran=outcome.ran, answer=answer, at=now
    )
