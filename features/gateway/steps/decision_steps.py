"""Steps for the gateway's decisions, which take the time as an argument and do no I/O."""

import os
import random
import time
from types import SimpleNamespace

import msgspec
import trio
from behave import given, then, when
from prometheus_client import CollectorRegistry
from trio.testing import MockClock

from crocusvalve.base import DomainId, NodeId, UpstreamId
from crocusvalve.exceptions import PlatformError
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway._upgrade_controller import UpgradeController
from crocusvalve.gateway.base import (
    Address,
    GatewayBounds,
    PrefixPart,
    ServiceName,
    UpgradeOrder,
    UpgradeState,
    UpgradeStatus,
    Upstream,
    VersionName,
)
from crocusvalve.gateway.decisions._budget import AttemptBudget
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.decisions._cold_start import (
    compute_cold_quota,
    may_send_cold,
    record_cold_send,
)
from crocusvalve.gateway.decisions._crashes import CrashRegistry
from crocusvalve.gateway.decisions._health import Outcome, update_health
from crocusvalve.gateway.decisions._outcome_counts import OutcomeCountsTable
from crocusvalve.gateway.decisions._placement import (
    PlacementQuery,
    PlacementReason,
    choose_upstream,
)
from crocusvalve.gateway.decisions._prompts import get_shared_parts, record_parts
from crocusvalve.gateway.decisions._upgrades import (
    OutcomeCounts,
    Verdict,
    VersionChoice,
    check_version,
    choose_version,
    compute_next_status,
)
from crocusvalve.gateway.shared._gossip_message import GossipMessage, UpgradeReport
from crocusvalve.gateway.shared._peers import PeerTable
from crocusvalve.gateway.tables._followers import TableFollower
from crocusvalve.gateway.tables._operator_table import OperatorTableHandler
from crocusvalve.gateway.tables._replica import TableReplica
from crocusvalve.gateway.tables._store_state import StoreState
from crocusvalve.gateway.tables._tables import GatewayTables, UpstreamLoad
from crocusvalve.gateway.tables._upstream_table import UpstreamTableHandler
from crocusvalve.gateway.upstreams._events import EventSplitter
from crocusvalve.metrics import LineWriter
from crocusvalve.platform import PlatformRecordCodec
from crocusvalve.standin import StandinUpstream
from crocusvalve.store import Backoff
from crocusvalve.store.base import ChangeFeed, FeedPage, FeedRow
from crocusvalve.utils import Clock

NOW = 1_000.0
SERVICE = ServiceName("llm")
MEMORY_TOKENS = 500_000


class UpgradeSubject:
    """An upgrade of a service to ``v2`` within 20 s."""

    order = UpgradeOrder(SERVICE, VersionName("v2"), 20.0, 5)

    @staticmethod
    def make_status(share):
        return UpgradeStatus(
            version=VersionName("v2"),
            state=UpgradeState.RUNNING,
            share=share,
            started_s=NOW,
            revision=6,
        )

    @classmethod
    def list_sessions_on_new(cls, sessions, share):
        status = cls.make_status(share)
        choices = {s: choose_version(cls.order, status, s, False) for s in sessions}
        return {session for session, choice in choices.items() if choice.required == "v2"}


class PlacementSubject:
    """Places prompts on the upstreams of one service."""

    def __init__(self, n_upstreams):
        self.tables = GatewayTables()
        for number in range(n_upstreams):
            upstream = Upstream(
                upstream_id=UpstreamId(f"u{number}"),
                service=SERVICE,
                address=Address("127.0.0.1", 1000 + number),
                domain=DomainId("a"),
                version=VersionName("v1"),
                slots=64,
            )
            self.tables.put_upstream(upstream, NOW)

    def place(self, parts, model="large", now=NOW):
        query = PlacementQuery(
            service=SERVICE,
            domain=DomainId("a"),
            affinity=parts[-2:][0].part_id,
            model=model,
            model_weight=1.0 if model == "large" else 0.07,
            parts=parts,
            cold_quota=lambda upstream: 1,
        )
        return choose_upstream(self.tables, query, now)

    @staticmethod
    def make_parts(shared, unique):
        return (PrefixPart(shared, 12_000), PrefixPart(unique, 3_000))


@given('a new version with {failures:d} failures in {answers:d} answers on the route "{route}"')
def given_new(context, failures, answers, route):
    context.new = {route: OutcomeCounts(answers, failures)}


@given('an old version with {failures:d} failures in {answers:d} answers on the route "{route}"')
def given_old(context, failures, answers, route):
    context.old = {route: OutcomeCounts(answers, failures)}


