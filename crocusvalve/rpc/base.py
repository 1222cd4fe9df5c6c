"""Abstract services that processes of the system offer each other.

Implementations of these classes are plain trio code; ``rpc`` carries them over the wire.
"""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

from crocusvalve.rpc._messages import (
    BillsAck,
    BillsReply,
    CancelRequest,
    ConfigAck,
    ConfigPush,
    Empty,
    FenceReply,
    FenceRequest,
    LoadReport,
    Notice,
    NoticeAck,
    NoticeList,
    ResumeRequest,
    RunEvent,
    RunRequest,
    UpstreamOrder,
    UpstreamOrderReply,
)

__all__ = ["AgentService", "NodeService", "PeerService"]


class NodeService(ABC):
    """What every process of the system offers."""

    @abstractmethod
    async def push_config(self, req: ConfigPush) -> ConfigAck:
        """Take a revision; an older one is ignored and the newer number is returned."""

    @abstractmethod
    async def pull_config(self, req: ConfigAck) -> ConfigPush:
        """Return the newest revision known, as a delta on the asker's where possible."""

    @abstractmethod
    async def notify(self, req: Notice) -> NoticeAck:
        """Take a notice; an entry passes it on where it is new."""


class AgentService(NodeService):
    """What an agent offers to entries."""

    @abstractmethod
    def run(self, req: RunRequest) -> AsyncIterator[RunEvent]:
        """Run an attempt; yields frames, then one ``Final`` or ``Refused``.

        Leaving the iterator early does not cancel the attempt: ``cancel`` does.
        """

    @abstractmethod
    def resume(self, req: ResumeRequest) -> AsyncIterator[RunEvent]:
        """Yield the frames of a known attempt from a sequence number on, then its end."""

    @abstractmethod
    async def cancel(self, req: CancelRequest) -> Empty:
        """Cancel an attempt and the call to the upstream."""

    @abstractmethod
    async def fence(self, req: FenceRequest) -> FenceReply:
        """Forbid an attempt that has not started; tell what is known of it."""

    @abstractmethod
    async def report(self, req: Empty) -> LoadReport:
        """Return the present load."""

    @abstractmethod
    async def list_bills(self, req: Empty) -> BillsReply:
        """Return the bills not yet acknowledged."""

    @abstractmethod
    async def acknowledge_bills(self, req: BillsAck) -> Empty:
        """Forget bills that are in the ledger."""

    @abstractmethod
    async def order_upstream(self, req: UpstreamOrder) -> UpstreamOrderReply:
        """Pass an order to the engine; one with an older number than the newest is refused."""


class PeerService(NodeService):
    """What an entry offers to the other entries."""

    @abstractmethod
    async def list_notices(self, req: Empty) -> NoticeList:
        """Return the notices in force and the digests that crashed upstreams."""
