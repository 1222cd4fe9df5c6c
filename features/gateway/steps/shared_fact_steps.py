"""Steps for the facts that gateways tell each other, in virtual time."""

import logging

import msgspec
from behave import given, then, when
from prometheus_client import CollectorRegistry

from crocusvalve.base import DomainId, NodeId, UpstreamId
from crocusvalve.gateway._gossip_observer import GossipObserver
from crocusvalve.gateway.base import PrefixPart, ServiceName, VersionName
from crocusvalve.gateway.decisions._outcome_counts import OutcomeCountsRow, OutcomeCountsTable
from crocusvalve.gateway.decisions._upgrades import OutcomeCounts
from crocusvalve.gateway.shared._domain_loads import DomainLoads, UpstreamLoadRow
from crocusvalve.gateway.shared._facts import FACTS
from crocusvalve.gateway.shared._gossip_message import (
    CompactSentParts,
    GossipMessage,
    MemberReport,
    RunCounts,
    SentPromptParts,
)
from crocusvalve.gateway.shared._peer_link import MAX_DATAGRAM_BYTES
from crocusvalve.gateway.shared._peers import PeerTable
from features.gateway.fact_probes import FINAL, OTHERS, LoadProbe, PositionProbe
from features.gateway.fact_simulation import FactSimulation

WARM_UP_S = 6.0
STEP_S = 0.1
CHECK_S = 6.0
CUT_S = 5.0
FINAL_S = 3.0
N_SHARE = 9, 10
#: Fields that the release before has.
N_FIELDS_BEFORE = GossipMessage.__struct_fields__.index("domain") + 1
N_MEMBER_FIELDS_BEFORE = 6


class FactRun:
    """Facts that gateways of a simulation learn, and how many know each one when."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.probes = []
        self.n_made = 0
        self.prompt_shares = []

    def add(self, kind, numbers):
        """Let one of the gateways with these numbers learn a new fact."""
        self.n_made += 1
        label = f"{self.n_made:032x}"
        if kind is PositionProbe:
            label = str(10 + self.n_made)
        elif kind is LoadProbe:
            label = "i-idle-0"
        probe = kind(label)
        gateway = self.simulation.gateways[self.simulation.rng.choice(numbers)]
        probe.begin(gateway, self.simulation.now)
        self.probes.append(probe)

    def count_known(self, probe):
        """Return how many gateways know a fact."""
        now = self.simulation.now
        return sum(probe.is_known(gateway, now) for gateway in self.simulation.gateways)

    def list_unknown(self, numbers):
        """Return the names of the facts that some of these gateways don't know, and how many."""
        counts = {}
        for probe in self.probes:
            n = sum(
                not probe.is_known(self.simulation.gateways[number], self.simulation.now)
                for number in numbers
            )
            if n:
                counts[probe.fact] = counts.get(probe.fact, 0) + n
        return counts

    def measure(self, span_s):
        """Return by fact how many gateways know it after each step of a time."""
        start = self.simulation.now
        series = {probe.fact: [] for probe in self.probes}
        for step in range(1, round(span_s / STEP_S) + 1):
            self.simulation.run(start + step * STEP_S)
            self.prompt_shares.append(self.simulation.find_prompt_share(2.0))
            for probe in self.probes:
                series[probe.fact].append(self.count_known(probe))
        return series


def print_series(title, series, simulation):
    """Print how many gateways know each fact when, and the bytes that a gateway sends."""
    print(f"{title}: gateways that know a fact after 0.5, 1, 2 and 3 s, and the time to all")
    n = len(simulation.gateways)
    for name, counts in series.items():
        first = next((i for i, known in enumerate(counts) if known == n), None)
        text = "-" if first is None else f"{(first + 1) * STEP_S:.1f} s"
        print(f"  {name:18} {counts[4]:3} {counts[9]:3} {counts[19]:3} {counts[29]:3}  {text}")
    print(f"  bytes a second of a gateway: {format_bytes(simulation)}")


