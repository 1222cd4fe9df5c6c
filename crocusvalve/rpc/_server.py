"""Server that exposes trio services through grpclib handlers."""

import ssl
from collections.abc import Callable
from contextlib import aclosing
from typing import Any

import msgspec
import trio
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server
from trio_asyncio import aio_as_trio, trio_as_aio

from crocusvalve.exceptions import CrocusvalveError
from crocusvalve.rpc import _messages as msg
from crocusvalve.rpc._codec import MessagePackCodec
from crocusvalve.rpc.base import AgentService, PeerService
from crocusvalve.security import is_internal_key

__all__ = ["AGENT_METHODS", "PEER_METHODS", "RpcMethod", "serve_rpc"]

AUTH_HEADER = "x-crocusvalve-token"


class RpcMethod(msgspec.Struct, frozen=True):
    """Name and message types of an RPC method; its path is ``/crocusvalve.SERVICE/NAME``.

    ``is_stream`` means that the reply is a stream of messages.
    """

    service: str
    name: str
    request_type: Any
    reply_type: Any
    is_stream: bool = False

    @property
    def path(self) -> str:
        """URL path of the method."""
        return f"/crocusvalve.{self.service}/{self.name}"


AGENT_METHODS = {
    method.name: method
    for method in (
        RpcMethod("Agent", "run", msg.RunRequest, msg.RunEvent, True),
        RpcMethod("Agent", "resume", msg.ResumeRequest, msg.RunEvent, True),
        RpcMethod("Agent", "cancel", msg.CancelRequest, msg.Empty),
        RpcMethod("Agent", "fence", msg.FenceRequest, msg.FenceReply),
        RpcMethod("Agent", "report", msg.Empty, msg.LoadReport),
        RpcMethod("Agent", "push_config", msg.ConfigPush, msg.ConfigAck),
        RpcMethod("Agent", "pull_config", msg.ConfigAck, msg.ConfigPush),
        RpcMethod("Agent", "notify", msg.Notice, msg.NoticeAck),
        RpcMethod("Agent", "list_bills", msg.Empty, msg.BillsReply),
        RpcMethod("Agent", "acknowledge_bills", msg.BillsAck, msg.Empty),
        RpcMethod("Agent", "order_upstream", msg.UpstreamOrder, msg.UpstreamOrderReply),
    )
}
PEER_METHODS = {
    method.name: method
    for method in (
        RpcMethod("Peer", "push_config", msg.ConfigPush, msg.ConfigAck),
        RpcMethod("Peer", "pull_config", msg.ConfigAck, msg.ConfigPush),
        RpcMethod("Peer", "notify", msg.Notice, msg.NoticeAck),
        RpcMethod("Peer", "list_notices", msg.Empty, msg.NoticeList),
    )
}


class _ServiceAdapter:
    """Adapts a service to grpclib's interface, a mapping from paths to handlers."""

    def __init__(self, service: Any, methods: dict[str, RpcMethod], token: str):
        self._service = service
        self._methods = methods
        self._token = token

    def __mapping__(self) -> dict[str, Handler]:
        return {
            method.path: Handler(
                self._make_handler(method),
                Cardinality.UNARY_STREAM if method.is_stream else Cardinality.UNARY_UNARY,
                method.request_type,
                method.reply_type,
            )
            for method in self._methods.values()
        }

    def _make_handler(self, method: RpcMethod) -> Callable:
        target = getattr(self._service, method.name)
        answer = self._handle_stream if method.is_stream else self._handle_unary

        async def handle(stream: Any) -> None:
            if self._token and not self._is_authentic(stream.metadata.get(AUTH_HEADER, "")):
                raise GRPCError(Status.UNAUTHENTICATED, "wrong internal key")
            req = await stream.recv_message()
            await trio_as_aio(answer)(target, req, stream)

        return handle

    def _is_authentic(self, token: Any) -> bool:
        return isinstance(token, str) and is_internal_key(token, self._token)

    @staticmethod
    async def _handle_unary(target: Callable, req: Any, stream: Any) -> None:
        try:
            reply = await target(req)
        except CrocusvalveError as exc:
            raise GRPCError(Status.FAILED_PRECONDITION, str(exc)) from exc
        await aio_as_trio(stream.send_message)(reply)

    @staticmethod
    async def _handle_stream(target: Callable, req: Any, stream: Any) -> None:
        send = aio_as_trio(stream.send_message)
        async with aclosing(target(req)) as events:
            async for event in events:
                await send(event)


async def serve_rpc(
    service: AgentService | PeerService,
    host: str,
    port: int,
    *,
    token: str = "",
    tls: ssl.SSLContext | None = None,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a service until cancelled; must run inside ``trio_asyncio.open_loop()``.

    Parameters
    ----------
    service : AgentService or PeerService
        Handles the calls.
    host, port : str, int
        Address to listen on; port 0 selects a free port.
    token : str
        Internal key that callers must present; if empty, all callers are accepted.
    tls : ssl.SSLContext or None
        TLS context of the server; None serves without TLS.
    task_status : trio.TaskStatus
        Started with the listening port.
    """
    methods = AGENT_METHODS if isinstance(service, AgentService) else PEER_METHODS
    server = Server([_ServiceAdapter(service, methods, token)], codec=MessagePackCodec())
    await aio_as_trio(server.start)(host, port, ssl=tls)
    try:
        sock = server._server.sockets[0]
        task_status.started(sock.getsockname()[1])
        await trio.sleep_forever()
    finally:
        server.close()
        with trio.CancelScope(shield=True):
            with trio.move_on_after(1.0):
                await aio_as_trio(server.wait_closed)()
