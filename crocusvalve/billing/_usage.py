"""Reports of usage from the ledger."""

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
    """Reads usage by day.

    Parameters
    ----------
    tables : TableService
        Holds the ledger.
    page_rows : int
        Rows read at a time.
    """

    def __init__(self, tables: TableService, *, page_rows: int = PAGE_ROWS):
        self.tables = tables
        self.page_rows = page_rows

    async def read_totals(self, day: str, *, member: str = "") -> list[UsageLine]:
        """Return the lines of the bills flushed on a day, from the rows of totals.

        Parameters
        ----------
        day : str
            Day in UTC as ``YYYYMMDD``.
        member : str
            Only this member's customers; empty for all.
        """
        totals = UsageTotals()
        async for row in self._scan(TOTALS_TABLE, f"{day}/"):
            lines = msgspec.msgpack.decode(row.value, type=UsageTotals).lines
            totals.add_lines(line for line in lines if _is_of_member(line.customer_id, member))
        return sorted(totals.lines, key=lambda line: line.key)

    async def list_bills(self, prefix: str, *, member: str = "") -> AsyncIterator[BillRecord]:
        """Yield the bills under a prefix of the ledger, such as a day, page by page."""
        async for row in self._scan(BILL_TABLE, prefix):
            for bill in BillPage.decode(row.value, row.version).bills:
                if _is_of_member(bill.customer_id, member):
                    yield bill

    async def sum_ledger(self, prefix: str = "", *, member: str = "") -> list[UsageLine]:
        """Sum the bills themselves; reads every page, for audits of the totals."""
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


def _is_of_member(customer_id: str, member: str) -> bool:
    return not member or customer_id.startswith(f"{member}/")
