"""Steps for requests that become known to crash upstreams while they are handled."""

from unittest import mock

import trio
from behave import given, then, when
from prometheus_client import CollectorRegistry

from crocusvalve.base import DomainId, NodeId, UpstreamId
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway.base import Address, ServiceName, Upstream, VersionName
from crocusvalve.gateway.decisions._bans import RequestBans
from crocusvalve.gateway.decisions._crashes import CrashRegistry
from crocusvalve.gateway.decisions._crashing_parts import CrashingPartRegistry, SuspectPart
from crocusvalve.gateway.flows._request_handler import compute_request_digest
from crocusvalve.gateway.shared._gossip_message import GossipMessage
from crocusvalve.gateway.tables._tables import GatewayTables
from crocusvalve.gateway.upstreams import _crash_detector
from crocusvalve.gateway.upstreams._crash_detector import CrashDetector
from crocusvalve.platform import PlatformHeaderCodec
from crocusvalve.standin import N_EVENTS, UpstreamFault, make_event
from crocusvalve.utils import BootClock
from features.gateway.steps.closure_steps import STARTED_MS, RepeatedFault, request

INCIDENTS = ["u1#1", "u2#1", "u3#1"]
REPORT_AFTER_S = 0.2


def make_report(path, ban):
    """Return a peer's message that a request, or a part of its prompt, crashes upstreams."""
    if ban == "prompt":
        ages_ms = {incident: 1000 * n for n, incident in enumerate(INCIDENTS, 1)}
        reports = {"suspect_parts": (SuspectPart("aa", ages_ms, ("r1", "r2")),)}
    else:
        method = b"GET" if path.startswith("/safe") else b"POST"
        fields = [(b"host", b"api.example")]
        caller = PlatformHeaderCodec().read_request(method, path.encode(), fields)
        reports = {"crashes": {compute_request_digest(caller, "first"): INCIDENTS}}
    return GossipMessage(node_id=NodeId("gateway-2"), boot_id="b", host="127.0.0.9", **reports)


def set_first_fault(context, fault, silence_s):
    shared = [fault]
    for upstream in context.harness.upstreams.values():
        upstream.faults = shared
        upstream.silence_s = silence_s


@given("the first attempt breaks after {silence_s:g} s")
def given_break(context, silence_s):
    set_first_fault(context, UpstreamFault.BREAK_LATE, silence_s)


@given("the first attempt is silent for {silence_s:g} s")
def given_silent(context, silence_s):
    set_first_fault(context, UpstreamFault.SILENT_FIRST, silence_s)


@given("the first attempt is silent for {silence_s:g} s within the stream")
def given_silent_within(context, silence_s):
    set_first_fault(context, UpstreamFault.SILENT, silence_s)


@given("both upstreams want no requests for {span_s:g} s")
def given_both_closed(context, span_s):
    for upstream in context.harness.upstreams.values():
        upstream.retry_after = str(span_s)
        upstream.faults = [UpstreamFault.OVERLOADED]


@when(
    "a caller sends {path}, and another gateway reports 0.2 s later that {it} has crashed "
    "3 upstreams"
)
def when_reported_meanwhile(context, path, it):
    ban = it.removeprefix("its ")

    async def report(harness):
        await trio.sleep(REPORT_AFTER_S)
        harness.gateway.gossip.merge(make_report(path, ban), harness.gateway.clock.now())

    async def act(harness):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(report, harness)
            started_at = trio.current_time()
            await request(harness, path)
            context.elapsed_s = trio.current_time() - started_at
        await trio.sleep(0.1)
        context.n_abandoned = sum(up.n_abandoned for up in harness.upstreams.values())

    context.harness.run(act)


@then("one upstream got the request, and the caller gets 502")
def then_one_call(context):
    (answer,) = context.harness.answers
    assert len(context.harness.calls) == 1, context.harness.calls
    assert answer.status == 502, answer


@then("one upstream got the request, and the caller gets an answer")
def then_one_answered(context):
    (answer,) = context.harness.answers
    assert len(context.harness.calls) == 1, context.harness.calls
    assert answer.is_complete, answer


