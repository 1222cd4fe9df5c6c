"""Commands that the membership system returns."""

from msgspec import Struct

from crocusvalve.base import Command, UpstreamId

__all__ = ["ProbeUpstream"]


class ProbeUpstream(Struct, Command, frozen=True):
    """Request a load report from an agent that has not sent one for some time.

    Attributes
    ----------
    upstream_id : UpstreamId
        Upstream of the agent.
    agent : str
        Address of the agent, ``host:port``.
    """

    upstream_id: UpstreamId
    agent: str
