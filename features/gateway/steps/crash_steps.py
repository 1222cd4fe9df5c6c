"""Steps for requests whose prompts have a part that crashes upstreams."""

import random

import trio
from behave import given, then, when

from crocusvalve.base import NodeId
from crocusvalve.gateway.base import PrefixPart
from crocusvalve.gateway.decisions._bans import RequestBans
from crocusvalve.gateway.decisions._crashes import CrashRegistry
from crocusvalve.gateway.decisions._crashing_parts import CrashingPartRegistry
from crocusvalve.gateway.shared._gossip import MAX_GOSSIP_SOUND_PARTS, MAX_GOSSIP_SUSPECT_PARTS
from crocusvalve.standin import CallerAnswer, StandinCaller
from features.gateway.gateway_harness import API_KEY, FRONT_PORT, GatewayHarness

CRASH_PART, SHARED_PART = "bad0bad0", "aa01aa01"
CONTACT_S = 3.0
PAUSE_S = 0.05
UPSTREAM_EVENT_PAUSE_S = 0.15


class CrashDay:
    """Requests of one route, some with the part that crashes upstreams.

    Attributes
    ----------
    crashed_at : list of float
        Times of the crashes.
    arrivals : list of (float, str)
        Time at which each request with the part was sent by its caller, once for each arrival at an
        upstream, and its id.
    began : list of (float, bool)
        Time at which each sound request was sent, and whether its answer began.
    """

    def __init__(self, harness, is_first):
        self.harness = harness
        self.is_first = is_first
        self.crashed_at = []
        self.arrivals = []
        self.began = []
        self.sent_at = {}

    def make_prompt(self, number, is_bad):
        """Return the parts of a prompt; the last one is its own."""
        own, document = f"{0xC000 + number:x}", f"{0xD000 + number % 5:x}"
        parts = [SHARED_PART, CRASH_PART if is_bad else document, own]
        if self.is_first and is_bad:
            parts = [CRASH_PART, document, own]
        return ",".join(f"{part}:100" for part in parts)

    def follow(self):
        """Record crashes and arrivals at the upstreams, and let them register when they start."""
        for name, upstream in self.harness.upstreams.items():
            upstream.crash_part = CRASH_PART
            upstream.pause_s = UPSTREAM_EVENT_PAUSE_S
            upstream.on_start = lambda name=name, upstream=upstream: self._register(name, upstream)
            upstream.crash = self._record(upstream, upstream.crash)
            upstream.record_run = self._record_run(upstream)

    def _record(self, upstream, crash):
        def record_crash():
            self.crashed_at.append(trio.current_time())
            crash()

        return record_crash

    def _record_run(self, upstream):
        def record_run(call, fault):
            if upstream.has_crash_part(call):
                self.arrivals.append((self.sent_at[call.attempt_id], call.attempt_id))

        return record_run

    def _register(self, name, upstream):
        for service in self.harness.services[name]:
            entry = upstream.make_entry(service, f"domain-{name}")
            entry["born"] += 1000
            self.harness.store.put("servers", f"{name}-{service}", entry)

    async def run(self, span_s):
        """Send the requests."""
        async with trio.open_nursery() as nursery:
            for number in range(int(span_s / PAUSE_S)):
                nursery.start_soon(self._call, number, number % 3 == 1)
                await trio.sleep(PAUSE_S)

    async def _call(self, number, is_bad):
        attempt_id = f"a{number}"
        self.sent_at[attempt_id] = sent_at = trio.current_time()
        lines = [
            f"GET /once/{number} HTTP/1.1",
            "Host: api.example",
            f"X-Attempt-Id: {attempt_id}",
            f"Authorization: Bearer {API_KEY}",
            "Accept: text/event-stream",
            f"X-Prefix-Hash: {self.make_prompt(number, is_bad)}",
            "X-Token-Usage: 300,20",
        ]
        stream = await trio.open_tcp_stream(self.harness.host, FRONT_PORT)
        answer = CallerAnswer()
        async with stream:
            await stream.send_all(("\r\n".join(lines) + "\r\n\r\n").encode())
            caller = StandinCaller(stream)
            caller.expect_answer("GET")
            with trio.move_on_after(8.0):
                await caller.read(answer)
        if not is_bad:
            self.began.append((sent_at, answer.status == 200))