def format_bytes(simulation):
    """Return the bytes a second that a gateway sends within and between failure domains."""
    return ", ".join(
        f"{compute_bytes_per_s(simulation, path):.0f} {path}" for path in simulation.n_bytes
    )


def compute_bytes_per_s(simulation, path):
    """Return the bytes a second that a gateway has sent on average since the count began."""
    span_s = simulation.now - simulation.counted_since
    return simulation.n_bytes[path] / span_s / len(simulation.gateways)


@given(
    "{n:d} gateways in {n_domains:d} failure domains that gossip, with 1 datagram in {loss:d} lost"
)
def given_simulation(context, n, n_domains, loss):
    context.shape = n, n_domains, 1 / loss
    context.simulation = FactSimulation(*context.shape)
    context.simulation.run(context.simulation.now + WARM_UP_S)
    context.simulation.reset_counts()


@given("as many that send to six at random as before")
def given_baseline(context):
    context.baseline = FactSimulation(*context.shape, is_baseline=True)
    context.baseline.run(context.baseline.now + WARM_UP_S)


@when("one gateway after the other learns one fact of each kind")
def when_facts(context):
    for is_baseline in (True, False):
        simulation = context.simulation
        if is_baseline:
            simulation = FactSimulation(*context.shape, is_baseline=True)
            simulation.run(simulation.now + WARM_UP_S)
            simulation.reset_counts()
        run = FactRun(simulation)
        for kind in (*FINAL, *OTHERS):
            run.add(kind, range(len(simulation.gateways)))
        context.series = run.measure(CHECK_S)
        context.prompt_share = sum(run.prompt_shares) / len(run.prompt_shares)
        print(f"gateways that know a prompt after 2 s: {context.prompt_share:.3f}")
        print_series("six at random" if is_baseline else "as sent", context.series, simulation)


@then("final facts are known to all within 3 s and others to 9 in 10 within their times")
def then_known_in_time(context):
    n = len(context.simulation.gateways)
    late = {}
    for fact in FACTS:
        if fact.known_within_s is None or fact.name not in context.series:
            continue
        known = context.series[fact.name][round(fact.known_within_s / STEP_S) - 1]
        if fact.name == "sent prompts":
            # One prompt is known to between 20 and all of 29, so that all prompts are counted.
            known = context.prompt_share * n
        wanted = n if fact.is_final else n * N_SHARE[0] / N_SHARE[1]
        if known < wanted:
            late[fact.name] = known
    assert not late, (n, late)
    kinds = {kind.fact for kind in (*FINAL, *OTHERS)} | {"identity"}
    assert kinds == {fact.name for fact in FACTS}
    assert {kind.fact for kind in FINAL} == {fact.name for fact in FACTS if fact.is_final}


@then("no part of a message is larger than the table of facts says")
def then_sizes(context):
    largest = context.simulation.largest
    for fact in FACTS:
        size = sum(largest.get(name, 0) for name in fact.fields)
        assert size <= fact.max_bytes, (fact.name, size)


@when("a failure domain is cut off for 5 s, and both sides learn final facts meanwhile")
def when_cut_off(context):
    simulation = context.simulation
    context.facts = FactRun(simulation)
    simulation.cut_domain = "domain-1"
    numbers = range(len(simulation.gateways))
    inside = [number for number in numbers if number % simulation.n_domains == 1]
    outside = [number for number in numbers if number % simulation.n_domains != 1]
    for side in (inside, outside):
        simulation.run(simulation.now + CUT_S / 2)
        for kind in FINAL:
            context.facts.add(kind, side)
    simulation.cut_domain = None


@then("within 3 s after that all gateways know them")
def then_all_know(context):
    simulation = context.simulation
    numbers = range(len(simulation.gateways))
    simulation.run(simulation.now + FINAL_S)
    unknown = context.facts.list_unknown(numbers)
    assert not unknown, unknown


