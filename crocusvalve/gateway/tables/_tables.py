"""Tables of a gateway: cached configuration, upstreams, failure domains and upgrades."""

from msgspec import Struct, field

from crocusvalve.base import DomainId, NodeId, UpstreamId
from crocusvalve.gateway.base import (
    Configuration,
    ServiceName,
    UpgradeOrder,
    UpgradeStatus,
    Upstream,
    VersionName,
)
from crocusvalve.gateway.decisions._capacity import (
    MAX_SPEED_REPORTS,
    CapacityTable,
    SpeedReport,
)
from crocusvalve.gateway.decisions._closures import ClosureTable, UpstreamRun
from crocusvalve.gateway.decisions._rate_limits import RateLimitTable
from crocusvalve.gateway.decisions._request_rate import RequestRate
from crocusvalve.gateway.decisions._work_split import WorkSplit
from crocusvalve.gateway.tables._directory import Directory

__all__ = ["GatewayTables", "UpstreamLoad"]


#: Identifier of a gateway that has no peers.
SINGLE_NODE = NodeId("")


class UpstreamLoad(Struct):
    """Load and health of an upstream as seen by this gateway; times are local, in seconds.

    Attributes
    ----------
    n_inflight, n_peer_inflight : int
        Requests in flight from this gateway, and from its peers as last reported.
    pending_work, peer_pending_work : float
        Prompt tokens to be processed before the first event of each request in flight, weighted by
        the model's cost; from this gateway, and from its peers as last reported.
    cached_parts : dict
        Length in tokens of the prompt parts that the upstream has presumably cached, by model and
        part, least recently used first.
    n_cached_part_tokens : int
        Total length of the cached parts in tokens.
    silent_until : float
        Until this time the upstream is suspended since no connection to it could be opened, or
        since it crashed.
    n_peers_silent : int
        Peers that report the same, as last heard.
    suspended_until : float
        Until this time the upstream gets no request, unless no other upstream is available.
    n_consecutive_suspensions : int
        Suspensions without a success in between.
    failure_weight, success_weight : float
        Number of failures and successes, decayed exponentially with age.
    decayed_at : float
        Time of the last decay of the two weights.
    cold_until : float
        Until this time the upstream is cold and handles a light load only.
    cold_send_times : list of float
        Times of the requests sent to the cold upstream within the last second.
    n_streams_read : int
        Streams from this gateway that have had an event and whose next one is awaited.
    last_event_at : float
        Time of the last event of any of them.
    log_slowness : float
        Moving mean of the logarithm of the ratio of actual to expected times of its answers.
    slowness_at : float
        Time of the last answer in this mean.
    """

    n_inflight: int = 0
    n_peer_inflight: int = 0
    pending_work: float = 0.0
    peer_pending_work: float = 0.0
    cached_parts: dict[tuple[str, str], int] = field(default_factory=dict)
    n_cached_part_tokens: int = 0
    silent_until: float = 0.0
    n_peers_silent: int = 0
    suspended_until: float = 0.0
    n_consecutive_suspensions: int = 0
    failure_weight: float = 0.0
    success_weight: float = 0.0
    decayed_at: float = 0.0
    cold_until: float = 0.0
    cold_send_times: list[float] = field(default_factory=list)
    n_streams_read: int = 0
    last_event_at: float = 0.0
    log_slowness: float = 0.0
    slowness_at: float = 0.0


