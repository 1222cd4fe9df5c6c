"""Rows of the tables that a process holds in memory."""

from collections import deque

from msgspec import Struct, field

from crocusvalve.base import (
    AttemptId,
    AttemptState,
    BootId,
    ClassKind,
    CustomerId,
    DomainId,
    MemberId,
    ModelRef,
    NodeId,
    Priority,
    RequestId,
    RequestState,
    Revision,
    RolloutState,
    SessionId,
    UpstreamId,
    UpstreamKind,
    UpstreamState,
    VersionRef,
)

__all__ = [
    "BANNED_CRASHES",
    "AttemptRow",
    "CustomerRow",
    "EstimateRow",
    "QuarantineRow",
    "RequestRow",
    "RolloutRow",
    "UpstreamRow",
]

#: Crashes from which on a request digest is refused for good.
BANNED_CRASHES = 2


class RequestRow(Struct, kw_only=True):
    """A request at its entry; instants in Unix seconds, cost in currency units.

    ``n_redirects`` counts the attempts that an agent refused before any work.
    ``preferred_upstream`` comes from the session's token.

    ``steps`` holds the models still to try, cheapest first; ``step`` counts those done.
    ``cascade`` is its local name, and ``service`` names a plain service, qualified; either may be
    empty.
    """

    request_id: RequestId
    customer_id: CustomerId
    member: MemberId
    class_name: str
    kind: ClassKind
    priority: Priority
    arrived_at: float
    deadline: float
    body: bytes
    digest: str
    prefix_digest: str = ""
    steps: tuple[ModelRef, ...] = ()
    step: int = 0
    cascade: str = ""
    version: VersionRef = VersionRef("")
    pinned_version: VersionRef = VersionRef("")
    service: str = ""
    method: str = "POST"
    path: str = ""
    session_id: SessionId = SessionId("")
    idempotency_key: str = ""
    is_repeatable: bool = True
    is_stream: bool = False
    state: RequestState = RequestState.QUEUED
    n_attempts: int = 0
    max_attempts: int = 3
    not_before: float = 0.0
    hedge_at: float = 0.0
    avoid: set[UpstreamId] = field(default_factory=set)
    preferred_upstream: UpstreamId = UpstreamId("")
    n_redirects: int = 0
    n_frames_out: int = 0
    cost: float = 0.0
    quality_target: float = 0.0


class AttemptRow(Struct, kw_only=True):
    """An attempt at its entry."""

    attempt_id: AttemptId
    request_id: RequestId
    upstream_id: UpstreamId
    version: VersionRef
    started_at: float
    state: AttemptState = AttemptState.STARTING
    next_seq: int = 0
    is_hedge: bool = False
    boot_id: BootId = BootId("")
    last_frame_at: float = 0.0


class UpstreamRow(Struct, kw_only=True):
    """An upstream as an entry sees it.

    ``in_flight`` counts this entry's own attempts; the ``reported_*`` fields come from the last
    load report, taken at ``reported_at`` by the agent's clock and heard at ``heard_at`` by the
    entry's. ``own_at_report`` is ``in_flight`` at the instant of the report, looked up in
    ``own_history``. ``failed_at`` is when the last attempt failed. ``full_until`` ends a short
    pause after a refusal as full. ``loaded`` are the versions in the engine's memory, None where
    it does not tell them. ``drained_boot`` is the run of the agent that said it drains;
    ``past_boots`` are its former runs.
    """

    upstream_id: UpstreamId
    domain: DomainId
    region: str
    agent: str
    kind: UpstreamKind
    serves: tuple[VersionRef, ...] = ()
    loaded: tuple[VersionRef, ...] | None = None
    in_flight: int = 0
    state: UpstreamState = UpstreamState.COLD
    boot_id: BootId = BootId("")
    reported_in_flight: int = 0
    reported_limit: int = 1
    reported_queued: int = 0
    ewma_service_s: float = 0.5
    reported_at: float = 0.0
    revision: Revision = Revision(0)
    n_failures: int = 0
    failed_at: float = 0.0
    retry_at: float = 0.0
    leaving: bool = False
    leaving_at: float = 0.0
    heard_at: float = 0.0
    probed_at: float = 0.0
    boot_at: float = 0.0
    drained_boot: BootId = BootId("")
    past_boots: tuple[BootId, ...] = ()
    own_at_report: int = 0
    own_history: deque[tuple[float, int]] = field(default_factory=deque)
    in_subset: bool = True
    full_until: float = 0.0
    prefixes: dict[str, float] = field(default_factory=dict)


class CustomerRow(Struct, kw_only=True):
    """A customer's use at one entry; ``tokens`` are those of its rate limit's bucket."""

    customer_id: CustomerId
    tokens: float
    refilled_at: float
    in_flight: int = 0
    queued: int = 0
    virtual_time: float = 0.0


class QuarantineRow(Struct, kw_only=True):
    """A request digest that crashed upstreams; refused for good from the second crash on."""

    digest: str
    n_crashes: int
    crashed_at: float
    upstreams: set[UpstreamId] = field(default_factory=set)

    @property
    def is_banned(self) -> bool:
        """Whether requests of the digest are refused for good."""
        return self.n_crashes >= BANNED_CRASHES


class EstimateRow(Struct, kw_only=True):
    """Quality of a version for a customer's class, as a Beta distribution."""

    version: VersionRef
    customer_id: CustomerId
    class_name: str
    alpha: float
    beta: float
    updated_at: float


class RolloutRow(Struct, kw_only=True):
    """State of a roll-out as it stands in the platform's service.

    ``number`` rises by one with each write; ``lease_number`` is that of the controller's lease.
    ``n_contacts`` counts answers of the new version, rated or not; while ``is_paused`` no first
    contact goes to the new version.
    """

    rollout_id: str
    model: ModelRef
    version: VersionRef
    baseline: VersionRef
    stages: tuple[float, ...]
    stage: int = 0
    stage_since: float = 0.0
    state: RolloutState = RolloutState.RUNNING
    number: int = 0
    n_good: int = 0
    n_bad: int = 0
    n_baseline_good: int = 0
    n_baseline_bad: int = 0
    reason: str = ""
    controller: NodeId = NodeId("")
    lease_number: int = 0
    n_contacts: int = 0
    is_paused: bool = False
    stage_s: float = 300.0
    policy: str = "sequential"
