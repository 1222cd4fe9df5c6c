"""Row types of the in-memory tables of a process."""

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
    "N_CRASHES_TO_BAN",
    "AttemptRow",
    "CustomerRow",
    "EstimateRow",
    "QuarantineRow",
    "RequestRow",
    "RolloutRow",
    "UpstreamRow",
]

#: Number of upstream crashes after which requests with the same digest are always refused.
N_CRASHES_TO_BAN = 2


class RequestRow(Struct, kw_only=True):
    """A request at the entry that accepted it; instants in Unix seconds, cost in currency units.

    Attributes
    ----------
    digest, prefix_digest : str
        Digest of the request, and of the prompt prefix that an upstream may have cached.
    steps : tuple of ModelRef
        Models to try one after the other, cheapest first.
    step : int
        Index in ``steps`` of the present model; the ones before it are done.
    cascade : str
        Name of the cascade within the member's section, or empty.
    pinned_version : VersionRef
        Version pinned by the session or the caller, or empty.
    service : str
        Plain service, written ``member/service``, or empty.
    is_repeatable : bool
        Whether the request may be sent to an upstream more than once.
    not_before : float
        Earliest instant of the next attempt.
    hedge_at : float
        When a second, parallel attempt may start; 0 for never.
    avoid : set of UpstreamId
        Upstreams that further attempts avoid while other candidates exist.
    preferred_upstream : UpstreamId
        Upstream named by the session's token, or empty.
    n_redirects : int
        Attempts that an agent refused before it did any work.
    n_frames_out : int
        Frames of the answer already sent to the caller.
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
    """An attempt at the entry that started it; instants in Unix seconds.

    ``next_seq`` is the sequence number of the next expected frame of the answer; ``boot_id`` is
    the last known run of the agent at the start of the attempt.
    """

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
    """State of an upstream as one entry knows it; instants in Unix seconds, 0 if unset.

    Attributes
    ----------
    agent : str
        Address of its agent, ``host:port``.
    serves : tuple of VersionRef
        Versions that take requests, as declared or as last reported by the agent.
    loaded : tuple of VersionRef or None
        Versions in the engine's memory; None if the engine does not report them.
    in_flight : int
        Running attempts of this entry alone.
    boot_id : BootId
        Run of the agent that sent the last accepted report.
    reported_in_flight, reported_limit, reported_queued : int
        Load of all entries together, from the last load report.
    ewma_service_s : float
        Moving average of the service time, in seconds.
    reported_at : float
        When the last report was made, by the agent's clock.
    n_failures : int
        Failed attempts in a row.
    failed_at : float
        When the last attempt failed.
    retry_at : float
        End of the ejection that follows several failures.
    is_leaving : bool
        Whether the upstream is closed because its VM or the present run of its agent leaves.
    leaving_updated_at : float
        Instant of the information behind ``is_leaving``; older VM lists are ignored.
    last_seen_at : float
        When the last report or answer arrived, by the entry's clock.
    probed_at : float
        When the entry last asked the agent for a report.
    boot_seen_at : float
        When the first report of the run ``boot_id`` arrived.
    draining_boot_id : BootId
        Run of the agent that reported that it drains, or that a notice announced as leaving; the
        upstream stays closed until another run reports.
    previous_boot_ids : tuple of BootId
        Former runs of the agent, newest first.
    local_in_flight_at_report : int
        ``in_flight`` at the instant of the last report, looked up in
        ``local_in_flight_history``.
    local_in_flight_history : deque of (float, int)
        Instant and ``in_flight`` at each recent start or end of an attempt.
    in_subset : bool
        Whether the upstream belongs to the subset that the entry sends requests to.
    full_until : float
        End of the short pause after the upstream refused an attempt as full.
    prefix_hint_expiry : dict
        When the hint that the upstream caches a prompt prefix expires, by prefix digest.
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
    is_leaving: bool = False
    leaving_updated_at: float = 0.0
    last_seen_at: float = 0.0
    probed_at: float = 0.0
    boot_seen_at: float = 0.0
    draining_boot_id: BootId = BootId("")
    previous_boot_ids: tuple[BootId, ...] = ()
    local_in_flight_at_report: int = 0
    local_in_flight_history: deque[tuple[float, int]] = field(default_factory=deque)
    in_subset: bool = True
    full_until: float = 0.0
    prefix_hint_expiry: dict[str, float] = field(default_factory=dict)


class CustomerRow(Struct, kw_only=True):
    """A customer's usage at one entry.

    ``tokens`` is the level of the token bucket of its rate limit, last refilled at ``refilled_at``
    (Unix time in seconds).
    """

    customer_id: CustomerId
    tokens: float
    refilled_at: float
    in_flight: int = 0
    queued: int = 0
    virtual_time: float = 0.0


class QuarantineRow(Struct, kw_only=True):
    """A request digest that crashed upstreams; always refused from the second crash on.

    ``upstreams`` holds one ``upstream#incident`` per known crash; ``n_crashes`` may be higher, as
    peers report the number alone.
    """

    digest: str
    n_crashes: int
    crashed_at: float
    upstreams: set[UpstreamId] = field(default_factory=set)

    @property
    def is_banned(self) -> bool:
        """Whether requests with the digest are always refused."""
        return self.n_crashes >= N_CRASHES_TO_BAN


class EstimateRow(Struct, kw_only=True):
    """Estimated quality of a version for a customer's class: ``Beta(alpha, beta)``."""

    version: VersionRef
    customer_id: CustomerId
    class_name: str
    alpha: float
    beta: float
    updated_at: float


class RolloutRow(Struct, kw_only=True):
    """State of a roll-out as stored in the platform's service; instants in Unix seconds.

    A contact is a session, or a request outside a session.

    Attributes
    ----------
    baseline : VersionRef
        Version that the new one is compared with.
    stages : tuple of float
        Share of the contacts, from 0 to 1, that each stage sends to the new version.
    stage : int
        Index of the present stage, entered at ``stage_since``.
    number : int
        Increases by one with each write.
    n_good, n_bad, n_baseline_good, n_baseline_bad : int
        Answers of the new version and of the baseline, by their rating.
    controller : NodeId
        Entry that controls the roll-out.
    lease_number : int
        Number of the controller's lease.
    n_contacts : int
        Answers of the new version, rated or not.
    is_paused : bool
        While it is set, no first contact goes to the new version.
    stage_s : float
        Minimum duration of a stage, in seconds.
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
