"""Chooses how an agent learns the number of the controller's lease."""

from crocusvalve.agent._lease_number import LeaseNumberReader
from crocusvalve.agent._order_door import ReadNumber, read_no_number
from crocusvalve.settings import PlatformAccess
from crocusvalve.store import HttpPlatform

__all__ = ["choose_number_reader"]


def choose_number_reader(access: PlatformAccess) -> ReadNumber:
    """Return a reader over the platform's service; without a URL one that always fails."""
    if not access.url:
        return read_no_number

    async def read_number() -> int:
        # Read once in a run of an agent, so that no connection is worth keeping.
        async with HttpPlatform(access.url) as platform:
            return await LeaseNumberReader(platform).read()

    return read_number
