"""Steps of choice.feature about single choices and load estimates."""

import random
from collections import deque

from behave import given, then, when

from crocusvalve.model import UpstreamRow
from crocusvalve.routing import (
    add_prefix_hint,
    estimate_load,
    find_in_flight_at,
    is_full,
    make_router,
    mark_full,
    record_attempt_end,
    record_attempt_start,
    remove_prefix_hint,
)
from features.core_builders import NOW, make_request

REGIONS = {"a": "south", "b": "south", "x": "north"}


class ChoiceSubject:
    """Builds upstream rows and requests from the notation of the feature."""

    @staticmethod
    def make_row(text, i):
        domain, _, load = text.strip().partition(" ")
        load, _, service_s = load.partition("@")
        in_flight, _, limit = load.partition("/")
        return UpstreamRow(
            upstream_id=f"u{i}",
            domain=domain,
            region=REGIONS[domain],
            agent="",
            kind="engine",
            in_flight=int(in_flight),
            local_in_flight_at_report=int(in_flight),
            reported_in_flight=int(in_flight),
            reported_limit=int(limit),
            reported_at=NOW,
            ewma_service_s=float(service_s or 0.5),
        )

    @staticmethod
    def make_request(rows, affinity):
        kind, _, rest = affinity.partition(" ")
        if kind == "session":
            return make_request(preferred_upstream=f"u{rest}")
        if kind == "prefix":
            i, _, state = rest.partition(" ")
            row, ages = rows[int(i)], {"fresh": 1, "fading": 59, "expired": 61}
            add_prefix_hint(row, "p", NOW - ages.get(state, 0))
            if state == "evicted":
                remove_prefix_hint(row, "p")
            return make_request(prefix_digest="p")
        return make_request()


@given('upstreams "{rows}" and a request with affinity {affinity}')
def given_rows(context, rows, affinity):
    context.rows = [ChoiceSubject.make_row(text, i) for i, text in enumerate(rows.split(","))]
    context.req = ChoiceSubject.make_request(context.rows, affinity)
    context.now = NOW


@when("the first upstream refuses an attempt as full")
def when_refuses(context):
    mark_full(context.rows[0], NOW)


@when("{delay:g} s pass")
def when_pass(context, delay):
    context.now += delay


@then('"{name}" chooses {chosen} in 50 draws')
def then_chooses(context, name, chosen):
    router = make_router(name, random_state=random.Random(1), domain="a", region="south")
    drawn = [router.choose(context.req, context.rows, context.now) for _ in range(50)]
    found = {context.rows.index(row) if row else None for row in drawn}
    assert found == {None if chosen == "none" else int(chosen)}, found


@given('an upstream of limit 10 with own attempts "{own}" and a report of {load:d} at 5 s')
def given_report(context, own, load):
    context.row = row = ChoiceSubject.make_row("a 0/10", 0)
    row.reported_in_flight, row.reported_at = load, NOW + 5
    row.local_in_flight_history = deque()
    for text in own.replace("+", " +").replace("-", " -").split():
        record = record_attempt_start if text[0] == "+" else record_attempt_end
        record(row, NOW + int(text[1:]))
    row.local_in_flight_at_report = find_in_flight_at(row, row.reported_at)


@given('an upstream of limit 10 with own attempts "" and a report of {load:d} at 5 s')
def given_no_own(context, load):
    given_report(context, "", load)


@then("at {instant:g} s its estimated load is {estimate:g} and it is {state}")
def then_load(context, instant, estimate, state):
    found = estimate_load(context.row, NOW + instant)
    assert abs(found - estimate) < 0.01, found
    assert is_full(context.row, NOW + instant) == (state == "full")
