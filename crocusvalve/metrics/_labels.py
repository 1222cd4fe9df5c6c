"""Bounds on the number of values that a metric's label takes."""

from collections.abc import Iterable

__all__ = ["OTHER", "LabelSet"]

#: Stands for every value that is not known.
OTHER = "other"


class LabelSet:
    """Known values of a label; all others are folded into ``OTHER``.

    Parameters
    ----------
    limit : int
        Largest number of known values; the first ones in alphabetical order are kept.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self._known: frozenset[str] = frozenset()

    def replace(self, values: Iterable[str]) -> frozenset[str]:
        """Take new known values and return those that are no longer known."""
        known = frozenset(sorted(set(values))[: self.limit])
        gone = self._known - known
        self._known = known
        return gone

    def fold(self, value: str) -> str:
        """Return the value itself where it is known, else ``OTHER``."""
        return value if value in self._known else OTHER
