"""Commands that the core of an entry gives to its shell."""

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
    """What is told of a whole answer; cost over all steps, in currency units."""

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
    """Send an attempt to the agent at an address."""

    address: str
    run: RunRequest


class ResumeAttempt(Command, Struct, frozen=True):
    """Ask the agent at an address for the rest of an attempt."""

    address: str
    upstream_id: UpstreamId
    attempt_id: AttemptId
    from_seq: int
    not_before: float


class CancelAttempt(Command, Struct, frozen=True):
    """Cancel an attempt that is no longer wanted."""

    address: str
    attempt_id: AttemptId


class Deliver(Command, Struct, frozen=True):
    """Pass a part of the answer to the caller."""

    request_id: RequestId
    version: VersionRef
    upstream_id: UpstreamId
    data: bytes


class Finish(Command, Struct, frozen=True):
    """The answer is whole."""

    request_id: RequestId
    summary: AnswerSummary


class Refuse(Command, Struct, frozen=True):
    """The request is given up; the caller is told at once."""

    request_id: RequestId
    error: RefusedError


class RateAnswer(Command, Struct, frozen=True):
    """Have an answer rated before it is delivered or the cascade goes on."""

    request_id: RequestId
    attempt_id: AttemptId
    version: VersionRef
    answer: bytes


class SampleAnswer(Command, Struct, frozen=True):
    """Have a delivered answer rated, to learn from."""

    req: RequestRow
    version: VersionRef
    answer: bytes


class ShareQuarantine(Command, Struct, frozen=True):
    """Tell the other entries that a request digest crashed an upstream."""

    digest: str
    n_crashes: int


class ReportInvariantError(Command, Struct, frozen=True):
    """An invariant did not hold; the step it guards was not taken."""

    error: InvariantError
