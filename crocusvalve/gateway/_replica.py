"""Copy of a table of the store that never goes back to an older row."""

from msgspec import Struct

from crocusvalve.store.base import FeedPage, FeedRow

__all__ = ["TableReplica"]


class _StoredRow(Struct, frozen=True):
    value: bytes | None
    version: int


class TableReplica:
    """Rows of a table as last told.

    Attributes
    ----------
    version : int or None
        Version of the store up to which changes are known; None where the table is to be read.
    """

    def __init__(self) -> None:
        self.version: int | None = None
        self._rows: dict[str, _StoredRow] = {}

    def get_version(self, key: str) -> int:
        """Return the version of a row, 0 where it is absent."""
        row = self._rows.get(key)
        return 0 if row is None or row.value is None else row.version

    def make_page(self) -> FeedPage:
        """Return the table as known; the time of the store isn't part of it."""
        rows = (FeedRow(key, row.value, row.version) for key, row in self._rows.items())
        return FeedPage(tuple(row for row in rows if row.value is not None), self.version, 0.0)

    def merge_changes(self, page: FeedPage) -> list[FeedRow]:
        """Take changed rows; return those that are news."""
        self.version = page.version
        return [row for row in page.rows if self.merge_row(row)]

    def merge_table(self, page: FeedPage) -> list[FeedRow]:
        """Take the whole table, which may be older than what is known; return the news.

        A row that is missing counts as deleted only where the page is newer than the row.
        """
        self.version = page.version
        news = [row for row in page.rows if self.merge_row(row)]
        listed = {row.key for row in page.rows}
        for key, known in list(self._rows.items()):
            is_missing = known.value is not None and key not in listed
            if is_missing and known.version <= page.version:
                gone = FeedRow(key, None, page.version)
                self.merge_row(gone)
                news.append(gone)
        return news

    def merge_row(self, row: FeedRow) -> bool:
        """Take one row; tell whether it is news."""
        known = self._rows.get(row.key)
        if known is not None and known.version >= row.version:
            return False
        self._rows[row.key] = _StoredRow(row.value, row.version)
        return True
