"""Counts of answers and failures by service, version and route, over all gateways."""

from msgspec import Struct

from crocusvalve.gateway._upgrades import Tally
from crocusvalve.gateway.base import ServiceName, VersionName

__all__ = ["TallyBook", "TallyRow"]

#: A first event, or a pause between events, longer than this many times the old version's mean
#: counts as a failure of its version; the old version's own share of these is compared with.
SLOW_FACTOR = 2.5
SLOW_MARGINS_S = {"first": 0.15, "pause": 0.05}
MEAN_WEIGHT = 0.1
MIN_SAMPLES = 5


class TallyRow(Struct, frozen=True, array_like=True):
    """Counts of one version on one route."""

    service: str
    version: str
    route: str
    tally: Tally


class _Pace(Struct):
    mean_s: float = 0.0
    n_samples: int = 0


class TallyBook:
    """Counts of this gateway, and the newest ones of each run of the others."""

    def __init__(self) -> None:
        self._own: dict[tuple[str, str, str], Tally] = {}
        self._others: dict[str, tuple[TallyRow, ...]] = {}
        self._paces: dict[tuple[str, str, str, str], _Pace] = {}

    def note(
        self,
        service: ServiceName,
        version: VersionName,
        route: str,
        *,
        is_failure: bool,
        model: str = "",
        first_s: float | None = None,
        pause_s: float | None = None,
        is_reference: bool = True,
    ) -> bool:
        """Count an answer; tell whether it counts as a failure.

        Parameters
        ----------
        model : str
            Model that answered; each has a pace of its own.
        first_s : float or None
            Time to the first event or the whole answer, in seconds.
        pause_s : float or None
            Mean time between events, in seconds.
        is_reference : bool
            Whether the time teaches the route's mean.
        """
        for part, time_s in (("first", first_s), ("pause", pause_s)):
            if time_s is not None and not is_failure:
                key = (service, route, model, part)
                is_failure = self._is_slow(key, time_s, is_reference)
        tally = self._own.setdefault((service, version, route), Tally())
        tally.n_answers += 1
        tally.n_failures += is_failure
        return is_failure

    def list_own(self) -> tuple[TallyRow, ...]:
        """Return this gateway's counts."""
        return tuple(TallyRow(*key, tally) for key, tally in self._own.items())

    def take_others(self, run_id: str, rows: tuple[TallyRow, ...]) -> None:
        """Take the counts of a run of another gateway; the newest replace earlier ones."""
        self._others[run_id] = rows

    def sum_by_route(
        self, service: ServiceName, version: VersionName
    ) -> tuple[dict[str, Tally], dict[str, Tally]]:
        """Return the counts of a version, and those of all others of its service, by route."""
        new: dict[str, Tally] = {}
        old: dict[str, Tally] = {}
        for rows in (self.list_own(), *self._others.values()):
            for row in rows:
                if row.service == service:
                    side = new if row.version == version else old
                    side.setdefault(row.route, Tally()).add(row.tally)
        return new, old

    def forget(self, service: ServiceName) -> None:
        """Drop this gateway's counts of a service, at the start of an upgrade."""
        for key in [key for key in self._own if key[0] == service]:
            del self._own[key]

    def _is_slow(self, key: tuple[str, str, str, str], time_s: float, is_reference: bool) -> bool:
        pace = self._paces.setdefault(key, _Pace())
        bound_s = SLOW_FACTOR * pace.mean_s + SLOW_MARGINS_S[key[-1]]
        is_slow = pace.n_samples >= MIN_SAMPLES and time_s > bound_s
        if is_reference and not is_slow:
            weight = max(MEAN_WEIGHT, 1.0 / (pace.n_samples + 1))
            pace.mean_s += weight * (time_s - pace.mean_s)
            pace.n_samples += 1
        return is_slow
