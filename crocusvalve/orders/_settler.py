"""Writes what was told of an order while the store did not answer."""

from collections import OrderedDict

from crocusvalve.base import CustomerId
from crocusvalve.exceptions import PlatformError
from crocusvalve.orders._claim import ClaimState, ClaimStore, OrderClaim, StoredClaim

__all__ = ["ClaimSettler"]


class ClaimSettler:
    """Claims still to be written, oldest first.

    Parameters
    ----------
    store : ClaimStore
        The store.
    max_claims : int
        Claims held; above it the oldest is dropped and counted in ``n_dropped``. A dropped claim
        stays open in the store, where a repeat of its key fences the attempt first.
    """

    def __init__(self, store: ClaimStore, *, max_claims: int = 10_000):
        self.store = store
        self.max_claims = max_claims
        self.n_dropped = 0
        self._claims: OrderedDict[tuple[CustomerId, str], OrderClaim] = OrderedDict()

    def __len__(self) -> int:
        return len(self._claims)

    def add(self, claim: OrderClaim) -> None:
        """Keep a claim to be written; replaces an older one of the same key."""
        self._claims.pop((claim.customer_id, claim.key), None)
        self._claims[(claim.customer_id, claim.key)] = claim
        if len(self._claims) > self.max_claims:
            self._claims.popitem(last=False)
            self.n_dropped += 1

    async def settle(self) -> bool:
        """Write all claims held; stops at the first failure of the store and tells whether none."""
        for key, claim in list(self._claims.items()):
            try:
                await self._write_claim(claim)
            except PlatformError:
                return False
            if self._claims.get(key) is claim:
                del self._claims[key]
        return True

    async def _write_claim(self, claim: OrderClaim) -> None:
        stored = await self.store.find(claim.customer_id, claim.key)
        if stored is not None and self._may_replace(stored, claim):
            await self.store.update(claim, stored.version)

    @staticmethod
    def _may_replace(stored: StoredClaim, claim: OrderClaim) -> bool:
        """Tell whether the stored claim knows less of the same attempts."""
        if stored.claim.state in (ClaimState.DONE, ClaimState.NOT_RUN):
            return False
        n_attempts = len(stored.claim.attempts)
        return stored.claim.attempts == claim.attempts[:n_attempts]
