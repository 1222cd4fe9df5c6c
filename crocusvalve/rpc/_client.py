"""Clients that implement the abstract services over grpclib channels."""

import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import trio
from grpclib.client import Channel, UnaryStreamMethod, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, StreamTerminatedError
from trio_asyncio import aio_as_trio

from crocusvalve.exceptions import CrocusvalveError, ErrorCode
from crocusvalve.rpc import _messages as msg
from crocusvalve.rpc._codec import MessagePackCodec
from crocusvalve.rpc._server import AGENT_METHODS, AUTH_HEADER, PEER_METHODS, RpcMethod
from crocusvalve.rpc.base import AgentService, NodeService, PeerService

__all__ = ["AgentClient", "ConnectError", "PeerClient", "RpcError"]

UNARY_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0


class RpcError(CrocusvalveError):
    """A call between processes failed after it may have reached the peer."""

    def __init__(self, message: str, *, step: str, peer: str):
        super().__init__(ErrorCode.UPSTREAM_DOWN, message, step=step, peer=peer)


class ConnectError(RpcError):
    """The connection could not be established, so the call has not reached the peer."""


class _Client:
    """A channel to one peer; must be used inside ``trio_asyncio.open_loop()``."""

    methods: dict[str, RpcMethod] = {}

    def __init__(self, address: str, *, token: str = "", tls: ssl.SSLContext | None = None):
        host, _, port = address.rpartition(":")
        self.address = address
        self._metadata = {AUTH_HEADER: token} if token else {}
        self._channel = Channel(host, int(port), codec=MessagePackCodec(), ssl=tls)

    def close(self) -> None:
        """Close the channel."""
        self._channel.close()

    async def _connect(self, step: str) -> None:
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await aio_as_trio(self._channel.__connect__)()
        except (OSError, trio.TooSlowError) as exc:
            raise ConnectError(f"connection failed: {exc!r}", step=step, peer=self.address) from exc

    async def _call(self, name: str, req: Any, timeout_s: float = UNARY_TIMEOUT_S) -> Any:
        spec = self.methods[name]
        await self._connect(name)
        method = UnaryUnaryMethod(self._channel, spec.path, spec.request_type, spec.reply_type)
        try:
            with trio.fail_after(timeout_s):
                return await aio_as_trio(method)(req, metadata=self._metadata)
        except (GRPCError, StreamTerminatedError, OSError, trio.TooSlowError) as exc:
            raise RpcError(f"call failed: {exc!r}", step=name, peer=self.address) from exc

    async def _stream(self, name: str, req: Any) -> AsyncIterator[Any]:
        spec = self.methods[name]
        await self._connect(name)
        method = UnaryStreamMethod(self._channel, spec.path, spec.request_type, spec.reply_type)
        try:
            async with _open_stream(method, self._metadata) as stream:
                await aio_as_trio(stream.send_message)(req, end=True)
                recv = aio_as_trio(stream.recv_message)
                while (event := await recv()) is not None:
                    yield event
        except (GRPCError, StreamTerminatedError, OSError) as exc:
            raise RpcError(f"stream failed: {exc!r}", step=name, peer=self.address) from exc


class _NodeClient(_Client, NodeService):
    """Methods that the clients of all processes share."""

    async def push_config(self, req: msg.ConfigPush) -> msg.ConfigAck:
        """Push a configuration revision."""
        return await self._call("push_config", req)

    async def pull_config(self, req: msg.ConfigAck) -> msg.ConfigPush:
        """Pull the newest configuration revision."""
        return await self._call("pull_config", req)

    async def notify(self, req: msg.Notice) -> msg.NoticeAck:
        """Send a notice."""
        return await self._call("notify", req)


@asynccontextmanager
async def _open_stream(method: UnaryStreamMethod, metadata: dict) -> AsyncIterator[Any]:
    async with aio_as_trio(method.open(metadata=metadata)) as stream:
        yield stream


class AgentClient(_NodeClient, AgentService):
    """Client of an agent; its methods are described in ``AgentService``."""

    methods = AGENT_METHODS

    def run(self, req: msg.RunRequest) -> AsyncIterator[msg.RunEvent]:
        """Run an attempt."""
        return self._stream("run", req)

    def resume(self, req: msg.ResumeRequest) -> AsyncIterator[msg.RunEvent]:
        """Yield the frames of a known attempt from ``req.from_seq`` on, then its end."""
        return self._stream("resume", req)

    async def cancel(self, req: msg.CancelRequest) -> msg.Empty:
        """Cancel an attempt."""
        return await self._call("cancel", req)

    async def fence(self, req: msg.FenceRequest) -> msg.FenceReply:
        """Prevent an unstarted attempt from ever starting; return whether it ran, if known."""
        return await self._call("fence", req)

    async def report(self, req: msg.Empty) -> msg.LoadReport:
        """Return the current load and state of the agent's upstream."""
        return await self._call("report", req)

    async def list_bills(self, req: msg.Empty) -> msg.BillsReply:
        """Return the bills that are not acknowledged yet."""
        return await self._call("list_bills", req)

    async def acknowledge_bills(self, req: msg.BillsAck) -> msg.Empty:
        """Acknowledge bills that are in the ledger."""
        return await self._call("acknowledge_bills", req)

    async def order_upstream(self, req: msg.UpstreamOrder) -> msg.UpstreamOrderReply:
        """Have the agent forward an order to its engine."""
        return await self._call("order_upstream", req)


class PeerClient(_NodeClient, PeerService):
    """Client of a peer entry."""

    methods = PEER_METHODS

    async def list_notices(self, req: msg.Empty) -> msg.NoticeList:
        """Return the notices in force."""
        return await self._call("list_notices", req)
