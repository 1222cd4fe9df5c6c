"""Creates the function with which an agent reads the number of the controller's lease."""

from crocusvalve.agent._lease_number import LeaseNumberReader
from crocusvalve.agent._order_forwarder import ReadLeaseNumber, raise_no_platform
from crocusvalve.settings import PlatformAccess
from crocusvalve.store import HttpPlatform

__all__ = ["make_lease_number_reader"]


def make_lease_number_reader(access: PlatformAccess) -> ReadLeaseNumber:
    """Return a function that reads the number from the platform's service.

    Without a URL the function always raises ``PlatformError``.
    """
    if not access.url:
        return raise_no_platform

    async def read_lease_number() -> int:
        # Read once per run of an agent, so there is no need to keep the connection open.
        async with HttpPlatform(access.url) as platform:
            return await LeaseNumberReader(platform).read()

    return read_lease_number
