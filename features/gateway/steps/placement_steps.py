"""Steps for the placement of prompts, in virtual time."""

import math
import random
from collections import Counter

from behave import given, then, when

from crocusvalve.base import DomainId, NodeId, UpstreamId
from crocusvalve.gateway.base import Address, PrefixPart, ServiceName, Upstream, VersionName
from crocusvalve.gateway.decisions._capacity import CapacityTable, SpeedReport
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.decisions._pace import PaceTable
from crocusvalve.gateway.decisions._placement import PlacementQuery, choose_upstream
from crocusvalve.gateway.decisions._prompts import count_unread_tokens, record_parts
from crocusvalve.gateway.decisions._work_split import WorkSplit
from crocusvalve.gateway.tables._tables import GatewayTables

SERVICE = ServiceName("llm")
#: Prompt tokens that an upstream of usual speed reads per second.
TOKENS_PER_S = 16_000.0
MEMORY_TOKENS = 500_000
REPORT_INTERVAL_S = 0.4
START = 1000.0
#: Time in which an upstream reads one prompt of the scenarios.
FIRST_PROMPT_S = 1.0


def make_upstream(number, started_ms=1):
    return Upstream(
        upstream_id=UpstreamId(f"u{number}"),
        service=SERVICE,
        address=Address("127.0.0.1", 9000 + number),
        domain=DomainId("a"),
        version=VersionName("v1"),
        slots=64,
        started_ms=started_ms,
    )