@then("the new version is {verdict}")
def then_verdict(context, verdict):
    assert check_version(context.new, context.old) is Verdict(verdict)


@given("an upgrade of 20 s whose new version has {share:g} of the sessions")
def given_upgrade(context, share):
    context.status = UpgradeSubject.make_status(share)


@when("{passed:d} s have passed and the verdict is {verdict}")
def when_passed(context, passed, verdict):
    context.next = compute_next_status(
        UpgradeSubject.order,
        context.status,
        verdict=Verdict(verdict),
        exposure_share=0.15,
        has_upstreams=True,
        now=NOW + passed,
    )


@then("the next status is {state} with a share of {share:g}")
def then_next(context, state, share):
    if state == "none":
        assert context.next is None, context.next
        return
    assert context.next.state is UpgradeState(state), context.next
    assert context.next.share == share and context.next.started_s == NOW


@given("{n:d} sessions")
def given_sessions(context, n):
    context.sessions = [f"session-{number}" for number in range(n)]


@when("the new version's share grows from {first:g} to {last:g}")
def when_grows(context, first, last):
    shares = [first, first, 0.3, last]
    context.on_new = [
        UpgradeSubject.list_sessions_on_new(context.sessions, share) for share in shares
    ]


@then("no session leaves the new version")
def then_none_leaves(context):
    assert context.on_new[0] == context.on_new[1]
    pairs = zip(context.on_new, context.on_new[1:], strict=False)
    assert all(before <= after for before, after in pairs)


@then("at first between {low:g} and {high:g} of the sessions were on it")
def then_share(context, low, high):
    assert low <= len(context.on_new[0]) / len(context.sessions) <= high


@given("{n:d} gateways and a cold upstream that can handle {rate:g} requests per second")
def given_gateways(context, n, rate):
    nodes = [NodeId(f"gateway-{number}") for number in range(n)]
    upstream_id = UpstreamId("u1")
    context.total = sum(compute_cold_quota(rate, upstream_id, node, nodes) for node in nodes)


@then("together they may send between {low:d} and {high:d} requests per second")
def then_total(context, low, high):
    assert low <= context.total <= high, context.total


@given("a quota of {quota:d} requests per second")
def given_quota(context, quota):
    context.quota = quota


@when("a request is attempted every 0.1 s for 10 s")
def when_tried(context):
    load = UpstreamLoad()
    context.sent = []
    for step in range(100):
        now = NOW + step * 0.1
        if may_send_cold(load, context.quota, now):
            record_cold_send(load, now)
            context.sent.append(now)


@then("no window of 1 s contains more than {n:d} sent requests")
def then_window(context, n):
    assert len(context.sent) >= 10
    for start in context.sent:
        assert sum(start <= sent_at <= start + 1.0 for sent_at in context.sent) <= n


@given("a budget of {ratio:g} per request and a slack of {slack:d} shared by 4 gateways, over 10 s")
def given_budget(context, ratio, slack):
    context.budget = AttemptBudget(ratio=ratio, slack=slack, window_s=10.0)


@when("{n:d} requests arrive and extra attempts are made while the budget allows")
def when_extras(context, n):
    for _ in range(n):
        context.budget.count_request(NOW)
    context.n_extras = 0
    while context.budget.compute_left(4, NOW + 1) >= 1.0:
        context.budget.count_extra_attempt(NOW + 1)
        context.n_extras += 1


@then("{n:d} extra attempts were made")
def then_extras(context, n):
    assert context.n_extras == n, context.n_extras


@then("after 10 s more the budget is that of a window without requests")
def then_budget(context):
    assert 1.0 <= context.budget.compute_left(4, NOW + 11.5) < 2.0


@given("{n:d} upstreams of a service with a small and a large model")
def given_upstreams(context, n):
    context.subject = PlacementSubject(n)


@when("a prompt is sent to the upstream chosen for it")
def when_sent(context):
    subject = context.subject
    parts = subject.make_parts("subject", "own-1")
    context.first = subject.place(parts).upstream
    load = subject.tables.get_load(context.first.upstream_id)
    record_parts(load, "large", get_shared_parts(parts), MEMORY_TOKENS)


@then("the next prompt with the same shared parts is placed there as well")
def then_same(context):
    parts = context.subject.make_parts("subject", "own-2")
    assert context.subject.place(parts).upstream is context.first


