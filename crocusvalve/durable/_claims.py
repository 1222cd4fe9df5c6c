"""Claims of orders: one row for each customer's idempotency key."""

from enum import Enum

import msgspec
from msgspec import Struct

from crocusvalve.base import CustomerId, Ran, RequestId
from crocusvalve.exceptions import ErrorCode, PlatformError, RefusedError
from crocusvalve.platform import Row, TableService, Write, WriteIdMaker
from crocusvalve.utils import compute_digest

__all__ = ["CLAIM_TABLE", "Claim", "ClaimRecord", "ClaimState", "ClaimStore"]

CLAIM_TABLE = "claims"
RETRY_AFTER_S = 5.0


class ClaimState(Enum):
    """State of a claim."""

    #: The claimant may send the order, or has sent it.
    CLAIMED = "claimed"
    #: The order certainly never left its entry; the key may be claimed again.
    VOID = "void"
    #: The order ran, and its answer is kept.
    ENDED = "ended"
    #: Nobody can tell any more whether the order ran.
    UNKNOWN = "unknown"


class ClaimRecord(Struct, frozen=True, kw_only=True):
    """Row of a claim; the last fields hold the answer of an order that ended."""

    customer_id: CustomerId
    idempotency_key: str
    request_id: RequestId
    digest: str
    deadline: float
    claimed_at: float
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class Claim(Struct, frozen=True):
    """A claim as it stands; only where ``is_new`` may the caller send the order."""

    record: ClaimRecord
    version: int
    is_new: bool


class ClaimStore:
    """Claims keys and records what became of the orders.

    Parameters
    ----------
    tables : TableService
        Holds the rows.
    write_ids : WriteIdMaker or None
        Makes the ids of writes.

    Attributes
    ----------
    to_void : dict
        Claims whose write had no answer and whose orders were refused as not run;
        ``void_pending`` makes their keys claimable again.
    """

    def __init__(self, tables: TableService, *, write_ids: WriteIdMaker | None = None):
        self.tables = tables
        self.write_ids = write_ids or WriteIdMaker()
        self.to_void: dict[RequestId, ClaimRecord] = {}

    async def claim(
        self,
        customer_id: CustomerId,
        idempotency_key: str,
        *,
        request_id: RequestId,
        digest: str,
        deadline: float,
        now: float,
    ) -> Claim:
        """Claim a key, or return the claim that stands.

        Raises
        ------
        RefusedError
            The key stands for another order, or the store failed. The order was not sent, so both
            are ``NOT_RUN``.
        """
        record = ClaimRecord(
            customer_id=customer_id,
            idempotency_key=idempotency_key,
            request_id=request_id,
            digest=digest,
            deadline=deadline,
            claimed_at=now,
        )
        key = make_claim_key(customer_id, idempotency_key)
        try:
            claim = await self._insert(key, record)
            if claim.record.state is ClaimState.VOID:
                claim = await self._write(key, record, claim.version)
        except PlatformError as exc:
            if exc.maybe_applied:
                self.to_void[request_id] = record
            raise _make_refusal(exc) from exc
        _check_digest(claim.record, digest)
        return claim

    async def end(self, claim: Claim, state: ClaimState, **answer: object) -> Claim:
        """Record what became of an order; only its claimant calls this.

        Parameters
        ----------
        state : ClaimState
            ``ENDED``, with ``status``, ``content_type`` and ``body``; ``VOID`` where the order
            certainly did not run; or ``UNKNOWN``.
        """
        record = msgspec.structs.replace(claim.record, state=state, **answer)
        key = make_claim_key(record.customer_id, record.idempotency_key)
        return await self._write(key, record, claim.version)

    async def get(self, customer_id: CustomerId, idempotency_key: str) -> Claim | None:
        """Return a claim as it stands, or None."""
        row = await self.tables.get(CLAIM_TABLE, make_claim_key(customer_id, idempotency_key))
        return _decode_claim(row, is_new=False) if row else None

    async def void_pending(self) -> int:
        """Make keys claimable again whose orders were refused as not run; return how many."""
        n_voided = 0
        for request_id, record in list(self.to_void.items()):
            key = make_claim_key(record.customer_id, record.idempotency_key)
            await self._void(key, msgspec.structs.replace(record, state=ClaimState.VOID))
            del self.to_void[request_id]
            n_voided += 1
        return n_voided

    async def _void(self, key: str, record: ClaimRecord) -> None:
        # Written over an absent row as well, so that the first write can't land any more.
        row = await self.tables.get(CLAIM_TABLE, key)
        if row is None:
            await self._write(key, record, 0)
            row = await self.tables.get(CLAIM_TABLE, key)
        found = _decode_claim(row, is_new=False)
        is_own = found.record.request_id == record.request_id
        if is_own and found.record.state is ClaimState.CLAIMED:
            await self._write(key, record, found.version)

    async def _insert(self, key: str, record: ClaimRecord) -> Claim:
        try:
            return await self._write(key, record, 0)
        except PlatformError as exc:
            if not exc.maybe_applied:
                raise
            return await self._read_back(key, record, exc)

    async def _read_back(self, key: str, record: ClaimRecord, cause: PlatformError) -> Claim:
        try:
            row = await self.tables.get(CLAIM_TABLE, key)
        except PlatformError:
            raise cause from None
        if row is None:
            raise cause
        claim = _decode_claim(row, is_new=False)
        if claim.record.request_id == record.request_id:
            return msgspec.structs.replace(claim, is_new=True)
        return claim

    async def _write(self, key: str, record: ClaimRecord, version: int) -> Claim:
        write = Write(
            table=CLAIM_TABLE,
            key=key,
            value=msgspec.msgpack.encode(record),
            write_id=self.write_ids.make(),
            if_version=version,
        )
        results = await self.tables.transact([write])
        row = results[0].row
        if row is None:
            raise PlatformError("the claim is gone", step="claim", maybe_applied=True)
        return _decode_claim(row, is_new=row.write_id == write.write_id)


def make_claim_key(customer_id: CustomerId, idempotency_key: str) -> str:
    """Return the key of a claim's row; a customer's keys never meet another's."""
    return f"{customer_id}/{compute_digest(idempotency_key.encode())}"


def _check_digest(record: ClaimRecord, digest: str) -> None:
    if record.digest != digest:
        raise RefusedError(
            ErrorCode.IDEMPOTENCY_KEY_REUSED,
            "the idempotency key stands for another order",
            step="claim",
            ran=Ran.NOT_RUN,
        )


def _make_refusal(exc: PlatformError) -> RefusedError:
    return RefusedError(
        ErrorCode.PLATFORM_DOWN,
        f"the order could not be claimed and was not sent: {exc.message}",
        step="claim",
        peer=exc.peer,
        ran=Ran.NOT_RUN,
        retry_after_s=RETRY_AFTER_S,
    )


def _decode_claim(row: Row, *, is_new: bool) -> Claim:
    return Claim(msgspec.msgpack.decode(row.value, type=ClaimRecord), row.version, is_new)
