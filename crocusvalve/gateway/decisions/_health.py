"""Suspension of failing upstreams, based on counts of outcomes that decay with age."""

from enum import Enum

from crocusvalve.gateway.tables._tables import UpstreamLoad

__all__ = ["Outcome", "is_suspended", "update_health"]

#: Seconds in which an outcome loses half its weight.
HALF_LIFE_S = 4.0
#: Length of the first suspension; each further one in a row doubles it, up to the maximum. The
#: entry of an upstream that has stopped expires in the store after 3 heartbeats.
SUSPENSION_S = 0.7
MAX_SUSPENSION_S = 4.0
#: Minimum weight of the failures at which the share of failures is considered.
MIN_FAILURES = 1.8
#: Share of failures at or above which an upstream is suspended. Plain services fail up to one in
#: seven requests in normal operation.
FAILURE_SHARE = 0.34


#: Number of peers by whose word alone an upstream is suspended; a single one may be cut off itself.
MIN_PEERS_SILENT = 2


class Outcome(Enum):
    """Outcome of an attempt, as evidence of its upstream's health."""

    SUCCESS = "success"
    #: The upstream answered with a failure.
    FAILURE = "failure"
    #: The upstream rejected the request without running it, because it was full.
    FULL = "full"
    #: The connection broke, or the reply was malformed.
    BROKEN = "broken"
    #: It accepted the request and sent nothing in time, or stalled within an answer.
    LATE = "late"
    #: No connection to the upstream could be opened, or it crashed.
    SILENT = "silent"


def is_suspended(load: UpstreamLoad, now: float) -> bool:
    """Return whether an upstream is suspended, by this gateway or as several peers report."""
    return load.suspended_until > now or load.n_peers_silent >= MIN_PEERS_SILENT


def update_health(load: UpstreamLoad, outcome: Outcome, now: float) -> bool:
    """Update an upstream's health by an attempt; return whether this suspends the upstream."""
    _decay(load, now)
    if outcome is Outcome.SUCCESS:
        load.success_weight += 1.0
        load.n_consecutive_suspensions = 0
        return False
    if outcome is Outcome.SILENT:
        _suspend(load, now)
        load.silent_until = load.suspended_until
        return True
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
