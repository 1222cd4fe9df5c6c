"""Deferred writes of claims whose order ended without a confirmed write of its outcome."""

from collections import OrderedDict

from crocusvalve.base import CustomerId
from crocusvalve.exceptions import PlatformError
from crocusvalve.orders._claim import ClaimState, ClaimStore, OrderClaim, StoredClaim

__all__ = ["ClaimSettler"]


class ClaimSettler:
    """Queue of claims with outcomes that are still to be written to the store, oldest first.

    Parameters
    ----------
    store : ClaimStore
        The store.
    max_claims : int
        Largest number of queued claims; above it the oldest is dropped and counted in
        ``n_dropped``. A dropped claim stays open in the store, so that a repeat of its key fences
        the last attempt before it makes another.

    Attributes
    ----------
    n_dropped : int
        Number of claims dropped.
    """

    def __init__(self, store: ClaimStore, *, max_claims: int = 10_000):
        self.store = store
        self.max_claims = max_claims
        self.n_dropped = 0
        self._claims: OrderedDict[tuple[CustomerId, str], OrderClaim] = OrderedDict()

    def __len__(self) -> int:
        return len(self._claims)

    def add(self, claim: OrderClaim) -> None:
        """Queue a claim to be written; it replaces an older one of the same key."""
        self._claims.pop((claim.customer_id, claim.key), None)
        self._claims[(claim.customer_id, claim.key)] = claim
        if len(self._claims) > self.max_claims:
            self._claims.popitem(last=False)
            self.n_dropped += 1

    async def settle(self) -> bool:
        """Write the queued claims until the store fails; return whether all were written."""
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
        """Return whether a queued claim may replace the stored one.

        It may not if the stored claim is final, or has attempts that the queued one lacks because
        another call of the key has continued.
        """
        if stored.claim.state in (ClaimState.DONE, ClaimState.NOT_RUN):
            return False
        n_attempts = len(stored.claim.attempts)
        return stored.claim.attempts == claim.attempts[:n_attempts]
