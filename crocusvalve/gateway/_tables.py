"""Tables of a gateway: what it believes of configuration, upstreams, domains and upgrades."""

from msgspec import Struct, field

from crocusvalve.base import DomainId, UpstreamId
from crocusvalve.gateway._directory import Directory
from crocusvalve.gateway.base import (
    Configuration,
    ServiceName,
    UpgradeOrder,
    UpgradeStatus,
    Upstream,
    VersionName,
)

__all__ = ["GatewayTables", "UpstreamLoad"]


class UpstreamLoad(Struct):
    """What this gateway sees of an upstream; times are those of its clock.

    Attributes
    ----------
    n_inflight, n_peer_inflight : int
        Requests of this gateway, and of the others as they last told.
    pending_work, peer_pending_work : float
        Prompt tokens to be read before the first event of each request in flight, weighted by the
        model's cost; of this gateway, and of the others as they last told.
    cached_parts : dict
        Tokens of the prompt parts that it is thought to keep, by model and part, oldest first.
    n_cached_part_tokens : int
        Sum of these.
    suspended_until : float
        The upstream gets no request before, unless there is no other.
    n_consecutive_suspensions : int
        Suspensions in a row.
    failure_weight, success_weight : float
        Outcomes, decayed with age; ``decayed_at`` is the time of the last decay.
    cold_until : float
        The upstream bears a light load only, up to this time.
    cold_send_times : list of float
        Times of the requests sent to it within the last second while it was cold.
    """

    n_inflight: int = 0
    n_peer_inflight: int = 0
    pending_work: float = 0.0
    peer_pending_work: float = 0.0
    cached_parts: dict[tuple[str, str], int] = field(default_factory=dict)
    n_cached_part_tokens: int = 0
    suspended_until: float = 0.0
    n_consecutive_suspensions: int = 0
    failure_weight: float = 0.0
    success_weight: float = 0.0
    decayed_at: float = 0.0
    cold_until: float = 0.0
    cold_send_times: list[float] = field(default_factory=list)


class GatewayTables:
    """All rows of a gateway."""

    def __init__(self) -> None:
        self.directory: Directory | None = None
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self.by_service: dict[ServiceName, dict[UpstreamId, Upstream]] = {}
        self.loads: dict[UpstreamId, UpstreamLoad] = {}
        self.evacuated_domains: set[DomainId] = set()
        self.orders: dict[ServiceName, UpgradeOrder] = {}
        self.statuses: dict[ServiceName, UpgradeStatus] = {}
        self.allowed_versions: dict[ServiceName, set[VersionName]] = {}
        self.has_upstreams = False

    @property
    def config(self) -> Configuration | None:
        """The configuration in force, or None before the first."""
        return None if self.directory is None else self.directory.config

    def apply_configuration(self, config: Configuration) -> bool:
        """Put a configuration in force; False where it isn't newer."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.directory = Directory(config)
        return True

    def get_load(self, upstream_id: UpstreamId) -> UpstreamLoad:
        """Return the load of an upstream; that of one that has left is kept by nobody."""
        load = self.loads.get(upstream_id)
        if load is None:
            load = UpstreamLoad()
            if upstream_id in self.upstreams:
                self.loads[upstream_id] = load
        return load

    def put_upstream(self, row: Upstream, now: float) -> Upstream | None:
        """Take an upstream's entry; return the one it replaces."""
        known = self.upstreams.get(row.upstream_id)
        if known is not None and known.service != row.service:
            self.by_service[known.service].pop(row.upstream_id, None)
        self.upstreams[row.upstream_id] = row
        self.by_service.setdefault(row.service, {})[row.upstream_id] = row
        load = self.get_load(row.upstream_id)
        if row.cold_left_s > 0.0:
            load.cold_until = max(load.cold_until, now + row.cold_left_s)
        if known is not None and known.born_ms != row.born_ms:
            load.suspended_until = 0.0
            load.n_consecutive_suspensions = 0
        return known

    def drop_upstream(self, upstream_id: UpstreamId) -> Upstream | None:
        """Forget an upstream; return its entry."""
        row = self.upstreams.pop(upstream_id, None)
        if row is not None:
            self.by_service[row.service].pop(upstream_id, None)
            self.loads.pop(upstream_id, None)
        return row

    def mark_cold(self, upstream_id: UpstreamId, until: float) -> None:
        """Treat an upstream as cold up to a time."""
        load = self.get_load(upstream_id)
        load.cold_until = max(load.cold_until, until)

    def get_cold_s(self, service: ServiceName) -> float:
        """Return how long an upstream of a service stays cold after its start."""
        row = self.config and self.config.services.get(service)
        return row.cold_s if row else 0.0
