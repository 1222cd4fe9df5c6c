"""In-memory state of an agent: its attempts, bills, notices, limit and health of the upstream."""

from collections import deque

from msgspec import Struct

from crocusvalve.agent._bills import BillHolder
from crocusvalve.agent._named_limit import NamedLimit
from crocusvalve.agent._notices import NoticeRegistry
from crocusvalve.agent._upstream import HealthReport
from crocusvalve.base import (
    AttemptId,
    BootId,
    DomainId,
    ExecutionStatus,
    NodeId,
    UpstreamId,
    UpstreamKind,
    UpstreamState,
    VersionRef,
)
from crocusvalve.config import DocumentView
from crocusvalve.limits._warmup import WarmupLimiter
from crocusvalve.model import filter_loaded_versions
from crocusvalve.orders import OrderGuard
from crocusvalve.rpc import CrashRecord, Notice, RunRequest

__all__ = ["AgentTables", "HealthRow", "RunRow"]

# Limits on concurrent requests until a revision sets those of the upstream.
DEFAULT_COLD_LIMIT = 2
DEFAULT_WARM_LIMIT = 16
MAX_RECENT_CRASHES = 16


class HealthRow(Struct):
    """Result of the last probe of the upstream.

    ``engine_boot`` identifies the engine's run, ``uptime_s`` is in seconds and ``probed_at`` in
    Unix seconds.
    """

    state: UpstreamState = UpstreamState.COLD
    engine_boot: str = ""
    uptime_s: float = 0.0
    probed_at: float = 0.0


class RunRow(Struct):
    """An attempt in progress.

    ``generation`` is the limiter's generation and ``engine_boot`` the engine's run when the attempt
    started. ``sent_at`` and ``first_data_at`` are the times of the send to the upstream and of the
    first data from it; times are in Unix seconds, 0 before the event.
    """

    req: RunRequest
    admitted_at: float
    generation: int = 0
    engine_boot: str = ""
    sent_at: float = 0.0
    first_data_at: float = 0.0
    is_cancelled: bool = False
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN


class AgentTables:
    """All state of one agent.

    Parameters
    ----------
    node_id, upstream_id, domain, boot_id : str
        Identifiers of the agent, its upstream, its failure domain and this run of the agent.
    """

    def __init__(
        self, *, node_id: NodeId, upstream_id: UpstreamId, domain: DomainId, boot_id: BootId
    ):
        self.node_id = node_id
        self.upstream_id = upstream_id
        self.domain = domain
        self.boot_id = boot_id
        self.view: DocumentView | None = None
        self.guard = OrderGuard(boot_id=boot_id)
        self.limiter = WarmupLimiter(cold_limit=DEFAULT_COLD_LIMIT, warm_limit=DEFAULT_WARM_LIMIT)
        self.named_limit = NamedLimit()
        self.notices = NoticeRegistry()
        self.bills = BillHolder()
        self.health = HealthRow()
        self.runs: dict[AttemptId, RunRow] = {}
        #: Versions in the engine's memory; None if the upstream does not report them.
        self.loaded: tuple[VersionRef, ...] | None = None
        self.crashes: deque[CrashRecord] = deque(maxlen=MAX_RECENT_CRASHES)
        self.is_draining = False

    def apply_view(self, view: DocumentView) -> None:
        """Put a revision in force; one that is older than the current revision is ignored."""
        if self.view is not None and view.revision < self.view.revision:
            return
        self.view = view
        self.notices.supersede_confirmed(view)
        upstream = view.upstreams.get(self.upstream_id)
        if upstream is not None:
            self.limiter.set_bounds(upstream.cfg.cold_limit, upstream.cfg.warm_limit)
            self.domain = upstream.domain

    def merge_notice(self, notice: Notice) -> bool:
        """Store a notice and return whether it was new."""
        is_new = self.notices.merge_notice(notice)
        if self.view is not None:
            self.notices.supersede_confirmed(self.view)
        return is_new

    def handle_health_report(self, report: HealthReport, now: float) -> None:
        """Update the health and the limit from the answer to a health probe."""
        self.health.probed_at = now
        if not report.is_up:
            self.mark_down()
            return
        self.health.state = report.state or UpstreamState.WARM
        self.health.engine_boot = report.engine_boot
        self.health.uptime_s = report.uptime_s or 0.0
        self.limiter.handle_health_report(
            state=report.state, engine_boot=report.engine_boot, uptime_s=report.uptime_s
        )

    @property
    def is_engine(self) -> bool:
        """Whether the revision in force declares the upstream as an engine."""
        upstream = self.view.upstreams.get(self.upstream_id) if self.view else None
        return upstream is not None and upstream.cfg.kind is UpstreamKind.ENGINE

    @property
    def serves(self) -> tuple[VersionRef, ...]:
        """Versions that the configuration assigns to the upstream.

        If the engine reports its loaded versions, the others are excluded.
        """
        upstream = self.view.upstreams.get(self.upstream_id) if self.view else None
        return filter_loaded_versions(upstream.serves, self.loaded) if upstream else ()

    def is_running(self, version: VersionRef) -> bool:
        """Return whether an attempt with a version is in progress."""
        return any(row.req.version == version for row in self.runs.values())

    def mark_down(self) -> None:
        """Mark the upstream as down; it is treated as cold when it recovers."""
        if self.health.state is not UpstreamState.DOWN:
            self.limiter.reset_to_cold()
        self.health.state = UpstreamState.DOWN

    @property
    def state(self) -> UpstreamState:
        """State of the upstream to report to entries."""
        if self.is_draining or self.notices.is_leaving(self.upstream_id, self.node_id):
            return UpstreamState.DRAINING
        if self.health.state is UpstreamState.DOWN:
            return UpstreamState.DOWN
        return self.limiter.state
