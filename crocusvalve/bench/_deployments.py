"""The two deployments of the requirements: domains, engines, customers and traffic by class."""

import random

from msgspec import Struct

from crocusvalve.base import ClassKind, MemberId, Priority
from crocusvalve.config import (
    ClassConfig,
    CustomerConfig,
    Document,
    DomainConfig,
    MemberConfig,
    ModelConfig,
    RolloutConfig,
    UpstreamConfig,
    VersionConfig,
)
from crocusvalve.standin import EngineSpec

__all__ = ["DEPLOYMENTS", "Deployment", "EngineGroup", "Traffic", "make_document"]

N_CUSTOMERS = 10
#: Fraction of the traffic by customer; a few customers send most of it.
CUSTOMER_SHARES = (0.25, 0.2, 0.15, 0.1, 0.08, 0.06, 0.05, 0.05, 0.03, 0.03)
#: Limit of a customer's requests in flight, as a multiple of its share of the large engines' slots.
QUOTA_FACTOR = 1.5
#: Smallest limit of a customer's requests in flight.
MIN_QUOTA = 16
#: Limits of attempts in progress on a cold and on a warm upstream.
COLD_LIMIT = 2
WARM_LIMIT = 16

#: Engines for long answers and for short answers.
LARGE_ENGINE = EngineSpec(
    step_s=0.025, per_sequence_s=0.0005, prefill_s=0.0001, cold_s=30.0, restart_s=5.0
)
SMALL_ENGINE = EngineSpec(
    step_s=0.006, per_sequence_s=0.0002, prefill_s=0.00003, cold_s=30.0, restart_s=5.0
)


class Traffic(Struct, frozen=True, kw_only=True):
    """Requests of one class.

    Attributes
    ----------
    class_name : str
        Name of the class.
    kind : ClassKind
        Kind of the class.
    model : str
        Local name of the model that answers.
    rate_per_s : float
        Requests per second, over all customers.
    n_prompt, n_out : int
        Tokens of a prompt and of an answer.
    deadline_s : float
        Seconds from arrival to deadline.
    priority : Priority
        Priority of the requests.
    """

    class_name: str
    kind: ClassKind
    model: str
    rate_per_s: float
    n_prompt: int
    n_out: int
    deadline_s: float
    priority: Priority


class EngineGroup(Struct, frozen=True):
    """Engines of one model, assigned to the failure domains in turn."""

    model: str
    n_engines: int
    spec: EngineSpec


class Deployment(Struct, frozen=True, kw_only=True):
    """A member's deployment.

    Attributes
    ----------
    member : MemberId
        Name of the member.
    region : str
        Region of all domains.
    domains : tuple of str
        Local names of the failure domains.
    client_delay_s : float
        One-way network delay between a client and an entry.
    engines : tuple of EngineGroup
        Engines by model, large engines first.
    traffic : tuple of Traffic
        Requests by class.
    """

    member: MemberId
    region: str
    domains: tuple[str, ...]
    client_delay_s: float
    engines: tuple[EngineGroup, ...]
    traffic: tuple[Traffic, ...]


