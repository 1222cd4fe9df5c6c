"""Steps about routing in its thinnest form."""

import random

from behave import given, then, when

from crocusvalve.base import ClassKind, MemberId, Priority, Revision, UpstreamState
from crocusvalve.config import (
    CustomerConfig,
    Document,
    DocumentView,
    DomainConfig,
    MemberConfig,
    ModelConfig,
    UpstreamConfig,
    VersionConfig,
)
from crocusvalve.model import EntryTables, RequestRow
from crocusvalve.routing import check_placement, list_candidates, make_router

NOW = 1000.0


def make_tables(n_upstreams=3):
    member = MemberConfig(
        domains={"a": DomainConfig("south")},
        models={"m": ModelConfig("v1", {"v1": VersionConfig()})},
        customers={"c": CustomerConfig("k", ("m",), ("chat",))},
        upstreams={
            f"u{i}": UpstreamConfig("a", "10.0.0.1:1", "http://10.0.0.1", serves=("m@v1",))
            for i in range(n_upstreams)
        },
    )
    return EntryTables(DocumentView(Document("trial", {MemberId("d"): member}), Revision(1)))


def make_request():
    return RequestRow(
        request_id="r",
        customer_id="d/c",
        member="d",
        class_name="chat",
        kind=ClassKind.ANSWER,
        priority=Priority.NORMAL,
        arrived_at=NOW,
        deadline=NOW + 10,
        body=b"{}",
        digest="x",
        version="d/m@v1",
    )


@given('two open upstreams and router "{name}"')
def given_router(context, name):
    context.tables = make_tables()
    context.tables.upstreams["d/u2"].state = UpstreamState.DRAINING
    context.router = make_router(name, random_state=random.Random(1))


@when("a request is placed {n:d} times")
def when_placed(context, n):
    context.placed = []
    for _ in range(n):
        req = make_request()
        rows = list_candidates(context.tables, req, req.version, NOW)
        context.placed.append((req, context.router.choose(req, rows, NOW)))


@then("every placement passes its check")
def then_checked(context):
    for req, row in context.placed:
        check_placement(context.tables, req, row, NOW)


@then("a draining upstream is never chosen")
def then_open(context):
    assert {row.upstream_id for _, row in context.placed} <= {"d/u0", "d/u1"}
