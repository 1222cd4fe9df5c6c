"""Leases of durable requests held by one process."""

import msgspec

from crocusvalve.durable._records import OpenRecord
from crocusvalve.durable._store import DurableStore
from crocusvalve.durable._tables import DurableRow, DurableTables, OpenRow

__all__ = ["DurableLeases"]

#: Part of a lease's life in which its holder starts no new effect.
SAFETY_SHARE = 0.2


class DurableLeases:
    """Claims, renews and releases open rows, and keeps the tables in step.

    Parameters
    ----------
    store : DurableStore
        Holds the rows.
    tables : DurableTables
        Open requests as this process sees them.
    ttl_s : float
        Life of a lease after a write, in seconds.
    """

    def __init__(self, store: DurableStore, tables: DurableTables, *, ttl_s: float):
        self.store = store
        self.tables = tables
        self.ttl_s = ttl_s

    def note_accepted(self, record: OpenRecord, version: int, now: float) -> None:
        """Note a row that was accepted with this process as its holder.

        Parameters
        ----------
        now : float
            Time before the row was written.
        """
        self.tables.put_own(record, version, now, self._compute_held_until(now))

    async def claim(self, row: DurableRow, now: float, *, is_alarmed: bool) -> bool:
        """Take a row over under the next number; tell whether it is held."""
        record = msgspec.structs.replace(
            row.record,
            holder=self.tables.holder,
            number=row.record.number + 1,
            ttl_s=self.ttl_s,
            is_alarmed=row.record.is_alarmed or is_alarmed,
        )
        return await self._write(record, row.version, now)

    async def renew(self, row: DurableRow, now: float, *, is_alarmed: bool) -> bool:
        """Prolong a lease; False where another process has taken the row over."""
        record = msgspec.structs.replace(row.record, is_alarmed=row.record.is_alarmed or is_alarmed)
        if await self._write(record, row.version, now):
            return True
        return await self.read_back(row) and await self._write(record, row.version, now)

    async def read_back(self, row: DurableRow) -> bool:
        """Learn a row's version after a lost answer; False where it is held no more."""
        found = await self.store.read_open(row.record.request_id)
        if found is None or not self._is_own(found, row):
            return False
        row.record, row.version = found.record, found.version
        return True

    async def release(self, row: DurableRow) -> None:
        """Give a row up, so that others need not wait for the expiry of its lease."""
        row.held_until = float("-inf")
        record = msgspec.structs.replace(row.record, holder="")
        await self.store.write_open(record, row.version)

    async def mark_alarm(self, row: DurableRow) -> bool:
        """Mark the alarm of a row that nobody holds; tell whether this process did."""
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
        self.tables.put_own(record, new_version, now, self._compute_held_until(now))
        return True

    def _is_own(self, found: OpenRow, row: DurableRow) -> bool:
        record = found.record
        return record.holder == self.tables.holder and record.number == row.record.number

    def _compute_held_until(self, now: float) -> float:
        return now + self.ttl_s * (1.0 - SAFETY_SHARE)
