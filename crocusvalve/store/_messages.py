"""Messages between the HTTP client of the platform's service and its server, as MessagePack."""

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
#: Status with which the service says that it can't tell whether a call took effect.
ANSWER_LOST_STATUS = 504


class TransactRequest(Struct, frozen=True):
    """Writes of one transaction."""

    writes: tuple[Write, ...]


class TransactReply(Struct, frozen=True):
    """Results in the order of the writes."""

    results: tuple[WriteResult, ...]


class GetRequest(Struct, frozen=True):
    """Asks for a row."""

    table: str
    key: str


class GetReply(Struct, frozen=True):
    """A row or nothing."""

    row: Row | None


class ScanRequest(Struct, frozen=True):
    """Asks for a page of rows."""

    table: str
    prefix: str = ""
    after: str = ""
    limit: int = 1000


class ScanReply(Struct, frozen=True):
    """Rows by key."""

    rows: tuple[Row, ...]


class PutRequest(Struct, frozen=True):
    """Stores an object."""

    name: str
    data: bytes


class PutReply(Struct, frozen=True):
    """The object is stored."""


class ObjectRequest(Struct, frozen=True):
    """Asks for an object."""

    name: str


class ObjectReply(Struct, frozen=True):
    """An object or nothing."""

    data: bytes | None


class ListVmsRequest(Struct, frozen=True):
    """Asks for the list of VMs."""


class ListVmsReply(Struct, frozen=True):
    """The list of VMs."""

    vms: tuple[VmInfo, ...]


class RateRequest(Struct, frozen=True):
    """Asks for a rating."""

    req: RatingRequest


class RateReply(Struct, frozen=True):
    """A rating."""

    rating: Rating


class ReserveRequest(Struct, frozen=True):
    """Reserves a load of weights."""

    version: VersionRef


class ReserveReply(Struct, frozen=True):
    """Reply to a reservation."""

    reservation: WeightReservation


class PlatformCall(Enum):
    """Calls of the service; the value is the path and the types of request and reply."""

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
        """Path on the server."""
        return f"/v1/{self.value[0]}"

    @property
    def request_type(self) -> type:
        """Type of the request."""
        return self.value[1]

    @property
    def reply_type(self) -> type:
        """Type of the reply."""
        return self.value[2]


def encode_message(message: Any, content_type: str = MSGPACK_TYPE) -> bytes:
    """Encode a message as MessagePack, or as JSON where the content type says so."""
    if content_type == JSON_TYPE:
        return msgspec.json.encode(message)
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes, message_type: type, content_type: str = MSGPACK_TYPE) -> Any:
    """Decode a message of a type; raises ``msgspec.DecodeError`` on damage."""
    if content_type == JSON_TYPE:
        return msgspec.json.decode(data, type=message_type)
    return msgspec.msgpack.decode(data, type=message_type)
