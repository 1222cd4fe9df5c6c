"""Which parts have been undisturbed for long enough that bounds on time hold for them."""

from collections.abc import Iterable

__all__ = ["CalmTable"]


class CalmTable:
    """Disturbances by part.

    Parameters
    ----------
    contact_s : float
        How long a part has to be undisturbed.
    """

    def __init__(self, contact_s: float):
        self.contact_s = contact_s
        self._ended_at: dict[str, float] = {}
        self._n_open: dict[str, int] = {}

    def begin(self, part: str) -> None:
        """A disturbance of a part begins."""
        self._n_open[part] = self._n_open.get(part, 0) + 1

    def end(self, part: str, now: float) -> None:
        """A disturbance of a part has ended."""
        self._n_open[part] -= 1
        self.touch(part, now)

    def touch(self, part: str, now: float) -> None:
        """Take note of a disturbance without duration."""
        self._ended_at[part] = max(now, self._ended_at.get(part, now))

    def is_calm(self, parts: Iterable[str], since: float) -> bool:
        """Tell whether parts were undisturbed for the time before a moment, and are since then."""
        return all(
            not self._n_open.get(part, 0)
            and since - self._ended_at.get(part, float("-inf")) >= self.contact_s
            for part in parts
        )
