"""Messages of the platform's service between HTTP client and server, as MessagePack or JSON."""

from enum import Enum
from typing import Any

import msgspec
from msgspec import Struct

from crocusvalve.base import VersionRef
from crocusvalve.store.base import (
    Rating,
    RatingRequest,
    Row,
    VmInfo,
    WeightReservation,
    Write,
    WriteResult,
)
from crocusvalve.utils import decode_json, decode_untrusted

__all__ = [
    "ANSWER_LOST_STATUS",
    "JSON_TYPE",
    "MSGPACK_TYPE",
    "GetReply",
    "GetRequest",
    "ListVmsReply",
    "ListVmsRequest",
    "ObjectReply",
    "ObjectRequest",
    "PlatformCall",
    "PutReply",
    "PutRequest",
    "RateReply",
    "RateRequest",
    "ReserveReply",
    "ReserveRequest",
    "ScanReply",
    "ScanRequest",
    "TransactReply",
    "TransactRequest",
    "decode_message",
    "encode_message",
]

MSGPACK_TYPE = "application/msgpack"
JSON_TYPE = "application/json"
#: HTTP status of a reply that leaves open whether the call took effect.
ANSWER_LOST_STATUS = 504


class TransactRequest(Struct, frozen=True):
    """Request for one transaction."""

    writes: tuple[Write, ...]


class TransactReply(Struct, frozen=True):
    """Results of a transaction, in the order of its writes."""

    results: tuple[WriteResult, ...]


class GetRequest(Struct, frozen=True):
    """Request for a row."""

    table: str
    key: str


class GetReply(Struct, frozen=True):
    """The requested row, or None if it does not exist."""

    row: Row | None


class ScanRequest(Struct, frozen=True):
    """Request for up to ``limit`` rows with a key prefix, after the key ``after``."""

    table: str
    prefix: str = ""
    after: str = ""
    limit: int = 1000


class ScanReply(Struct, frozen=True):
    """The requested rows, ordered by key."""

    rows: tuple[Row, ...]


class PutRequest(Struct, frozen=True):
    """Request to store an object."""

    name: str
    data: bytes


class PutReply(Struct, frozen=True):
    """Confirmation that an object is stored."""


class ObjectRequest(Struct, frozen=True):
    """Request for an object."""

    name: str


class ObjectReply(Struct, frozen=True):
    """The requested object, or None if it does not exist."""

    data: bytes | None


class ListVmsRequest(Struct, frozen=True):
    """Request for the list of VMs."""


class ListVmsReply(Struct, frozen=True):
    """The list of VMs."""

    vms: tuple[VmInfo, ...]


class RateRequest(Struct, frozen=True):
    """Request to rate an answer."""

    req: RatingRequest


class RateReply(Struct, frozen=True):
    """Rating of an answer."""

    rating: Rating


class ReserveRequest(Struct, frozen=True):
    """Request to reserve one load of a version's weights."""

    version: VersionRef


class ReserveReply(Struct, frozen=True):
    """Reply to a weight reservation, granted or not."""

    reservation: WeightReservation


class PlatformCall(Enum):
    """Calls of the service; each value holds the path, the request type and the reply type."""

    TRANSACT = ("transact", TransactRequest, TransactReply)
    GET = ("get", GetRequest, GetReply)
    SCAN = ("scan", ScanRequest, ScanReply)
    PUT = ("put", PutRequest, PutReply)
    OBJECT = ("object", ObjectRequest, ObjectReply)
    LIST_VMS = ("list_vms", ListVmsRequest, ListVmsReply)
    RATE = ("rate", RateRequest, RateReply)
    RESERVE = ("reserve", ReserveRequest, ReserveReply)

    @property
    def path(self) -> str:
        """URL path of the call on the server."""
        return f"/v1/{self.value[0]}"

    @property
    def request_type(self) -> type:
        """Message type of the request."""
        return self.value[1]

    @property
    def reply_type(self) -> type:
        """Message type of the reply."""
        return self.value[2]


def encode_message(message: Any, content_type: str = MSGPACK_TYPE) -> bytes:
    """Encode a message as JSON if the content type says so, else as MessagePack."""
    if content_type == JSON_TYPE:
        return msgspec.json.encode(message)
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes, message_type: type, content_type: str = MSGPACK_TYPE) -> Any:
    """Decode a message; raises ``msgspec.DecodeError`` if it is malformed or of another type."""
    if content_type == JSON_TYPE:
        return decode_json(data, message_type)
    return decode_untrusted(msgspec.msgpack.Decoder(message_type), data)
