"""Commands of the membership system."""

from msgspec import Struct

from crocusvalve.base import Command, UpstreamId

__all__ = ["ProbeUpstream"]


class ProbeUpstream(Struct, Command, frozen=True):
    """Ask an agent for its load report, as none came for some time.

    Attributes
    ----------
    upstream_id : UpstreamId
        The upstream.
    agent : str
        Address of its agent, ``host:port``.
    """

    upstream_id: UpstreamId
    agent: str
