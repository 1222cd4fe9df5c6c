"""A lease in a row of the platform's service, with a number that rises with each holder."""

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
#: Part of the lease's life that the holder gives up, against clocks that run unevenly.
SAFETY_SHARE = 0.2


class LeaseManager:
    """One process's side of a lease.

    Expiry is judged without comparing clocks of two VMs. The holder counts from before it sends
    the write; a reader counts from a call after the one that read the row, and needs the row
    unchanged for the whole life of the lease.

    Parameters
    ----------
    tables : TableService
        Holds the row.
    key : str
        Key of the lease.
    node_id, boot_id : NodeId, BootId
        This run of this process; together they name the holder.
    ttl_s : float
        Life of the lease after a renewal, in seconds.
    safety_share : float
        Part of the life, from 0 to 1, in which the holder no longer acts.
    table : str
        Table of the row.
    write_ids : WriteIdMaker or None
        Makes the ids of writes.

    Attributes
    ----------
    number : int
        Number under which this process last held the lease; 0 before the first time.
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
        self.floor_ = 0
        self.held_until_ = float("-inf")
        self._version = 0
        self._seen_version = 0
        self._seen_at: float | None = None

    def is_held(self, now: float) -> bool:
        """Tell whether this process may act as the holder; ask before each effect."""
        return now < self.held_until_

    async def acquire(self, now: float) -> bool:
        """Take, keep or wait for the lease; tell whether it is held after the call.

        Parameters
        ----------
        now : float
            Present time, taken before the call.

        Raises
        ------
        PlatformError
            The store failed; a lease held before is held until its own deadline.
        """
        if self.is_held(now):
            return await self.renew(now)
        row = await self.tables.get(self.table, self.key)
        if row is None:
            return await self._write(self._make_record(self.floor_ + 1), 0, now)
        record = _decode_lease(row)
        if record.holder == self.holder and record.number >= self.floor_:
            return await self._write(record, row.version, now)
        if record.holder not in ("", self.holder) and not self._has_lapsed(
            row.version, record, now
        ):
            return False
        number = max(record.number, self.floor_) + 1
        return await self._write(self._make_record(number), row.version, now)

    async def renew(self, now: float) -> bool:
        """Prolong a lease that is held; tell whether it is held after the call."""
        if not self.is_held(now):
            return False
        if await self._write(self._make_record(self.number), self._version, now):
            return True
        return await self._read_back(now)

    async def release(self) -> None:
        """Give the lease up, so that another process need not wait for its expiry."""
        if self.held_until_ == float("-inf"):
            return
        self.held_until_ = float("-inf")
        record = LeaseRecord(holder="", number=self.number, ttl_s=self.ttl_s)
        await self.tables.transact([self._make_write(record, self._version)])

    def raise_floor(self, number: int) -> None:
        """Never acquire under a number up to this one, such as one that an engine has seen.

        Needed where the platform was restored from an older copy of the row.
        """
        self.floor_ = max(self.floor_, number)

    def _has_lapsed(self, version: int, record: LeaseRecord, now: float) -> bool:
        if version != self._seen_version:
            self._seen_version = version
            self._seen_at = None
            return False
        if self._seen_at is None:
            # The row was read before this instant, and it still stands: counting starts here.
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
        self._hold(record, row.version, now)
        return True

    async def _read_back(self, now: float) -> bool:
        """Learn the row's version after a renewal whose answer was lost."""
        row = await self.tables.get(self.table, self.key)
        record = _decode_lease(row) if row is not None else None
        if record is None or record.holder != self.holder or record.number != self.number:
            self._lose()
            return False
        return await self._write(record, row.version, now)

    def _hold(self, record: LeaseRecord, version: int, now: float) -> None:
        if record.number < self.floor_:
            raise InvariantError(
                f"lease number would go from {self.floor_} to {record.number}",
                step="acquire_lease",
                peer=self.key,
            )
        self.number = record.number
        self.raise_floor(record.number)
        self._version = version
        self.held_until_ = now + self.ttl_s * (1.0 - self.safety_share)

    def _lose(self) -> None:
        logger.warning("lease %s number %d was lost", self.key, self.number)
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