@then("gateways that start then know them 3 s after their start")
def then_late_know(context):
    simulation = context.simulation
    n = len(simulation.gateways)
    for _ in range(simulation.n_domains):
        simulation.start_gateway()
    simulation.run(simulation.now + FINAL_S)
    unknown = context.facts.list_unknown(range(n, n + simulation.n_domains))
    assert not unknown, unknown


@when("both run for {span_s:d} s without an incident")
def when_no_incident(context, span_s):
    context.errors, context.shares = {}, {}
    for name in ("simulation", "baseline"):
        simulation = getattr(context, name)
        simulation.reset_counts()
        errors, shares = [], []
        for _ in range(span_s * 5):
            simulation.run(simulation.now + 0.2)
            errors += simulation.find_load_errors()
            shares.append(simulation.find_prompt_share(2.0))
        context.errors[name] = sum(errors) / len(errors)
        context.shares[name] = sum(shares) / len(shares)
        print(
            f"{name}: {format_bytes(simulation)}; error of loads {context.errors[name]:.3f}, "
            f"gateways that know a prompt after 2 s {context.shares[name]:.3f}"
        )


@then("a gateway sends at most {most:d} bytes per second to other failure domains")
def then_bytes(context, most):
    n_bytes = compute_bytes_per_s(context.simulation, "between")
    before = compute_bytes_per_s(context.baseline, "between")
    assert n_bytes <= most < before, (n_bytes, before)


@then("the gateways know all loads to within 1 in 100, those of before don't")
def then_loads(context):
    assert context.errors["simulation"] < 0.01 < context.errors["baseline"], context.errors


@then("2 s after a prompt is sent at least {share:d} in 100 gateways know it")
def then_prompts(context, share):
    assert context.shares["simulation"] >= share / 100, context.shares


@then("each gateway knows at least 98 in 100 of the others and their failure domains")
def then_members(context):
    simulation = context.simulation
    for gateway in simulation.gateways:
        domains = gateway.peers.list_host_domains(simulation.now)
        known = {
            host
            for host, domain in domains.items()
            if domain == simulation.gateways[simulation.by_host[host]].settings.domain
        }
        assert len(known) >= 0.98 * (len(simulation.gateways) - 1), gateway.settings.node_id


@then("the table of facts names each field of a message and no other, and fits into a datagram")
def then_fields(context):
    named = {name for fact in FACTS for name in fact.fields}
    assert named == set(GossipMessage.__struct_fields__)
    assert len({fact.name for fact in FACTS}) == len(FACTS)
    sizes = {fact.name: fact.max_bytes for fact in FACTS}
    assert sum(sizes.values()) <= MAX_DATAGRAM_BYTES


class LoadReports:
    """Messages with loads that a gateway of domain-0 hears, in order; each has its own total."""

    NOW = 100.0

    def __init__(self):
        self.peers = PeerTable(NodeId("gateway-0"), "127.0.1.0", DomainId("domain-0"))

    def hear(self, text):
        """Let the gateway hear what a text says."""
        age_s = {"older": 1.5, "outdated": 3.5}.get(text.split()[0], 0.2)
        if text.startswith("loads of a peer"):
            number, n = (1, 1) if text.endswith("inside") else (2, 2)
            domain = f"domain-{number - 1}"
            self._receive(number, domain, self.NOW, n_inflight={"u": n})
        elif text == "sums of the own failure domain":
            self._receive_sums("domain-0", 8, 30, 0, self.NOW - age_s)
        elif text == "newer sums over fewer gateways":
            self._receive_sums("domain-1", 1, 4, 0, self.NOW)
        elif text == "sums passed on that are older":
            self._receive_sums("domain-1", 8, 9, 1500, self.NOW)
        else:
            self._receive_sums("domain-1", 8, 30, 0, self.NOW - age_s)

    def _receive_sums(self, domain, n_gateways, n, age_ms, at):
        rows = (UpstreamLoadRow(UpstreamId("u"), n, 0),)
        loads = DomainLoads(DomainId(domain), n_gateways, age_ms, rows)
        self._receive(3 + n_gateways, domain, at, domain_loads=(loads,))

    def _receive(self, number, domain, at, **fields):
        message = GossipMessage(
            node_id=NodeId(f"gateway-{number}"),
            boot_id="b",
            host=f"127.0.1.{number}",
            domain=DomainId(domain),
            **fields,
        )
        self.peers.update_peer(message, at)


