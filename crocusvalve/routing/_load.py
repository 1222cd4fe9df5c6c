"""Estimates of an upstream's load from own attempts and a lagging report."""

from crocusvalve.model import UpstreamRow

__all__ = [
    "estimate_load",
    "estimate_wait_s",
    "find_in_flight_at",
    "is_full",
    "update_service_time",
    "record_attempt_end",
    "mark_full",
    "record_attempt_start",
]

#: Age at which half of a report's weight is left.
REPORT_HALF_LIFE_S = 2.0
#: Share of the limit assumed to be in use where nothing is known.
PRIOR_LOAD = 0.5
#: Samples of the own load kept per upstream, to look up the load at a report's instant.
MAX_HISTORY = 64


def record_attempt_start(row: UpstreamRow, now: float) -> None:
    """Count an own attempt that starts on an upstream."""
    row.in_flight += 1
    _record_in_flight(row, now)


def mark_full(row: UpstreamRow, now: float) -> None:
    """Pause an upstream that refused an attempt as full, until a slot should be free."""
    row.full_until = now + row.ewma_service_s / max(1, row.reported_limit)


def record_attempt_end(row: UpstreamRow, now: float) -> None:
    """Count an own attempt that ended on an upstream."""
    row.in_flight = max(0, row.in_flight - 1)
    _record_in_flight(row, now)


def _record_in_flight(row: UpstreamRow, now: float) -> None:
    row.own_history.append((now, row.in_flight))
    if len(row.own_history) > MAX_HISTORY:
        row.own_history.popleft()


def find_in_flight_at(row: UpstreamRow, at: float) -> int:
    """Return the own attempts on an upstream at a past instant, as far as it is remembered."""
    for instant, in_flight in reversed(row.own_history):
        if instant <= at:
            return in_flight
    return 0 if row.own_history and len(row.own_history) < MAX_HISTORY else row.in_flight


def compute_report_weight(row: UpstreamRow, now: float) -> float:
    """Return the weight of the last report, from 0 (none or very old) to 1 (new)."""
    if row.reported_at <= 0.0:
        return 0.0
    age_s = now - row.reported_at
    return 1.0 if age_s <= 0.0 else 0.5 ** (age_s / REPORT_HALF_LIFE_S)


def _count_remote_requests(row: UpstreamRow) -> int:
    return max(0, row.reported_in_flight + row.reported_queued - row.own_at_report)


def estimate_load(row: UpstreamRow, now: float) -> float:
    """Estimate the concurrent requests on an upstream.

    Own attempts are exact. Those of the other entries come from the report; as it ages, they tend
    to ``PRIOR_LOAD`` of the limit.
    """
    weight = compute_report_weight(row, now)
    prior = max(0.0, PRIOR_LOAD * row.reported_limit - row.in_flight)
    return row.in_flight + weight * _count_remote_requests(row) + (1.0 - weight) * prior


def estimate_wait_s(row: UpstreamRow, now: float) -> float:
    """Estimate the time until one more request is answered on an upstream, in seconds.

    The service time, and as much again on an upstream whose every slot is taken.
    """
    limit = max(1, row.reported_limit)
    return (1.0 + (estimate_load(row, now) + 1.0) / limit) * row.ewma_service_s


def update_service_time(row: UpstreamRow, service_s: float, gain: float) -> None:
    """Move the mean service time of an upstream towards an observation.

    A low gain keeps the noise of single service times from drawing all entries to one upstream.
    """
    row.ewma_service_s += gain * (service_s - row.ewma_service_s)


def is_full(row: UpstreamRow, now: float) -> bool:
    """Tell whether an upstream takes no more, by own count, refusal or a fresh report."""
    limit = row.reported_limit
    if row.in_flight >= limit or now < row.full_until:
        return True
    # After the mean time to the next free slot the report no longer tells.
    if now - row.reported_at > row.ewma_service_s / limit:
        return False
    return row.in_flight + _count_remote_requests(row) >= limit
