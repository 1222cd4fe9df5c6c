"""The configuration document of a simulation and its random changes."""

import random

from crocusvalve.base import (
    ClassKind,
    DomainState,
    MemberId,
    Priority,
    UpstreamKind,
    VersionState,
)
from crocusvalve.config import (
    CascadeConfig,
    ClassConfig,
    CustomerConfig,
    Document,
    DomainConfig,
    MemberConfig,
    ModelConfig,
    UpstreamConfig,
    VersionConfig,
    set_current_version,
    set_domain_state,
    set_version_state,
)

__all__ = ["MEMBER", "change_document", "make_soak_document"]

MEMBER = MemberId("delta")
DOMAINS = ("can-tho", "soc-trang", "vinh-long")
N_UPSTREAMS = 6
N_CUSTOMERS = 3


def make_soak_document() -> Document:
    """Return a document with one member: three failure domains, two models, three customers."""
    versions = {
        "v1": VersionConfig(0.1, 0.2, 0.6),
        "v2": VersionConfig(0.1, 0.2, 0.7),
    }
    large = {"v1": VersionConfig(1.0, 2.0, 0.95)}
    models = {"small": ModelConfig("v1", versions), "large": ModelConfig("v1", large)}
    upstreams = {
        f"engine-{index}": UpstreamConfig(
            domain=DOMAINS[index % len(DOMAINS)],
            agent=f"10.0.0.{index + 1}:7000",
            url=f"http://10.0.0.{index + 1}:8000",
            kind=UpstreamKind.ENGINE,
            serves=("small@v1", "small@v2", "large@v1"),
            cold_limit=1,
            warm_limit=6,
        )
        for index in range(N_UPSTREAMS)
    }
    customers = {
        f"customer-{index}": CustomerConfig(
            key_sha256=f"key-{index}",
            allowed=("small@v1", "large") if index == 0 else ("small", "large"),
            classes=("lookup", "answer", "assess"),
            quality_target=0.6,
        )
        for index in range(N_CUSTOMERS)
    }
    classes = {
        "lookup": ClassConfig(
            ClassKind.LOOKUP, deadline_s=2.0, priority=Priority.URGENT, hedge_after_s=0.2
        ),
        "answer": ClassConfig(ClassKind.ANSWER, deadline_s=6.0),
        "assess": ClassConfig(ClassKind.DURABLE, deadline_s=30.0, priority=Priority.BATCH),
    }
    section = MemberConfig(
        domains={name: DomainConfig("delta-south") for name in DOMAINS},
        models=models,
        upstreams=upstreams,
        customers=customers,
        classes=classes,
        cascades={"both": CascadeConfig(("small", "large"))},
    )
    return Document("soak", {MEMBER: section})


def change_document(document: Document, random_state: random.Random) -> Document:
    """Return the document with one random change of a kind that operators make.

    The change sets the state of a failure domain, the state of a version or the current version.
    """
    choice = random_state.randrange(3)
    if choice == 0:
        name = random_state.choice(DOMAINS)
        state = random_state.choice((DomainState.IN, DomainState.IN, DomainState.OUT))
        return set_domain_state(document, MEMBER, name, state)
    version = random_state.choice(("v1", "v2"))
    if choice == 1:
        state = random_state.choice(
            (VersionState.ACTIVE, VersionState.ACTIVE, VersionState.WITHDRAWN)
        )
        return set_version_state(document, MEMBER, "small", version, state)
    return set_current_version(document, MEMBER, "small", version)
