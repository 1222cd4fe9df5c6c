"""Quota of a customer: a token bucket and a bound on its requests in progress."""

from crocusvalve.config import CustomerConfig
from crocusvalve.model import CustomerRow

__all__ = ["check_quota", "compute_quota_share", "make_customer_row"]

#: Time in seconds after which a customer at its bound on requests in progress may retry.
IN_FLIGHT_RETRY_AFTER_S = 1.0
#: Longest time in seconds after which a refused customer is asked to retry.
MAX_RETRY_AFTER_S = 60.0
#: Largest sum of the entries' shares of a quota.
OVERCOMMIT_FACTOR = 1.5


def compute_quota_share(n_entries: int) -> float:
    """Return the share of each quota that one of several equal entries enforces.

    The load balancer distributes a customer's requests unevenly, so the share of each entry is
    larger than an even split; the shares add up to at most ``OVERCOMMIT_FACTOR``.
    """
    return min(1.0, OVERCOMMIT_FACTOR / max(1, n_entries))


def make_customer_row(customer_id: str, cfg: CustomerConfig, now: float) -> CustomerRow:
    """Build the row of a customer whose token bucket is full."""
    return CustomerRow(customer_id=customer_id, tokens=float(cfg.burst), refilled_at=now)


def check_quota(
    row: CustomerRow, cfg: CustomerConfig, now: float, *, share: float = 1.0
) -> float | None:
    """Acquire one token from a customer's bucket, or return when to retry.

    Parameters
    ----------
    row : CustomerRow
        Usage of the customer at this entry; its bucket is refilled first.
    cfg : CustomerConfig
        Quota of the customer.
    now : float
        Current Unix time in seconds.
    share : float
        Share of the quota that this entry enforces, in ``(0, 1]``.

    Returns
    -------
    float or None
        None if the request is admitted, else the time in seconds after which to retry.
    """
    rate_per_s = cfg.rate_per_s * share
    burst = max(1.0, cfg.burst * share)
    _refill(row, rate_per_s, burst, now)
    if row.in_flight + row.queued >= max(1, int(cfg.max_in_flight * share)):
        return IN_FLIGHT_RETRY_AFTER_S
    if row.tokens < 1.0:
        missing = 1.0 - row.tokens
        return min(MAX_RETRY_AFTER_S, missing / rate_per_s) if rate_per_s else MAX_RETRY_AFTER_S
    row.tokens -= 1.0
    return None


def _refill(row: CustomerRow, rate_per_s: float, burst: float, now: float) -> None:
    elapsed_s = max(0.0, now - row.refilled_at)
    row.tokens = min(burst, row.tokens + elapsed_s * rate_per_s)
    row.refilled_at = max(row.refilled_at, now)
