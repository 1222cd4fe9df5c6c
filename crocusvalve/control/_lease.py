"""A lease in a row of the platform's store, with a fencing number that each holder increases."""

import logging

import msgspec

from crocusvalve.base import BootId, NodeId
from crocusvalve.control._records import LeaseRecord
from crocusvalve.exceptions import InvariantError
from crocusvalve.store import Row, TableService, Write, WriteIdMaker
from crocusvalve.utils import check_range

__all__ = ["LEASE_TABLE", "LeaseManager"]

logger = logging.getLogger(__name__)

LEASE_TABLE = "leases"
LEASE_TTL_S = 10.0
#: Fraction of the lease's lifetime that the holder doesn't use, as clocks run at different rates.
SAFETY_SHARE = 0.2


class LeaseManager:
    """Acquires, renews and releases a lease on behalf of one process.

    Expiry is determined without comparing the clocks of two VMs. The holder measures the lifetime
    from before it sends the write. A reader measures it from the call after the one that first
    read the row, and regards the lease as lapsed only if the row is unchanged for the full
    lifetime.

    Parameters
    ----------
    tables : TableService
        Holds the lease's row.
    key : str
        Key of the lease.
    node_id, boot_id : NodeId, BootId
        Ids of the process and of its current run; together they identify the holder.
    ttl_s : float
        Lifetime of the lease after a renewal, in seconds.
    safety_share : float
        Final fraction of the lifetime, from 0 to 1 but at most 0.9, in which the holder no longer
        acts.
    table : str
        Name of the row's table.
    write_ids : WriteIdMaker or None
        Generates ids of writes; a new generator by default.

    Attributes
    ----------
    number : int
        Fencing number under which this process last held the lease; 0 before the first time.
    number_floor_ : int
        Number below which the lease is never held; at least ``number``.
    held_until_ : float
        Time until which this process may act as the holder; minus infinity if it may not.
    """

    def __init__(
        self,
        tables: TableService,
        key: str,
        node_id: NodeId,
        *,
        boot_id: BootId,
        ttl_s: float = LEASE_TTL_S,
        safety_share: float = SAFETY_SHARE,
        table: str = LEASE_TABLE,
        write_ids: WriteIdMaker | None = None,
    ):
        check_range("ttl_s", ttl_s, low=0.001)
        check_range("safety_share", safety_share, low=0.0, high=0.9)
        self.tables = tables
        self.key = key
        self.holder = f"{node_id}/{boot_id}"
        self.ttl_s = ttl_s
        self.safety_share = safety_share
        self.table = table
        self.write_ids = write_ids or WriteIdMaker()
        self.number = 0
        self.number_floor_ = 0
        self.held_until_ = float("-inf")
        self._version = 0
        self._seen_version = 0
        self._seen_at: float | None = None

    def is_held(self, now: float) -> bool:
        """Return whether this process may act as the holder; to be called before each effect."""
        return now < self.held_until_

    async def acquire(self, now: float) -> bool:
        """Acquire the lease if it is free or has lapsed, or renew it; return whether it is held.

        Parameters
        ----------
        now : float
            Current time in seconds, read before the call.

        Raises
        ------
        PlatformError
            The store failed; a lease that was held stays held until its deadline.
        """
        if self.is_held(now):
            return await self.renew(now)
        row = await self.tables.get(self.table, self.key)
        if row is None:
            return await self._write(self._make_record(self.number_floor_ + 1), 0, now)
        record = _decode_lease(row)
        if record.holder == self.holder and record.number >= self.number_floor_:
            return await self._write(record, row.version, now)
        if record.holder not in ("", self.holder) and not self._has_lapsed(
            row.version, record, now
        ):
            return False
        number = max(record.number, self.number_floor_) + 1
        return await self._write(self._make_record(number), row.version, now)

    async def renew(self, now: float) -> bool:
        """Extend a lease that is held; return whether it is held after the call."""
        if not self.is_held(now):
            return False
        if await self._write(self._make_record(self.number), self._version, now):
            return True
        return await self._read_back(now)

    async def release(self) -> None:
        """Release the lease, so that another process need not wait for its expiry."""
        if self.held_until_ == float("-inf"):
            return
        self.held_until_ = float("-inf")
        record = LeaseRecord(holder="", number=self.number, ttl_s=self.ttl_s)
        await self.tables.transact([self._make_write(record, self._version)])

    def raise_number_floor(self, number: int) -> None:
        """Acquire only under numbers above this one, such as one that an engine has seen.

        Needed if the platform's store was restored from an older copy of the row.
        """
        self.number_floor_ = max(self.number_floor_, number)

    def _has_lapsed(self, version: int, record: LeaseRecord, now: float) -> bool:
        if version != self._seen_version:
            self._seen_version = version
            self._seen_at = None
            return False
        if self._seen_at is None:
            # An earlier call had read this row before ``now``, and it is unchanged since: measuring
            # starts at ``now``.
            self._seen_at = now
        return now - self._seen_at >= record.ttl_s

    async def _write(self, record: LeaseRecord, version: int, now: float) -> bool:
        write = self._make_write(record, version)
        results = await self.tables.transact([write])
        row = results[0].row
        if not results[0].is_applied or row is None:
            return False
        if row.write_id != write.write_id:
            return False
        self._record_held(record, row.version, now)
        return True

    async def _read_back(self, now: float) -> bool:
        """Renew with the row's current version, as an earlier renewal's answer may have been lost.

        The lease is marked as lost if the row names another holder or number.
        """
        row = await self.tables.get(self.table, self.key)
        record = _decode_lease(row) if row is not None else None
        if record is None or record.holder != self.holder or record.number != self.number:
            self._mark_lost()
            return False
        return await self._write(record, row.version, now)

    def _record_held(self, record: LeaseRecord, version: int, now: float) -> None:
        if record.number < self.number_floor_:
            raise InvariantError(
                f"lease number would decrease from {self.number_floor_} to {record.number}",
                step="acquire_lease",
                peer=self.key,
            )
        self.number = record.number
        self.raise_number_floor(record.number)
        self._version = version
        self.held_until_ = now + self.ttl_s * (1.0 - self.safety_share)

    def _mark_lost(self) -> None:
        logger.warning("lease %s is no longer held under number %d", self.key, self.number)
        self.held_until_ = float("-inf")

    def _make_record(self, number: int) -> LeaseRecord:
        return LeaseRecord(holder=self.holder, number=number, ttl_s=self.ttl_s)

    def _make_write(self, record: LeaseRecord, version: int) -> Write:
        return Write(
            table=self.table,
            key=self.key,
            value=msgspec.msgpack.encode(record),
            write_id=self.write_ids.make(),
            if_version=version,
        )


def _decode_lease(row: Row) -> LeaseRecord:
    return msgspec.msgpack.decode(row.value, type=LeaseRecord)
