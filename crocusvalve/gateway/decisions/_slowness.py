"""How much slower than expected an upstream answers; slow upstreams get less work."""

import math

from crocusvalve.gateway.tables._tables import UpstreamLoad

__all__ = ["compute_slowness", "record_answer_time"]

#: Seconds in which the evidence that an upstream is slow loses half its weight, so that it gets
#: more work again and shows whether it still is.
HALF_LIFE_S = 6.0
#: Weight of one answer in the moving mean.
SAMPLE_WEIGHT = 0.25
#: Largest slowness, and the one below which an upstream counts as equal to the others: single
#: answers vary by about this factor.
MAX_SLOWNESS = 8.0
MIN_SLOWNESS = 1.6


def record_answer_time(load: UpstreamLoad, actual_s: float, expected_s: float, now: float) -> None:
    """Record the time that an answer took, and the time that was expected of any upstream."""
    ratio = min(max(actual_s / max(expected_s, 1e-6), 1.0 / MAX_SLOWNESS), MAX_SLOWNESS)
    current = _decay(load, now)
    load.log_slowness = current + SAMPLE_WEIGHT * (math.log(ratio) - current)
    load.slowness_at = now


def compute_slowness(load: UpstreamLoad, now: float) -> float:
    """Return how many times longer than others an upstream takes, 1 if there is little evidence."""
    slowness = math.exp(_decay(load, now))
    return slowness if slowness >= MIN_SLOWNESS else 1.0


def _decay(load: UpstreamLoad, now: float) -> float:
    return load.log_slowness * 0.5 ** (max(0.0, now - load.slowness_at) / HALF_LIFE_S)
