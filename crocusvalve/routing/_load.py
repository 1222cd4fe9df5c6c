"""Estimates of an upstream's load from this entry's attempts and the last load report."""

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

#: Age in seconds at which a report's weight has fallen to one half.
REPORT_HALF_LIFE_S = 2.0
#: Share of the limit assumed to be in use if nothing is known.
PRIOR_LOAD = 0.5
#: Samples of this entry's in-flight count stored per upstream, to look up the count at the instant
#: of a report.
MAX_HISTORY = 64


def record_attempt_start(row: UpstreamRow, now: float) -> None:
    """Count an attempt of this entry that starts on an upstream."""
    row.in_flight += 1
    _record_in_flight(row, now)


def mark_full(row: UpstreamRow, now: float) -> None:
    """Mark an upstream that refused an attempt as full, until a slot is expected to be free.

    The pause is the mean time in which a full upstream ends one request.
    """
    row.full_until = now + row.ewma_service_s / max(1, row.reported_limit)


def record_attempt_end(row: UpstreamRow, now: float) -> None:
    """Count an attempt of this entry that ended on an upstream."""
    row.in_flight = max(0, row.in_flight - 1)
    _record_in_flight(row, now)


def _record_in_flight(row: UpstreamRow, now: float) -> None:
    row.local_in_flight_history.append((now, row.in_flight))
    if len(row.local_in_flight_history) > MAX_HISTORY:
        row.local_in_flight_history.popleft()


def find_in_flight_at(row: UpstreamRow, instant: float) -> int:
    """Return this entry's number of attempts on an upstream at a past instant.

    If the history doesn't reach back that far, returns 0 for a history that is complete since the
    first attempt, else the current number.
    """
    for recorded_at, in_flight in reversed(row.local_in_flight_history):
        if recorded_at <= instant:
            return in_flight
    return (
        0
        if row.local_in_flight_history and len(row.local_in_flight_history) < MAX_HISTORY
        else row.in_flight
    )


def compute_report_weight(row: UpstreamRow, now: float) -> float:
    """Return the weight of the last load report, from 0 (none or very old) to 1 (new)."""
    if row.reported_at <= 0.0:
        return 0.0
    age_s = now - row.reported_at
    return 1.0 if age_s <= 0.0 else 0.5 ** (age_s / REPORT_HALF_LIFE_S)


def _count_remote_requests(row: UpstreamRow) -> int:
    return max(0, row.reported_in_flight + row.reported_queued - row.local_in_flight_at_report)


def estimate_load(row: UpstreamRow, now: float) -> float:
    """Estimate the number of concurrent requests on an upstream.

    The attempts of this entry are counted exactly. Those of the other entries come from the last
    report; as it ages, the estimate tends to a total of ``PRIOR_LOAD`` times the limit.
    """
    weight = compute_report_weight(row, now)
    prior = max(0.0, PRIOR_LOAD * row.reported_limit - row.in_flight)
    return row.in_flight + weight * _count_remote_requests(row) + (1.0 - weight) * prior


def estimate_wait_s(row: UpstreamRow, now: float) -> float:
    """Estimate the time until one more request is answered on an upstream, in seconds.

    This is the mean service time, plus the same again in proportion to the share of the limit that
    is in use, the new request included; so it doubles on an upstream whose slots are all taken.
    """
    limit = max(1, row.reported_limit)
    return (1.0 + (estimate_load(row, now) + 1.0) / limit) * row.ewma_service_s


def update_service_time(row: UpstreamRow, service_s: float, gain: float) -> None:
    """Update the mean service time of an upstream, an exponential moving average.

    Parameters
    ----------
    row : UpstreamRow
        The upstream.
    service_s : float
        Observed service time in seconds.
    gain : float
        Weight of the observation, in (0, 1]. If it is low, the noise of single service times
        doesn't draw all entries to one upstream.
    """
    row.ewma_service_s += gain * (service_s - row.ewma_service_s)


def is_full(row: UpstreamRow, now: float) -> bool:
    """Return whether an upstream is full, by own count, a recent refusal or a fresh report."""
    limit = row.reported_limit
    if row.in_flight >= limit or now < row.full_until:
        return True
    # The report is outdated after the mean time in which a slot becomes free.
    if now - row.reported_at > row.ewma_service_s / limit:
        return False
    return row.in_flight + _count_remote_requests(row) >= limit