@then("a further one is placed elsewhere once {n:d} tokens are queued there")
def then_placed_elsewhere(context, n):
    context.subject.tables.get_load(context.first.upstream_id).pending_work = float(n)
    parts = context.subject.make_parts("subject", "own-3")
    assert context.subject.place(parts).upstream is not context.first


@when("{n:d} prompts are placed for each model")
def when_placed(context, n):
    subject = context.subject
    context.chosen = {
        model: {
            subject.place(subject.make_parts(f"s{i}", f"o{i}"), model).upstream.upstream_id
            for i in range(n)
        }
        for model in ("small", "large")
    }


@then("no upstream was chosen for both")
def then_no_shared_upstream(context):
    assert not context.chosen["small"] & context.chosen["large"], context.chosen
    assert len(context.chosen["large"]) == 4, context.chosen


@when("both upstreams fail to answer")
def when_silent(context):
    tables = context.subject.tables
    update_health(tables.get_load(UpstreamId("u1")), Outcome.SILENT, NOW)
    update_health(tables.get_load(UpstreamId("u0")), Outcome.SILENT, NOW + 0.2)


@then("the one whose suspension ends first is chosen")
def then_first(context):
    parts = context.subject.make_parts("s", "o")
    placement = context.subject.place(parts, now=NOW + 0.3)
    assert placement.reason is PlacementReason.LAST_RESORT
    assert placement.upstream.upstream_id == "u1"


@then("a replica of a table keeps the newest row when an older table is read")
def then_replica(context):
    replica = TableReplica()
    replica.merge_table(FeedPage((FeedRow("a", b"1", 3),), 3, 0.0))
    replica.merge_changes(FeedPage((FeedRow("a", b"2", 9), FeedRow("b", b"1", 8)), 9, 0.0))
    changed_rows = replica.merge_table(FeedPage((FeedRow("a", b"1", 3),), 5, 0.0))
    assert not changed_rows, changed_rows
    assert replica.get_version("a") == 9 and replica.get_version("b") == 8
    changed_rows = replica.merge_table(FeedPage((FeedRow("a", b"2", 9),), 12, 0.0))
    assert [row.key for row in changed_rows] == ["b"] and changed_rows[0].value is None


@given("an upstream without recorded outcomes")
def given_load(context):
    context.load = UpstreamLoad()


@when("attempts at it have the outcomes {outcomes}")
def when_outcomes(context, outcomes):
    for name in outcomes.split():
        update_health(context.load, Outcome(name), NOW)


@then("it is {state}")
def then_state(context, state):
    assert (context.load.suspended_until > NOW) == (state == "suspended"), context.load


@given("a stream of {n:d} events that end in an empty line, with LF or with CRLF")
def given_events(context, n):
    ends = ("\n\n", "\r\n\r\n")
    context.events = [f"id: {i}{ends[i % 2][:-1][-2:]}data: {i}{ends[i % 2]}" for i in range(n)]


@when("it arrives in chunks of every size from 1 to {n:d} bytes")
def when_chunks(context, n):
    data = "".join(context.events).encode()
    context.split = []
    for size in range(1, n + 1):
        splitter = EventSplitter()
        chunks = [data[start : start + size] for start in range(0, len(data), size)]
        context.split.append([event for chunk in chunks for event in splitter.feed(chunk)])
        assert not splitter.has_partial_event


@then("the same {n:d} events are returned each time")
def then_events(context, n):
    for events in context.split:
        assert [event.data.decode() for event in events] == context.events
        assert [event.event_id.decode() for event in events] == [str(i) for i in range(n)]


@given("an event of the lines {lines}")
def given_event_lines(context, lines):
    data = "".join(f"{line.strip()}\n" for line in lines.split(",")) + "\n"
    (context.event,) = EventSplitter().feed(data.encode())
    assert context.event.data == data.encode()


@then("it has {content}")
def then_content(context, content):
    assert context.event.has_content == content.startswith("content"), context.event
    assert context.event.event_id == (b"7" if content.endswith("id") else b""), context.event


@given("a stream of {n:d} comments")
def given_comments(context, n):
    context.comments = [b": ping\n\n"] * n


@then("the last one makes the stream too long")
def then_too_long(context):
    splitter = EventSplitter()
    assert len(splitter.feed(b"".join(context.comments))) == len(context.comments)
    assert splitter.is_too_long


@then("it isn't if each tenth one is followed by an event with content")
def then_not_too_long(context):
    splitter = EventSplitter()
    for number, comment in enumerate(context.comments):
        splitter.feed(comment + (b"data: x\n\n" if number % 10 == 0 else b""))
        assert not splitter.is_too_long


