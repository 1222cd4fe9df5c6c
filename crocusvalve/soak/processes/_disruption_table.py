"""Tracks which components have been undisrupted long enough for time bounds to apply."""

from collections.abc import Iterable

__all__ = ["DisruptionTable"]


class DisruptionTable:
    """Disruptions in progress, and ends of past ones, by component.

    Components are named by strings: gateways, upstreams and the store.

    Parameters
    ----------
    quiet_period_s : float
        How long a component must be undisrupted, in seconds.
    """

    def __init__(self, quiet_period_s: float):
        self.quiet_period_s = quiet_period_s
        self._ended_at: dict[str, float] = {}
        self._n_open: dict[str, int] = {}
        self._began_at: dict[str, float] = {}
        self._restarted_at: dict[str, float] = {}

    def begin(self, component: str, now: float) -> None:
        """Record the beginning of a disruption of a component."""
        if not self._n_open.get(component, 0):
            self._began_at[component] = now
        self._n_open[component] = self._n_open.get(component, 0) + 1

    def get_began_at(self, component: str) -> float:
        """Return when the latest disruption began; infinite if there was none."""
        return self._began_at.get(component, float("inf"))

    def end(self, component: str, now: float) -> None:
        """Record the end of a disruption of a component."""
        self._ended_at[component] = max(now, self._ended_at.get(component, now))
        self._n_open[component] -= 1

    def record(self, component: str, now: float) -> None:
        """Record a disruption of a component without duration."""
        if not self._n_open.get(component, 0):
            self._began_at[component] = now
        self._ended_at[component] = max(now, self._ended_at.get(component, now))

    def record_restart(self, component: str, now: float) -> None:
        """Record a planned restart, which excuses time bounds but no lost requests."""
        self._restarted_at[component] = now

    def is_undisrupted(self, component: str, since: float) -> bool:
        """Return whether a component has had no disruption since a time on the soak's clock."""
        return (
            not self._n_open.get(component, 0)
            and self._get_ended_at(component, are_restarts_counted=True) < since
        )

    def is_quiet(
        self, components: Iterable[str], since: float, *, are_restarts_counted: bool = True
    ) -> bool:
        """Return whether components are undisrupted, from the quiet period before a time until now.

        Parameters
        ----------
        components : iterable of str
            Names of components, all of which must be undisrupted.
        since : float
            Time on the soak's clock, in seconds.
        are_restarts_counted : bool
            Whether planned restarts count as disruptions.
        """
        return all(
            not self._n_open.get(component, 0)
            and since - self._get_ended_at(component, are_restarts_counted) >= self.quiet_period_s
            for component in components
        )

    def _get_ended_at(self, component: str, are_restarts_counted: bool) -> float:
        """Return when the latest disruption ended; minus infinity if there was none."""
        ended_at = self._ended_at.get(component, float("-inf"))
        restarted_at = self._restarted_at.get(component, float("-inf"))
        return max(ended_at, restarted_at) if are_restarts_counted else ended_at
