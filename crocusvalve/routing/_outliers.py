"""Outlier ejection: excludes upstreams whose recent attempts failed."""

from crocusvalve.model import UpstreamRow
from crocusvalve.routing._load import update_service_time

__all__ = ["drop_ejected", "record_failure", "record_success"]

#: Consecutive failures after which an upstream is ejected.
EJECT_AFTER_FAILURES = 3
#: Length of the first ejection in seconds; it doubles with each further failure.
EJECT_BASE_S = 0.5
#: Longest ejection in seconds.
EJECT_MAX_S = 30.0
#: Largest share of the candidates that may be ejected.
MAX_EJECTED_SHARE = 0.5
#: Weight of one answer in the moving average of the service time.
ANSWER_GAIN = 0.02


def record_failure(row: UpstreamRow, now: float, *, is_crash: bool = False) -> None:
    """Count a failed attempt; eject the upstream after several in a row or after a crash."""
    row.n_failures = max(row.n_failures + 1, EJECT_AFTER_FAILURES if is_crash else 0)
    row.failed_at = now
    n_over = row.n_failures - EJECT_AFTER_FAILURES
    if n_over >= 0:
        row.retry_at = now + min(EJECT_MAX_S, EJECT_BASE_S * 2.0 ** min(n_over, 16))


def record_success(row: UpstreamRow, service_s: float, now: float) -> None:
    """Clear the failures of an upstream and update its mean service time.

    An answer also counts as a heartbeat. ``service_s`` is the answer's service time in seconds.
    """
    if row.last_seen_at:
        row.last_seen_at = max(row.last_seen_at, now)
    row.n_failures = 0
    row.retry_at = 0.0
    update_service_time(row, service_s, ANSWER_GAIN)


def _is_ejected(row: UpstreamRow, now: float) -> bool:
    if row.n_failures < EJECT_AFTER_FAILURES:
        return False
    # After the ejection the upstream is probed by one attempt at a time.
    return row.retry_at > now or row.in_flight > 0


def drop_ejected(rows: list[UpstreamRow], now: float) -> list[UpstreamRow]:
    """Exclude ejected upstreams, but at most ``MAX_EJECTED_SHARE`` (half) of the rows.

    If more are ejected, those whose ejection ends first stay in the list.
    """
    ejected = [row for row in rows if row.n_failures and _is_ejected(row, now)]
    if not ejected:
        return rows
    n_max = int(len(rows) * MAX_EJECTED_SHARE)
    ejected.sort(key=lambda row: row.retry_at, reverse=True)
    dropped = {row.upstream_id for row in ejected[:n_max]}
    return [row for row in rows if row.upstream_id not in dropped]
