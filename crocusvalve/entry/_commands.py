"""Commands that the core of an entry returns, for its runtime to execute."""

from msgspec import Struct

from crocusvalve.base import AttemptId, Command, ModelRef, RequestId, UpstreamId, VersionRef
from crocusvalve.exceptions import InvariantError, RefusedError
from crocusvalve.model import RequestRow
from crocusvalve.rpc import RunRequest, Usage

__all__ = [
    "AnswerSummary",
    "CancelAttempt",
    "Deliver",
    "Finish",
    "ReportInvariantError",
    "RateAnswer",
    "Refuse",
    "ResumeAttempt",
    "SampleAnswer",
    "ShareQuarantine",
    "StartAttempt",
]


class AnswerSummary(Struct, frozen=True, kw_only=True):
    """Summary of a complete answer: origin, usage, cost and HTTP status.

    ``cost`` (in currency units) and ``usage`` sum over all steps of the cascade.
    """

    request_id: RequestId
    model: ModelRef
    version: VersionRef
    upstream_id: UpstreamId
    usage: Usage
    cost: float
    n_attempts: int
    finish_reason: str
    status: int
    content_type: str


class StartAttempt(Command, Struct, frozen=True):
    """Send the attempt ``run`` to the agent at ``address``."""

    address: str
    run: RunRequest


class ResumeAttempt(Command, Struct, frozen=True):
    """Request the rest of an attempt from the agent at ``address``.

    ``from_seq`` is the sequence number of the first missing frame; the request is sent no earlier
    than ``not_before``, in Unix seconds.
    """

    address: str
    upstream_id: UpstreamId
    attempt_id: AttemptId
    from_seq: int
    not_before: float


class CancelAttempt(Command, Struct, frozen=True):
    """Cancel an attempt, whose result is not used, at the agent at ``address``."""

    address: str
    attempt_id: AttemptId


class Deliver(Command, Struct, frozen=True):
    """Send a part of the answer to the caller."""

    request_id: RequestId
    version: VersionRef
    upstream_id: UpstreamId
    data: bytes


class Finish(Command, Struct, frozen=True):
    """End a request whose complete answer has been delivered."""

    request_id: RequestId
    summary: AnswerSummary


class Refuse(Command, Struct, frozen=True):
    """End a request without an answer and send the error to its caller immediately."""

    request_id: RequestId
    error: RefusedError


class RateAnswer(Command, Struct, frozen=True):
    """Rate an answer to decide whether to deliver it or to continue the cascade."""

    request_id: RequestId
    attempt_id: AttemptId
    version: VersionRef
    answer: bytes


class SampleAnswer(Command, Struct, frozen=True):
    """Rate a delivered answer, only to update the quality estimates."""

    req: RequestRow
    version: VersionRef
    answer: bytes


class ShareQuarantine(Command, Struct, frozen=True):
    """Notify the other entries that a request digest crashed an upstream."""

    digest: str
    n_crashes: int


class ReportInvariantError(Command, Struct, frozen=True):
    """Report that an invariant did not hold; the action that it guards was not executed."""

    error: InvariantError