@given("a gateway that has heard {texts}")
def given_heard(context, texts):
    context.reports = LoadReports()
    for text in texts.split(", "):
        context.reports.hear(text)


@then("it counts {n:d} requests in flight from peers")
def then_counted(context, n):
    n_inflight, _ = context.reports.peers.sum_peer_loads(LoadReports.NOW)
    assert n_inflight.get("u", 0) == n, n_inflight


@then("sums of {n:d} upstreams have the {kept:d} busiest and take at most {most:d} bytes")
def then_sums_bounded(context, n, kept, most):
    n_inflight = {f"i-{number:08d}": number + 1 for number in range(n)}
    work = dict.fromkeys(n_inflight, 100_000)
    loads = DomainLoads.add_up(DomainId("domain-0"), [(n_inflight, work)])
    assert sorted(row.n_inflight for row in loads.rows) == list(range(n - kept + 1, n + 1))
    assert len(msgspec.msgpack.encode(loads)) <= most


def make_counts(n_answers):
    """Return the rows of a run with a number of answers."""
    if not n_answers:
        return ()
    counts = OutcomeCounts(n_answers=n_answers)
    return (OutcomeCountsRow("llm", "v2", "stream", counts),)


@given("a gateway that has counted {n:d} answers of a run")
def given_counts(context, n):
    context.counts = OutcomeCountsTable()
    context.counts.merge_remote("gateway-1#b", make_counts(n))


@when("it hears 3, 0, 7 and 6 answers of it from others")
def when_counts(context):
    for n in (3, 0, 7, 6):
        context.counts.merge_remote("gateway-1#b", make_counts(n))


@then("it counts {n:d} answers")
def then_answers(context, n):
    new, _ = context.counts.sum_by_route(ServiceName("llm"), VersionName("v2"))
    assert new["stream"].n_answers == n, new


@given("a message with all parts")
def given_full_message(context):
    sent = SentPromptParts(1.0, UpstreamId("u"), "large", (PrefixPart("p", 5),))
    rows = (UpstreamLoadRow(UpstreamId("u"), 1, 2),)
    context.message = GossipMessage(
        node_id=NodeId("gateway-1"),
        boot_id="b",
        host="127.0.1.1",
        n_inflight={"u": 1},
        parts=(sent,),
        members=(MemberReport(NodeId("gateway-2"), "h", 1, False, True, DomainId("d"), 5000),),
        requests_per_s=2.5,
        domain=DomainId("d"),
        domain_loads=(DomainLoads(DomainId("d"), 3, 10, rows),),
        domain_counts=(RunCounts("gateway-1#b", make_counts(5)),),
        outside_parts=(CompactSentParts.of(sent),),
    )
    assert context.message.outside_parts[0].expand() == sent


