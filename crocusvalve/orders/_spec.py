"""An order as admitted by its entry, and the claims that its flow writes."""

from msgspec import Struct
from msgspec.structs import replace

from crocusvalve.base import CustomerId, NodeId, RequestId
from crocusvalve.orders._claim import AttemptRecord, ClaimState, OrderClaim
from crocusvalve.orders._events import OrderOutcome, OutcomeKind

__all__ = ["OrderSpec", "make_open_claim", "make_settled_claim"]

#: Time after the write of an open claim from which another call of the key may take it over.
TAKEOVER_AFTER_S = 5.0
#: Largest body of an answer that is stored in a claim.
MAX_RECORDED_BYTES = 256 * 1024
SETTLED_STATES = {
    OutcomeKind.ANSWERED: ClaimState.DONE,
    OutcomeKind.NOT_RUN: ClaimState.NOT_RUN,
    OutcomeKind.UNKNOWN: ClaimState.UNKNOWN,
}


class OrderSpec(Struct, frozen=True, kw_only=True):
    """A non-idempotent request as admitted by its entry.

    Attributes
    ----------
    customer_id : CustomerId
        Customer that sent the request.
    key : str
        Idempotency key of the request; keys of different customers are independent.
    body_digest : str
        Digest of the request; a key that is reused with another digest is refused.
    request_id : RequestId
        The request.
    entry_id : NodeId
        Entry that runs the order.
    deadline : float
        Time by which the caller is answered, in Unix seconds.
    max_attempts : int
        Largest number of attempts that are sent.
    """

    customer_id: CustomerId
    key: str
    body_digest: str
    request_id: RequestId
    entry_id: NodeId
    deadline: float
    max_attempts: int = 3


def make_open_claim(spec: OrderSpec, attempts: tuple[AttemptRecord, ...], now: float) -> OrderClaim:
    """Make the open claim of an order whose last attempt is about to be sent."""
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
    """Make the claim that records an outcome, without the body of a large answer.

    The body is omitted above ``MAX_RECORDED_BYTES``.
    """
    answer = outcome.answer
    if answer is not None and len(answer.body or b"") > MAX_RECORDED_BYTES:
        answer = replace(answer, body=None)
    return replace(
        claim, state=SETTLED_STATES[outcome.kind], ran=outcome.ran, answer=answer, at=now
    )