class GatewayTables:
    """All tables of a gateway.

    Parameters
    ----------
    node_id : NodeId
        Identifier of this gateway.

    Attributes
    ----------
    directory : Directory or None
        Lookup of the configuration in force; None before the first configuration.
    upstreams : dict
        Upstreams' entries by id; ``by_service`` has the same entries by service and id.
    loads : dict
        Load and health of the upstreams by id.
    evacuated_domains : set
        Failure domains that get no new requests.
    orders : dict
        Operators' upgrade orders by service.
    statuses : dict
        Status of the upgrades by service.
    allowed_versions : dict
        Versions by service that may get requests outside an upgrade.
    capacities : CapacityTable
        Learned speeds of the upstreams.
    closures : ClosureTable
        Upstreams that have asked for no more requests.
    rate_limits : RateLimitTable
        Rates of requests that upstreams have named.
    work_split : WorkSplit
        Work of short and long prompts.
    request_rate : RequestRate
        Rate of the callers' requests.
    has_upstreams : bool
        Whether the table of upstreams was read.
    """

    def __init__(self, node_id: NodeId = SINGLE_NODE) -> None:
        self.directory: Directory | None = None
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self.by_service: dict[ServiceName, dict[UpstreamId, Upstream]] = {}
        self.loads: dict[UpstreamId, UpstreamLoad] = {}
        self.evacuated_domains: set[DomainId] = set()
        self.orders: dict[ServiceName, UpgradeOrder] = {}
        self.statuses: dict[ServiceName, UpgradeStatus] = {}
        self.allowed_versions: dict[ServiceName, set[VersionName]] = {}
        self.capacities = CapacityTable()
        self.work_split = WorkSplit()
        self.closures = ClosureTable()
        self.rate_limits = RateLimitTable(node_id)
        self.request_rate = RequestRate()
        self.has_upstreams = False

    @property
    def config(self) -> Configuration | None:
        """The configuration in force, or None before the first one."""
        return None if self.directory is None else self.directory.config

    def apply_configuration(self, config: Configuration, *, is_rewritten: bool = False) -> bool:
        """Put a configuration in force; return False if it isn't newer than the current one.

        Parameters
        ----------
        is_rewritten : bool
            Whether the operators wrote it after a restore of the store that may have lost the
            current one, so that another one with the same version replaces it.
        """
        current = self.config
        if current is not None and config.version <= current.version:
            if config.version < current.version or not is_rewritten or config == current:
                return False
        self.directory = Directory(config)
        return True

    def apply_status(self, service: ServiceName, status: UpgradeStatus) -> bool:
        """Store the status of an upgrade; return False if the upgrade has progressed further."""
        current = self.get_status(service)
        is_same = current is not None and current.version == status.version
        if is_same and status.progress < current.progress:
            return False
        self.statuses[service] = status
        return True

    def get_status(self, service: ServiceName) -> UpgradeStatus | None:
        """Return the status of a service's current order, or None if it has none yet."""
        order = self.orders.get(service)
        status = self.statuses.get(service)
        if order is None or status is None or status.version != order.version:
            return None
        return status if status.position >= order.position else None

    def is_open(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream may get new requests, as far as this gateway knows."""
        return (
            self.accepts_work(upstream)
            and self.compute_reopens_at(upstream, now) <= now
            and upstream.upstream_id in self.upstreams
        )

    def compute_reopens_at(self, upstream: Upstream, now: float) -> float:
        """Return the local time in seconds from which this gateway may send a request."""
        reopens_at = self.closures.get_reopens_at(upstream)
        if self.rate_limits.is_empty:
            return reopens_at
        return max(reopens_at, self.rate_limits.get_next_at(UpstreamRun.of(upstream), now))

    def accepts_work(self, upstream: Upstream) -> bool:
        """Return whether an upstream is neither leaving nor in an evacuated failure domain."""
        return (
            not upstream.is_draining
            and upstream.domain not in self.evacuated_domains
            and not self.closures.is_leaving(upstream)
        )

    def get_load(self, upstream_id: UpstreamId) -> UpstreamLoad:
        """Return the load of an upstream; for one that has left, a new object that isn't stored."""
        load = self.loads.get(upstream_id)
        if load is None:
            load = UpstreamLoad()
            if upstream_id in self.upstreams:
                self.loads[upstream_id] = load
        return load

    def find_silent(self, service: ServiceName, since: float) -> set[UpstreamId]:
        """Return the upstreams of a service whose streams have had no event since a local time."""
        loads = ((uid, self.get_load(uid)) for uid in self.by_service.get(service, ()))
        return {uid for uid, load in loads if load.n_streams_read and load.last_event_at <= since}

    def put_upstream(self, row: Upstream, now: float) -> Upstream | None:
        """Store an upstream's entry; return the entry that it replaces, or None.

        A restart of the upstream ends its suspension and empties its prefix cache.
        """
        previous = self.upstreams.get(row.upstream_id)
        if previous is not None and previous.service != row.service:
            self.by_service[previous.service].pop(row.upstream_id, None)
        self.upstreams[row.upstream_id] = row
        self.by_service.setdefault(row.service, {})[row.upstream_id] = row
        load = self.get_load(row.upstream_id)
        if row.cold_left_s > 0.0:
            load.cold_until = max(load.cold_until, now + row.cold_left_s)
        if previous is not None and previous.started_ms != row.started_ms:
            load.suspended_until = 0.0
            load.silent_until = 0.0
            load.n_consecutive_suspensions = 0
            load.log_slowness = 0.0
            load.cached_parts.clear()
            load.n_cached_part_tokens = 0
        return previous

    def drop_upstream(self, upstream_id: UpstreamId) -> Upstream | None:
        """Remove an upstream and its load; return its entry, or None if it is unknown."""
        row = self.upstreams.pop(upstream_id, None)
        if row is not None:
            self.by_service[row.service].pop(upstream_id, None)
            self.loads.pop(upstream_id, None)
        return row

    def report_speeds(self, now: float) -> tuple[SpeedReport, ...]:
        """Return the speeds of upstreams to report, after removing those that have left."""
        self.capacities.forget((UpstreamRun.of(row) for row in self.upstreams.values()), now)
        return self.capacities.make_reports(MAX_SPEED_REPORTS, now)

    def mark_cold(self, upstream_id: UpstreamId, until: float) -> None:
        """Treat an upstream as cold until a local time in seconds, or longer if it already is."""
        load = self.get_load(upstream_id)
        load.cold_until = max(load.cold_until, until)

    def get_cold_s(self, service: ServiceName) -> float:
        """Return for how many seconds an upstream of a service is cold after its start."""
        row = self.config and self.config.services.get(service)
        return row.cold_s if row else 0.0
