"""Types and interfaces of the gateway, the process that forwards callers' requests to upstreams."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum
from typing import NewType

from msgspec import Struct

from crocusvalve.base import DomainId, NodeId, UpstreamId
from crocusvalve.store.base import StorePosition

__all__ = [
    "Address",
    "CallerRequest",
    "Configuration",
    "Customer",
    "GatewayBounds",
    "GatewaySettings",
    "HeaderCodec",
    "Headers",
    "PrefixPart",
    "RecordCodec",
    "Reply",
    "RequestLimits",
    "Route",
    "RouteKind",
    "RouteTarget",
    "SendContext",
    "Service",
    "ServiceName",
    "UpgradeOrder",
    "UpgradeState",
    "UpgradeStatus",
    "Upstream",
    "VersionName",
]

#: Name of a service, which a route forwards requests to.
ServiceName = NewType("ServiceName", str)
#: Version of a service's software or weights.
VersionName = NewType("VersionName", str)
#: Header fields as received, in order.
Headers = Sequence[tuple[bytes, bytes]]


class Address(Struct, frozen=True, order=True):
    """IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class GatewayBounds(Struct, frozen=True, kw_only=True):
    """Bounds that the operators set.

    Attributes
    ----------
    contact_s : float
        Seconds after the end of a disruption, such as a store outage, from which the other bounds
        hold again.
    drain_s : float
        Seconds within which an upstream that drains or has left gets no more requests.
    grace_s : float
        Seconds from the signal to stop until the process must have ended.
    retry_ratio : float
        Extra attempts allowed per request in the window.
    retry_window_s : float
        Length of the sliding window for extra attempts, in seconds.
    retry_slack : float
        Extra attempts allowed in a window, over all gateways, whatever the number of requests.
    exposure_share : float
        Upper bound on the share of sessions that an unproven version of a service gets.
    session_s : float
        Requests of a session that follow each other within this time, in seconds, belong together.
    """

    contact_s: float = 3.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    retry_ratio: float = 0.9
    retry_window_s: float = 10.0
    retry_slack: float = 54.0
    exposure_share: float = 0.15
    session_s: float = 5.0


class GatewaySettings(Struct, frozen=True, kw_only=True):
    """Settings of a gateway process.

    Attributes
    ----------
    front : Address
        Listens for callers' connections.
    ready : Address
        Listens for the load balancer's readiness probes.
    peer : Address
        Receives datagrams of other gateways.
    store : Address
        The store, which holds configuration and registered upstreams.
    seeds : tuple of Address
        Hosts on which other gateways may run.
    uses_prefix_cache : bool
        Whether prompts are placed on upstreams that have their shared prefix cached, if reading it
        elsewhere takes longer than waiting there.
    n_table_readers : int
        Number of gateways per failure domain that follow the tables of upstreams and of operators'
        records in the store; the others copy the changes from them. 0 if all follow.
    """

    node_id: NodeId
    domain: DomainId
    front: Address
    ready: Address
    peer: Address
    store: Address
    seeds: tuple[Address, ...] = ()
    bounds: GatewayBounds = GatewayBounds()
    uses_prefix_cache: bool = True
    n_table_readers: int = 2


class RouteKind(Enum):
    """Kind of a route, which decides whether a request that may have run may be sent again.

    A safe request may always be repeated, an unsafe one never; a resumable stream is resumed after
    the last event that was forwarded.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class RouteTarget(Struct, frozen=True):
    """A service of a route and its weight relative to the route's other services."""

    service: ServiceName
    weight: float = 1.0


