"""Reads and writes of durable requests in the platform's table and object store."""

import msgspec
from msgspec import Struct

from crocusvalve.base import ExecutionStatus, RequestId
from crocusvalve.durable._records import (
    DurableRecord,
    DurableRequest,
    DurableResult,
    DurableState,
    OpenRecord,
)
from crocusvalve.durable._tables import DurableRow, OpenRow
from crocusvalve.exceptions import ErrorCode, InvariantError, PlatformError, RefusedError
from crocusvalve.store import ObjectStore, Row, TableService, Write, WriteIdMaker

__all__ = [
    "ACCEPTED_VERSION",
    "DURABLE_TABLE",
    "OPEN_TABLE",
    "AcceptedRequest",
    "DurableStore",
    "FinishPlan",
    "make_open_record",
]

DURABLE_TABLE = "durable"
OPEN_TABLE = "durable_open"
MAX_INLINE_BYTES = 16 * 1024
RETRY_AFTER_S = 5.0
#: Row version of a ``DurableRecord`` from the request's acceptance to its end.
ACCEPTED_VERSION = 1


class AcceptedRequest(Struct, frozen=True):
    """Result of accepting a request; ``is_new`` is False if it had been accepted before."""

    record: DurableRecord
    is_new: bool


class FinishPlan(Struct, frozen=True):
    """Writes that end a request; retries send them unchanged until the store answers."""

    writes: tuple[Write, ...]


