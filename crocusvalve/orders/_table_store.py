"""Store of claims in the platform's table service."""

from collections.abc import Callable

from crocusvalve.base import CustomerId, WriteId
from crocusvalve.orders._claim import ClaimResult, ClaimStore, OrderClaim, StoredClaim
from crocusvalve.rpc import decode, encode
from crocusvalve.store.base import Row, TableService, Write

__all__ = ["CLAIM_TABLE", "TableClaimStore"]

CLAIM_TABLE = "claims"
ABSENT_VERSION = 0


class TableClaimStore(ClaimStore):
    """Claims as rows of one table, written on the condition that their version is unchanged.

    Parameters
    ----------
    tables : TableService
        The platform's tables.
    make_write_id : callable
        Makes a new write id.
    """

    def __init__(self, tables: TableService, *, make_write_id: Callable[[], WriteId]):
        self.tables = tables
        self.make_write_id = make_write_id

    async def insert(self, claim: OrderClaim) -> ClaimResult:
        """Write a claim, on the condition that its key has none."""
        return await self._write(claim, ABSENT_VERSION)

    async def update(self, claim: OrderClaim, version: int) -> ClaimResult:
        """Replace a claim, on the condition that its row still has ``version``."""
        return await self._write(claim, version)

    async def find(self, customer_id: CustomerId, key: str) -> StoredClaim | None:
        """Return the claim of a key, or None if the key has none."""
        return _read_row(await self.tables.get(CLAIM_TABLE, _make_key(customer_id, key)))

    async def _write(self, claim: OrderClaim, version: int) -> ClaimResult:
        write = Write(
            table=CLAIM_TABLE,
            key=_make_key(claim.customer_id, claim.key),
            value=encode(claim),
            write_id=self.make_write_id(),
            if_version=version,
        )
        (result,) = await self.tables.transact([write])
        return ClaimResult(result.is_applied, _read_row(result.row))


def _make_key(customer_id: CustomerId, key: str) -> str:
    return f"{customer_id}/{key}"


def _read_row(row: Row | None) -> StoredClaim | None:
    if row is None:
        return None
    return StoredClaim(decode(row.value, OrderClaim), row.version)
