"""Why and in which state a caller's connection ended."""

from enum import Enum

from msgspec import Struct

__all__ = ["ConnectionEnd", "ConnectionEndReason", "RequestProgress"]


class ConnectionEndReason(Enum):
    """Why a caller's connection was closed."""

    IDLE = "idle"
    CALLER_LEFT = "caller_left"
    #: The last answer said that the connection would be closed.
    LAST_ANSWER = "last_answer"
    #: A request that was invalid, too long or incomplete was refused.
    BAD_REQUEST = "bad_request"
    ABORTED_ANSWER = "aborted_answer"
    UNEXPECTED_ERROR = "unexpected_error"
    #: The process ended.
    STOPPED = "stopped"


class RequestProgress(Enum):
    """How far a connection's current request and its answer have got."""

    NONE = "none"
    READ_IN_PART = "read_in_part"
    READ = "read"
    ANSWERED_IN_PART = "answered_in_part"


class ConnectionEnd(Struct, frozen=True, kw_only=True):
    """End of a caller's connection.

    Attributes
    ----------
    progress : RequestProgress
        Progress of the request at the end.
    request_id : str
        Id of this request; empty if there is none or its head was not read.
    error : BaseException or None
        Unexpected exception that ended the connection.
    """

    reason: ConnectionEndReason
    progress: RequestProgress = RequestProgress.NONE
    request_id: str = ""
    error: BaseException | None = None

    @property
    def is_loss(self) -> bool:
        """Whether a request that was read has no complete answer, by no act of its caller."""
        has_request = self.progress is not RequestProgress.NONE
        return has_request and self.reason is not ConnectionEndReason.CALLER_LEFT