@given(
    "a gateway with two upstreams that crash when they begin to answer a prompt with a certain part"
)
def given_crashing_upstreams(context):
    context.harness = GatewayHarness()


@when(
    "for {span_s:d} s 20 requests per second arrive, a third of them different ones with that "
    "part, {place}"
)
def when_crashing_requests(context, span_s, place):
    async def act(harness):
        context.day = CrashDay(harness, is_first="beginning" in place)
        context.day.follow()
        await context.day.run(span_s)

    context.harness.run(act)


@then(
    "at most {n:d} requests with the part reach upstreams later than {after_s:d} s after the "
    "fifth crash"
)
def then_few_reach(context, n, after_s):
    day = context.day
    assert len(day.crashed_at) >= 3, day.crashed_at
    if len(day.crashed_at) < 5:
        return
    late = [row for row in day.arrivals if row[0] > day.crashed_at[4] + after_s]
    assert len(late) <= n, (len(late), len(day.crashed_at))


@then(
    "of the sound requests from {after_s:d} s after the fifth crash on at least half begin at the "
    "first attempt"
)
def then_sound_served(context, after_s):
    day = context.day
    since = (day.crashed_at[4] if len(day.crashed_at) >= 5 else day.crashed_at[-1]) + after_s
    since = min(since, max(sent_at for sent_at, _ in day.began) - 1.0)
    began = [is_begun for sent_at, is_begun in day.began if sent_at >= since]
    assert len(began) >= 10 and sum(began) >= len(began) / 2, (sum(began), len(began))


def exchange(registries, now):
    """Pass the report of each registry, one message, to all others."""
    for sender in registries:
        suspects = sender.list_suspects(MAX_GOSSIP_SUSPECT_PARTS, now)
        sound = sender.list_sound(MAX_GOSSIP_SOUND_PARTS, now)
        for receiver in registries:
            if receiver is not sender:
                receiver.merge(suspects, sound, now)


@given("the registries of {n:d} gateways")
def given_registries(context, n):
    context.registries = [CrashingPartRegistry() for _ in range(n)]


@when('each of them records one crash of a different request with part "{part}"')
def when_each_records(context, part):
    for number, registry in enumerate(context.registries):
        registry.record_crash(
            [f"doc{number}", part], f"up{number}#1", f"req{number}", 1.0 + number / 2
        )
    context.banned_before = [registry.find_banned([part]) for registry in context.registries]
    exchange(context.registries, 2.0)


@then("none of them has banned it before they exchange reports, and each one after")
def then_banned_after(context):
    assert not any(context.banned_before)
    for registry in context.registries:
        assert registry.find_banned(["bad"]) == "bad"
        assert not registry.find_banned(["doc0", "doc1", "doc2"])


def ban_parts(registries, n):
    """Let each of some parts be in three crashes of different requests."""
    for registry in registries:
        for number in range(3 * n):
            part, incident = f"banned-{number % n}", f"old{number}#1"
            registry.record_crash([part], incident, f"old{number}", number / 2)


@given("{n:d} parts are banned by all of them")
def given_banned_parts(context, n):
    ban_parts(context.registries, n)


@when("{n:d} parts are banned by the first of them and it sends {n_reports:d} reports")
def when_reports(context, n, n_reports):
    first, second = context.registries
    ban_parts([first], n)
    context.banned = [f"banned-{number}" for number in range(n)]
    for _ in range(n_reports):
        second.merge(first.list_suspects(MAX_GOSSIP_SUSPECT_PARTS, 60.0), (), 60.0)


