"""Calls between the processes of the system; the only package that sees asyncio."""

from crocusvalve.rpc._client import AgentClient, ConnectError, PeerClient, RpcError
from crocusvalve.rpc._codec import decode, encode
from crocusvalve.rpc._messages import (
    BillRecord,
    BillsAck,
    BillsReply,
    CancelRequest,
    ConfigAck,
    ConfigPush,
    Empty,
    FenceReply,
    FenceRequest,
    Final,
    Frame,
    LoadReport,
    Notice,
    NoticeAck,
    NoticeKind,
    Refused,
    ResumeRequest,
    RunEvent,
    RunRequest,
    Usage,
)
from crocusvalve.rpc._server import serve_rpc
from crocusvalve.rpc._signing import is_signed_notice, sign_notice
from crocusvalve.rpc.base import AgentService, PeerService

__all__ = [
    "AgentClient",
    "AgentService",
    "BillRecord",
    "BillsAck",
    "BillsReply",
    "CancelRequest",
    "ConfigAck",
    "ConfigPush",
    "ConnectError",
    "Empty",
    "FenceReply",
    "FenceRequest",
    "Final",
    "Frame",
    "LoadReport",
    "Notice",
    "NoticeAck",
    "NoticeKind",
    "PeerClient",
    "PeerService",
    "Refused",
    "ResumeRequest",
    "RpcError",
    "RunEvent",
    "RunRequest",
    "Usage",
    "decode",
    "encode",
    "is_signed_notice",
    "serve_rpc",
    "sign_notice",
]
