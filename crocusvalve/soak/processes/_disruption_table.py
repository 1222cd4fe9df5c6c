"""Which parts have been undisturbed for long enough that bounds on time hold for them."""

from collections.abc import Iterable

__all__ = ["DisruptionTable"]


class DisruptionTable:
    """Disturbances by part.

    Parameters
    ----------
    quiet_period_s : float
        How long a part has to be undisturbed.
    """

    def __init__(self, quiet_period_s: float):
        self.quiet_period_s = quiet_period_s
        self._ended_at: dict[str, float] = {}
        self._n_open: dict[str, int] = {}

    def begin(self, component: str) -> None:
        """A disturbance of a part begins."""
        self._n_open[component] = self._n_open.get(component, 0) + 1

    def end(self, component: str, now: float) -> None:
        """A disturbance of a part has ended."""
        self._n_open[component] -= 1
        self.record(component, now)

    def record(self, component: str, now: float) -> None:
        """Take note of a disturbance without duration."""
        self._ended_at[component] = max(now, self._ended_at.get(component, now))

    def is_quiet(self, components: Iterable[str], since: float) -> bool:
        """Tell whether parts were undisturbed for the time before a moment, and are since then."""
        return all(
            not self._n_open.get(component, 0)
            and since - self._ended_at.get(component, float("-inf")) >= self.quiet_period_s
            for component in components
        )
