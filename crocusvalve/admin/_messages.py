"""Messages of the operators' API, sent as JSON."""

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
    """The document in force as TOML: the member's own section and the models shared with it.

    ``section_digest`` is the digest of the member's own section.
    """

    revision: Revision
    member: MemberId
    environment: str
    document: str
    section_digest: str


class ConfigChange(Struct, frozen=True, forbid_unknown_fields=True):
    """A document to put in force; ``base`` is the revision it was made from.

    If ``section_digest`` of that revision is given, later changes by other members cause no
    conflict. ``source`` names the file in error messages. Sections of other members may be omitted.
    """

    base: Revision
    document: str
    source: str = "document"
    section_digest: str = ""


class PlanReply(Struct, frozen=True):
    """Changes that a document would make, or has made, and the revision in force."""

    revision: Revision
    changes: list[Change] = []


class Accepted(Struct, frozen=True):
    """An accepted change.

    ``by_notice`` means that the store is unavailable: the change is distributed to the other
    processes by a notice and is not in the document yet.
    """

    revision: Revision
    by_notice: bool = False


class HistoryEntry(Struct, frozen=True):
    """An accepted revision; ``at`` is the Unix time of its acceptance in seconds."""

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
    """State of a roll-out and the counts that its policy decides by.

    ``share`` is the fraction of new contacts that get the version; a contact is a session, or a
    request outside a session. ``stage_since`` is the start of the stage, Unix time in seconds.
    """

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
        """Return the status of the roll-out in a row of the table."""
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
    """Roll-outs of the models of the operator's member."""

    rollouts: list[RolloutStatus]


class UsageEntry(Struct, frozen=True):
    """Usage of one version by one customer in one class; ``cost`` is in currency units."""

    customer_id: CustomerId
    class_name: str
    version: VersionRef
    n_requests: int
    prompt_tokens: int
    completion_tokens: int
    cost: float


class UsageReply(Struct, frozen=True):
    """Usage by the member's customers in ``[since, until)``, Unix time in seconds."""

    since: float
    until: float
    entries: list[UsageEntry]


class UpstreamStatus(Struct, frozen=True):
    """Last state of an upstream known to the answering entry.

    ``revision`` is that of the configuration in force there; ``reported_at`` is the Unix time of
    the report in seconds.
    """

    upstream_id: UpstreamId
    domain: DomainId
    state: UpstreamState
    in_flight: int
    limit: int
    queued: int
    revision: Revision
    reported_at: float


class StatusReport(Struct, frozen=True, kw_only=True):
    """Status of the answering entry, with the member's own upstreams and failure domains.

    ``outbox`` is the number of bills not yet written to the store, ``queued`` that of requests in
    the entry's queue.
    """

    node_id: NodeId
    revision: Revision
    is_store_up: bool
    outbox: int
    queued: int
    domains: dict[DomainId, DomainState]
    upstreams: list[UpstreamStatus]


class AdminError(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An error: its code, the step that failed and the peer concerned.

    ``problems`` lists those of an invalid document, and ``revision`` is the newer revision that
    caused a conflict. ``maybe_applied`` means that the change may have taken effect.
    """

    code: str
    message: str
    step: str = ""
    peer: str = ""
    problems: list[str] = []
    revision: int = 0
    maybe_applied: bool = False
    retry_after_s: float | None = None


class ErrorReply(Struct, frozen=True):
    """Body of an error response."""

    error: AdminError


def find_error_code(code: str) -> ErrorCode:
    """Return the ``ErrorCode`` with a code string, or ``INTERNAL`` if there is none."""
    for item in ErrorCode:
        if item.code == code:
            return item
    return ErrorCode.INTERNAL