class Route(Struct, frozen=True, kw_only=True):
    """Rule that maps requests of a host and path prefix to services.

    Attributes
    ----------
    timeout_s : float
        Maximum duration of a request in seconds.
    goal_s : float
        Target time in seconds to the answer, or to a stream's first event.
    targets : tuple of RouteTarget
        Services of the route; a session is assigned to one of them by weight.
    priority : int
        Urgency of requests; 0 is served first.
    models : tuple of str
        Models that the gateway may choose from, cheapest first; empty if it doesn't choose.
    max_attempts : int
        Maximum number of times that a request may run.
    is_public : bool
        Whether callers without a key are admitted.
    is_resumable : bool
        Whether upstreams can resume a stream after a given event.
    gap_goal_s : float
        Target for the longest pause between the events of a stream, in seconds.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    goal_s: float
    targets: tuple[RouteTarget, ...]
    priority: int = 5
    models: tuple[str, ...] = ()
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    gap_goal_s: float = 1.0

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.is_resumable)


class Service(Struct, frozen=True, kw_only=True):
    """A service and the capacity of its upstreams.

    Attributes
    ----------
    cold_s : float
        Seconds after its start for which an upstream is cold.
    cold_per_s : float
        Requests per second that a cold upstream can handle; 0 for no limit.
    memory_tokens : int
        Prompt tokens that an upstream's cache holds.
    model_costs : dict of str to float
        Cost of each model, per 1,000 generated tokens.
    """

    name: ServiceName
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    memory_tokens: int = 0
    model_costs: dict[str, float] = {}

    def get_model_weight(self, model: str) -> float:
        """Return a model's cost relative to the costliest model's; 1 if costs are unknown."""
        top = max(self.model_costs.values(), default=0.0)
        return self.model_costs.get(model, top) / top if top > 0.0 else 1.0


class Customer(Struct, frozen=True):
    """A customer; its priority, if set, overrides the route's."""

    name: str
    priority: int | None = None


class RequestLimits(Struct, frozen=True, kw_only=True):
    """Limits on the size of a caller's request and on the time it may take to send it."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


class Configuration(Struct, frozen=True, kw_only=True):
    """One version of the operators' configuration.

    ``customers`` maps bearer keys to customers; None if requests need no key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[ServiceName, Service] = {}
    limits: RequestLimits = RequestLimits()
    customers: dict[str, Customer] | None = None


class Upstream(Struct, frozen=True, kw_only=True):
    """Entry under which an upstream registered itself in the store.

    Attributes
    ----------
    slots : int
        Requests that the upstream handles at the same time.
    is_draining : bool
        Whether it accepts no new requests and is about to stop.
    cold_left_s : float
        Seconds until it can handle its full load.
    started_ms : int
        Unix time of its start, in milliseconds.
    sequence : int
        Sequence number of the entry.
    """

    upstream_id: UpstreamId
    service: ServiceName
    address: Address
    domain: DomainId
    version: VersionName
    slots: int
    is_draining: bool = False
    cold_left_s: float = 0.0
    started_ms: int = 0
    sequence: int = 0


class UpgradeState(Enum):
    """State of the upgrade of a service to a version."""

    RUNNING = "running"
    COMPLETE = "complete"
    REVERTED = "reverted"


class UpgradeOrder(Struct, frozen=True):
    """Operators' order to upgrade a service to a version within ``duration_s`` seconds.

    ``revision`` and ``era`` are those of the stored row when this gateway first read the order; the
    same order that is written again after a restore of the store keeps them.
    """

    service: ServiceName
    version: VersionName
    duration_s: float
    revision: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Position of the order in the store, which identifies the order."""
        return StorePosition(self.era, self.revision)


class UpgradeStatus(Struct, frozen=True, kw_only=True):
    """Status of an upgrade as the gateways store it.

    ``share`` is the fraction of sessions that the new version gets, ``started_s`` the store's time
    at the start in seconds, ``revision`` and ``era`` those of the stored row, 0 if none is written.
    """

    version: VersionName
    state: UpgradeState
    share: float = 0.0
    started_s: float = 0.0
    revision: int = 0
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Position of the stored row in the store."""
        return StorePosition(self.era, self.revision)

    @property
    def progress(self) -> tuple[bool, float]:
        """Progress of the upgrade, which only increases until the next order."""
        return self.state is not UpgradeState.RUNNING, self.share


class PrefixPart(Struct, frozen=True):
    """A part of a prompt and its length in tokens."""

    part_id: str
    n_tokens: int


class CallerRequest(Struct, kw_only=True):
    """A caller's request as received.

    Attributes
    ----------
    headers : sequence of (bytes, bytes)
        Header fields to be forwarded to the upstream.
    attempt_id : bytes
        The caller's id of this attempt, which the reply must repeat.
    deadline_s : float or None
        Seconds that the caller allows for the answer.
    key : str or None
        Bearer key.
    session : str
        Session id; empty for none.
    prefix : tuple of PrefixPart
        Parts of the prompt, in order.
    last_event_id : bytes
        Id of the last event that the caller has of a stream; empty for none.
    """

    method: bytes
    target: bytes
    path: str
    host: str
    headers: Headers
    attempt_id: bytes
    deadline_s: float | None
    key: str | None
    session: str
    model: str
    n_prompt_tokens: int
    max_output_tokens: int
    prefix: tuple[PrefixPart, ...]
    last_event_id: bytes
    body: bytes = b""