@then("the release before reads it, and its message is read here")
def then_compatible(context):
    def cut(struct, n_fields, **types):
        fields = msgspec.structs.fields(struct)[:n_fields]
        return msgspec.defstruct(
            f"{struct.__name__}Before",
            [
                (
                    (field.name, types.get(field.name, field.type))
                    if field.required
                    else (field.name, types.get(field.name, field.type), ())
                )
                for field in fields
            ],
            array_like=True,
            kw_only=True,
        )

    member = cut(MemberReport, N_MEMBER_FIELDS_BEFORE)
    before = cut(GossipMessage, N_FIELDS_BEFORE, members=tuple[member, ...])
    assert len(before.__struct_fields__) == len(set(GossipMessage.__struct_fields__)) - 6
    old = msgspec.msgpack.decode(msgspec.msgpack.encode(context.message), type=before)
    assert (old.domain, old.n_inflight, old.members[0].domain) == ("d", {"u": 1}, "d")
    new = msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=GossipMessage)
    assert new.parts == context.message.parts
    assert (new.domain_loads, new.upstream_speeds, new.outside_parts) == ((), (), ())
    assert new.table_reports == new.cleared_crashes == {}
    assert new.members[0].requests_per_ks < 0


@given("a gateway of 24 that sends 40 prompts and hears the same of others again")
def given_prompts(context):
    context.simulation = FactSimulation(24, 3, 0.0)
    simulation = context.simulation
    simulation.run(simulation.now + WARM_UP_S)
    gateway = simulation.gateways[0]
    gateway.attempt_manager.sent_prompt_parts.clear()
    context.sent = [
        SentPromptParts(simulation.now + n, UpstreamId("u"), "large", (PrefixPart(f"{n}", 5),))
        for n in range(40)
    ]
    outside = msgspec.structs.replace(
        simulation.gateways[1].gossip.make_message(simulation.now),
        parts=(),
        outside_parts=tuple(map(CompactSentParts.of, context.sent[:12])),
    )
    context.inside, context.outside = [], []
    gateway.gossip._sent_parts._entries.clear()
    for number in range(8):
        gateway.attempt_manager.sent_prompt_parts.extend(context.sent if not number else ())
        message = gateway.gossip.make_message(simulation.now)
        context.inside.append([sent.sent_at for sent in message.parts])
        summary = gateway.gossip.make_outside_message(message, simulation.now)
        context.outside.append([sent.sent_at for sent in summary.outside_parts])
        gateway.gossip.merge(outside, simulation.now)


@then("each message has at most 24 of them inside and 12 outside, the newest")
def then_bounded(context):
    kept = [sent.sent_at for sent in context.sent[-32:]]
    assert context.inside[0] == kept[-24:], context.inside[0]
    assert context.outside[0] == kept[-12:], context.outside[0]
    assert max(map(len, context.inside)) <= 24 and max(map(len, context.outside)) <= 12


@then("no prompt is in more than 3 messages inside or 4 outside")
def then_told(context):
    for messages, most in ((context.inside, 3), (context.outside, 4)):
        told = [at for message in messages for at in message]
        assert max(map(told.count, told)) <= most


@given("a gateway that sends and receives gossip")
def given_observer(context):
    context.registry = CollectorRegistry()
    context.records = []
    handler = logging.Handler()
    handler.emit = context.records.append
    log = logging.getLogger("crocusvalve.gateway")
    log.addHandler(handler)
    observer = GossipObserver(context.registry)
    for n_bytes, is_inside in ((100, True), (20, False), (3, False)):
        observer.count_sent(n_bytes, is_inside=is_inside)
    for domain, at in (("a", 1.0), ("b", 2.0), ("a", 3.0), ("b", 7.0), ("a", 6.9)):
        observer.record_message("gateway-1", DomainId(domain), at)
    log.removeHandler(handler)


@then("it counts bytes within and between failure domains")
def then_metrics(context):
    name = "crocusvalve_gateway_gossip_bytes_total"
    counts = [
        context.registry.get_sample_value(name, {"path": path}) for path in ("within", "between")
    ]
    assert counts == [100, 23], counts


@then("it logs a failure domain that is heard first and one that was silent for 5 s")
def then_logged(context):
    lines = [record.getMessage() for record in context.records]
    assert lines == [f"failure domain {name} is heard" for name in "abb"], lines
    assert context.records[-1].fields == {"silent_s": 5.0}