@given("an event of {n_bytes:d} bytes that never ends")
def given_endless_event(context, n_bytes):
    context.endless_event = b"x" * n_bytes


@when("it arrives byte by byte")
def when_byte_by_byte(context):
    splitter = EventSplitter()
    started_at = time.process_time()
    for start in range(len(context.endless_event)):
        assert not splitter.feed(context.endless_event[start : start + 1])
    context.processor_s = time.process_time() - started_at


@then("at most {limit_s:g} s of the processor's time have passed")
def then_processor_time(context, limit_s):
    assert context.processor_s <= limit_s, context.processor_s


@given("{n:d} answers of the old version in {first_s:g} s each")
def given_answers(context, n, first_s):
    context.outcome_counts = OutcomeCountsTable()
    for _ in range(n):
        context.outcome_counts.record_outcome(
            SERVICE, VersionName("v1"), "a", is_failure=False, first_s=first_s
        )


@when("the new version answers in {first_s:g} s")
def when_answers(context, first_s):
    version = VersionName("v2")
    context.counted = context.outcome_counts.record_outcome(
        SERVICE, version, "a", is_failure=False, first_s=first_s, is_reference=False
    )


class ManualClock(Clock):
    """Clock that a step sets."""

    def __init__(self):
        self.time_s = 1000.0

    def now(self):
        return self.time_s


def make_upgrade_controller(clock):
    """Return the upgrade controller of a gateway without a store and peers."""
    return UpgradeController(
        settings=SimpleNamespace(bounds=GatewayBounds()),
        tables=GatewayTables(),
        peers=None,
        outcome_counts=OutcomeCountsTable(),
        feed=None,
        operator_handler=None,
        status_handler=None,
        store=None,
        observer=GatewayObserver(CollectorRegistry()),
        clock=clock,
    )


def set_upgrade(upgrades, share, started_s):
    """Put an order and a status of version v2 into a gateway's tables."""
    version = VersionName("v2")
    upgrades.tables.orders[SERVICE] = UpgradeOrder(SERVICE, version, 20.0, revision=1)
    upgrades.tables.statuses[SERVICE] = UpgradeStatus(
        version=version,
        state=UpgradeState.RUNNING,
        share=share,
        started_s=started_s,
        revision=2,
    )


def count_on_new(upgrades, sessions):
    """Return the set of sessions that a gateway sends to version v2."""
    return {
        session
        for session in sessions
        if upgrades.choose_version(SERVICE, session).required == VersionName("v2")
    }


@given(
    "{n:d} gateways, each of which has served {n_sessions:d} sessions {age_s:g} s before an upgrade"
)
def given_gateways_with_sessions(context, n, n_sessions, age_s):
    context.clock = ManualClock()
    context.gateways = [make_upgrade_controller(context.clock) for _ in range(n)]
    context.sessions = [f"old-{number}" for number in range(n * n_sessions)]
    for number, session in enumerate(context.sessions):
        choice = context.gateways[number % n].choose_version(SERVICE, session)
        assert choice == VersionChoice()
    context.clock.time_s += age_s


@when("the upgrade starts with a share of {share:g}, and the gateways exchange reports")
def when_upgrade_starts(context, share):
    for upgrades in context.gateways:
        set_upgrade(upgrades, share, 100.0)
    for sender in context.gateways:
        for receiver in context.gateways:
            if receiver is not sender:
                receiver.merge_reports(sender.list_reports(), context.clock.now())


@then("no gateway sends one of these sessions to the new version")
def then_none_moved(context):
    for upgrades in context.gateways:
        assert not count_on_new(upgrades, context.sessions)


@then(
    "each gateway sends between {low:g} and {high:g} of {n:d} other sessions to it, the same ones"
)
def then_others_probe(context, low, high, n):
    others = [f"new-{number}" for number in range(n)]
    on_new = [count_on_new(upgrades, others) for upgrades in context.gateways]
    assert all(chosen == on_new[0] for chosen in on_new)
    assert low <= len(on_new[0]) / n <= high, len(on_new[0])


@then(
    "all gateways move between {low:g} and {high:g} of these sessions when the share grows to "
    "{share:g}"
)
def then_moved_later(context, low, high, share):
    for upgrades in context.gateways:
        set_upgrade(upgrades, share, 100.0)
    on_new = [count_on_new(upgrades, context.sessions) for upgrades in context.gateways]
    assert all(chosen == on_new[0] for chosen in on_new)
    assert low <= len(on_new[0]) / len(context.sessions) <= high, len(on_new[0])