class PromptTraffic:
    """Gateways that place prompts on upstreams, each of which reads one prompt after the other."""

    def __init__(self, n_gateways, speeds, *, uses_cache=True, learns=True, compares_all=False):
        self.rng = random.Random(7)
        self.now = START
        self.speeds = {f"u{n}": speed for n, speed in enumerate(speeds)}
        self.gateways = [GatewayTables(NodeId(f"g{n}")) for n in range(n_gateways)]
        for tables in self.gateways:
            for number in range(len(speeds)):
                tables.put_upstream(make_upstream(number), self.now)
        self.paces = [PaceTable() for _ in range(n_gateways)]
        self.uses_cache, self.learns = uses_cache, learns
        self.n_gateways = 1 if compares_all else n_gateways
        self.cached = {upstream: set() for upstream in self.speeds}
        self.free_at = dict.fromkeys(self.speeds, self.now)
        self.pending = []
        self.snapshots = []
        self.sends = []
        self.waits = []
        self.first_s = []

    def place(self, number, parts):
        """Return the upstream that a gateway chooses for a prompt."""
        query = PlacementQuery(
            service=SERVICE,
            domain=DomainId("a"),
            affinity=parts[-2].part_id,
            model="large",
            parts=parts,
            uses_cache=self.uses_cache,
            n_gateways=self.n_gateways,
            cold_quota=lambda upstream: 1,
        )
        return choose_upstream(self.gateways[number], query, self.now).upstream

    def send(self, parts):
        """Let a prompt arrive at a gateway and send it."""
        number = self.rng.randrange(len(self.gateways))
        upstream = self.place(number, parts)
        name, tables = upstream.upstream_id, self.gateways[number]
        load = tables.get_load(name)
        unread = count_unread_tokens(load, "large", parts)
        for other in self.gateways if self.uses_cache else ():
            record_parts(other.get_load(name), "large", parts[:-1], MEMORY_TOKENS)
        actual = sum(part.n_tokens for part in parts if part.part_id not in self.cached[name])
        self.cached[name].update(part.part_id for part in parts[:-1])
        wait_s = max(0.0, self.free_at[name] - self.now)
        read_s = actual / TOKENS_PER_S / self.speeds[name]
        self.free_at[name] = self.now + wait_s + read_s
        queued = load.pending_work + load.peer_pending_work + unread
        load.pending_work += unread
        load.n_inflight += 1
        n_tokens = sum(part.n_tokens for part in parts)
        tables.work_split.record(SERVICE, n_tokens, unread, self.now)
        self.pending.append((self.free_at[name], number, name, unread, queued, wait_s + read_s))
        self.sends.append((self.now, name))
        self.waits.append(wait_s)
        self.first_s.append(wait_s + read_s)

    def advance(self, now):
        """Record the first events until a time."""
        self.now = now
        for row in [row for row in self.pending if row[0] <= now]:
            self.pending.remove(row)
            at, number, name, unread, queued, first_s = row
            tables = self.gateways[number]
            load = tables.get_load(name)
            load.pending_work -= unread
            load.n_inflight -= 1
            if self.learns:
                run = UpstreamRun(name, 1)
                pace = self.paces[number]
                expected_s = pace.compute_first_event_s(SERVICE, "large", queued, at)
                tables.capacities.record(run, first_s, expected_s, at)
                pace.record_first_event(SERVICE, "large", queued, first_s, at)

    def share_reports(self, age_s):
        """Let each gateway know the loads and speeds of all others as they were some time ago."""
        loads = [
            {name: tables.get_load(name).pending_work for name in self.speeds}
            for tables in self.gateways
        ]
        self.snapshots.append((self.now, loads))
        old = [snapshot for at, snapshot in self.snapshots if at <= self.now - age_s]
        for number, tables in enumerate(self.gateways):
            for name in self.speeds if old else ():
                total = sum(load[name] for load in old[-1])
                tables.get_load(name).peer_pending_work = total - old[-1][number][name]
            for rank, other in enumerate(self.gateways):
                if other is not tables:
                    reports = other.capacities.make_reports(64, self.now)
                    tables.capacities.merge(NodeId(f"g{rank}"), reports, self.now)

    def run(self, per_s, n_tokens, span_s, age_s):
        """Let prompts with one of 300 prefixes arrive evenly for a time."""
        n_prompts, share_at = round(per_s * span_s), self.now
        for n in range(n_prompts):
            self.advance(START + n / per_s)
            if self.now >= share_at:
                self.share_reports(age_s)
                share_at += REPORT_INTERVAL_S
            shared = PrefixPart(f"p{self.rng.randrange(300)}", n_tokens * 2 // 3)
            self.send((shared, PrefixPart(f"own{n}", n_tokens // 3)))


def make_prompt(number, n_tokens):
    return (PrefixPart("prefix", n_tokens), PrefixPart(f"own{number}", 1000))


@given("{n_gateways:d} gateway before {n:d} idle upstreams of equal speed")
@given("{n_gateways:d} gateways before {n:d} idle upstreams of equal speed")
def given_equal(context, n_gateways, n):
    context.traffic = PromptTraffic(n_gateways, [1.0] * n)


@given(
    "{n_gateways:d} gateway before {n:d} idle upstreams of equal speed, "
    "with prefix caching left out of account"
)
def given_no_cache(context, n_gateways, n):
    context.traffic = PromptTraffic(n_gateways, [1.0] * n, uses_cache=False)


@given(
    "{n_gateways:d} gateways before {n:d} upstreams, of which one in three is {x:g} times faster"
)
def given_uneven(context, n_gateways, n, x):
    speeds = [0.7 * x if number % 3 == 2 else 0.7 for number in range(n)]
    context.traffic = PromptTraffic(n_gateways, speeds)
    context.baseline = PromptTraffic(n_gateways, speeds, learns=False)
    context.shortest = PromptTraffic(n_gateways, speeds, compares_all=True)


@when("each gateway places a prompt with the same prefix of {n_tokens:d} tokens")
def when_each_places(context, n_tokens):
    traffic = context.traffic
    gateways = range(len(traffic.gateways))
    context.chosen = {traffic.place(n, make_prompt(n, n_tokens)).upstream_id for n in gateways}


@then("all of them choose the same upstream")
def then_same(context):
    assert len(context.chosen) == 1, context.chosen


@when("{n:d} prompts with the same prefix of {n_tokens:d} tokens arrive within {span_s:d} s")
def when_same_prefix(context, n, n_tokens, span_s):
    context.n_prefix_tokens = n_tokens
    for number in range(n):
        # The others come once the first one has been read.
        context.traffic.advance(START + (number > 0) * FIRST_PROMPT_S + number * span_s / n)
        context.traffic.send(make_prompt(number, n_tokens))


@then("the first ones are placed on one upstream and later ones on at least one more")
def then_spread(context):
    names = [name for _, name in context.traffic.sends]
    assert len(set(names[:3])) == 1, names
    assert len(set(names)) >= 2, names


@then("none waits longer than reading the prefix elsewhere takes")
def then_short_waits(context):
    reading_s = context.n_prefix_tokens / TOKENS_PER_S
    longest_s = max(context.traffic.waits)
    assert longest_s <= reading_s, (longest_s, reading_s)


@then("they are placed on at least {n:d} upstreams")
def then_wide(context, n):
    assert len({name for _, name in context.traffic.sends}) >= n, context.traffic.sends


@when("the upstream that has the prefix cached starts again under its id")
def when_restarts(context):
    name = context.traffic.sends[0][1]
    context.restarted = make_upstream(int(name[1:]), started_ms=2)
    context.traffic.gateways[0].put_upstream(context.restarted, context.traffic.now)


@then("no prefix is expected there, and its speed counts as unknown")
def then_forgotten(context):
    tables = context.traffic.gateways[0]
    load = tables.get_load(context.restarted.upstream_id)
    assert not load.cached_parts and load.n_cached_part_tokens == 0, load
    run = UpstreamRun.of(context.restarted)
    assert tables.capacities.get_speed(run, context.traffic.now) == 1.0


@when(
    "{per_s:d} prompts per second of {n_tokens:d} tokens arrive for {span_s:d} s, "
    "with reports of queues {age_s:g} s old"
)
def when_traffic(context, per_s, n_tokens, span_s, age_s):
    for traffic in (context.traffic, context.baseline, context.shortest):
        traffic.run(per_s, n_tokens, span_s, age_s)


@then("fast upstreams get at least {x:g} times the prompts of slow ones")
def then_proportion(context, x):
    speeds = context.traffic.speeds
    settled = Counter(name for at, name in context.traffic.sends if at >= START + 5.0)
    means = {}
    for is_fast in (False, True):
        counts = [settled[name] for name in speeds if (speeds[name] > 1.0) == is_fast]
        means[is_fast] = sum(counts) / len(counts)
    assert means[True] >= x * means[False], means


@then("{n:d} in 100 first events come sooner than if all speeds counted as equal")
def then_sooner(context, n):
    own, baseline = (
        sorted(traffic.first_s)[len(traffic.first_s) * n // 100]
        for traffic in (context.traffic, context.baseline)
    )
    assert own < baseline, (own, baseline)


@then(
    "{n:d} in 100 first events come sooner than if each gateway chose the shortest reported queue"
)
def then_no_herd(context, n):
    own, shortest = (
        sorted(traffic.first_s)[len(traffic.first_s) * n // 100]
        for traffic in (context.traffic, context.shortest)
    )
    assert own < shortest, (own, shortest)


@then("the busiest upstream of a second gets fewer prompts, in the mean")
def then_even(context):
    own, shortest = (_compute_busiest(traffic) for traffic in (context.traffic, context.shortest))
    assert own < shortest, (own, shortest)


def _compute_busiest(traffic):
    """Return the mean over all seconds of the most prompts that one upstream got."""
    per_second = {}
    for at, name in traffic.sends:
        per_second.setdefault(int(at - START), Counter())[name] += 1
    return sum(max(counts.values()) for counts in per_second.values()) / len(per_second)


class SpeedSubject:
    """Speed of one upstream as a gateway learns it."""

    def __init__(self):
        self.table = CapacityTable()
        self.run = UpstreamRun(UpstreamId("u1"), 1)
        self.now = START

    def answer(self, speed, per_s, span_s):
        for _ in range(round(per_s * span_s)):
            self.now += 1.0 / per_s
            self.table.record(self.run, 1.0 / speed, 1.0, self.now)


@given(
    "an upstream that answers at {x:g} times the usual speed {per_s:d} times per second for 60 s"
)
def given_speed(context, x, per_s):
    context.subject = SpeedSubject()
    context.subject.answer(x, per_s, 60.0)


@when("it answers at {x:g} times the usual speed for {span_s:d} s")
def when_speed(context, x, span_s):
    context.subject.answer(x, 4, span_s)


@then("its learned speed is between {low:g} and {high:g}")
def then_speed(context, low, high):
    speed = context.subject.table.get_speed(context.subject.run, context.subject.now)
    assert low <= speed <= high, speed


@given("a gateway that has learned that an upstream is {x:g} times faster, from {n:d} answers")
def given_learned(context, x, n):
    context.subject = SpeedSubject()
    context.subject.answer(x, n, 1.0)


@when("it reports this to another gateway")
def when_reports(context):
    context.other = CapacityTable()
    reports = context.subject.table.make_reports(8, context.subject.now)
    context.other.merge(NodeId("g1"), reports, context.subject.now)


@then("the other one expects a speed between {low:g} and {high:g}")
def then_other_expects(context, low, high):
    context.speed = context.other.get_speed(context.subject.run, context.subject.now)
    assert low <= context.speed <= high, context.speed


@then("a report of a speed that isn't a number changes nothing")
def then_invalid(context):
    report = SpeedReport(context.subject.run, math.nan, 5.0, 0)
    context.other.merge(NodeId("g2"), [report], context.subject.now)
    assert context.other.get_speed(context.subject.run, context.subject.now) == context.speed


@then("both have forgotten it once the upstream has another run")
def then_forgets_run(context):
    later = UpstreamRun(context.subject.run.upstream_id, 2)
    for table in (context.subject.table, context.other):
        table.forget([later], context.subject.now)
        assert table.get_speed(later, context.subject.now) == 1.0
        assert table.get_speed(context.subject.run, context.subject.now) == 1.0


class NoSplit(WorkSplit):
    """Leaves no upstream to short prompts."""

    def count_short_upstreams(self, service, n_upstreams, n_gateways, now):
        return 0


class MixedTraffic(PromptTraffic):
    """Prompts of 700 tokens, and long ones of 12,000 tokens on average."""

    N_SHORT, N_LONG = 700, 12_000
    LONG_SHARE = 0.2

    def __init__(self, n_gateways, n_upstreams, *, splits):
        super().__init__(n_gateways, [1.0] * n_upstreams)
        if not splits:
            for tables in self.gateways:
                tables.work_split = NoSplit()

    def run_mixed(self, load, span_s, age_s):
        """Let prompts arrive at a load of the upstreams; return the times to first events."""
        mean = self.LONG_SHARE * self.N_LONG + (1.0 - self.LONG_SHARE) * self.N_SHORT
        per_s = load * TOKENS_PER_S * len(self.speeds) / mean
        share_at, times = self.now, {True: [], False: []}
        for n in range(round(per_s * span_s)):
            self.advance(START + n / per_s)
            if self.now >= share_at:
                self.share_reports(age_s)
                share_at += REPORT_INTERVAL_S
            is_long = self.rng.random() < self.LONG_SHARE
            n_tokens = self.N_SHORT
            if is_long:
                n_tokens = max(3_000, round(self.rng.expovariate(1.0 / self.N_LONG)))
            self.send([PrefixPart(f"a{n}", n_tokens // 2), PrefixPart(f"b{n}", n_tokens // 2)])
            times[is_long].append(self.first_s[-1])
        return times


def compute_p95(values):
    return sorted(values)[int(0.95 * len(values))]


@given("{n:d} gateways before {n_upstreams:d} upstreams that read short and long prompts")
def given_mixed(context, n, n_upstreams):
    context.traffics = [MixedTraffic(n, n_upstreams, splits=splits) for splits in (True, False)]


@when(
    "for {span_s:d} s a fifth of the prompts are long, at {load:d} in 100 of the capacity, with "
    "reports of queues {age_s:g} s old"
)
def when_mixed(context, span_s, load, age_s):
    context.times = [traffic.run_mixed(load / 100, span_s, age_s) for traffic in context.traffics]


@then(
    "95 in 100 short prompts have their first event in half of the time that it takes without the "
    "split"
)
def then_short_sooner(context):
    split, joint = (compute_p95(times[False]) for times in context.times)
    assert split <= 0.5 * joint, (split, joint)


@then("95 in 100 long ones in at most {factor:g} times that time")
def then_long(context, factor):
    split, joint = (compute_p95(times[True]) for times in context.times)
    assert split <= factor * joint, (split, joint)
