"""Types and contracts of the gateway: the entry that passes requests through to upstreams."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum
from typing import NewType

from msgspec import Struct

from crocusvalve.base import DomainId, NodeId, UpstreamId

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

#: Service that routes send requests to.
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
    """Bounds that the operators set; durations in seconds, slacks in requests.

    ``contact_s`` is the time after a disturbance from which the other bounds hold again.
    """

    contact_s: float = 3.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    retry_ratio: float = 0.9
    retry_window_s: float = 10.0
    retry_slack: float = 54.0
    exposure_share: float = 0.15


class GatewaySettings(Struct, frozen=True, kw_only=True):
    """Settings of a gateway process.

    ``front`` takes callers' connections, ``ready`` the balancer's probes, ``peer`` datagrams of
    other gateways; ``seeds`` are hosts on which other gateways may run.
    """

    node_id: NodeId
    domain: DomainId
    front: Address
    ready: Address
    peer: Address
    store: Address
    seeds: tuple[Address, ...] = ()
    bounds: GatewayBounds = GatewayBounds()


class RouteKind(Enum):
    """What may be repeated: a safe call at will, an unsafe one never, a stream by its events."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class RouteTarget(Struct, frozen=True):
    """A service of a route and its weight among the others."""

    service: ServiceName
    weight: float = 1.0


class Route(Struct, frozen=True, kw_only=True):
    """A route; ``models`` are those of which the gateway chooses, cheapest first."""

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
    """A service; a cold upstream of it bears ``cold_per_s`` requests a second for ``cold_s``."""

    name: ServiceName
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    memory_tokens: int = 0
    model_costs: dict[str, float] = {}

    def get_model_weight(self, model: str) -> float:
        """Return a model's cost against the costliest one."""
        top = max(self.model_costs.values(), default=0.0)
        return self.model_costs.get(model, top) / top if top > 0.0 else 1.0


class Customer(Struct, frozen=True):
    """A customer; its priority goes before the route's where it has one."""

    name: str
    priority: int | None = None


class RequestLimits(Struct, frozen=True, kw_only=True):
    """Bounds on what a caller may send, and on its silence."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


class Configuration(Struct, frozen=True, kw_only=True):
    """One version of the operators' configuration.

    ``customers`` is by bearer key; None where requests need no key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[ServiceName, Service] = {}
    limits: RequestLimits = RequestLimits()
    customers: dict[str, Customer] | None = None


class Upstream(Struct, frozen=True, kw_only=True):
    """An upstream as it registered itself; ``started_ms`` is the Unix time of its start."""

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
    """Operators' order to move a service to a version within a time."""

    service: ServiceName
    version: VersionName
    duration_s: float
    revision: int


class UpgradeStatus(Struct, frozen=True, kw_only=True):
    """Status of an upgrade as the system keeps it.

    ``share`` is the part of the sessions that the new version gets, ``started_s`` the store's time
    at the start, ``revision`` that of the row, 0 where none is written.
    """

    version: VersionName
    state: UpgradeState
    share: float = 0.0
    started_s: float = 0.0
    revision: int = 0


class PrefixPart(Struct, frozen=True):
    """A part of a prompt and its length in tokens."""

    part_id: str
    n_tokens: int


class CallerRequest(Struct, kw_only=True):
    """A caller's request as received; ``headers`` are those to be passed on."""

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
    """What the gateway adds to a request for one upstream."""

    upstream_id: UpstreamId
    deadline_s: float
    customer: str
    model: str
    priority: int
    last_event_id: bytes


class Reply(Struct, kw_only=True):
    """Head of an upstream's reply; ``headers`` are those to be passed on.

    ``is_not_run`` holds where the upstream says that it did not run the request; ``confidence`` is
    the model's opinion of its answer, 0 to 100.
    """

    status: int
    headers: Headers
    attempt_id: bytes
    is_not_run: bool
    is_encoded: bool
    confidence: float | None


class HeaderCodec(ABC):
    """Reads and makes header fields in the words of a platform."""

    @abstractmethod
    def read_request(self, method: bytes, target: bytes, headers: Headers) -> CallerRequest:
        """Decode a caller's request head; raises ``RefusedError`` where a field is damaged."""

    @abstractmethod
    def make_request_headers(self, req: CallerRequest, context: SendContext) -> Headers:
        """Return the header fields of a request to an upstream."""

    @abstractmethod
    def read_reply(self, status: int, headers: Headers) -> Reply:
        """Decode the head of an upstream's reply."""


class RecordCodec(ABC):
    """Reads and makes the records that operators, upstreams and the gateway keep in the store."""

    #: Tables of operators' records, upstreams' entries and the system's status.
    operator_table: str
    upstream_table: str
    status_table: str
    #: Key of the configuration in the operators' table.
    config_key: str

    @abstractmethod
    def read_configuration(self, value: bytes) -> Configuration:
        """Decode a configuration; raises ``CrocusvalveError`` where it is damaged."""

    @abstractmethod
    def read_upstream(self, key: str, value: bytes) -> Upstream | None:
        """Decode an upstream's entry; None where it names no upstream to use."""

    @abstractmethod
    def read_order(self, key: str, value: bytes, revision: int) -> UpgradeOrder | None:
        """Decode an order to upgrade a service; None where the key isn't one."""

    @abstractmethod
    def read_evacuated_domain(self, key: str) -> DomainId | None:
        """Return the failure domain that a key takes out; None where it is another record."""

    @abstractmethod
    def make_status_key(self, service: ServiceName) -> str:
        """Return the key of the status of a service's upgrade."""

    @abstractmethod
    def find_status_service(self, key: str) -> ServiceName | None:
        """Return the service that a status key is about."""

    @abstractmethod
    def read_status(self, value: bytes, revision: int) -> UpgradeStatus | None:
        """Decode a status; None where it is damaged."""

    @abstractmethod
    def make_status(self, service: ServiceName, status: UpgradeStatus) -> bytes:
        """Encode a status."""