@then("the upstream's connection is closed within 0.5 s, and the caller gets 502")
def then_withdrawn(context):
    (answer,) = context.harness.answers
    assert answer.status == 502, answer
    assert context.elapsed_s < REPORT_AFTER_S + 0.5, context.elapsed_s
    assert len(context.harness.calls) == 1, context.harness.calls


@then("the caller gets the whole stream")
def then_whole_stream(context):
    (answer,) = context.harness.answers
    expected = b"".join(make_event("/stream/1", n) for n in range(1, N_EVENTS + 1))
    assert answer.is_complete and answer.body == expected, answer


@then("no upstream got the request, and the caller gets 503 within 0.3 s")
def then_refused_waiting(context):
    (answer,) = context.harness.answers
    assert not context.harness.calls, context.harness.calls
    assert answer.status == 503, answer
    assert context.elapsed_s < REPORT_AFTER_S + 0.3, context.elapsed_s


@given(
    "a crash detector, and an upstream whose address first can't be reached and then refuses "
    "connections"
)
def given_detector(context):
    context.crashes = CrashRegistry()
    context.detector = CrashDetector(
        tables=GatewayTables(),
        bans=RequestBans(context.crashes, CrashingPartRegistry(), NodeId("gw"), lambda now: []),
        observer=GatewayObserver(CollectorRegistry()).crashes,
        clock=BootClock(),
    )


@when("the connection of a request to this upstream breaks")
def when_breaks(context):
    upstream = Upstream(
        upstream_id=UpstreamId("u1"),
        service=ServiceName("ops"),
        address=Address("127.0.0.1", 1),
        domain=DomainId("a"),
        version=VersionName("v1"),
        slots=1,
        started_ms=STARTED_MS,
    )
    req = mock.Mock(digest="digest")
    req.caller.prefix = ()
    errors = [TimeoutError("no answer"), ConnectionRefusedError()]
    with mock.patch.object(_crash_detector, "connect", side_effect=errors):
        trio.run(context.detector.check, req, upstream, False, trio.Event())


@then("the detector counts a crash of the request")
def then_counted(context):
    assert context.crashes.count("digest") == 1


@when(
    "{path} is polled by {n_callers:d} callers for {span_s:g} s while upstream one crashes every "
    "{pause_s:g} s"
)
def when_polled(context, path, n_callers, span_s, pause_s):
    async def poll(harness, end):
        while trio.current_time() < end:
            await harness.call(path)
            await trio.sleep(0.02)

    async def act(harness):
        upstream = harness.upstreams["one"]
        for row in harness.upstreams.values():
            row.faults, row.silence_s = RepeatedFault([UpstreamFault.SILENT_FIRST]), 0.15
        upstream.on_start = lambda: harness.store.put(
            "servers", "one-ops", upstream.make_entry("ops", "domain-one")
        )

        def has_poll():
            return upstream.n_open and harness.gateway.tables.get_load("one-ops").n_inflight

        end = trio.current_time() + span_s
        async with trio.open_nursery() as nursery:
            for _ in range(n_callers):
                nursery.start_soon(poll, harness, end)
            while trio.current_time() < end - pause_s:
                await trio.sleep(pause_s)
                # The polls run in step, so that none may be at the upstream at a given time.
                with trio.move_on_after(pause_s):
                    await harness.wait_for(has_poll)
                upstream.crash()

    context.harness.run(act)


@then("at least {n:d} polls were lost in crashes and none was refused")
def then_none_refused(context, n):
    results = [
        record.fields["result"]
        for record in context.harness.log_records
        if "crash" in record.getMessage() and "result" in record.fields
    ]
    assert len(results) >= n, results
    refused = [answer for answer in context.harness.answers if answer.status == 503]
    assert not refused, (len(refused), len(context.harness.answers), refused[0])


@then("the last polls are answered")
def then_last_answered(context):
    assert all(answer.status == 200 for answer in context.harness.answers[-8:])
