"""What the admission queue knows of a waiting request."""

from collections.abc import Hashable
from enum import Enum

from msgspec import Struct

__all__ = ["AdmissionRequest", "RefusalReason", "Ticket", "WaitingBytes"]


class RefusalReason(Enum):
    """Why a request is refused."""

    #: More requests are ahead than start before it must have started.
    TOO_LATE = "too_late"
    #: It has waited as long as it may.
    WAITED = "waited"
    #: Upstreams accept requests only after it must have started.
    CLOSED = "closed"
    #: The bodies of waiting requests take all the memory that they may.
    MEMORY = "memory"
    #: Upstreams have rejected it, and it may not be sent again, or its deadline has passed.
    REJECTED = "rejected"


class AdmissionRequest(Struct, frozen=True, kw_only=True):
    """What the queue knows of a request.

    Attributes
    ----------
    key : str
        Identifies the request if its caller sends it again.
    rank : int
        Urgency; 0 is served first.
    kind : hashable
        Requests of the same kind can be sent to the same upstreams.
    start_by : float
        Local time in seconds by which it must start to meet its goal.
    n_bytes : int
        Size of its body.
    was_sent : bool
        Whether it was sent before, so that its caller has waited longer.
    was_rejected : bool
        Whether it was sent before and hasn't run.
    """

    key: str
    customer: str
    rank: int
    kind: Hashable
    start_by: float
    n_bytes: int = 0
    was_sent: bool = False
    was_rejected: bool = False


class Ticket(Struct, eq=False, kw_only=True):
    """A request in the queue.

    Attributes
    ----------
    wait_until : float
        Local time in seconds until which it may wait.
    is_returning : bool
        Whether its caller was told to return about now, or it was sent before.
    is_offered : bool
        Whether it is to be sent now, if an upstream is found.
    is_waiting : bool
        Whether it couldn't be sent when it came.
    is_held : bool
        Whether it waits for its own part to leave room for more urgent ones.
    refusal : RefusalReason or None
        Why it is refused.
    """

    req: AdmissionRequest
    sequence: int
    joined_at: float
    wait_until: float
    is_returning: bool = False
    is_offered: bool = False
    is_waiting: bool = False
    is_held: bool = False
    held_bytes: int = 0
    refusal: RefusalReason | None = None


class WaitingBytes(Struct):
    """Size of the bodies of all waiting requests of a gateway, and its bound."""

    limit: int
    size: int = 0
