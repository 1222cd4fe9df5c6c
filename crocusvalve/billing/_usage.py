"""Usage reports from the ledger."""

from collections.abc import AsyncIterator

import msgspec

from crocusvalve.billing._ledger import (
    BILL_TABLE,
    TOTALS_TABLE,
    BillPage,
    UsageLine,
    UsageTotals,
    sum_bills,
)
from crocusvalve.rpc import BillRecord
from crocusvalve.store import Row, TableService

__all__ = ["UsageReport"]

PAGE_ROWS = 200


class UsageReport:
    """Reads usage and bills from the ledger.

    Parameters
    ----------
    tables : TableService
        Table store with the ledger.
    page_rows : int
        Number of rows per read of the store.
    """

    def __init__(self, tables: TableService, *, page_rows: int = PAGE_ROWS):
        self.tables = tables
        self.page_rows = page_rows

    async def read_totals(self, day: str, *, member: str = "") -> list[UsageLine]:
        """Return the usage of the bills flushed on a day, from the rows of totals.

        Parameters
        ----------
        day : str
            Day in UTC as ``YYYYMMDD``.
        member : str
            Member whose customers to include; empty for all.
        """
        totals = UsageTotals()
        async for row in self._scan(TOTALS_TABLE, f"{day}/"):
            lines = msgspec.msgpack.decode(row.value, type=UsageTotals).lines
            totals.add_lines(line for line in lines if _belongs_to_member(line.customer_id, member))
        return sorted(totals.lines, key=lambda line: line.key)

    async def list_bills(self, prefix: str, *, member: str = "") -> AsyncIterator[BillRecord]:
        """Yield the bills of the ledger pages with a key prefix, such as a day.

        The pages are read from the store as the iteration proceeds, ``page_rows`` at a time.
        """
        async for row in self._scan(BILL_TABLE, prefix):
            for bill in BillPage.decode(row.value, row.version).bills:
                if _belongs_to_member(bill.customer_id, member):
                    yield bill

    async def sum_ledger(self, prefix: str = "", *, member: str = "") -> list[UsageLine]:
        """Return the usage summed from the bills themselves, to audit the totals.

        It reads every page with the key prefix.
        """
        totals = UsageTotals()
        async for bill in self.list_bills(prefix, member=member):
            totals.add_lines(sum_bills([bill]).lines)
        return sorted(totals.lines, key=lambda line: line.key)

    async def _scan(self, table: str, prefix: str) -> AsyncIterator[Row]:
        after = ""
        while True:
            rows = await self.tables.scan(table, prefix=prefix, after=after, limit=self.page_rows)
            for row in rows:
                yield row
            if len(rows) < self.page_rows:
                return
            after = rows[-1].key


def _belongs_to_member(customer_id: str, member: str) -> bool:
    return not member or customer_id.startswith(f"{member}/")