@given("a gateway with an upgrade that began at {started_s:g} s, and counts that show nothing")
def given_upgrading_gateway(context, started_s):
    context.upgrades = make_upgrade_controller(ManualClock())
    set_upgrade(context.upgrades, 1.0, started_s)
    assert context.upgrades.choose_version(SERVICE, "s").required == "v2"


@when("a peer reports that the new version is bad, in an upgrade that began at {started_s:g} s")
def when_reported_bad(context, started_s):
    report = UpgradeReport(
        service=SERVICE,
        version=VersionName("v2"),
        state="running",
        share=1.0,
        started_s=started_s,
        is_bad=True,
    )
    context.upgrades.merge_reports([report], 1000.0)


@when("another gateway completes the upgrade")
def when_completed(context):
    statuses = context.upgrades.tables.statuses
    statuses[SERVICE] = msgspec.structs.replace(statuses[SERVICE], state=UpgradeState.COMPLETE)


@then("the gateway sends sessions to the {side} version")
def then_sessions_sent(context, side):
    choice = context.upgrades.choose_version(SERVICE, "s")
    expected = VersionChoice(avoid="v2") if side == "old" else VersionChoice(required="v2")
    assert choice == expected, choice


@given("10 answers of the old version by two models, one ten times as fast as the other")
def given_models(context):
    context.outcome_counts = OutcomeCountsTable()
    for model, factor in (("fast", 0.1), ("slow", 1.0)):
        for _ in range(10):
            context.outcome_counts.record_outcome(
                SERVICE,
                VersionName("v1"),
                "a",
                is_failure=False,
                model=model,
                first_s=1.0 * factor,
                pause_s=0.2 * factor,
            )


@when(
    "the new version's {model} model takes {first:g} s to the first event "
    "and {pause:g} s between events"
)
def when_model_answers(context, model, first, pause):
    context.counted = context.outcome_counts.record_outcome(
        SERVICE,
        VersionName("v2"),
        "a",
        is_failure=False,
        model=model,
        first_s=first,
        pause_s=pause,
        is_reference=False,
    )


@then("it {counts} as a failure")
def then_counts(context, counts):
    new, old = context.outcome_counts.sum_by_route(SERVICE, VersionName("v2"))
    expected = int(counts == "counts")
    assert context.counted == bool(expected), context.outcome_counts
    assert new["a"].n_failures == expected and old["a"].n_failures == 0


@given(
    "{n:d} answers of the old version on each of {n_routes:d} routes, with {pause_s:g} s between "
    "events"
)
def given_paced_answers(context, n, n_routes, pause_s):
    context.outcome_counts = OutcomeCountsTable()
    for number in range(n * n_routes):
        context.outcome_counts.record_outcome(
            SERVICE,
            VersionName("v1"),
            f"r{number % n_routes}",
            is_failure=False,
            model="m",
            pause_s=pause_s,
        )


@when("the new version answers {n:d} streams, {n_slow:d} of them with {pause_s:g} s between events")
def when_paced_answers(context, n, n_slow, pause_s):
    for number in range(n):
        context.outcome_counts.record_outcome(
            SERVICE,
            VersionName("v2"),
            f"r{number % 3}",
            is_failure=False,
            model="m",
            pause_s=pause_s if number < n_slow else 0.02,
            is_reference=False,
        )


def record_varying_answers(outcome_counts, version, pauses_s, *, late_s=0.3, early_s=0.06):
    """Record streams, each third one with a late first event."""
    for number, pause_s in enumerate(pauses_s):
        for times in (
            {"first_s": late_s if number % 3 == 0 else early_s},
            {"pause_s": pause_s},
        ):
            outcome_counts.record_outcome(
                SERVICE,
                VersionName(version),
                f"r{number % 2}",
                is_failure=False,
                model="m",
                is_reference=version == "v1",
                **times,
            )


@given(
    "{n:d} answers of the old version, each third one with a first event at {late_s:g} s, others "
    "at {early_s:g} s, and {pause_s:g} s between events"
)
def given_varying_answers(context, n, late_s, early_s, pause_s):
    context.outcome_counts = OutcomeCountsTable()
    record_varying_answers(
        context.outcome_counts, "v1", [pause_s] * n, late_s=late_s, early_s=early_s
    )


@when(
    "the new version answers {n:d} streams in the same way, {n_slow:d} of them with {pause_s:g} s "
    "between events"
)
def when_varying_answers(context, n, n_slow, pause_s):
    pauses_s = [pause_s] * n_slow + [0.025] * (n - n_slow)
    record_varying_answers(context.outcome_counts, "v2", pauses_s)


