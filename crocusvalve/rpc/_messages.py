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
    """Tokens that one attempt, or all attempts of a request, used."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class RunRequest(Struct, frozen=True, kw_only=True):
    """One attempt, from an entry to the agent of an upstream.

    ``body`` is the JSON body for an engine, or the raw body for a plain service. ``service`` is the
    qualified name of the plain service. ``boot_id`` is the run of the agent that must execute the
    attempt, or empty if any may. ``deadline`` is in Unix seconds. ``cost_before`` and
    ``usage_before`` are the totals of the request's earlier cascade steps, and ``n_attempts`` is
    the number of its attempts up to this one, so that the agent of each step can store the bill of
    the whole request. ``may_escalate`` means that the bill of a later step may replace the bill of
    this one.
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
    """A chunk of an answer; ``seq`` counts from 0 without gaps.

    ``data`` is the answer text (UTF-8) of an engine, or a part of the raw body of a plain service.
    """

    attempt_id: AttemptId
    seq: int
    data: bytes


class Final(Struct, frozen=True, tag="final"):
    """End of a complete answer.

    ``n_frames`` is the number of frames, ``digest`` the digest of their data in order, and
    ``service_s`` the service time at the upstream in seconds.
    """

    attempt_id: AttemptId
    n_frames: int
    digest: str
    usage: Usage
    finish_reason: str
    service_s: float
    status: int = 200
    content_type: str = "application/json"


class Refused(Struct, frozen=True, tag="refused"):
    """End of an attempt that was refused or failed.

    ``code`` is the name of an ``ErrorCode`` member, ``step`` the step and ``peer`` the process in
    which the error occurred; ``crashed`` means that the upstream crashed during the attempt.
    """

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
    """Asks an agent for the frames of an attempt, starting at sequence number ``from_seq``."""

    attempt_id: AttemptId
    from_seq: int


class CancelRequest(Struct, frozen=True):
    """Asks an agent to cancel an attempt whose result the entry no longer needs."""

    attempt_id: AttemptId


class FenceRequest(Struct, frozen=True):
    """Asks an agent not to start an attempt that it has not started yet.

    ``deadline`` is that of the attempt, in Unix seconds. Without it, an agent that does not know
    the attempt cannot determine whether it knew the attempt earlier and has removed it since.
    """

    attempt_id: AttemptId
    boot_id: BootId
    deadline: float = 0.0


class FenceReply(Struct, frozen=True):
    """Whether a fenced attempt ran, as far as the agent knows.

    After a reply of ``NOT_RUN`` the agent never starts the attempt.
    """

    attempt_id: AttemptId
    ran: ExecutionStatus
    boot_id: BootId


class CrashRecord(Struct, frozen=True):
    """An attempt during which the upstream crashed, with the digest of its request."""

    digest: str
    attempt_id: AttemptId


class LoadReport(Struct, frozen=True, kw_only=True):
    """State and load of an upstream as its agent sees them.

    ``ewma_service_s`` is the moving average of the service time in seconds per request, ``at`` the
    time of the report in Unix seconds. ``crashes`` are the most recent crashes, so that entries
    learn of them even if the stream of the attempt was interrupted. ``loaded`` are the versions in
    the engine's memory, or None if the upstream does not report them; ``serves`` are those of them
    that the configuration assigns to the upstream. ``wait_s`` is the time in seconds until the
    upstream takes the next attempt by the rate that it has named.
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
    wait_s: float = 0.0


class Empty(Struct, frozen=True):
    """Message without fields."""


class ConfigPush(Struct, frozen=True):
    """A configuration revision.

    If ``base`` is 0, ``payload`` is the complete document, otherwise a delta relative to ``base``.
    """

    revision: Revision
    base: Revision
    payload: bytes


class ConfigAck(Struct, frozen=True):
    """Revision in force at the sender of this message.

    ``need_full`` asks for the complete document instead of a delta.
    """

    revision: Revision
    need_full: bool = False


class NoticeKind(Enum):
    """What a notice reports about its subject.

    The subject is a failure domain, the digest of a request that crashes upstreams, an upstream or
    agent that is leaving, or a withdrawn version.
    """

    DOMAIN_OUT = "domain_out"
    DOMAIN_IN = "domain_in"
    QUARANTINE = "quarantine"
    LEAVING = "leaving"
    WITHDRAWN = "withdrawn"


class Notice(Struct, frozen=True, kw_only=True):
    """An urgent notice between processes; the highest ``number`` for a subject wins.

    ``incidents`` names the crashes that a notice of a crashing request counts, so that those of
    different entries add up.
    """

    kind: NoticeKind
    subject: str
    number: int
    issuer: str
    signature: str = ""
    incidents: tuple[str, ...] = ()


class NoticeAck(Struct, frozen=True):
    """Whether the notice was new to the receiver."""

    is_new: bool


class NoticeList(Struct, frozen=True):
    """Notices in force at an entry, for a process that has just started."""

    notices: tuple[Notice, ...]


class BillRecord(Struct, frozen=True, kw_only=True):
    """Bill of one request: its usage and cost over all attempts and cascade steps.

    ``cost`` is in currency units, ``at`` the time of the bill in Unix seconds.
    """

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
    """Requests whose bills are in the ledger, so that the agent may remove them."""

    request_ids: tuple[RequestId, ...]


class BillsReply(Struct, frozen=True):
    """Bills that an agent still stores."""

    bills: tuple[BillRecord, ...]


class UpstreamOrderAction(Enum):
    """What an order asks an engine to do."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class UpstreamOrder(Struct, frozen=True, kw_only=True):
    """An order from the controller to an engine.

    ``number`` is the fencing number: that of the controller's lease. ``role`` is the role that an
    order with the action ``ROLE`` assigns.
    """

    action: UpstreamOrderAction
    number: int
    version: VersionRef = VersionRef("")
    role: str = "full"


class UpstreamOrderReply(Struct, frozen=True):
    """Result of an order; ``ready_at`` is when a load will be complete, in Unix seconds.

    If the order was not accepted, ``code`` is the name of an ``ErrorCode`` member. ``ran`` states
    whether the engine may have executed the order.
    """

    accepted: bool
    number: int
    ready_at: float = 0.0
    code: str = ""
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN
