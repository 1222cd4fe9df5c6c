"""Request ids, which determine the ledger page of a request's bill."""

import re
import time

from msgspec import Struct

from crocusvalve.base import BootId, RequestId
from crocusvalve.utils import compute_digest

__all__ = ["BILLS_PER_PAGE", "RequestIdMaker", "find_bill_page"]

#: Maximum number of bills in one row of the ledger.
BILLS_PER_PAGE = 128
ID_PATTERN = re.compile(r"(\d{8})-([A-Za-z0-9_.]{1,64})-([0-9a-f]{8})")


class RequestIdMaker(Struct):
    """Makes request ids ``DAY-BOOT-NUMBER``: UTC day, boot id of the process, counter from 0.

    Consecutive requests of one process share a page of the ledger, so that one write stores many
    bills. The page is determined by the id alone, so that no bill can be in two pages.
    """

    boot_id: BootId
    next_number: int = 0

    def make(self, now: float) -> RequestId:
        """Return a new id; at most 2**32 ids per boot."""
        number = self.next_number
        self.next_number += 1
        return RequestId(f"{format_day(now)}-{self.boot_id}-{number:08x}")


def format_day(now: float) -> str:
    """Return the UTC day of a time in Unix seconds, as ``YYYYMMDD``."""
    return time.strftime("%Y%m%d", time.gmtime(now))


def find_bill_page(request_id: RequestId) -> str:
    """Return the key of the only ledger page that may contain the bill of a request.

    An id of another form than those of ``RequestIdMaker`` has a page to itself.
    """
    match = ID_PATTERN.fullmatch(request_id)
    if match is None:
        return f"other/{compute_digest(request_id.encode())}"
    day, boot, number = match.groups()
    return f"{day}/{boot}/{int(number, 16) // BILLS_PER_PAGE:08x}"