@given("{n:d} answers of the new version with {pause_s:g} s between events")
def given_new_answers(context, n, pause_s):
    when_paced_answers(context, n, 0, pause_s)


@when(
    "each of {n_upstreams:d} upstreams of the new version is {n_late:d} times late within "
    "{span_s:g} s"
)
def when_late(context, n_upstreams, n_late, span_s):
    for number in range(n_late):
        for upstream in range(n_upstreams):
            context.outcome_counts.record_late(
                SERVICE,
                VersionName("v2"),
                f"r{number % 3}",
                UpstreamId(f"u{upstream}"),
                1000.0 + span_s * number / n_late,
            )


@then("the counts show that the new version is {verdict}")
def then_verdict_by_counts(context, verdict):
    new, old = context.outcome_counts.sum_by_route(SERVICE, VersionName("v2"))
    assert check_version(new, old) is Verdict(verdict), (new, old)


@given("a gateway that recorded 2 upstream crashes caused by one request")
def given_crashes(context):
    context.crashes = CrashRegistry()
    for incident in ("u1#5", "u2#5", "u2#5"):
        context.crashes.record_crash("digest", incident)
    assert not context.crashes.is_banned("digest")


@when("another gateway reports the same crashes and one more")
def when_peer_reports(context):
    context.crashes.merge("digest", ["u1#5", "u2#5"])
    assert not context.crashes.is_banned("digest")
    context.crashes.merge("digest", ["u2#5", "u1#9"])


@then("the request is banned")
def then_banned(context):
    assert context.crashes.is_banned("digest")
    assert not context.crashes.is_banned("other")


@given("a log whose reader has stopped")
def given_pipe(context):
    context.pipe = os.pipe()


@when("{n:d} lines are written")
def when_written(context, n):
    reader, writer = context.pipe
    stream = os.fdopen(writer, "w")
    context.writer = LineWriter(stream, max_lines=100)
    context.writer.__enter__()
    for _ in range(n):
        context.writer.write("x" * 200 + "\n")
    context.n_dropped = context.writer.n_dropped
    os.close(reader)


@then("the writer was never blocked and the dropped lines are counted")
def then_dropped(context):
    # A pipe holds 64 KiB, about 320 of these lines; the writer queues 100 and has up to as many in
    # the batch that it is writing.
    assert context.n_dropped > 4000, context.n_dropped


class FollowerClock(Clock):
    """Clock that returns trio's virtual time."""

    def now(self):
        return trio.current_time()


class ScriptedFeed(ChangeFeed):
    """Feed of one table with scheduled changes and one outage.

    ``changes`` are pairs of a time in seconds and a row.
    """

    def __init__(self, outage_start_s, outage_end_s, changes):
        self.outage_start_s = outage_start_s
        self.outage_end_s = outage_end_s
        self.changes = sorted(changes, key=lambda change: change[0])

    async def read_table(self, table, *, timeout_s=1.0):
        return await self.wait_for_changes(table, 0, 0.0)

    async def wait_for_changes(self, table, after, wait_s, *, max_bytes=None, timeout_s=1.0):
        end = trio.current_time() + wait_s
        while True:
            now = trio.current_time()
            if self.outage_start_s <= now < self.outage_end_s:
                raise PlatformError("away", step="test", peer="store", maybe_applied=False)
            due = [row for change_s, row in self.changes if change_s <= now and row.version > after]
            if due or now >= end:
                return FeedPage(tuple(due), max([after, *(row.version for row in due)]), now)
            await trio.sleep(0.01)

    async def put_row(self, table, key, value, if_version):
        raise NotImplementedError


#: Time at which the store recovers, in seconds.
RECOVERY_S = 10.0