@then("the other one has banned them too")
def then_banned_too(context):
    missing = [part for part in context.banned if not context.registries[1].find_banned([part])]
    assert not missing, missing


@when("one request is lost in {n:d} crashes")
def when_one_request(context, n):
    for number in range(n):
        context.registries[0].record_crash(["a", "b"], f"up{number}#1", "req", float(number))


@when("{n:d} upstreams crash at the same moment under different requests with the same part")
def when_domain_down(context, n):
    for number in range(n):
        at = 1.0 + number / 100
        context.registries[0].record_crash(["a", "b"], f"up{number}#1", f"req{number}", at)


@then("no part is banned")
def then_none_banned(context):
    assert context.registries[0].find_banned(["a", "b"]) is None


@when(
    'part "common" is in {n:d} crashes with part "bad", and an answer with "common" goes on at the '
    "other gateway"
)
def when_common(context, n):
    first, second = context.registries
    second.record_answer(["common"], 0.5)
    for number in range(n):
        first.record_crash(["common", "bad"], f"up{number}#1", f"req{number}", 1.0 + number / 4)


@when('parts "bad" and "rare" are in the same {n:d} crashes, and "bad" is in {more:d} more')
def when_explained(context, n, more):
    registry = context.registries[0]
    for number in range(n):
        registry.record_crash(["rare", "bad"], f"up{number}#1", f"req{number}", 1.0 + number / 2)
    for number in range(n, n + more):
        registry.record_crash(["other", "bad"], f"up{number}#1", f"req{number}", 1.0 + number / 2)


@then('after they have exchanged reports only "bad" is banned')
def then_only_bad(context):
    exchange(context.registries, 4.0)
    exchange(context.registries, 4.1)
    for registry in context.registries:
        assert registry.find_banned(["bad"]) == "bad"
        assert registry.find_banned(["common", "rare", "other"]) is None


@when(
    'part "{bad}" crashes upstreams {n:d} times, every {pause_s:g} s, each crash loses {n_sound:d} '
    'sound requests as well, all have part "common", and the last {missed:d} times the check '
    "misses its request"
)
def when_shared(context, bad, n, pause_s, n_sound, missed):
    registry = context.registries[0]
    for number in range(n):
        incident, at = f"up{number % 2}#{number}", 1.0 + number * pause_s
        lost = [(f"doc{number}-{k}", f"sound{number}-{k}") for k in range(n_sound)]
        if number < n - missed:
            lost.append((bad, f"req{number}"))
        for part, request_id in lost:
            registry.record_crash(["common", part], incident, request_id, at)


@then('"{bad}" is banned and "common" is not')
def then_bad_not_common(context, bad):
    assert context.registries[0].find_banned([bad]) == bad
    assert context.registries[0].find_banned(["common"]) is None


@when(
    'part "bad" with one of {n_documents:d} documents crashes upstreams {n:d} times, every '
    "{pause_s:g} s, and each crash loses {n_sound:d} sound requests as well, which are lost "
    "{n_lost:d} times"
)
def when_documents(context, n_documents, n, pause_s, n_sound, n_lost):
    registry, rng = context.registries[0], random.Random(7)
    documents = [f"doc{number}" for number in range(n_documents)]
    context.banned_after = []
    lost = []
    for number in range(n):
        lost = [(parts, request_id, n_left - 1) for parts, request_id, n_left in lost if n_left]
        for k in range(n_sound):
            parts = ["common", rng.choice(documents)]
            lost.append((parts, f"s{number}-{k}", n_lost - 1))
        lost.append((["bad", rng.choice(documents)], f"b{number}", n_lost - 1))
        at = 1.0 + number * pause_s
        for parts, request_id, _ in lost:
            registry.record_crash(parts, f"up{number % 2}#{number}", request_id, at)
        banned = [part for part in ["bad", "common", *documents] if registry.find_banned([part])]
        context.banned_after.append(banned)


