"""Codec for the records of operators, upstreams and gateways in the platform's store."""

import ipaddress
from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

from crocusvalve.base import DomainId, UpstreamId
from crocusvalve.exceptions import CrocusvalveError, ErrorCode
from crocusvalve.gateway.base import (
    Address,
    Configuration,
    Customer,
    RecordCodec,
    RequestLimits,
    Route,
    RouteKind,
    RouteTarget,
    Service,
    ServiceName,
    UpgradeOrder,
    UpgradeState,
    UpgradeStatus,
    Upstream,
    VersionName,
)
from crocusvalve.utils import decode_json

__all__ = ["PlatformRecordCodec"]

STEP = "decode_record"
#: Longest text of a port.
MAX_PORT_DIGITS = 5
MAX_PORT = 65535
ROLLOUT_PREFIX = "rollout/"
EVACUATE_PREFIX = "evacuate/"

ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}
UPGRADE_STATES = {
    "in_progress": UpgradeState.RUNNING,
    "complete": UpgradeState.COMPLETE,
    "reverted": UpgradeState.REVERTED,
}
UPGRADE_STATE_NAMES = {state: name for name, state in UPGRADE_STATES.items()}


#: Counts and times of an entry. Larger numbers belong to no upstream; they fit neither the messages
#: between gateways nor a calculation with floats.
_Number = Annotated[int, Meta(ge=0, le=2**53)]
_Slots = Annotated[int, Meta(le=1_000_000)]
_Milliseconds = Annotated[float, Meta(le=1e12)]


class _Split(Struct):
    service: str
    weight: float = 1.0


class _Route(Struct):
    name: str
    host: str
    prefix: str
    kind: str = field(name="routeKind")
    #: Longest time that a request may wait for its answer; not a connection's timeout.
    timeout_ms: float = field(name="timeoutMs", default=30_000.0)
    goal_ms: float = field(name="goalMs", default=1_000.0)
    priority: int = 5
    #: Names of models, cheapest first; despite the name, not sizes in bytes.
    sizes: list[str] = []
    service: str = ""
    split: list[_Split] = []
    max_attempts: int = field(name="maxAttempts", default=1)
    public: bool = False
    resumable: bool = False
    gap_goal_ms: float = field(name="gapGoalMs", default=1_000.0)


class _Model(Struct):
    name: str
    #: Cost per 1,000 generated tokens.
    cost: float = 0.0


class _Engine(Struct):
    models: list[_Model] = []
    memory_tokens: int = field(name="kvCapacity", default=0)


class _Service(Struct):
    name: str
    cold_s: float = field(name="coldStartS", default=0.0)
    cold_per_s: float = field(name="coldPerS", default=0.0)
    engine: _Engine | None = None


class _Limits(Struct):
    header_bytes: int = field(name="maxHeaderBytes", default=16384)
    body_bytes: int = field(name="maxBodyBytes", default=4194304)
    header_timeout_ms: float = field(name="headerTimeoutMs", default=5_000.0)
    idle_timeout_ms: float = field(name="idleTimeoutMs", default=15_000.0)


class _Tenant(Struct):
    name: str
    keys: list[str] = field(name="apiKeys", default_factory=list)
    priority: int | None = None


class _Config(Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Entry(Struct):
    service: str
    address: str
    zone: str
    version: str
    state: str
    slots: _Slots
    sequence: _Number = 0
    #: Time until the upstream can handle its full load; it accepts requests before then.
    cold_left_ms: _Milliseconds = field(name="coldLeftMs", default=0.0)
    #: Unix time of the upstream's start in milliseconds.
    born: _Number = 0


class _Order(Struct):
    service: str
    target: str
    duration_s: float = field(name="durationS")


class _Status(Struct):
    target: str
    state: str
    share: float = 0.0
    started_s: float = 0.0


class PlatformRecordCodec(RecordCodec):
    """Codec for the platform's records."""

    operator_table = "op"
    upstream_table = "servers"
    status_table = "status"
    config_key = "config"

    def read_configuration(self, value: bytes) -> Configuration:
        """Decode a configuration; raise ``CrocusvalveError`` if it is malformed."""
        try:
            config = decode_json(value, _Config)
            return _make_configuration(config)
        except (msgspec.MsgspecError, KeyError) as exc:
            raise CrocusvalveError(ErrorCode.CONFIG_INVALID, str(exc), step=STEP) from exc

    def read_upstream(self, key: str, value: bytes) -> Upstream | None:
        """Decode an upstream's entry; return None if it is malformed or in an unknown state."""
        try:
            entry = decode_json(value, _Entry)
        except msgspec.MsgspecError:
            return None
        address = _read_address(entry.address)
        if entry.state not in ("ready", "draining") or address is None:
            return None
        return Upstream(
            upstream_id=UpstreamId(key),
            service=ServiceName(entry.service),
            address=address,
            domain=DomainId(entry.zone),
            version=VersionName(entry.version),
            slots=max(1, entry.slots),
            is_draining=entry.state == "draining",
            cold_left_s=max(0.0, entry.cold_left_ms) / 1000,
            started_ms=entry.born,
            sequence=entry.sequence,
        )

    def read_order(self, key: str, value: bytes, revision: int) -> UpgradeOrder | None:
        """Decode an upgrade order; return None if the record is malformed or of another kind."""
        if not key.startswith(ROLLOUT_PREFIX):
            return None
        try:
            order = decode_json(value, _Order)
        except msgspec.MsgspecError:
            return None
        return UpgradeOrder(
            ServiceName(order.service), VersionName(order.target), order.duration_s, revision
        )

    def read_evacuated_domain(self, key: str) -> DomainId | None:
        """Return the failure domain that a record evacuates, or None for another record."""
        return DomainId(key.removeprefix(EVACUATE_PREFIX)) if _is_evacuation(key) else None

    def make_status_key(self, service: ServiceName) -> str:
        """Return the key of the status of a service's upgrade."""
        return ROLLOUT_PREFIX + service

    def find_status_service(self, key: str) -> ServiceName | None:
        """Return the service of a status key, or None for another key."""
        if not key.startswith(ROLLOUT_PREFIX):
            return None
        return ServiceName(key.removeprefix(ROLLOUT_PREFIX))

    def read_status(self, value: bytes, revision: int) -> UpgradeStatus | None:
        """Decode an upgrade's status; return None if it is malformed or in an unknown state."""
        try:
            status = decode_json(value, _Status)
        except msgspec.MsgspecError:
            return None
        state = UPGRADE_STATES.get(status.state)
        return state and UpgradeStatus(
            version=VersionName(status.target),
            state=state,
            share=status.share,
            started_s=status.started_s,
            revision=revision,
        )

    def make_status(self, service: ServiceName, status: UpgradeStatus) -> bytes:
        """Encode an upgrade's status."""
        state = UPGRADE_STATE_NAMES[status.state]
        return msgspec.json.encode(
            {
                "service": service,
                "state": state,
                "target": status.version,
                "share": status.share,
                "started_s": status.started_s,
            }
        )


def _read_address(text: str) -> Address | None:
    """Return an address as IP:PORT, or None if it can't be connected to."""
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdigit() or len(port) > MAX_PORT_DIGITS:
        return None
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    return Address(host, int(port)) if 0 < int(port) <= MAX_PORT else None


def _is_evacuation(key: str) -> bool:
    return key.startswith(EVACUATE_PREFIX) and len(key) > len(EVACUATE_PREFIX)


def _make_configuration(config: _Config) -> Configuration:
    limits = config.limits
    customers = None
    if config.tenants is not None:
        customers = {
            key: Customer(tenant.name, tenant.priority)
            for tenant in config.tenants
            for key in tenant.keys
        }
    return Configuration(
        version=config.version,
        routes=tuple(_make_route(route) for route in config.routes),
        services={ServiceName(row.name): _make_service(row) for row in config.services},
        limits=RequestLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        ),
        customers=customers,
    )


def _make_route(route: _Route) -> Route:
    targets = tuple(RouteTarget(ServiceName(part.service), part.weight) for part in route.split)
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=ROUTE_KINDS[route.kind],
        timeout_s=route.timeout_ms / 1000,
        goal_s=route.goal_ms / 1000,
        targets=targets or (RouteTarget(ServiceName(route.service)),),
        priority=route.priority,
        models=tuple(route.sizes),
        max_attempts=max(1, route.max_attempts),
        is_public=route.public,
        is_resumable=route.resumable,
        gap_goal_s=route.gap_goal_ms / 1000,
    )


def _make_service(row: _Service) -> Service:
    engine = row.engine or _Engine()
    return Service(
        name=ServiceName(row.name),
        cold_s=row.cold_s,
        cold_per_s=row.cold_per_s,
        memory_tokens=engine.memory_tokens,
        model_costs={model.name: model.cost for model in engine.models},
    )
