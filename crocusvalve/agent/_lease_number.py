"""Reads the number of the controller's lease, so that a restarted agent can fence old orders."""

from crocusvalve.control import LeaseRecord
from crocusvalve.rpc import decode
from crocusvalve.store import TableService

__all__ = ["LeaseNumberReader"]

LEASE_TABLE = "leases"
CONTROLLER_KEY = "controller"
#: Returned if the lease was never held.
NO_LEASE_NUMBER = 0


class LeaseNumberReader:
    """Reads the fencing number of one lease from the platform's tables.

    Parameters
    ----------
    tables : TableService
        The platform's tables.
    key : str
        Key of the lease.
    """

    def __init__(self, tables: TableService, *, key: str = CONTROLLER_KEY):
        self.tables = tables
        self.key = key

    async def read(self) -> int:
        """Return the lease's number; raises ``PlatformError`` if the service fails."""
        row = await self.tables.get(LEASE_TABLE, self.key)
        return decode(row.value, LeaseRecord).number if row is not None else NO_LEASE_NUMBER