@then('from the sixth crash on only "bad" is banned each time')
def then_only_bad_each_time(context):
    assert all(banned == ["bad"] for banned in context.banned_after[5:]), context.banned_after


@when('part "bad" is banned and {minutes:d} minutes pass without a crash')
def when_minutes_pass(context, minutes):
    registry = context.registries[0]
    for number in range(3):
        registry.record_crash(["bad"], f"up{number}#1", f"req{number}", 1.0 + number / 2)
    context.was_banned = registry.find_banned(["bad"])
    registry.record_crash(["bad"], "up9#1", "req9", 1.0 + 60 * minutes)


@then("the first new crash doesn't ban it again")
def then_not_again(context):
    assert context.was_banned == "bad"
    assert context.registries[0].find_banned(["bad"]) is None


class CrashSimulation:
    """Gateways and upstreams in virtual time: crashes lose all open requests of an upstream."""

    ROUND_S = 0.4
    STEP_S = 0.05
    BEGIN_S, CRASH_S, PROGRESS_S, END_S = 0.4, 0.05, 0.5, 1.5
    RESTART_S = 4.0
    LOSS = 0.02
    COMMON = "common"

    def __init__(self, n_gateways, n_upstreams):
        self.rng = random.Random(5)
        nodes = [NodeId(f"gw{number}") for number in range(n_gateways)]
        self.bans = [
            RequestBans(CrashRegistry(), CrashingPartRegistry(), node, lambda now: nodes)
            for node in nodes
        ]
        self.up_at = [0.0] * n_upstreams
        self.n_starts = [0] * n_upstreams
        self.open = [[] for _ in range(n_upstreams)]
        self.crashed_at = []
        self.bad_sent_at = []
        self.n_sound = self.n_refused = self.n_requests = 0
        self.refused_at = []
        self.has_common = False
        self.now = 0.0

    def ban_common(self):
        """Let a part that all sound prompts share be in three crashes at one gateway."""
        for number in range(3):
            requests = self.bans[0].crashing_parts
            requests.record_crash([self.COMMON], f"past{number}", f"old{number}", number / 2 - 1)
        self.has_common = True

    def run(self, span_s, bad_per_s, sound_per_s):
        """Let requests arrive, upstreams work and crash, and gateways gossip."""
        next_round = self.now
        until = self.now + span_s
        while self.now < until:
            for is_bad, rate in ((True, bad_per_s), (False, sound_per_s)):
                for _ in range(self._count_arrivals(rate)):
                    self._arrive(is_bad)
            for number in range(len(self.up_at)):
                self._work(number)
            if self.now >= next_round:
                self._gossip()
                next_round += self.ROUND_S
            self.now += self.STEP_S

    def _count_arrivals(self, rate):
        expected = rate * self.STEP_S
        return int(expected) + (self.rng.random() < expected % 1)

    def _arrive(self, is_bad):
        self.n_requests += 1
        bans = self.rng.choice(self.bans)
        kind = self.rng.randrange(3)
        document = "bad" if is_bad else f"doc-{kind}-{self.rng.randrange(90)}"
        parts = [f"kind-{kind}", document]
        if self.has_common and not is_bad:
            parts = [self.COMMON, document]
        self.n_sound += not is_bad
        if self._is_refused(bans, parts, f"req{self.n_requests}"):
            self.n_refused += not is_bad
            if not is_bad:
                self.refused_at.append(self.now)
            return
        self._send(bans, parts, f"req{self.n_requests}", is_bad, 3)

    def _is_refused(self, bans, parts, request_id):
        prefix = [PrefixPart(part, 100) for part in [*parts, request_id]]
        return bans.find_reason(request_id, prefix, self.now) is not None

    def _send(self, bans, parts, request_id, is_bad, n_left):
        alive = [number for number, up_at in enumerate(self.up_at) if up_at <= self.now]
        if not alive or self._is_refused(bans, parts, request_id):
            return
        if is_bad:
            self.bad_sent_at.append(self.now)
        entry = [bans, parts, request_id, is_bad, n_left, self.now, False]
        self.open[self.rng.choice(alive)].append(entry)

    def _work(self, number):
        crashing = False
        for entry in list(self.open[number]):
            bans, parts, _, is_bad, _, sent_at, has_progressed = entry
            age_s = self.now - sent_at
            if is_bad and age_s >= self.BEGIN_S + self.CRASH_S:
                crashing = True
            elif age_s >= self.BEGIN_S + self.PROGRESS_S and not has_progressed:
                bans.crashing_parts.record_answer(parts, self.now)
                entry[-1] = True
            if age_s >= self.END_S:
                self.open[number].remove(entry)
        if crashing:
            self._crash(number)

    def _crash(self, number):
        incident = f"up{number}#{self.n_starts[number]}"
        self.n_starts[number] += 1
        self.up_at[number] = self.now + self.RESTART_S
        self.crashed_at.append(self.now)
        lost, self.open[number] = self.open[number], []
        for bans, parts, request_id, is_bad, n_left, _, has_progressed in lost:
            if not has_progressed:
                bans.crashes.record_crash(request_id, incident)
                bans.crashing_parts.record_crash(parts, incident, request_id, self.now)
            if n_left > 1:
                self._send(bans, parts, request_id, is_bad, n_left - 1)

    def _gossip(self):
        registries = [bans.crashing_parts for bans in self.bans]
        for sender in registries:
            reports = sender.list_suspects(16, self.now), sender.list_sound(32, self.now)
            others = [registry for registry in registries if registry is not sender]
            for receiver in self.rng.sample(others, min(6, len(others))):
                if self.rng.random() >= self.LOSS:
                    receiver.merge(*reports, self.now)