class DurableStore:
    """Stores durable requests and their open rows, and large bodies as objects.

    Parameters
    ----------
    tables : TableService
        Table store for the rows.
    objects : ObjectStore
        Object store for large bodies.
    max_inline_bytes : int
        Largest body stored in a row, in bytes; larger ones become objects.
    write_ids : WriteIdMaker or None
        Generates the ids of writes; None for a default one.
    """

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        *,
        max_inline_bytes: int = MAX_INLINE_BYTES,
        write_ids: WriteIdMaker | None = None,
    ):
        self.tables = tables
        self.objects = objects
        self.max_inline_bytes = max_inline_bytes
        self.write_ids = write_ids or WriteIdMaker()

    async def accept(
        self, req: DurableRequest, *, holder: str, ttl_s: float, now: float
    ) -> AcceptedRequest:
        """Write the rows of a new request, after which it can't be lost.

        Parameters
        ----------
        req : DurableRequest
            Request to be accepted.
        holder : str
            ``node_id/boot_id`` of the process that holds the first lease; empty for none.
        ttl_s : float
            Time to live of the lease, in seconds.
        now : float
            Current time in Unix seconds.

        Raises
        ------
        RefusedError
            The store failed, or the request id is in use for another request. Its ``ran`` is
            ``NOT_RUN`` if the request was certainly not accepted and ``UNKNOWN`` if it may have
            been; in both cases a repeat under the same request id is safe.
        """
        try:
            record = await self._make_record(req, now)
            return await self._insert(record, make_open_record(req, holder, ttl_s))
        except PlatformError as exc:
            raise _make_refusal(exc) from exc

    async def get(self, request_id: RequestId) -> DurableRecord | None:
        """Return a request with its body and result, or None if it was never accepted."""
        record = await self.get_record(request_id)
        return await self._fetch_bodies(record) if record is not None else None

    async def get_record(self, request_id: RequestId) -> DurableRecord | None:
        """Return a request as stored in its row, without bodies from the object store."""
        row = await self.tables.get(DURABLE_TABLE, request_id)
        return _decode_record(row) if row else None

    async def list_open(self, *, after: str, limit: int) -> list[OpenRow]:
        """Return the next page of open requests in order of request id, with a single read."""
        rows = await self.tables.scan(OPEN_TABLE, after=after, limit=limit)
        return [_decode_open(row) for row in rows]

    async def write_open(self, record: OpenRecord, version: int) -> int | None:
        """Write an open row if its version still matches.

        Returns
        -------
        int or None
            New version of the row; None if the write was not applied.
        """
        write = self._make_write(OPEN_TABLE, record.request_id, record, version)
        results = await self.tables.transact([write])
        row = results[0].row
        if not results[0].is_applied or row is None or row.write_id != write.write_id:
            return None
        return row.version

    async def read_open(self, request_id: RequestId) -> OpenRow | None:
        """Return an open row, or None if the request is no longer open."""
        row = await self.tables.get(OPEN_TABLE, request_id)
        return _decode_open(row) if row else None

    async def plan_finish(
        self,
        record: DurableRecord,
        result: DurableResult,
        open_row: OpenRow | DurableRow,
        now: float,
    ) -> FinishPlan:
        """Make the writes that end a request if its open row still has the given version.

        A large result is first written to the object store.
        """
        is_large = len(result.body) > self.max_inline_bytes
        name = f"durable/{record.request_id}/result-{self.write_ids.make()}" if is_large else ""
        if name:
            await self.objects.put_object(name, result.body)
            result = msgspec.structs.replace(result, body=b"")
        ended = msgspec.structs.replace(
            record,
            state=DurableState.FAILED if result.error_code else DurableState.DONE,
            result=result,
            result_object=name,
            ended_at=now,
            number=open_row.record.number,
            body=b"",
        )
        end = self._make_write(DURABLE_TABLE, record.request_id, ended, ACCEPTED_VERSION)
        close = Write(
            table=OPEN_TABLE,
            key=record.request_id,
            value=None,
            write_id=self.write_ids.make(),
            if_version=open_row.version,
        )
        return FinishPlan((end, close))

    async def finish(self, plan: FinishPlan) -> bool:
        """Apply a plan; return False if the lease was lost or the request has already ended."""
        results = await self.tables.transact(plan.writes)
        return results[0].is_applied

    async def _make_record(self, req: DurableRequest, now: float) -> DurableRecord:
        name = ""
        if len(req.body) > self.max_inline_bytes:
            name = f"durable/{req.request_id}/body-{req.digest}"
            await self._put_body(name, req.body)
        return DurableRecord(
            request_id=req.request_id,
            customer_id=req.customer_id,
            class_name=req.class_name,
            accepted_at=now,
            deadline=req.deadline,
            digest=req.digest,
            session_id=req.session_id,
            body=b"" if name else req.body,
            body_object=name,
        )

    async def _put_body(self, name: str, body: bytes) -> None:
        try:
            await self.objects.put_object(name, body)
        except PlatformError as exc:
            # The new error has no ``maybe_applied``: without its row the request is not accepted.
            raise PlatformError(exc.message, step="accept_durable", peer=exc.peer) from exc

    async def _insert(self, record: DurableRecord, open_record: OpenRecord) -> AcceptedRequest:
        writes = [
            self._make_write(DURABLE_TABLE, record.request_id, record, 0),
            self._make_write(OPEN_TABLE, record.request_id, open_record, 0),
        ]
        try:
            results = await self.tables.transact(writes)
            row = results[0].row
        except PlatformError as exc:
            row = await self._read_back(record.request_id, exc)
        if row is None:
            raise PlatformError(
                "the row of the accepted request is missing",
                step="accept_durable",
                maybe_applied=True,
            )
        found = _decode_record(row)
        if found.digest != record.digest or found.customer_id != record.customer_id:
            raise RefusedError(
                ErrorCode.IDEMPOTENCY_KEY_REUSED,
                "the request id is in use for another request",
                step="accept_durable",
                ran=ExecutionStatus.NOT_RUN,
            )
        return AcceptedRequest(found, row.write_id == writes[0].write_id)

    async def _read_back(self, request_id: RequestId, cause: PlatformError) -> Row:
        if not cause.maybe_applied:
            raise cause
        try:
            row = await self.tables.get(DURABLE_TABLE, request_id)
        except PlatformError:
            raise cause from None
        if row is None:
            raise cause
        return row

    async def _fetch_bodies(self, record: DurableRecord) -> DurableRecord:
        if record.body_object and record.state is DurableState.OPEN:
            body = await self._fetch_object(record.body_object)
            record = msgspec.structs.replace(record, body=body)
        if record.result_object and record.result is not None:
            body = await self._fetch_object(record.result_object)
            result = msgspec.structs.replace(record.result, body=body)
            record = msgspec.structs.replace(record, result=result)
        return record

    async def _fetch_object(self, name: str) -> bytes:
        data = await self.objects.get_object(name)
        if data is None:
            raise InvariantError(f"object {name} is missing", step="fetch_durable")
        return data

    def _make_write(
        self, table: str, key: str, record: DurableRecord | OpenRecord, version: int
    ) -> Write:
        return Write(
            table=table,
            key=key,
            value=msgspec.msgpack.encode(record),
            write_id=self.write_ids.make(),
            if_version=version,
        )


def make_open_record(req: DurableRequest, holder: str, ttl_s: float) -> OpenRecord:
    """Return the first open record of a request, with lease number 1."""
    alarm_at = req.deadline - req.alarm_before_s if req.alarm_before_s else float("inf")
    return OpenRecord(
        request_id=req.request_id,
        customer_id=req.customer_id,
        class_name=req.class_name,
        deadline=req.deadline,
        alarm_at=alarm_at,
        holder=holder,
        number=1,
        ttl_s=ttl_s,
    )


def _make_refusal(exc: PlatformError) -> RefusedError:
    return RefusedError(
        ErrorCode.OUTCOME_UNKNOWN if exc.maybe_applied else ErrorCode.PLATFORM_DOWN,
        f"the acceptance of the request could not be confirmed: {exc.message}",
        step="accept_durable",
        peer=exc.peer,
        ran=ExecutionStatus.UNKNOWN if exc.maybe_applied else ExecutionStatus.NOT_RUN,
        retry_after_s=RETRY_AFTER_S,
    )


def _decode_record(row: Row) -> DurableRecord:
    return msgspec.msgpack.decode(row.value, type=DurableRecord)


def _decode_open(row: Row) -> OpenRow:
    return OpenRow(msgspec.msgpack.decode(row.value, type=OpenRecord), row.version)
