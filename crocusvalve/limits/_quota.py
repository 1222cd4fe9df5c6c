"""Quota of a customer: a token bucket and a bound on its requests under way."""

from crocusvalve.config import CustomerConfig
from crocusvalve.model import CustomerRow

__all__ = ["check_quota", "compute_quota_share", "make_customer_row"]

#: When a customer at its bound on requests under way may come back.
IN_FLIGHT_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
OVERCOMMIT_FACTOR = 1.5


def compute_quota_share(n_entries: int) -> float:
    """Return the part of each quota that one of several equal entries hands out.

    The balancer spreads a customer's requests unevenly, so each entry hands out more than its even
    part; all together hand out at most ``OVERCOMMIT_FACTOR`` quotas.
    """
    return min(1.0, OVERCOMMIT_FACTOR / max(1, n_entries))


def make_customer_row(customer_id: str, cfg: CustomerConfig, now: float) -> CustomerRow:
    """Make the row of a customer whose bucket is full."""
    return CustomerRow(customer_id=customer_id, tokens=float(cfg.burst), refilled_at=now)


def check_quota(
    row: CustomerRow, cfg: CustomerConfig, now: float, *, share: float = 1.0
) -> float | None:
    """Take one token of a customer's bucket, or tell when to come back.

    Parameters
    ----------
    row : CustomerRow
        Use of the customer at this entry; its bucket is refilled.
    cfg : CustomerConfig
        Quota of the customer.
    now : float
        Present Unix time in seconds.
    share : float
        Part of the quota that this entry hands out, in ``(0, 1]``.

    Returns
    -------
    float or None
        None where the request is admitted, else the seconds after which to come back.
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