@given(
    "{n:d} gateways before {n_upstreams:d} upstreams, which exchange gossip with 6 others every "
    "0.4 s"
)
def given_crash_simulation(context, n, n_upstreams):
    context.simulation = CrashSimulation(n, n_upstreams)


@when(
    "for {span_s:d} s {bad:d} requests per second with a crashing part and {sound:d} sound ones "
    "arrive"
)
def when_simulated(context, span_s, bad, sound):
    context.simulation.run(span_s, bad, sound)


@then(
    "at most {n:d} requests with the part are sent later than {contact_s:d} s after the fifth crash"
)
def then_few_sent(context, n, contact_s):
    simulation = context.simulation
    assert len(simulation.crashed_at) >= 3
    if len(simulation.crashed_at) >= 5:
        bound_at = simulation.crashed_at[4] + contact_s
        n_late = sum(sent_at > bound_at for sent_at in simulation.bad_sent_at)
        assert n_late <= n, (n_late, simulation.crashed_at)


@then("at most {n:d} in 100 sound requests are refused for a part of their prompts")
def then_few_refused(context, n):
    simulation = context.simulation
    n_refused, n_sound = simulation.n_refused, simulation.n_sound
    assert n_refused <= n / 100 * n_sound, (n_refused, n_sound, len(simulation.crashed_at))


@when(
    "a part that sound prompts share is in three crashes, and for {span_s:d} s {sound:d} sound "
    "requests per second arrive"
)
def when_common_banned(context, span_s, sound):
    context.simulation.ban_common()
    context.simulation.run(span_s, 0, sound)


@then("no sound request is refused later than {span_s:d} s after the last of these crashes")
def then_cleared(context, span_s):
    simulation = context.simulation
    assert simulation.refused_at, "the part was never banned"
    assert simulation.refused_at[-1] <= span_s, simulation.refused_at[-1]


@then("at most {n:d} upstreams crash later than {contact_s:d} s after the fifth crash")
def then_few_crashes(context, n, contact_s):
    crashed_at = context.simulation.crashed_at
    n_late = sum(at > crashed_at[4] + contact_s for at in crashed_at)
    assert n_late <= n, (n_late, crashed_at)
