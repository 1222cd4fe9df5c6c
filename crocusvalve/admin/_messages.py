"""Messages of the operators' API, JSON on the wire."""

from msgspec import Struct

from crocusvalve.base import (
    CustomerId,
    DomainId,
    DomainState,
    MemberId,
    NodeId,
    Revision,
    RolloutState,
    UpstreamId,
    UpstreamState,
    VersionRef,
)
from crocusvalve.config import Change
from crocusvalve.exceptions import ErrorCode
from crocusvalve.model import RolloutRow

__all__ = [
    "Accepted",
    "AdminError",
    "ConfigChange",
    "ConfigReply",
    "DomainChange",
    "ErrorReply",
    "HistoryEntry",
    "HistoryReply",
    "PlanReply",
    "RolloutStatus",
    "RolloutsReply",
    "StatusReport",
    "UpstreamStatus",
    "UsageEntry",
    "UsageReply",
    "WithdrawRequest",
    "find_error_code",
]


class ConfigReply(Struct, frozen=True):
    """The document in force as TOML: the member's own section and models shared with it.

    ``section_digest`` stands for the contents of the own section.
    """

    revision: Revision
    member: MemberId
    environment: str
    document: str
    section_digest: str


class ConfigChange(Struct, frozen=True, forbid_unknown_fields=True):
    """A document to put in force; ``base`` is the revision it was made from.

    With the ``section_digest`` of that revision, changes by other members since are no conflict.
    ``source`` names the file in messages. Sections of other members may be left out.
    """

    base: Revision
    document: str
    source: str = "document"
    section_digest: str = ""


class PlanReply(Struct, frozen=True):
    """What a document would change, or has changed, at a revision."""

    revision: Revision
    changes: list[Change] = []


class Accepted(Struct, frozen=True):
    """An accepted change; ``by_notice`` tells that the store is down and a notice carries it."""

    revision: Revision
    by_notice: bool = False


class HistoryEntry(Struct, frozen=True):
    """An accepted revision; ``at`` is Unix time in seconds."""

    revision: Revision
    author: str
    at: float
    note: str = ""


class HistoryReply(Struct, frozen=True):
    """Accepted revisions, newest first."""

    entries: list[HistoryEntry]


class DomainChange(Struct, frozen=True, forbid_unknown_fields=True):
    """New state of a failure domain."""

    state: DomainState


class WithdrawRequest(Struct, frozen=True, forbid_unknown_fields=True):
    """A version to withdraw, ``model@version``."""

    version: str


class RolloutStatus(Struct, frozen=True):
    """A roll-out and the counts its policy decides on; ``stage_since`` in Unix seconds."""

    rollout_id: str
    model: str
    version: str
    baseline: str
    state: RolloutState
    stage: int
    share: float
    stage_since: float
    n_good: int
    n_bad: int
    n_baseline_good: int
    n_baseline_bad: int
    reason: str = ""

    @classmethod
    def from_row(cls, row: RolloutRow) -> "RolloutStatus":
        """Make the status of a row."""
        stage = min(row.stage, len(row.stages) - 1)
        return cls(
            rollout_id=row.rollout_id,
            model=row.model,
            version=row.version,
            baseline=row.baseline,
            state=row.state,
            stage=row.stage,
            share=row.stages[stage] if row.stages else 0.0,
            stage_since=row.stage_since,
            n_good=row.n_good,
            n_bad=row.n_bad,
            n_baseline_good=row.n_baseline_good,
            n_baseline_bad=row.n_baseline_bad,
            reason=row.reason,
        )


class RolloutsReply(Struct, frozen=True):
    """Roll-outs of the member's models."""

    rollouts: list[RolloutStatus]


class UsageEntry(Struct, frozen=True):
    """Use of one version by one class of one customer; cost in currency units."""

    customer_id: CustomerId
    class_name: str
    version: VersionRef
    n_requests: int
    prompt_tokens: int
    completion_tokens: int
    cost: float


class UsageReply(Struct, frozen=True):
    """Usage of the member's customers within ``[since, until)``, Unix seconds."""

    since: float
    until: float
    entries: list[UsageEntry]


class UpstreamStatus(Struct, frozen=True):
    """An upstream as the answering entry sees it; ``reported_at`` in Unix seconds."""

    upstream_id: UpstreamId
    domain: DomainId
    state: UpstreamState
    in_flight: int
    limit: int
    queued: int
    revision: Revision
    reported_at: float


class StatusReport(Struct, frozen=True, kw_only=True):
    """State of the answering entry, with the member's own upstreams and domains."""

    node_id: NodeId
    revision: Revision
    is_store_up: bool
    outbox: int
    queued: int
    domains: dict[DomainId, DomainState]
    upstreams: list[UpstreamStatus]


class AdminError(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A refusal: code, step and peer; ``problems`` of a document, ``revision`` of a conflict."""

    code: str
    message: str
    step: str = ""
    peer: str = ""
    problems: list[str] = []
    revision: int = 0
    maybe_applied: bool = False
    retry_after_s: float | None = None


class ErrorReply(Struct, frozen=True):
    """Body of a refusal."""

    error: AdminError


def find_error_code(code: str) -> ErrorCode:
    """Return the error code of a text; unknown texts count as ``INTERNAL``."""
    for item in ErrorCode:
        if item.code == code:
            return item
    return ErrorCode.INTERNAL
