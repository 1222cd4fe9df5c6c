"""Counts of answers and failures of all gateways, by service, version and route."""

from msgspec import Struct

from crocusvalve.gateway._upgrades import OutcomeCounts
from crocusvalve.gateway.base import ServiceName, VersionName

__all__ = ["OutcomeCountsTable", "OutcomeCountsRow"]

#: A time to the first event, or between events, of more than this many times the old version's mean
#: plus the margin counts as a failure. The old version's times are counted by the same rule, so its
#: share of such failures is the baseline for the check of the new version.
SLOW_FACTOR = 2.5
SLOW_MARGINS_S = {"first": 0.15, "pause": 0.01}
#: Minimum weight of a new sample in the mean time; the first ten samples count equally.
MIN_MEAN_WEIGHT = 0.1
#: Number of samples of the mean time that are needed before an answer can count as slow.
MIN_SAMPLES = 5


class OutcomeCountsRow(Struct, frozen=True, array_like=True):
    """Counts of one version of a service on one route."""

    service: str
    version: str
    route: str
    counts: OutcomeCounts


class _MeanTime(Struct):
    """Moving mean of a time in seconds and the number of its samples."""

    mean_s: float = 0.0
    n_samples: int = 0


class OutcomeCountsTable:
    """Outcome counts of this gateway, and the last reported ones of each run of its peers."""

    def __init__(self) -> None:
        self._local: dict[tuple[str, str, str], OutcomeCounts] = {}
        self._remote: dict[str, tuple[OutcomeCountsRow, ...]] = {}
        self._mean_times: dict[tuple[str, str, str, str], _MeanTime] = {}

    def record_outcome(
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
        """Count an answer; return whether it counts as a failure.

        Parameters
        ----------
        is_failure : bool
            Whether the answer is a failure irrespective of its times.
        model : str
            Model that answered; each model has a separate mean time.
        first_s : float or None
            Time to the first event or the complete answer, in seconds.
        pause_s : float or None
            Mean time between events, in seconds.
        is_reference : bool
            Whether the times update the mean times.
        """
        for interval, time_s in (("first", first_s), ("pause", pause_s)):
            if time_s is not None and not is_failure:
                # The pace of a model's events doesn't depend on the route.
                key = (service, route if interval == "first" else "", model, interval)
                is_failure = self._is_slow(key, time_s, is_reference)
        counts = self._local.setdefault((service, version, route), OutcomeCounts())
        counts.n_answers += 1
        counts.n_failures += is_failure
        return is_failure

    def list_local(self) -> tuple[OutcomeCountsRow, ...]:
        """Return this gateway's counts."""
        return tuple(OutcomeCountsRow(*key, counts) for key, counts in self._local.items())

    def merge_remote(self, run_id: str, rows: tuple[OutcomeCountsRow, ...]) -> None:
        """Store the counts of a run of a peer gateway; they replace its earlier ones."""
        self._remote[run_id] = rows

    def sum_by_route(
        self, service: ServiceName, version: VersionName
    ) -> tuple[dict[str, OutcomeCounts], dict[str, OutcomeCounts]]:
        """Return the counts of a version, and of all other versions of its service, by route."""
        new: dict[str, OutcomeCounts] = {}
        old: dict[str, OutcomeCounts] = {}
        for rows in (self.list_local(), *self._remote.values()):
            for row in rows:
                if row.service == service:
                    side = new if row.version == version else old
                    side.setdefault(row.route, OutcomeCounts()).add(row.counts)
        return new, old

    def forget(self, service: ServiceName) -> None:
        """Remove this gateway's counts of a service, at the start of an upgrade."""
        for key in [key for key in self._local if key[0] == service]:
            del self._local[key]

    def _is_slow(self, key: tuple[str, str, str, str], time_s: float, is_reference: bool) -> bool:
        mean = self._mean_times.setdefault(key, _MeanTime())
        bound_s = SLOW_FACTOR * mean.mean_s + SLOW_MARGINS_S[key[-1]]
        is_slow = mean.n_samples >= MIN_SAMPLES and time_s > bound_s
        if is_reference and not is_slow:
            weight = max(MIN_MEAN_WEIGHT, 1.0 / (mean.n_samples + 1))
            mean.mean_s += weight * (time_s - mean.mean_s)
            mean.n_samples += 1
        return is_slow
