"""Customer quotas, the fair request queue and concurrency limits that adapt to warm-up."""

from crocusvalve.limits._deadline_check import check_deadline
from crocusvalve.limits._queue import FairQueue
from crocusvalve.limits._quota import check_quota, compute_quota_share, make_customer_row

__all__ = [
    "FairQueue",
    "check_quota",
    "compute_quota_share",
    "make_customer_row",
    "check_deadline",
]
