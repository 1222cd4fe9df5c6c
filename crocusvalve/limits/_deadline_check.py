"""Refusal of requests that can't meet their deadline."""

from crocusvalve.base import ClassKind
from crocusvalve.limits._queue import FairQueue
from crocusvalve.model import RequestRow

__all__ = ["check_deadline"]

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0


def check_deadline(
    queue: FairQueue,
    req: RequestRow,
    expected_wait_s: float,
    now: float,
    *,
    weight: float = 1.0,
) -> float | None:
    """Tell whether a request is refused at once, as it couldn't be served in time.

    Parameters
    ----------
    queue : FairQueue
        The queue that it would join.
    req : RequestRow
        A request not yet queued. Durable requests are never refused.
    expected_wait_s : float
        Expected time on the upstream, in seconds.
    now : float
        Present Unix time in seconds.
    weight : float
        Weight of its customer.

    Returns
    -------
    float or None
        None where the request may wait; else the seconds after which to come back, by when the
        queue should be short enough.
    """
    if req.kind is ClassKind.DURABLE:
        return None
    wait_s = queue.estimate_wait_s(req, weight=weight) + expected_wait_s
    excess_s = wait_s - (req.deadline - now)
    if excess_s <= 0.0:
        return None
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, excess_s))
