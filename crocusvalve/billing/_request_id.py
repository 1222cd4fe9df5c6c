"""Request ids from which the place of a bill in the ledger follows."""

import re
import time

from msgspec import Struct

from crocusvalve.base import BootId, RequestId
from crocusvalve.utils import compute_digest

__all__ = ["BILLS_PER_PAGE", "RequestIdMaker", "find_bill_page"]

#: Bills in one row of the ledger.
BILLS_PER_PAGE = 128
ID_PATTERN = re.compile(r"(\d{8})-([A-Za-z0-9_.]{1,64})-([0-9a-f]{8})")


class RequestIdMaker(Struct):
    """Makes request ids ``DAY-BOOT-NUMBER``: day in UTC, run of the process, count from 0.

    Requests that follow each other in one process share a page of the ledger, so that many bills
    cost one write, and the page follows from the id alone, so that no bill can stand in two.
    """

    boot_id: BootId
    next_number: int = 0

    def make(self, now: float) -> RequestId:
        """Return a new id; at most 2**32 a run."""
        number = self.next_number
        self.next_number += 1
        return RequestId(f"{format_day(now)}-{self.boot_id}-{number:08x}")


def format_day(now: float) -> str:
    """Return the day of an instant in UTC as ``YYYYMMDD``."""
    return time.strftime("%Y%m%d", time.gmtime(now))


def find_bill_page(request_id: RequestId) -> str:
    """Return the key of the ledger page that alone may hold a request's bill.

    Ids of another form have a page of their own.
    """
    match = ID_PATTERN.fullmatch(request_id)
    if match is None:
        return f"other/{compute_digest(request_id.encode())}"
    day, boot, number = match.groups()
    return f"{day}/{boot}/{int(number, 16) // BILLS_PER_PAGE:08x}"