DELTA = Deployment(
    member=MemberId("delta"),
    region="delta-south",
    domains=("can-tho", "soc-trang", "vinh-long"),
    client_delay_s=0.001,
    engines=(EngineGroup("assess", 6, LARGE_ENGINE), EngineGroup("irrigate", 3, SMALL_ENGINE)),
    traffic=(
        Traffic(
            class_name="assessment",
            kind=ClassKind.DURABLE,
            model="assess",
            rate_per_s=4.0,
            n_prompt=400,
            n_out=300,
            deadline_s=600.0,
            priority=Priority.BATCH,
        ),
        Traffic(
            class_name="advice",
            kind=ClassKind.ANSWER,
            model="assess",
            rate_per_s=8.0,
            n_prompt=200,
            n_out=100,
            deadline_s=30.0,
            priority=Priority.NORMAL,
        ),
        Traffic(
            class_name="status",
            kind=ClassKind.LOOKUP,
            model="irrigate",
            rate_per_s=40.0,
            n_prompt=30,
            n_out=12,
            deadline_s=2.0,
            priority=Priority.URGENT,
        ),
        Traffic(
            class_name="gate-order",
            kind=ClassKind.ORDER,
            model="irrigate",
            rate_per_s=4.0,
            n_prompt=40,
            n_out=16,
            deadline_s=10.0,
            priority=Priority.URGENT,
        ),
    ),
)
SFAX = Deployment(
    member=MemberId("sfax"),
    region="sfax",
    domains=("sfax-a", "sfax-b", "sfax-c"),
    client_delay_s=0.003,
    engines=(EngineGroup("logread", 6, LARGE_ENGINE), EngineGroup("control", 3, SMALL_ENGINE)),
    traffic=(
        Traffic(
            class_name="digest",
            kind=ClassKind.DURABLE,
            model="logread",
            rate_per_s=3.0,
            n_prompt=500,
            n_out=250,
            deadline_s=300.0,
            priority=Priority.BATCH,
        ),
        Traffic(
            class_name="summary",
            kind=ClassKind.ANSWER,
            model="logread",
            rate_per_s=9.0,
            n_prompt=250,
            n_out=120,
            deadline_s=30.0,
            priority=Priority.NORMAL,
        ),
        Traffic(
            class_name="tag",
            kind=ClassKind.LOOKUP,
            model="control",
            rate_per_s=60.0,
            n_prompt=20,
            n_out=8,
            deadline_s=1.0,
            priority=Priority.URGENT,
        ),
        Traffic(
            class_name="valve-order",
            kind=ClassKind.ORDER,
            model="control",
            rate_per_s=3.0,
            n_prompt=40,
            n_out=16,
            deadline_s=10.0,
            priority=Priority.URGENT,
        ),
    ),
)
DEPLOYMENTS = {"delta": DELTA, "sfax": SFAX}


def sample_customer(rng: random.Random) -> str:
    """Sample a customer's local name, weighted by its share of the traffic."""
    return f"c{rng.choices(range(N_CUSTOMERS), CUSTOMER_SHARES)[0]}"


def compute_quota(deployment: Deployment, share: float) -> int:
    """Return the limit of requests in flight of a customer with this share of the traffic."""
    n_slots = deployment.engines[0].n_engines * WARM_LIMIT
    return max(MIN_QUOTA, int(QUOTA_FACTOR * share * n_slots))


def make_document(
    deployment: Deployment,
    *,
    versions: dict[str, VersionConfig] | None = None,
    rollout: RolloutConfig | None = None,
    has_quotas: bool = True,
) -> Document:
    """Build the configuration document of a deployment.

    Parameters
    ----------
    deployment : Deployment
        Domains, engines and classes of the document.
    versions : dict of str to VersionConfig or None
        Versions of every model; the first is the current one.
    rollout : RolloutConfig or None
        Roll-out in the document, if any.
    has_quotas : bool
        Whether each customer's requests in flight are limited according to its share.
    """
    versions = versions or {"v1": VersionConfig(0.1, 0.3, 0.9)}
    current = next(iter(versions))
    domains = deployment.domains
    upstreams = {}
    for group in deployment.engines:
        serves = tuple(f"{group.model}@{name}" for name in versions)
        for index in range(group.n_engines):
            upstreams[f"{group.model}-{index}"] = UpstreamConfig(
                domain=domains[index % len(domains)],
                agent=f"127.0.0.{len(upstreams) + 1}:7000",
                url="",
                serves=serves,
                cold_limit=COLD_LIMIT,
                warm_limit=WARM_LIMIT,
            )
    models = tuple(group.model for group in deployment.engines)
    classes = {
        item.class_name: ClassConfig(item.kind, item.deadline_s, item.priority)
        for item in deployment.traffic
    }
    customers = {
        f"c{index}": CustomerConfig(
            f"key{index}",
            models,
            tuple(classes),
            quality_target=0.8,
            rate_per_s=200.0,
            burst=400,
            max_in_flight=compute_quota(deployment, share) if has_quotas else 10_000,
        )
        for index, share in enumerate(CUSTOMER_SHARES)
    }
    section = MemberConfig(
        domains={name: DomainConfig(deployment.region) for name in domains},
        models={model: ModelConfig(current, versions) for model in models},
        upstreams=upstreams,
        customers=customers,
        classes=classes,
        rollouts={"trial": rollout} if rollout else {},
    )
    return Document("bench", {deployment.member: section})
