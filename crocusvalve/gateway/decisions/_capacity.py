"""Speeds of upstreams, learned from their answers and shared between gateways."""

import math
from collections.abc import Iterable

from msgspec import Struct

from crocusvalve.base import NodeId
from crocusvalve.gateway.decisions._closures import UpstreamRun

__all__ = ["MAX_SPEED_REPORTS", "CapacityTable", "SpeedReport"]

#: Seconds in which a sample loses half its weight, so that a change of speed shows within seconds.
HALF_LIFE_S = 12.0
#: Weight, in samples, of the assumption that an upstream is as fast as the others.
PRIOR_WEIGHT = 4.0
#: Bounds of a learned speed; a slower upstream is left to the checks of silence and slowness.
MAX_SPEED = 3.0
#: Largest factor by which one answer may differ from what was expected.
MAX_SAMPLE_FACTOR = 4.0
#: A peer's report is used for this long.
REPORT_EXPIRY_S = 15.0
#: Maximum number of upstreams' speeds in one gossip message.
MAX_SPEED_REPORTS = 64
#: Minimum weight of the samples that are reported.
MIN_REPORT_WEIGHT = 0.5


class SpeedReport(Struct, frozen=True, array_like=True):
    """What one gateway has learned of the speed of an upstream.

    Attributes
    ----------
    log_speed : float
        Mean logarithm of the speed relative to other upstreams of the service.
    weight : float
        Number of samples, decayed with age.
    age_ms : int
        Time since the last sample.
    """

    run: UpstreamRun
    log_speed: float
    weight: float
    age_ms: int


class _Samples(Struct):
    """Decayed sum of samples and their weight, at a local time in seconds."""

    total: float = 0.0
    weight: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the weight of the samples by their age."""
        factor = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)
        self.total *= factor
        self.weight *= factor
        self.updated_at = now


class CapacityTable:
    """Speeds of upstreams relative to the others of their service.

    Load that it answers: some upstreams of a service are permanently several times faster than
    others, so that equal work leaves the slow ones with queues while the fast ones are idle. A run
    of an upstream without samples counts as equal to the others. All times are local, in seconds.
    """

    def __init__(self) -> None:
        self._local: dict[UpstreamRun, _Samples] = {}
        self._remote: dict[UpstreamRun, dict[NodeId, _Samples]] = {}

    def record(self, run: UpstreamRun, actual_s: float, expected_s: float, now: float) -> None:
        """Record the time that an answer took, and the time expected of any upstream."""
        bound = math.log(MAX_SAMPLE_FACTOR)
        sample = math.log(max(expected_s, 1e-6) / max(actual_s, 1e-6))
        samples = self._local.setdefault(run, _Samples(updated_at=now))
        samples.decay(now)
        samples.total += min(max(sample, -bound), bound)
        samples.weight += 1.0

    def get_speed(self, run: UpstreamRun, now: float) -> float:
        """Return how many times faster than others an upstream answers; 1 if nothing is known."""
        total, weight = 0.0, PRIOR_WEIGHT
        for samples in self._list_samples(run):
            factor = 0.5 ** (max(0.0, now - samples.updated_at) / HALF_LIFE_S)
            total += factor * samples.total
            weight += factor * samples.weight
        return min(max(math.exp(total / weight), 1.0 / MAX_SPEED), MAX_SPEED)

    def make_reports(self, n_reports: int, now: float) -> tuple[SpeedReport, ...]:
        """Return this gateway's own samples, those with the most weight first."""
        reports = []
        for run, samples in self._local.items():
            age_s = max(0.0, now - samples.updated_at)
            weight = samples.weight * 0.5 ** (age_s / HALF_LIFE_S)
            if weight >= MIN_REPORT_WEIGHT:
                mean = round(samples.total / samples.weight, 2)
                reports.append(SpeedReport(run, mean, round(weight, 1), 0))
        return tuple(sorted(reports, key=lambda report: -report.weight)[:n_reports])

    def merge(self, node_id: NodeId, reports: Iterable[SpeedReport], now: float) -> None:
        """Merge a peer's reports; each replaces the peer's earlier one of the same upstream."""
        for report in reports:
            if not (math.isfinite(report.log_speed) and 0.0 < report.weight < math.inf):
                continue
            bound = math.log(MAX_SAMPLE_FACTOR)
            mean = min(max(report.log_speed, -bound), bound)
            sampled_at = now - max(0, report.age_ms) / 1000
            self._remote.setdefault(report.run, {})[node_id] = _Samples(
                mean * report.weight, report.weight, sampled_at
            )

    def forget(self, runs: Iterable[UpstreamRun], now: float) -> None:
        """Forget all upstreams but these, and reports of peers that are no longer heard."""
        known = set(runs)
        for table in (self._local, self._remote):
            for run in [run for run in table if run not in known]:
                del table[run]
        for by_node in self._remote.values():
            for node_id in [n for n, s in by_node.items() if now - s.updated_at > REPORT_EXPIRY_S]:
                del by_node[node_id]

    def _list_samples(self, run: UpstreamRun) -> list[_Samples]:
        samples = list(self._remote.get(run, {}).values())
        local = self._local.get(run)
        return samples if local is None else [local, *samples]
