"""Values of the rows of durable requests, and the commands of their system."""

from enum import Enum

from msgspec import Struct

from crocusvalve.base import Command, CustomerId, RequestId

__all__ = [
    "ClaimRow",
    "DurableRecord",
    "DurableRequest",
    "DurableResult",
    "DurableState",
    "ExpireRow",
    "MarkAlarm",
    "OpenRecord",
    "RenewRow",
]


class DurableState(Enum):
    """State of a durable request."""

    OPEN = "open"
    DONE = "done"
    FAILED = "failed"


class DurableRequest(Struct, frozen=True, kw_only=True):
    """A durable request as its entry takes it; instants in Unix seconds."""

    request_id: RequestId
    customer_id: CustomerId
    class_name: str
    deadline: float
    body: bytes
    digest: str
    alarm_before_s: float = 0.0
    session_id: str = ""


class DurableResult(Struct, frozen=True, kw_only=True):
    """End of a durable request; ``error_code`` is empty where it was answered."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    error_code: str = ""


class DurableRecord(Struct, frozen=True, kw_only=True):
    """The row that stands for a durable request for good.

    It is written twice: when the request is accepted, and when it ends. Large bodies stand in the
    object store, under the names in ``body_object`` and ``result_object``.
    """

    request_id: RequestId
    customer_id: CustomerId
    class_name: str
    accepted_at: float
    deadline: float
    digest: str
    session_id: str = ""
    body: bytes = b""
    body_object: str = ""
    state: DurableState = DurableState.OPEN
    result: DurableResult | None = None
    result_object: str = ""
    ended_at: float = 0.0
    number: int = 0


class OpenRecord(Struct, frozen=True, kw_only=True):
    """The row that stands while a request is open: its lease and its alarm.

    Attributes
    ----------
    holder : str
        Run of a process that works on the request.
    number : int
        Rises with each change of holder.
    ttl_s : float
        Life of the lease after a write of this row, in seconds.
    """

    request_id: RequestId
    customer_id: CustomerId
    class_name: str
    deadline: float
    alarm_at: float
    holder: str
    number: int
    ttl_s: float
    is_alarmed: bool = False


class ClaimRow(Command, Struct, frozen=True):
    """Take over a request whose lease lapsed, and raise its alarm where that is due."""

    request_id: RequestId
    raises_alarm: bool = False


class RenewRow(Command, Struct, frozen=True):
    """Prolong the lease of a request that this process works on."""

    request_id: RequestId
    raises_alarm: bool = False


class MarkAlarm(Command, Struct, frozen=True):
    """Raise the alarm of a request that nobody holds."""

    request_id: RequestId


class ExpireRow(Command, Struct, frozen=True):
    """End a request as failed, since its deadline has passed."""

    request_id: RequestId