def run_follower(outage_s, changes):
    """Return when the entry came into use or went out of use.

    Parameters
    ----------
    outage_s : float
        Length of the store's outage in seconds, which ends at ``RECOVERY_S``.
    changes : list of (float, bool)
        Seconds after the recovery, and whether the entry is registered from then on. It is first
        registered at 0 s.

    Returns
    -------
    list of (float, bool)
        Seconds after the recovery, and whether the entry is in use from then on.
    """
    upstream = StandinUpstream("one")
    entry = msgspec.json.encode(upstream.make_entry(SERVICE, "domain-1", address="127.0.0.1:1"))
    rows = [(0.0, FeedRow("one", entry, 1))]
    for number, (after_s, is_registered) in enumerate(changes):
        rows.append(
            (RECOVERY_S + after_s, FeedRow("one", entry if is_registered else None, 2 + number))
        )
    feed = ScriptedFeed(RECOVERY_S - outage_s, RECOVERY_S, rows)
    tables = GatewayTables()
    observer = GatewayObserver(CollectorRegistry())
    store = StoreState()
    handler = UpstreamTableHandler(
        tables, PlatformRecordCodec(), observer, store, bounds=GatewayBounds()
    )
    follower = TableFollower(
        feed=feed,
        handler=handler,
        store=store,
        backoff=Backoff(base_s=0.1, max_s=0.1, random_state=random.Random(1)),
        clock=FollowerClock(),
        wait_s=2.5,
        pause_s=0.6,
    )
    transitions = []

    async def watch():
        is_in_use = False
        while trio.current_time() < RECOVERY_S + 5.0:
            if ("one" in tables.upstreams) != is_in_use:
                is_in_use = not is_in_use
                transitions.append((round(trio.current_time() - RECOVERY_S, 2), is_in_use))
            await trio.sleep(0.01)

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await watch()
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))
    return transitions


@given("a follower of the upstream table that drops a leaving upstream within 2 s")
def given_follower(context):
    context.transitions = None


@when(
    "the store is unavailable for {outage_s:g} s "
    "and an entry is removed {removed_s:g} s after its recovery"
)
def when_removed(context, outage_s, removed_s):
    context.transitions = run_follower(outage_s, [(removed_s, False)])


@when(
    "the store is unavailable for {outage_s:g} s, "
    "an entry is missing at its recovery and registered again 1 s later"
)
def when_registered_again(context, outage_s):
    context.transitions = run_follower(outage_s, [(0.0, False), (1.0, True)])


@then("the entry is out of use {unused_s:g} s after the recovery")
def then_out_of_use(context, unused_s):
    # The follower sees a change late by up to its pause between calls and the one before a retry.
    assert len(context.transitions) == 2 and not context.transitions[1][1], context.transitions
    assert unused_s <= context.transitions[1][0] <= unused_s + 0.6 + 0.2, context.transitions
    assert unused_s + 0.6 + 0.2 < 2.0 or context.transitions[1][0] < 2.0, context.transitions


@then("the entry is in use all the time")
def then_in_use(context):
    assert len(context.transitions) == 1 and context.transitions[0][1], context.transitions


MEAN_PROMPT_TOKENS = 17_000


@given(
    "{n:d} upstreams that process {rate:d} prompt tokens per ms, "
    "a costly model's at a third of the rate"
)
def given_upstream_rate(context, n, rate):
    context.tables = PlacementSubject(n).tables
    context.tokens_per_s = {"cheap": rate * 1000 / 0.3, "costly": rate * 1000 / 3.0}


@when("for {span_s:d} s {n_costly:d} costly and {n_cheap:d} cheap requests arrive per second")
def when_load(context, span_s, n_costly, n_cheap):
    """Simulate a queue at each upstream; the gateway knows the pending work without delay."""
    rng = random.Random(5)
    tables = context.tables
    weights = {"costly": 1.0, "cheap": 0.1}
    arrivals = [
        (rng.uniform(0.0, span_s), model, rng.expovariate(1 / MEAN_PROMPT_TOKENS))
        for model, rate in (("costly", n_costly), ("cheap", n_cheap))
        for _ in range(rate * span_s)
    ]
    free_at = {}
    open_work = []
    context.waits = {"costly": [], "cheap": []}
    for number, (arrived_at, model, tokens) in enumerate(sorted(arrivals)):
        for finished in [item for item in open_work if item[0] <= arrived_at]:
            open_work.remove(finished)
            tables.get_load(finished[1]).pending_work -= finished[2]
        query = PlacementQuery(
            service=SERVICE,
            domain=DomainId("domain-1"),
            affinity=f"prompt-{number}",
            model=model,
            model_weight=weights[model],
            parts=(PrefixPart(f"part-{number}", int(tokens)),),
            cold_quota=lambda upstream: 1_000,
        )
        upstream_id = choose_upstream(tables, query, NOW + arrived_at).upstream.upstream_id
        work = tokens * weights[model]
        tables.work_split.record(SERVICE, work, work, NOW + arrived_at)
        tables.get_load(upstream_id).pending_work += work
        free_at[upstream_id] = (
            max(arrived_at, free_at.get(upstream_id, 0.0)) + tokens / context.tokens_per_s[model]
        )
        open_work.append((free_at[upstream_id], upstream_id, work))
        context.waits[model].append(free_at[upstream_id] - arrived_at)


