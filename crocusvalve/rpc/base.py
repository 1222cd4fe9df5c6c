"""Abstract services that the processes of the system provide to each other.

Implementations of these classes are plain trio code; the ``rpc`` package handles the transport.
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
    """Methods that every process of the system provides."""

    @abstractmethod
    async def push_config(self, req: ConfigPush) -> ConfigAck:
        """Apply a configuration revision.

        An older one is ignored and the reply has the newer revision number.
        """

    @abstractmethod
    async def pull_config(self, req: ConfigAck) -> ConfigPush:
        """Return the newest known revision, as a delta to the caller's revision if possible."""

    @abstractmethod
    async def notify(self, req: Notice) -> NoticeAck:
        """Store a notice; an entry forwards it if it is new."""


class AgentService(NodeService):
    """Methods that an agent provides to entries."""

    @abstractmethod
    def run(self, req: RunRequest) -> AsyncIterator[RunEvent]:
        """Run an attempt; yields frames, then one ``Final`` or ``Refused``.

        Closing the iterator early does not cancel the attempt; only ``cancel`` does.
        """

    @abstractmethod
    def resume(self, req: ResumeRequest) -> AsyncIterator[RunEvent]:
        """Yield the frames of a known attempt from ``req.from_seq`` on, then its end."""

    @abstractmethod
    async def cancel(self, req: CancelRequest) -> Empty:
        """Cancel an attempt and the call to the upstream."""

    @abstractmethod
    async def fence(self, req: FenceRequest) -> FenceReply:
        """Prevent an unstarted attempt from ever starting; return whether it ran, if known."""

    @abstractmethod
    async def report(self, req: Empty) -> LoadReport:
        """Return the current load and state of the upstream."""

    @abstractmethod
    async def list_bills(self, req: Empty) -> BillsReply:
        """Return the bills not yet acknowledged."""

    @abstractmethod
    async def acknowledge_bills(self, req: BillsAck) -> Empty:
        """Remove bills that are in the ledger."""

    @abstractmethod
    async def order_upstream(self, req: UpstreamOrder) -> UpstreamOrderReply:
        """Forward an order to the engine; an order with an outdated number is refused."""


class PeerService(NodeService):
    """Methods that an entry provides to its peers."""

    @abstractmethod
    async def list_notices(self, req: Empty) -> NoticeList:
        """Return the notices in force and the digests that crashed upstreams."""
