"""Leases of durable requests held by one process."""

import msgspec

from crocusvalve.durable._records import OpenRecord
from crocusvalve.durable._store import DurableStore
from crocusvalve.durable._tables import DurableRow, DurableTables, OpenRow

__all__ = ["DurableLeases"]

#: Fraction of a lease's TTL, at its end, in which the holder starts no new execution.
SAFETY_SHARE = 0.2


class DurableLeases:
    """Claims, renews and releases leases in open rows, and updates the tables accordingly.

    Parameters
    ----------
    store : DurableStore
        Store of the open rows.
    tables : DurableTables
        Open requests known to this process.
    ttl_s : float
        Time to live of a lease from the last write of its row, in seconds.
    """

    def __init__(self, store: DurableStore, tables: DurableTables, *, ttl_s: float):
        self.store = store
        self.tables = tables
        self.ttl_s = ttl_s

    def add_accepted(self, record: OpenRecord, version: int, now: float) -> None:
        """Add the row of a newly accepted request that this process holds.

        Parameters
        ----------
        record : OpenRecord
            Value of the row as written.
        version : int
            Version of the row.
        now : float
            Time taken before the row was written, in Unix seconds, so that the lease is not
            assumed to last longer than it does.
        """
        self.tables.put_held_row(record, version, now, self._compute_held_until(now))

    async def claim(self, row: DurableRow, now: float, *, is_alarmed: bool) -> bool:
        """Take over a row with the next lease number; return whether the claim was applied."""
        record = msgspec.structs.replace(
            row.record,
            holder=self.tables.holder,
            number=row.record.number + 1,
            ttl_s=self.ttl_s,
            is_alarmed=row.record.is_alarmed or is_alarmed,
        )
        return await self._write(record, row.version, now)

    async def renew(self, row: DurableRow, now: float, *, is_alarmed: bool) -> bool:
        """Renew a lease; return False if this process no longer holds the row."""
        record = msgspec.structs.replace(row.record, is_alarmed=row.record.is_alarmed or is_alarmed)
        if await self._write(record, row.version, now):
            return True
        return await self.refresh_held_row(row) and await self._write(record, row.version, now)

    async def refresh_held_row(self, row: DurableRow) -> bool:
        """Reload a held row, whose version is unknown after a write whose answer was lost.

        Returns
        -------
        bool
            False if the row no longer exists or this process no longer holds it.
        """
        found = await self.store.read_open(row.record.request_id)
        if found is None or not self._is_same_lease(found, row):
            return False
        row.record, row.version = found.record, found.version
        return True

    async def release(self, row: DurableRow) -> None:
        """Release a lease, so that other processes can claim the row before the TTL ends."""
        row.held_until = float("-inf")
        record = msgspec.structs.replace(row.record, holder="")
        await self.store.write_open(record, row.version)

    async def mark_alarm(self, row: DurableRow) -> bool:
        """Mark a row that no process holds as alarmed; return whether the mark was written."""
        record = msgspec.structs.replace(row.record, is_alarmed=True)
        version = await self.store.write_open(record, row.version)
        if version is None:
            return False
        row.record, row.version = record, version
        return True

    async def _write(self, record: OpenRecord, version: int, now: float) -> bool:
        new_version = await self.store.write_open(record, version)
        if new_version is None:
            return False
        self.tables.put_held_row(record, new_version, now, self._compute_held_until(now))
        return True

    def _is_same_lease(self, found: OpenRow, row: DurableRow) -> bool:
        record = found.record
        return record.holder == self.tables.holder and record.number == row.record.number

    def _compute_held_until(self, now: float) -> float:
        return now + self.ttl_s * (1.0 - SAFETY_SHARE)
