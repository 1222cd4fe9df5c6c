"""Stored records of durable requests, and the commands that ``DurableSystem`` returns."""

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
    """A durable request as an entry process submits it for acceptance.

    Attributes
    ----------
    deadline : float
        Time at which the request fails if it has no result, in Unix seconds.
    digest : str
        Digest of the request; a repeat under the same id must have the same one.
    alarm_before_s : float
        How long before the deadline the alarm is raised, in seconds; 0 for no alarm.
    """

    request_id: RequestId
    customer_id: CustomerId
    class_name: str
    deadline: float
    body: bytes
    digest: str
    alarm_before_s: float = 0.0
    session_id: str = ""


class DurableResult(Struct, frozen=True, kw_only=True):
    """Final result of a durable request; ``error_code`` is empty if it was answered."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    error_code: str = ""


class DurableRecord(Struct, frozen=True, kw_only=True):
    """Permanent record of a durable request, with its state and result.

    It is written twice: when the request is accepted, and when it ends. Large bodies are in the
    object store, under the names in ``body_object`` and ``result_object``.

    Attributes
    ----------
    accepted_at, deadline, ended_at : float
        Times in Unix seconds; ``ended_at`` is 0 while the request is open.
    number : int
        Lease number under which the request ended; 0 while it is open.
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
    """Lease and alarm of a durable request; its row exists only while the request is open.

    Attributes
    ----------
    deadline, alarm_at : float
        Times in Unix seconds; ``alarm_at`` is infinite if the request has no alarm.
    holder : str
        ``node_id/boot_id`` of the process that holds the lease; empty if it was released.
    number : int
        Lease number; increases each time a process claims the row.
    ttl_s : float
        Time to live of the lease from the last write of this row, in seconds.
    is_alarmed : bool
        Whether the alarm was raised.
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
    """Claim a request whose lease has expired, and raise its alarm if it is due."""

    request_id: RequestId
    raises_alarm: bool = False


class RenewRow(Command, Struct, frozen=True):
    """Renew the lease of a request that this process runs, and raise its alarm if it is due."""

    request_id: RequestId
    raises_alarm: bool = False


class MarkAlarm(Command, Struct, frozen=True):
    """Raise the alarm of a request that no process holds."""

    request_id: RequestId


class ExpireRow(Command, Struct, frozen=True):
    """End a request as failed because its deadline has passed."""

    request_id: RequestId
