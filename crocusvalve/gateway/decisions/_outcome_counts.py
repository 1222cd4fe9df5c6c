"""Counts of answers and failures of all gateways, by service, version and route."""

from msgspec import Struct

from crocusvalve.base import UpstreamId
from crocusvalve.gateway.base import ServiceName, VersionName
from crocusvalve.gateway.decisions._upgrades import OutcomeCounts

__all__ = ["OutcomeCountsTable", "OutcomeCountsRow"]

#: A time to the first event, or between events, of more than this many times the old version's mean
#: plus the margin counts as a failure. The old version's times are counted by the same rule, so its
#: share of such failures is the baseline for the check of the new version.
SLOW_FACTOR = 2.5
SLOW_MARGINS_S = {"first": 0.15, "pause": 0.01}
#: The same for answers that count as slow only. One of them says little, but a version that is
#: several times slower has many more of them than the old one.
SLIGHTLY_SLOW_FACTOR = 1.5
SLIGHTLY_SLOW_MARGINS_S = {"first": 0.03, "pause": 0.003}
#: Minimum weight of a new sample in the mean time; the first ten samples count equally.
MIN_MEAN_WEIGHT = 0.1
#: Late answers of one upstream within this time count once: a sound upstream may fall silent for a
#: second or so, and all its requests are late together.
LATE_SPACING_S = 1.5
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

    def is_exceeded(self, time_s: float, factor: float, margin_s: float) -> bool:
        """Return whether a time is more than ``factor`` times the mean plus a margin."""
        return self.n_samples >= MIN_SAMPLES and time_s > factor * self.mean_s + margin_s

    def update(self, time_s: float) -> None:
        """Add a sample."""
        weight = max(MIN_MEAN_WEIGHT, 1.0 / (self.n_samples + 1))
        self.mean_s += weight * (time_s - self.mean_s)
        self.n_samples += 1


class OutcomeCountsTable:
    """Outcome counts of this gateway, and the last reported ones of each run of its peers."""

    def __init__(self) -> None:
        self._local: dict[tuple[str, str, str], OutcomeCounts] = {}
        self._remote: dict[str, tuple[OutcomeCountsRow, ...]] = {}
        self._mean_times: dict[tuple[str, str, str, str], _MeanTime] = {}
        self._late_at: dict[UpstreamId, float] = {}

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
        is_slow = is_failure
        for interval, time_s in (("first", first_s), ("pause", pause_s)):
            if time_s is not None and not is_failure:
                # The pace of a model's events doesn't depend on the route.
                key = (service, route if interval == "first" else "", model, interval)
                mean = self._mean_times.setdefault(key, _MeanTime())
                is_failure = mean.is_exceeded(time_s, SLOW_FACTOR, SLOW_MARGINS_S[interval])
                is_slow = is_slow or mean.is_exceeded(
                    time_s, SLIGHTLY_SLOW_FACTOR, SLIGHTLY_SLOW_MARGINS_S[interval]
                )
                if is_reference and not is_failure:
                    mean.update(time_s)
        counts = self._local.setdefault((service, version, route), OutcomeCounts())
        counts.n_answers += 1
        counts.n_failures += is_failure
        counts.n_slow += is_slow
        if pause_s is not None:
            counts.n_pauses += 1
            counts.n_slow_pauses += is_slow
        return is_failure

    def record_late(
        self,
        service: ServiceName,
        version: VersionName,
        route: str,
        upstream_id: UpstreamId,
        now: float,
    ) -> bool:
        """Count an answer that was given up as late; return whether it counts as a failure."""
        if now - self._late_at.get(upstream_id, float("-inf")) < LATE_SPACING_S:
            return False
        self._late_at = {key: at for key, at in self._late_at.items() if now - at < LATE_SPACING_S}
        self._late_at[upstream_id] = now
        return self.record_outcome(service, version, route, is_failure=True)

    def list_local(self) -> tuple[OutcomeCountsRow, ...]:
        """Return this gateway's counts."""
        return tuple(OutcomeCountsRow(*key, counts) for key, counts in self._local.items())

    def merge_remote(self, run_id: str, rows: tuple[OutcomeCountsRow, ...]) -> None:
        """Store the counts of a run of a peer gateway.

        They replace its earlier ones with a higher total only, since messages of several gateways
        pass them on, and may overtake each other.
        """
        if _count_answers(rows) > _count_answers(self._remote.get(run_id, ())):
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


def _count_answers(rows: tuple[OutcomeCountsRow, ...]) -> int:
    return sum(row.counts.n_answers for row in rows)
