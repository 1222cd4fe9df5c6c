"""Replica of a table of the store; a row is never replaced by an older version of the same era."""

from collections.abc import Callable

from msgspec import Struct

from crocusvalve.store.base import FeedPage, FeedRow

__all__ = ["TablePosition", "TableReplica"]


class TablePosition(Struct, frozen=True, order=True, array_like=True):
    """Version of the store within an era; a position of a later era is the larger one."""

    era: int
    version: int


class _StoredRow(Struct, frozen=True):
    """A row of the replica; ``value`` is None for a deleted row.

    ``changed`` is the version of the row's last change of content, which is older than ``version``
    if the row was only refreshed since.
    """

    value: bytes | None
    version: int
    changed: int


class TableReplica:
    """Rows of a table as last received.

    Parameters
    ----------
    is_refresh : callable
        Returns whether a newer version of a row that is present has the content already known.

    Attributes
    ----------
    era : int
        Era of the store that all versions of the replica belong to.
    version : int or None
        Version of the store from which changes can be followed; None if the table must be read.
    """

    def __init__(self, is_refresh: Callable[[FeedRow], bool] = lambda row: False) -> None:
        self.is_refresh = is_refresh
        self.era = 0
        self.version: int | None = None
        self._merged_version = 0
        self._last_change = 0
        self._last_content_change = 0
        self._rows: dict[str, _StoredRow] = {}

    @property
    def position(self) -> TablePosition:
        """Position up to which all changes are merged."""
        return TablePosition(self.era, self._merged_version)

    @property
    def last_change(self) -> TablePosition:
        """Position of the last change that is merged."""
        return TablePosition(self.era, self._last_change)

    @property
    def last_content_change(self) -> TablePosition:
        """Position of the last merged change that isn't a mere refresh of a row."""
        return TablePosition(self.era, self._last_content_change)

    @property
    def is_empty(self) -> bool:
        """Whether no row was received yet."""
        return not self._rows

    def count_bytes(self) -> int:
        """Return the total size of the rows' values in bytes."""
        return sum(len(row.value) for row in self._rows.values() if row.value is not None)

    def get_version(self, key: str) -> int:
        """Return the version of a row, or 0 if it is absent."""
        row = self._rows.get(key)
        return 0 if row is None or row.value is None else row.version

    def get_value(self, key: str) -> bytes | None:
        """Return the value of a row, or None if it is absent."""
        row = self._rows.get(key)
        return None if row is None else row.value

    def make_page(self) -> FeedPage:
        """Return the rows that are not deleted as a page; its store time is 0."""
        rows = (FeedRow(key, row.value, row.version) for key, row in self._rows.items())
        present = tuple(row for row in rows if row.value is not None)
        return FeedPage(present, self.version, 0.0, self.era)

    def make_changes_page(self, after: int) -> FeedPage:
        """Return the rows changed after a version of the replica's era, with deleted ones.

        Rows that were only refreshed since are left out: with thousands of upstreams these would be
        nearly the whole table each time.
        """
        changed = tuple(
            FeedRow(key, row.value, row.version)
            for key, row in self._rows.items()
            if row.changed > after
        )
        return FeedPage(changed, self._merged_version, 0.0, self.era)

    def merge_changes(self, page: FeedPage) -> list[FeedRow]:
        """Merge changed rows of the replica's era; return those that are new.

        The page may be older than the replica, if two sources of changes are used.
        """
        self._advance(page)
        return [row for row in page.rows if self.merge_row(row)]

    def merge_table(self, page: FeedPage) -> list[FeedRow]:
        """Merge a complete table, which may be older than the replica; return the new rows.

        A missing row counts as deleted only if the page is not older than the row.
        """
        self.era = page.era
        self._advance(page)
        new_rows = [row for row in page.rows if self.merge_row(row)]
        listed = {row.key for row in page.rows}
        for key, stored in list(self._rows.items()):
            is_missing = stored.value is not None and key not in listed
            if is_missing and stored.version <= page.version:
                deleted = FeedRow(key, None, page.version)
                self._rows[key] = _StoredRow(None, page.version, page.version)
                self._last_content_change = max(self._last_content_change, page.version)
                new_rows.append(deleted)
        return new_rows

    def replace_table(self, page: FeedPage) -> list[FeedRow]:
        """Replace all rows by a complete table of a later era.

        Returns
        -------
        list of FeedRow
            Rows with another value than in the replica; None as value for missing ones.
        """
        previous = self._rows
        self.era = page.era
        self.version = self._merged_version = page.version
        self._last_change = max((row.version for row in page.rows), default=0)
        self._last_content_change = self._last_change
        self._rows = {row.key: _StoredRow(row.value, row.version, row.version) for row in page.rows}
        different = [row for row in page.rows if _get_value(previous, row.key) != row.value]
        missing = [
            FeedRow(key, None, page.version)
            for key, stored in previous.items()
            if stored.value is not None and key not in self._rows
        ]
        return different + missing

    def merge_row(self, row: FeedRow) -> bool:
        """Merge one row of the replica's era; return whether it is newer than the stored one."""
        stored = self._rows.get(row.key)
        if stored is not None and stored.version >= row.version:
            return False
        changed = row.version
        if stored is not None and None not in (stored.value, row.value) and self.is_refresh(row):
            changed = stored.changed
        self._rows[row.key] = _StoredRow(row.value, row.version, changed)
        self._last_content_change = max(self._last_content_change, changed)
        self._last_change = max(self._last_change, row.version)
        return True

    def _advance(self, page: FeedPage) -> None:
        self._merged_version = max(self._merged_version, page.version)
        self.version = self._merged_version


def _get_value(rows: dict[str, _StoredRow], key: str) -> bytes | None:
    row = rows.get(key)
    return None if row is None else row.value
