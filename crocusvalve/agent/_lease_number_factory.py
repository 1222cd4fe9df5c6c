"""Chooses how an agent learns the number of the controller's lease."""

from crocusvalve.agent._lease_number import LeaseNumberReader
from crocusvalve.agent._order_forwarder import ReadLeaseNumber, raise_no_platform
from crocusvalve.settings import PlatformAccess
from crocusvalve.store import HttpPlatform

__all__ = ["make_lease_number_reader"]


def make_lease_number_reader(access: PlatformAccess) -> ReadLeaseNumber:
    """Return a reader over the platform's service; without a URL one that always fails."""
    if not access.url:
        return raise_no_platform

    async def read_lease_number() -> int:
        # Read once in a run of an agent, so that no connection is worth keeping.
        async with HttpPlatform(access.url) as platform:
            return await LeaseNumberReader(platform).read()

    return read_lease_number
