"""Limits on the number of values of a metric's label."""

from collections.abc import Iterable

__all__ = ["OTHER", "LabelSet"]

#: Label value that replaces every unknown value.
OTHER = "other"


class LabelSet:
    """Known values of a label; all others are replaced by ``OTHER``.

    Parameters
    ----------
    limit : int
        Maximum number of known values; of more, the first in alphabetical order are used.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self._known: frozenset[str] = frozenset()

    def replace(self, values: Iterable[str]) -> frozenset[str]:
        """Replace the known values and return those that are no longer known."""
        known = frozenset(sorted(set(values))[: self.limit])
        removed = self._known - known
        self._known = known
        return removed

    def get_label(self, value: str) -> str:
        """Return the value itself if it is known, else ``OTHER``."""
        return value if value in self._known else OTHER