@then("{n:d} in 100 requests of each model have their first event within the goal of {goal_s:d} s")
def then_goal_is_met(context, n, goal_s):
    for model, waits in context.waits.items():
        share = sum(wait <= goal_s for wait in waits) / len(waits)
        assert share >= n / 100, (model, share)


class CountingFeed(ScriptedFeed):
    """A scripted feed that records the times of its calls."""

    def __init__(self, outage_start_s, outage_end_s):
        super().__init__(outage_start_s, outage_end_s, [])
        self.called_at = []

    async def wait_for_changes(self, table, after, wait_s, *, max_bytes=None, timeout_s=1.0):
        self.called_at.append(trio.current_time())
        return await super().wait_for_changes(table, after, min(wait_s, 1.0))


@given(
    "a probing and a waiting follower of a store that is unavailable from {low:d} s to {high:d} s"
)
def given_two_followers(context, low, high):
    context.outage = (low, high)
    context.feeds = [CountingFeed(low, high) for _ in range(2)]


@when("they run for {span_s:d} s")
def when_followers_run(context, span_s):
    store = StoreState()
    observer = GatewayObserver(CollectorRegistry())
    followers = []
    shared = (GatewayTables(), PlatformRecordCodec(), observer, store)
    handlers = (
        OperatorTableHandler(*shared),
        UpstreamTableHandler(*shared, bounds=GatewayBounds()),
    )
    for feed, is_probing, handler in zip(context.feeds, (True, False), handlers, strict=True):
        followers.append(
            TableFollower(
                feed=feed,
                handler=handler,
                store=store,
                backoff=Backoff(base_s=0.1, max_s=1.0, random_state=random.Random(3)),
                clock=FollowerClock(),
                wait_s=2.5,
                pause_s=0.5,
                is_probing=is_probing,
            )
        )

    async def run():
        with trio.move_on_after(span_s):
            async with trio.open_nursery() as nursery:
                for follower in followers:
                    nursery.start_soon(follower.run)

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("the waiting follower makes at most {n:d} calls while the store is unavailable")
def then_few_calls(context, n):
    low, high = context.outage
    counts = [sum(low <= at < high for at in feed.called_at) for feed in context.feeds]
    assert counts[1] <= n < counts[0], counts


@then("it makes its next call within {bound_s:g} s of the first answer")
def then_next_call(context, bound_s):
    answered_at, called_at = (
        min(at for at in feed.called_at if at >= context.outage[1]) for feed in context.feeds
    )
    assert 0.0 <= called_at - answered_at <= bound_s, (answered_at, called_at)


@when("{n:d} requests arrive and extra attempts are made by choice while the budget allows")
def when_chosen_extras(context, n):
    for _ in range(n):
        context.budget.count_request(NOW)
    context.n_extras = 0
    while context.budget.compute_left_for_choice(4, NOW + 1) >= 1.0:
        context.budget.count_extra_attempt(NOW + 1)
        context.n_extras += 1


@then("at least {n:d} further ones may be made for requests that have failed")
def then_left_for_failed(context, n):
    assert context.budget.compute_left(4, NOW + 1) >= n


@when("{n:d} peers report the preferred upstream of a prompt as silent")
def when_reported_silent(context, n):
    subject = context.subject
    context.parts = subject.make_parts("subject", "own")
    context.preferred = subject.place(context.parts).upstream
    subject.tables.get_load(context.preferred.upstream_id).n_peers_silent = n


@then("the prompt is placed on the {which} upstream")
def then_placed_on(context, which):
    upstream = context.subject.place(context.parts).upstream
    assert (upstream is context.preferred) == (which == "preferred")


@given("a table of peers")
def given_peer_table(context):
    context.peers = PeerTable(NodeId("gateway-0"), "127.0.0.1")


@when("three peers report an upstream as silent, one of them twice and one 2 s ago")
def when_peers_report(context):
    run = UpstreamRun(UpstreamId("u1"), 5)
    for name, at in (("a", NOW - 2.0), ("b", NOW - 0.5), ("b", NOW - 0.1), ("c", NOW - 0.2)):
        message = GossipMessage(
            node_id=NodeId(name), boot_id="x", host=f"127.0.0.{ord(name)}", silent=(run,)
        )
        context.peers.update_peer(message, at)


@then("{n:d} peers report it as silent")
def then_n_silent(context, n):
    assert context.peers.count_silent(NOW) == {UpstreamRun(UpstreamId("u1"), 5): n}
