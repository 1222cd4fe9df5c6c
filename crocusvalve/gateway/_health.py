"""Suspension of upstreams that fail, by outcomes that decay with age."""

from enum import Enum

from crocusvalve.gateway._tables import UpstreamLoad

__all__ = ["Outcome", "note_outcome"]

#: Time in which an outcome loses half its weight.
HALF_LIFE_S = 4.0
#: First suspension; each further one in a row doubles it. An upstream's entry lives 3 heartbeats.
SUSPENSION_S = 0.7
MAX_SUSPENSION_S = 4.0
#: Failures, by weight, from which a share of failures counts.
MIN_FAILURES = 1.8
#: Share of failures that suspends; plain services fail up to one in seven requests in calm times.
FAILURE_SHARE = 0.34


class Outcome(Enum):
    """What an attempt tells of its upstream."""

    SUCCESS = "success"
    #: The upstream answered with a failure.
    FAILURE = "failure"
    #: The upstream was full.
    FULL = "full"
    #: The connection broke, or the reply was no reply.
    BROKEN = "broken"
    #: It took the request and gave nothing in time, or went silent within an answer.
    LATE = "late"
    #: No connection.
    SILENT = "silent"


def note_outcome(load: UpstreamLoad, outcome: Outcome, now: float) -> bool:
    """Learn from an attempt; tell whether the upstream is suspended by it."""
    _decay(load, now)
    if outcome is Outcome.SUCCESS:
        load.success_weight += 1.0
        load.n_consecutive_suspensions = 0
        return False
    if outcome is Outcome.SILENT:
        return _suspend(load, now)
    load.failure_weight += 1.0
    total = load.failure_weight + load.success_weight
    if load.failure_weight >= MIN_FAILURES and load.failure_weight / total >= FAILURE_SHARE:
        load.failure_weight = load.success_weight = 0.0
        return _suspend(load, now)
    return False


def _suspend(load: UpstreamLoad, now: float) -> bool:
    span_s = min(MAX_SUSPENSION_S, SUSPENSION_S * 2**load.n_consecutive_suspensions)
    load.n_consecutive_suspensions += 1
    load.suspended_until = max(load.suspended_until, now + span_s)
    return True


def _decay(load: UpstreamLoad, now: float) -> None:
    factor = 0.5 ** (max(0.0, now - load.decayed_at) / HALF_LIFE_S)
    load.failure_weight *= factor
    load.success_weight *= factor
    load.decayed_at = now
