"""Builders of small documents, tables and requests for the features of the core."""

from crocusvalve.base import ClassKind, MemberId, Priority, Revision
from crocusvalve.config import (
    ClassConfig,
    CustomerConfig,
    Document,
    DocumentView,
    DomainConfig,
    MemberConfig,
    ModelConfig,
    ServiceConfig,
    UpstreamConfig,
    VersionConfig,
)
from crocusvalve.model import EntryTables, RequestRow

NOW = 1000.0
DOMAINS = ("a", "b", "c")


def make_document(n_upstreams=6, *, out=(), withdrawn=(), versions=("v1", "v2"), **upstream):
    """Make a document of one member "d" with upstreams u0, u1, ... in domains a, b, c in turn."""
    from crocusvalve.base import DomainState, VersionState

    serves = tuple(f"m@{version}" for version in versions)
    states = {
        v: VersionState.WITHDRAWN if v in withdrawn else VersionState.ACTIVE for v in versions
    }
    upstreams = {
        f"u{i}": UpstreamConfig(
            DOMAINS[i % 3], f"10.0.0.{i}:1", f"http://10.0.0.{i}", serves=serves, **upstream
        )
        for i in range(n_upstreams)
    }
    member = MemberConfig(
        domains={
            d: DomainConfig("south", DomainState.OUT if d in out else DomainState.IN)
            for d in DOMAINS
        },
        models={"m": ModelConfig("v1", {v: VersionConfig(state=states[v]) for v in versions})},
        customers={
            "c": CustomerConfig("k", ("m",), ("chat",)),
            "one": CustomerConfig("k1", ("m@v1",), ("chat",)),
        },
        classes={"chat": ClassConfig(ClassKind.ANSWER)},
        services={"pump": ServiceConfig(("u0", "u1"))},
        upstreams=upstreams,
    )
    return Document("trial", {MemberId("d"): member})


def make_tables(n_upstreams=6, *, revision=1, **options):
    return EntryTables(DocumentView(make_document(n_upstreams, **options), Revision(revision)))


def make_request(request_id="r", customer="c", **fields):
    defaults = dict(
        request_id=request_id,
        customer_id=f"d/{customer}",
        member="d",
        class_name="chat",
        kind=ClassKind.ANSWER,
        priority=Priority.NORMAL,
        arrived_at=NOW,
        deadline=NOW + 30.0,
        body=b"{}",
        digest=request_id,
        version="d/m@v1",
        steps=("d/m",),
    )
    return RequestRow(**(defaults | fields))
