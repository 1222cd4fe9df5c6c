"""Replica of a table of the store; a row is never replaced by an older version."""

from msgspec import Struct

from crocusvalve.store.base import FeedPage, FeedRow

__all__ = ["TableReplica"]


class _StoredRow(Struct, frozen=True):
    """A row of the replica; ``value`` is None for a deleted row."""

    value: bytes | None
    version: int


class TableReplica:
    """Rows of a table as last received.

    Attributes
    ----------
    version : int or None
        Version of the store up to which changes are merged; None if the table must be read.
    """

    def __init__(self) -> None:
        self.version: int | None = None
        self._rows: dict[str, _StoredRow] = {}

    def get_version(self, key: str) -> int:
        """Return the version of a row, or 0 if it is absent."""
        row = self._rows.get(key)
        return 0 if row is None or row.value is None else row.version

    def make_page(self) -> FeedPage:
        """Return the rows that are not deleted as a page; its store time is 0."""
        rows = (FeedRow(key, row.value, row.version) for key, row in self._rows.items())
        return FeedPage(tuple(row for row in rows if row.value is not None), self.version, 0.0)

    def merge_changes(self, page: FeedPage) -> list[FeedRow]:
        """Merge changed rows; return those that are new."""
        self.version = page.version
        return [row for row in page.rows if self.merge_row(row)]

    def merge_table(self, page: FeedPage) -> list[FeedRow]:
        """Merge a complete table, which may be older than the replica; return the new rows.

        A missing row counts as deleted only if the page is not older than the row.
        """
        self.version = page.version
        new_rows = [row for row in page.rows if self.merge_row(row)]
        listed = {row.key for row in page.rows}
        for key, stored in list(self._rows.items()):
            is_missing = stored.value is not None and key not in listed
            if is_missing and stored.version <= page.version:
                deleted = FeedRow(key, None, page.version)
                self.merge_row(deleted)
                new_rows.append(deleted)
        return new_rows

    def merge_row(self, row: FeedRow) -> bool:
        """Merge one row; return whether it is newer than the stored one."""
        stored = self._rows.get(row.key)
        if stored is not None and stored.version >= row.version:
            return False
        self._rows[row.key] = _StoredRow(row.value, row.version)
        return True
