"""Messages between the processes of the system, encoded as MessagePack by msgspec."""

from enum import Enum

from msgspec import Struct

from crocusvalve.base import (
    AttemptId,
    BootId,
    ClassKind,
    CustomerId,
    ExecutionStatus,
    NodeId,
    Priority,
    RequestId,
    Revision,
    SessionId,
    UpstreamId,
    UpstreamKind,
    UpstreamState,
    VersionRef,
)

__all__ = [
    "BillRecord",
    "BillsAck",
    "BillsReply",
    "CancelRequest",
    "ConfigAck",
    "ConfigPush",
    "CrashRecord",
    "Empty",
    "FenceReply",
    "FenceRequest",
    "Final",
    "Frame",
    "LoadReport",
    "Notice",
    "NoticeAck",
    "NoticeKind",
    "NoticeList",
    "Refused",
    "ResumeRequest",
    "RunEvent",
    "RunRequest",
    "UpstreamOrder",
    "UpstreamOrderAction",
    "UpstreamOrderReply",
    "Usage",
]


class Usage(Struct, frozen=True):
    """Tokens of one attempt."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class RunRequest(Struct, frozen=True, kw_only=True):
    """One attempt, from an entry to the agent of an upstream.

    ``body`` is the JSON body for an engine, or the raw body for a plain service, which ``service``
    names, qualified. ``boot_id`` is the agent's run that must take the attempt, or empty where any
    may. ``deadline`` is Unix time in seconds. ``cost_before``, ``usage_before`` and ``n_attempts``
    tell what the request's earlier cascade steps used, so that the agent of each step can hold the
    bill of the whole request; ``may_escalate`` tells that a later step may replace this one's bill.
    """

    attempt_id: AttemptId
    request_id: RequestId
    entry_id: NodeId
    customer_id: CustomerId
    class_name: str
    kind: ClassKind
    upstream_id: UpstreamId
    upstream_kind: UpstreamKind
    version: VersionRef
    revision: Revision
    deadline: float
    priority: Priority
    body: bytes
    digest: str
    session_id: SessionId = SessionId("")
    idempotency_key: str = ""
    boot_id: BootId = BootId("")
    method: str = "POST"
    path: str = "/v1/chat/completions"
    content_type: str = "application/json"
    service: str = ""
    cost_before: float = 0.0
    usage_before: Usage = Usage()
    n_attempts: int = 1
    may_escalate: bool = False


class Frame(Struct, frozen=True, tag="frame"):
    """A part of an answer; ``seq`` counts from 0 without gaps. ``data`` is answer text (UTF-8)
    of an engine, or raw body of a plain service.
    """

    attempt_id: AttemptId
    seq: int
    data: bytes


class Final(Struct, frozen=True, tag="final"):
    """End of a whole answer: number of frames and digest over their data in order."""

    attempt_id: AttemptId
    n_frames: int
    digest: str
    usage: Usage
    finish_reason: str
    service_s: float
    status: int = 200
    content_type: str = "application/json"


class Refused(Struct, frozen=True, tag="refused"):
    """The attempt was refused or failed; ``code`` is the name of an ``ErrorCode`` member."""

    attempt_id: AttemptId
    code: str
    message: str
    ran: ExecutionStatus
    step: str
    peer: str
    retry_after_s: float | None = None
    crashed: bool = False


RunEvent = Frame | Final | Refused


class ResumeRequest(Struct, frozen=True):
    """Asks an agent for the frames of an attempt from a sequence number on."""

    attempt_id: AttemptId
    from_seq: int


class CancelRequest(Struct, frozen=True):
    """The entry no longer wants an attempt."""

    attempt_id: AttemptId


class FenceRequest(Struct, frozen=True):
    """Asks an agent never to start an attempt that it has not started.

    ``deadline`` is that of the attempt; without it an agent that does not know the attempt can't
    tell whether it has forgotten it.
    """

    attempt_id: AttemptId
    boot_id: BootId
    deadline: float = 0.0


class FenceReply(Struct, frozen=True):
    """What the agent knows of a fenced attempt; NOT_RUN is binding from now on."""

    attempt_id: AttemptId
    ran: ExecutionStatus
    boot_id: BootId


class CrashRecord(Struct, frozen=True):
    """An attempt under which the upstream crashed, by the digest of its request."""

    digest: str
    attempt_id: AttemptId


class LoadReport(Struct, frozen=True, kw_only=True):
    """State of an upstream as its agent sees it; ``ewma_service_s`` in seconds a request.

    ``crashes`` are the last ones, so that entries learn of them even where the attempt's own
    stream was cut. ``loaded`` are the versions in the engine's memory, None where the upstream does
    not tell them; ``serves`` are those of them that the document names.
    """

    upstream_id: UpstreamId
    boot_id: BootId
    state: UpstreamState
    in_flight: int
    limit: int
    queued: int
    ewma_service_s: float
    revision: Revision
    at: float
    serves: tuple[VersionRef, ...] = ()
    crashes: tuple[CrashRecord, ...] = ()
    loaded: tuple[VersionRef, ...] | None = None


class Empty(Struct, frozen=True):
    """Nothing."""


class ConfigPush(Struct, frozen=True):
    """A revision; ``base`` 0 means ``payload`` is a whole document, else a delta on ``base``."""

    revision: Revision
    base: Revision
    payload: bytes


class ConfigAck(Struct, frozen=True):
    """Revision in force at the receiver; ``need_full`` asks for the whole document."""

    revision: Revision
    need_full: bool = False


class NoticeKind(Enum):
    """Subject of a notice."""

    DOMAIN_OUT = "domain_out"
    DOMAIN_IN = "domain_in"
    QUARANTINE = "quarantine"
    LEAVING = "leaving"
    WITHDRAWN = "withdrawn"


class Notice(Struct, frozen=True, kw_only=True):
    """An urgent fact passed between processes; the highest ``number`` for a subject wins."""

    kind: NoticeKind
    subject: str
    number: int
    issuer: str
    signature: str = ""


class NoticeAck(Struct, frozen=True):
    """Whether the notice was new to the receiver."""

    is_new: bool


class NoticeList(Struct, frozen=True):
    """Notices in force at an entry, for one that has just started."""

    notices: tuple[Notice, ...]


class BillRecord(Struct, frozen=True, kw_only=True):
    """What a customer owes for one request, over all attempts and cascade steps."""

    request_id: RequestId
    customer_id: CustomerId
    class_name: str
    version: VersionRef
    upstream_id: UpstreamId
    usage: Usage
    cost: float
    n_attempts: int
    at: float


class BillsAck(Struct, frozen=True):
    """Requests whose bills are in the ledger; the agent may forget them."""

    request_ids: tuple[RequestId, ...]


class BillsReply(Struct, frozen=True):
    """Bills that an agent still holds."""

    bills: tuple[BillRecord, ...]


class UpstreamOrderAction(Enum):
    """What an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class UpstreamOrder(Struct, frozen=True, kw_only=True):
    """An order of the controller to an engine; ``number`` is that of the controller's lease.

    ``role`` names the role that an order of kind ``ROLE`` asks for.
    """

    action: UpstreamOrderAction
    number: int
    version: VersionRef = VersionRef("")
    role: str = "full"


class UpstreamOrderReply(Struct, frozen=True):
    """Effect of an order; ``ready_at`` is when a load will be done, in Unix seconds.

    ``code`` is the name of an ``ErrorCode`` member where the order was not accepted, and ``ran``
    tells whether the engine may have carried it out.
    """

    accepted: bool
    number: int
    ready_at: float = 0.0
    code: str = ""
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN
