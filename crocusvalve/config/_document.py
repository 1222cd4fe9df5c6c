"""Types of the configuration document.

A document has a header and one section for each member (a party with its own models, upstreams and
customers). Names inside a section are local; references to another member's entries are written
``member/name``. All configuration that the handling of a request needs is read from these types.
"""

from msgspec import Struct, field

from crocusvalve.base import (
    ClassKind,
    DomainState,
    MemberId,
    Priority,
    RolloutState,
    UpstreamKind,
    VersionState,
)

__all__ = [
    "CascadeConfig",
    "ClassConfig",
    "CustomerConfig",
    "Document",
    "DomainConfig",
    "MemberConfig",
    "ModelConfig",
    "OperatorConfig",
    "PolicyConfig",
    "RolloutConfig",
    "ServiceConfig",
    "UpstreamConfig",
    "VersionConfig",
]


class DomainConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """A failure domain: upstreams that may fail together.

    Upstreams of a domain whose ``state`` is ``out`` are assigned no new work.
    """

    region: str
    state: DomainState = DomainState.IN


class VersionConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """A version of a model; prices are in currency units per 1,000 tokens.

    ``quality_prior`` is the expected score of its answers, in [0, 1], before any are rated.
    """

    prompt_price: float = 0.0
    completion_price: float = 0.0
    quality_prior: float = 0.5
    state: VersionState = VersionState.ACTIVE


class ModelConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """A model and its versions.

    ``current`` is the version that serves all requests not assigned to another by a roll-out.
    ``shared_with`` names the other members that may use the model.
    """

    current: str
    versions: dict[str, VersionConfig]
    shared_with: tuple[str, ...] = ()


class UpstreamConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """An upstream and the address (``agent``) of the agent that forwards requests to it.

    The limit on concurrent requests starts at ``cold_limit`` and grows up to ``warm_limit`` while
    the upstream warms up. ``honours_fencing`` means that the engine itself rejects outdated orders.
    """

    domain: str
    agent: str
    url: str
    kind: UpstreamKind = UpstreamKind.ENGINE
    serves: tuple[str, ...] = ()
    cold_limit: int = 2
    warm_limit: int = 16
    honours_fencing: bool = False


class OperatorConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's key, stored as the SHA-256 of the key in hexadecimal."""

    key_sha256: str


class CustomerConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """A customer, its limits and the models and classes that it may use.

    ``allowed`` contains ``model``, ``model@version`` or ``member/model`` patterns. Requests are
    admitted by a token bucket of ``rate_per_s`` and ``burst``; ``weight`` is the customer's weight
    in fair queueing, and ``quality_target`` the score, in [0, 1], that it asks of answers.
    """

    key_sha256: str
    allowed: tuple[str, ...]
    classes: tuple[str, ...]
    quality_target: float = 0.0
    weight: float = 1.0
    rate_per_s: float = 50.0
    burst: int = 100
    max_in_flight: int = 64


class ClassConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests; durations are in seconds.

    ``hedge_after_s`` is the minimum delay before a second, parallel attempt of a lookup.
    ``alarm_before_s`` is the time before the deadline at which an unfinished durable request raises
    an alarm, 0 for none. ``max_queue`` limits the requests of the class that wait in the queue.
    """

    kind: ClassKind
    deadline_s: float = 30.0
    priority: Priority = Priority.NORMAL
    default_model: str = ""
    max_attempts: int = 3
    hedge_after_s: float = 0.0
    alarm_before_s: float = 0.0
    max_queue: int = 200


class CascadeConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """A cascade: models to try in order, from the cheapest to the most expensive."""

    steps: tuple[str, ...]
    policy: str = "quality"


class RolloutConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """A staged roll-out of a version.

    Each stage is the fraction, from 0 to 1, of new contacts that get the version; a contact is a
    session, or a request outside a session. ``stage_s`` is the minimum length of a stage in
    seconds.
    """

    model: str
    version: str
    stages: tuple[float, ...] = (0.01, 0.05, 0.2, 0.5, 1.0)
    stage_s: float = 300.0
    policy: str = "sequential"
    state: RolloutState = RolloutState.RUNNING


class ServiceConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """A service without a language model; ``repeatable`` means that a call may be sent twice."""

    upstreams: tuple[str, ...]
    repeatable: bool = False
    class_name: str = ""
    price: float = 0.0


class PolicyConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """Name of the routing policy, and retries allowed as a fraction of requests."""

    routing: str = "expected_wait"
    retry_budget: float = 0.1


class MemberConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """Section of one member: its tables of named entries and its policies."""

    operators: dict[str, OperatorConfig] = field(default_factory=dict)
    domains: dict[str, DomainConfig] = field(default_factory=dict)
    models: dict[str, ModelConfig] = field(default_factory=dict)
    upstreams: dict[str, UpstreamConfig] = field(default_factory=dict)
    services: dict[str, ServiceConfig] = field(default_factory=dict)
    customers: dict[str, CustomerConfig] = field(default_factory=dict)
    classes: dict[str, ClassConfig] = field(default_factory=dict)
    cascades: dict[str, CascadeConfig] = field(default_factory=dict)
    rollouts: dict[str, RolloutConfig] = field(default_factory=dict)
    policy: PolicyConfig = field(default_factory=PolicyConfig)


class Document(Struct, frozen=True, forbid_unknown_fields=True):
    """The complete configuration of one environment, such as trial or production."""

    environment: str
    members: dict[MemberId, MemberConfig]