class SendContext(Struct, frozen=True, kw_only=True):
    """Values that the gateway adds to a request; ``deadline_s`` is the time left in seconds."""

    upstream_id: UpstreamId
    deadline_s: float
    customer: str
    model: str
    priority: int
    last_event_id: bytes


class Reply(Struct, kw_only=True):
    """Head of an upstream's reply.

    Attributes
    ----------
    headers : sequence of (bytes, bytes)
        Header fields to be forwarded to the caller.
    attempt_id : bytes
        Attempt id that the reply belongs to; empty if the reply has none.
    is_signed : bool
        Whether the reply has an upstream's signature.
    is_not_run : bool
        Whether the upstream declares that it did not run the request.
    is_encoded : bool
        Whether the body has a content encoding.
    is_event_stream : bool
        Whether the body consists of server-sent events.
    confidence : float or None
        The model's own estimate of the quality of its answer, 0 to 100.
    is_leaving : bool
        Whether the upstream declares that it is about to stop.
    retry_after_s : float or None
        Seconds for which an upstream that rejected the request wants no more requests; None if it
        sets no time.
    rate_limit_per_s : float or None
        Requests per second that the upstream takes from all gateways together, until an answer
        names none; None without a limit.
    """

    status: int
    headers: Headers
    attempt_id: bytes
    is_signed: bool
    is_not_run: bool
    is_encoded: bool
    is_event_stream: bool
    confidence: float | None
    is_leaving: bool = False
    retry_after_s: float | None = None
    rate_limit_per_s: float | None = None

    @property
    def is_success(self) -> bool:
        """Whether the status says that the request was carried out."""
        return 200 <= self.status < 300


class HeaderCodec(ABC):
    """Decodes and encodes header fields in the format of a platform."""

    @abstractmethod
    def read_request(self, method: bytes, target: bytes, headers: Headers) -> CallerRequest:
        """Decode a caller's request head; raises ``RefusedError`` if a field is malformed."""

    @abstractmethod
    def make_request_headers(self, req: CallerRequest, context: SendContext) -> Headers:
        """Return the header fields of a request to an upstream."""

    @abstractmethod
    def read_reply(self, status: int, headers: Headers) -> Reply:
        """Decode the head of an upstream's reply."""


class RecordCodec(ABC):
    """Decodes and encodes the records that operators, upstreams and gateways store."""

    #: Tables of operators' records, of upstreams' entries, and of the status of upgrades.
    operator_table: str
    upstream_table: str
    status_table: str
    #: Key of the configuration in the operators' table.
    config_key: str

    @abstractmethod
    def read_configuration(self, value: bytes) -> Configuration:
        """Decode a configuration; raises ``CrocusvalveError`` if it is malformed."""

    @abstractmethod
    def read_upstream(self, key: str, value: bytes) -> Upstream | None:
        """Decode an upstream's entry; None if it describes no usable upstream."""

    @abstractmethod
    def read_order(self, key: str, value: bytes, revision: int) -> UpgradeOrder | None:
        """Decode an order to upgrade a service; None if the key isn't an order's."""

    @abstractmethod
    def read_evacuated_domain(self, key: str) -> DomainId | None:
        """Return the failure domain that a key evacuates; None for other kinds of record."""

    @abstractmethod
    def make_status_key(self, service: ServiceName) -> str:
        """Return the status table's key for a service's upgrade."""

    @abstractmethod
    def find_status_service(self, key: str) -> ServiceName | None:
        """Return the service that a status key belongs to; None for another key."""

    @abstractmethod
    def read_status(self, value: bytes, revision: int) -> UpgradeStatus | None:
        """Decode the status of an upgrade; None if it is malformed."""

    @abstractmethod
    def make_status(self, service: ServiceName, status: UpgradeStatus) -> bytes:
        """Encode the status of a service's upgrade."""
