"""Steps for upstreams that fall silent within or before an answer, and go on."""

import trio
from behave import given, then, when

from crocusvalve.base import UpstreamId
from crocusvalve.gateway.base import (
    ServiceName,
    UpgradeOrder,
    UpgradeState,
    UpgradeStatus,
    VersionName,
)
from crocusvalve.standin import UpstreamFault, make_event
from features.gateway.steps.closure_steps import RepeatedFault, request

#: Longer than the deadline of any request.
HANG_S = 30.0
NEW_VERSION = VersionName("v2")


class FirstThenRepeated(RepeatedFault):
    """Faults of which the first is injected once, and the second into all further answers."""

    def __init__(self, first, repeated):
        super().__init__([repeated])
        self.first = first

    def pop(self, index=-1):
        first, self.first = self.first, None
        return first or super().pop(index)


def set_faults(context, silent, silence_s, fault):
    """Let the first attempt meet a silence, and each further one on either upstream a fault."""
    shared = FirstThenRepeated(silent, UpstreamFault(fault))
    for upstream in context.harness.upstreams.values():
        upstream.faults = shared
        upstream.silence_s = silence_s


@given(
    "the first attempt is silent for {silence_s:g} s within the stream, "
    "and each further one meets {fault}"
)
def given_silent_stream(context, silence_s, fault):
    set_faults(context, UpstreamFault.SILENT, silence_s, fault)


@given(
    "the first attempt is silent for {silence_s:g} s before its answer, "
    "and each further one meets {fault}"
)
def given_silent_start(context, silence_s, fault):
    set_faults(context, UpstreamFault.SILENT_FIRST, silence_s, fault)


@given("the first attempt is sound, and each further one meets {fault}")
def given_sound_first(context, fault):
    set_faults(context, UpstreamFault.NONE, 0.0, fault)


@then("the caller gets events 1 to {last:d} from the model {model}")
def then_events_from_model(context, last, model):
    answer = context.harness.answers[0]
    expected = b"".join(make_event("/stream/1", n) for n in range(1, last + 1))
    assert answer.is_complete and answer.body == expected, answer
    name = answer.headers["x-response-signature"].removeprefix("signed-by-")
    assert context.harness.upstreams[name].calls[0].headers["x-model"] == model


@given("the first attempt hangs {place}, the second one meets {fault}, and all others are sound")
def given_hanging_first(context, place, fault):
    first = UpstreamFault.HANG if place == "before its answer" else UpstreamFault.SILENT
    shared = [first, UpstreamFault(fault)]
    for upstream in context.harness.upstreams.values():
        upstream.faults = shared
        upstream.silence_s = HANG_S


@then("the caller gets {status:d} within {limit_s:g} s")
def then_status_within(context, status, limit_s):
    answer = context.harness.answers[0]
    (record,) = (r for r in context.harness.log_records if r.msg.startswith("request ended"))
    assert answer.status == status and answer.is_complete, answer
    assert record.fields["elapsed_ms"] <= 1000 * limit_s, record.fields


@given("an upstream with a stream that has had no event for {age_s:g} s")
def given_old_stream(context, age_s):
    context.age_s = age_s


@when("a stream of the other upstream falls silent for good")
def when_other_silent(context):
    async def act(harness):
        tables, now = harness.gateway.tables, harness.gateway.clock.now()
        for upstream_id in tables.by_service["llm"]:
            load = tables.get_load(upstream_id)
            load.n_streams_read += 1
            load.last_event_at = now - context.age_s
        for upstream in harness.upstreams.values():
            upstream.silence_s = HANG_S
        shared = [UpstreamFault.SILENT]
        for upstream in harness.upstreams.values():
            upstream.faults = shared
        await request(harness, "/stream/1")

    context.harness.run(act)


@then("that upstream takes the stream over")
def then_taken_over(context):
    answer = context.harness.answers[0]
    assert answer.is_complete, answer
    assert len(context.harness.calls) == 2, context.harness.calls


@given("upstream two has the new version of an upgrade that is running")
def given_running_upgrade(context):
    two = context.harness.upstreams["two"]
    context.harness.extra_rows.append(
        ("servers", "two-llm", lambda: two.make_entry("llm", "domain-two", version=NEW_VERSION))
    )


@when("an upgrade is {state} within a stream of upstream {first}, which then stops")
def when_upgrade_ends(context, state, first):
    async def act(harness):
        share = 1.0 if first == "two" else 0.0
        set_upgrade(harness, UpgradeState.RUNNING, share)
        harness.upstreams[first].faults = [UpstreamFault.BREAK_IN_EVENT]
        harness.upstreams[first].pause_s = 0.4
        leaving = UpstreamId(f"{first}-llm")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(request, harness, "/stream/1")
            await harness.wait_for(lambda: harness.upstreams[first].calls)
            set_upgrade(harness, UpgradeState(state), share)
            version = harness.gateway.tables.upstreams[leaving].version
            entry = harness.upstreams[first].make_entry(
                "llm", f"domain-{first}", state="draining", version=version
            )
            harness.store.put("servers", leaving, entry)
            rows = harness.gateway.tables.upstreams
            await harness.wait_for(lambda: rows[leaving].is_draining)

    context.harness.run(act)


def set_upgrade(harness, state, share):
    """Set the upgrade of the models' service to the new version."""
    tables, service = harness.gateway.tables, ServiceName("llm")
    tables.orders[service] = UpgradeOrder(service, NEW_VERSION, 30.0, 1)
    tables.statuses[service] = UpgradeStatus(
        version=NEW_VERSION, state=state, share=share, revision=1
    )
