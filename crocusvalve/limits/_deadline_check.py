"""Early refusal of requests that can't meet their deadline."""

from crocusvalve.base import ClassKind
from crocusvalve.limits._queue import FairQueue
from crocusvalve.model import RequestRow

__all__ = ["check_deadline"]

#: Bounds of the time after which a refused caller may retry, in seconds.
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
    """Check whether a request can be served before its deadline.

    Parameters
    ----------
    queue : FairQueue
        The queue that the request would join.
    req : RequestRow
        A request not yet queued. Durable requests are never refused.
    expected_wait_s : float
        Expected time on the upstream, in seconds.
    now : float
        Current Unix time in seconds.
    weight : float
        Fair-queueing weight of the request's customer.

    Returns
    -------
    float or None
        None if the request may be queued. Else it is to be refused, and the value is the time in
        seconds after which the caller may retry, when the queue should be short enough.
    """
    if req.kind is ClassKind.DURABLE:
        return None
    wait_s = queue.estimate_wait_s(req, weight=weight) + expected_wait_s
    excess_s = wait_s - (req.deadline - now)
    if excess_s <= 0.0:
        return None
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, excess_s))
