"""Steps for the readers of the store's tables, in virtual time and on loopback."""

import msgspec
import trio
from behave import given, then, when
from prometheus_client import CollectorRegistry

from crocusvalve.base import UpstreamId
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway.base import GatewayBounds
from crocusvalve.gateway.tables._store_state import StoreState
from crocusvalve.gateway.tables._tables import GatewayTables
from crocusvalve.gateway.tables._upstream_table import UpstreamTableHandler
from crocusvalve.platform import PlatformRecordCodec, PlatformStore
from crocusvalve.platform._boot import SETTINGS_VARIABLE, load_boot_settings
from crocusvalve.standin import StandinUpstream, make_loopback_host
from crocusvalve.store.base import FeedPage, FeedRow
from features.gateway.gateway_harness import PEER_PORT, make_gateway_config
from features.gateway.steps.process_steps import GatewayProcessHarness
from features.gateway.table_reader_simulation import BOUNDS, ReaderSimulation

#: Time in which all gateways have decided who reads.
SETTLE_S = 10.0
SEED = 5


async def measure_all(conditions, timeout_s):
    """Return the seconds until each condition has held; infinite for one that doesn't in time."""
    started_at = trio.current_time()
    elapsed = dict.fromkeys(conditions, float("inf"))
    while trio.current_time() - started_at < timeout_s:
        for name, condition in conditions.items():
            if elapsed[name] == float("inf") and condition():
                elapsed[name] = trio.current_time() - started_at
        if max(elapsed.values()) < float("inf"):
            break
        await trio.sleep(0.02)
    return elapsed


class ReaderFault:
    """A fault that befalls one failure domain's readers.

    Parameters
    ----------
    name : str
        Name of the fault in the feature file.
    """

    def __init__(self, name):
        self.name = name

    async def begin(self, simulation, turn):
        """Begin the fault in the failure domain whose turn it is."""
        name, store = self.name, simulation.store
        domain = f"domain-{turn % simulation.n_domains}"
        readers = [gateway for gateway in simulation.readers if gateway.domain == domain]
        if name == "nothing fails":
            return
        if name == "the next two messages of each gateway are lost":
            simulation.n_rounds_lost = dict.fromkeys(simulation.gateways, 2)
        elif name == "the history of changes is discarded":
            store.oldest_version = store.version = store.version + 1
        elif name == "both readers restart after the history is lost":
            store.oldest_version = store.version = store.version + 1
            for reader in readers[:2]:
                reader.kill()
        else:
            chosen = readers[:2] if name.startswith("both") else readers[:1]
            for reader in chosen:
                self._strike(reader)
            await trio.sleep(0.1)

    def _strike(self, reader):
        if self.name.endswith("killed"):
            reader.kill()
        elif self.name.endswith("frozen"):
            reader.is_frozen = True
        elif self.name.endswith("cut off from the store"):
            reader.feed.is_cut_off = True
        elif self.name.endswith("doesn't have"):
            reader.is_lying = True
        else:
            reader.feed.is_stuck = True

    def end(self, simulation):
        """End the fault; a gateway that was killed stays away."""
        for gateway in simulation.gateways.values():
            gateway.is_frozen = gateway.is_lying = False
            gateway.feed.is_cut_off = gateway.feed.is_stuck = False


@given("{n:d} gateways in {domains:d} failure domains, with a fifth of the datagrams lost")
def given_simulation(context, n, domains):
    context.simulation = ReaderSimulation(n, domains, seed=SEED)


@given("{n:d} gateways in {domains:d} failure domains with {readers:d} readers each")
def given_simulation_with(context, n, domains, readers):
    context.simulation = ReaderSimulation(n, domains, seed=SEED, n_readers=readers)


async def count_calls(simulation, span_s):
    """Return the number of calls and copies in a time, and the mean number of readers."""
    n_calls = sum(simulation.store.n_calls.values())
    n_copies, n_bytes = simulation.n_copies, simulation.n_copy_bytes
    n_readers = []
    for _ in range(round(span_s)):
        await trio.sleep(1.0)
        n_readers.append(len(simulation.readers))
    return (
        sum(simulation.store.n_calls.values()) - n_calls,
        simulation.n_copies - n_copies,
        simulation.n_copy_bytes - n_bytes,
        sum(n_readers) / len(n_readers),
    )


@when("they run for {span_s:d} s without changes other than heartbeats")
def when_run(context, span_s):
    async def act(simulation):
        await trio.sleep(SETTLE_S)
        context.counts.append(await count_calls(simulation, span_s))

    context.counts, context.span_s = [], span_s
    simulation = context.simulation
    simulation.run(act)
    size = (simulation.n_gateways, simulation.n_domains)
    ReaderSimulation(*size, seed=SEED, n_readers=0).run(act)


@then("at most {n_readers:g} gateways follow the tables on average")
def then_few_readers(context, n_readers):
    assert context.counts[0][3] <= n_readers, context.counts


@then("they make at most {share:d} % of the calls that they make when all follow")
def then_few_calls(context, share):
    (n_calls, *_), (n_all, *_) = context.counts
    assert n_calls <= share / 100 * n_all, (n_calls, n_all)


@then("each gateway that copies requests at most {per_s:g} copies per second of at most 1 KB each")
def then_few_copies(context, per_s):
    _, n_copies, n_bytes, n_readers = context.counts[0]
    n_copying = context.simulation.n_gateways - n_readers
    assert 0 < n_copies <= per_s * context.span_s * n_copying, context.counts
    assert n_bytes <= 1000 * n_copies, context.counts


@then("all {n:d} gateways follow the tables")
def then_all_follow(context, n):
    assert context.counts[0][3] == n, context.counts


@when("{fault} and a configuration and an upstream's leaving are written, {n_turns:d} times")
def when_changes(context, fault, n_turns):
    reader_fault = ReaderFault(fault)
    context.elapsed = []

    async def act(simulation):
        await trio.sleep(SETTLE_S)
        for turn in range(n_turns):
            await trio.sleep(simulation.rng.uniform(0.0, 2.0))
            await reader_fault.begin(simulation, turn)
            version, key = 10 + turn, f"u{turn}"
            simulation.store.put("op", "config", make_gateway_config(version))
            simulation.remove_upstream(key)
            conditions = {}
            for gateway in simulation.sound:
                node, tables = gateway.node_id, gateway.tables
                conditions[node, "op"] = lambda t=tables, v=version: t.config.version == v
                conditions[node, "servers"] = lambda g=gateway, k=key: not g.knows_upstream(k)
            context.elapsed.append(await measure_all(conditions, 6.0))
            reader_fault.end(simulation)
            await trio.sleep(6.0)

    context.simulation.run(act)


@then("each sound gateway knows the changes within {bound_s:g} s")
def then_known(context, bound_s):
    worst = [max((s, *name) for name, s in turn.items()) for turn in context.elapsed]
    print("time until all gateways know the changes, by turn:", worst)
    assert max(worst)[0] <= bound_s, worst


def run_outage(context, silent_s, watch):
    """Let the store be silent for a time, in which the entry ``u0`` is removed."""

    async def act(simulation):
        await trio.sleep(SETTLE_S)
        simulation.store.is_silent = True
        await trio.sleep(silent_s / 2)
        simulation.remove_upstream("u0")
        await trio.sleep(silent_s / 2)
        simulation.store.is_silent = False
        await watch(simulation)

    context.simulation.run(act)


@when("the store is silent for {silent_s:g} s, in which an entry of a running upstream expires")
def when_expires(context, silent_s):
    async def watch(simulation):
        context.dropping = set()
        returned_at = trio.current_time()
        while trio.current_time() < returned_at + 4.0:
            if "u0" in simulation.silenced and trio.current_time() >= returned_at + 1.2:
                simulation.silenced.discard("u0")
                simulation.store.put("servers", "u0", simulation.entries["u0"] | {"sequence": 99})
            context.dropping |= {g.node_id for g in simulation.sound if not g.knows_upstream("u0")}
            await trio.sleep(0.02)
        context.n_dropped = len(context.dropping)
        await trio.sleep(4.0)
        context.n_readers = len(simulation.readers)

    run_outage(context, silent_s, watch)


@then("{span_s:d} s later at most {n:d} gateways follow the tables")
def then_few_follow(context, span_s, n):
    assert context.n_readers <= n, context.n_readers


@when("the store is silent for {silent_s:g} s, in which an upstream leaves")
def when_leaves(context, silent_s):
    async def watch(simulation):
        await trio.sleep(BOUNDS.contact_s)
        context.knowing = [g.node_id for g in simulation.sound if g.knows_upstream("u0")]

    run_outage(context, silent_s, watch)


@then("no gateway knows it {bound_s:d} s after the store's return")
def then_none_knows(context, bound_s):
    assert bound_s == BOUNDS.contact_s
    assert not context.knowing, context.knowing


@when("the store falls silent")
def when_silent(context):
    async def act(simulation):
        await trio.sleep(SETTLE_S)
        simulation.store.is_silent = True
        conditions = {g.node_id: lambda g=g: not g.store.is_up for g in simulation.sound}
        context.elapsed = await measure_all(conditions, 10.0)

    context.simulation.run(act)


@then("within {bound_s:d} s each gateway counts the store as failing")
def then_failing(context, bound_s):
    print("time until each gateway counts the store as failing:", max(context.elapsed.values()))
    assert max(context.elapsed.values()) <= bound_s, context.elapsed


@when("a reader is cut off from the store for {span_s:d} s")
def when_reader_cut_off(context, span_s):
    async def act(simulation):
        await trio.sleep(SETTLE_S)
        simulation.readers[0].feed.is_cut_off = True
        context.doubting = set()
        for _ in range(span_s * 50):
            context.doubting |= {g.node_id for g in simulation.sound if not g.store.is_up}
            await trio.sleep(0.02)

    context.simulation.run(act)


@then("the others count the store as available all the time")
def then_available(context):
    assert not context.doubting, context.doubting


@when("the store is restored from a backup")
def when_restored(context):
    async def act(simulation):
        await trio.sleep(SETTLE_S)
        store = simulation.store
        store.era, store.version = 2, store.version - 20
        store.changes = {}
        for table, rows in store.rows.items():
            store.rows[table] = {
                key: FeedRow(key, row.value, min(row.version, store.version))
                for key, row in rows.items()
            }
        store.oldest_version = store.version
        store.put("op", "config", make_gateway_config(9))
        conditions = {
            g.node_id: lambda g=g: (
                g.store.era == g.op.replica.era == g.servers.replica.era == 2
                and g.tables.config.version == 9
            )
            for g in simulation.sound
        }
        context.elapsed = await measure_all(conditions, 8.0)

    context.simulation.run(act)


@then("within {bound_s:d} s each gateway knows the new era and its tables")
def then_new_era(context, bound_s):
    print("time until each gateway knows the new era:", max(context.elapsed.values()))
    assert max(context.elapsed.values()) <= bound_s, context.elapsed


@when("they have just started")
def when_started(context):
    async def act(simulation):
        await trio.sleep(2.0)
        context.answered = {
            (g.node_id, table): g.store.get_answered_at(table)
            for g in simulation.sound
            for table in ("op", "servers")
        }
        await trio.sleep(8.0)
        context.n_readers = len(simulation.readers)

    context.simulation.run(act)


@then("each gateway reads each table from the store")
def then_all_read(context):
    assert all(at >= 0.0 for at in context.answered.values()), context.answered


class ThreeGateways:
    """Three real gateways of one failure domain, of which one copies the tables.

    Parameters
    ----------
    harness : GatewayHarness
        Runs the first gateway and the store.
    feeds : list of PlatformStore
        Clients of the second and third gateway.
    """

    def __init__(self, harness, feeds):
        self.harness = harness
        self.feeds = feeds
        self.gateways = [harness.gateway]
        self.scopes = []

    async def start(self, nursery):
        """Start the second and third gateway, and wait until one of the three copies."""
        seeds = (self.harness.gateway.settings.peer,)
        for number, feed in enumerate(self.feeds, start=1):
            host = make_loopback_host(number)
            gateway = self.harness._make_gateway(feed, f"gateway-{number + 1}", host, seeds)
            await nursery.start(self._run, gateway)
            self.gateways.append(gateway)
        await self.harness.wait_for(lambda: len(self.copying) == 1)

    async def _run(self, gateway, *, task_status):
        with trio.CancelScope() as scope:
            self.scopes.append((gateway, scope))
            await gateway.run(trio.Event(), task_status=task_status)

    @property
    def copying(self):
        """Gateways that copy the tables."""
        return [gateway for gateway in self.gateways if not gateway.reading.readers.must_read]

    @staticmethod
    def count_calls(gateway):
        """Return the number of a gateway's calls for tables and changes."""
        name = "crocusvalve_gateway_store_calls_total"
        return sum(
            gateway.registry.get_sample_value(name, {"table": table}) or 0
            for table in ("op", "servers")
        )

    async def measure(self, gateway, version, key):
        """Write a configuration and remove an entry; return the time until a gateway knows both."""
        store = self.harness.store
        store.put("op", "config", make_gateway_config(version))
        store.drop("servers", key)
        conditions = {
            "op": lambda: gateway.tables.config.version == version,
            "servers": lambda: UpstreamId(key) not in gateway.tables.upstreams,
        }
        return max((await measure_all(conditions, 6.0)).values())


@when("two more gateways of its failure domain start and one of them copies")
def when_three_gateways(context):
    async def act(harness):
        address = harness.store_address
        async with (
            PlatformStore(address) as feed,
            PlatformStore(address) as other_feed,
            trio.open_nursery() as nursery,
        ):
            subject = ThreeGateways(harness, [feed, other_feed])
            await subject.start(nursery)
            gateway = subject.copying[0]
            await trio.sleep(3.0)
            n_calls = subject.count_calls(gateway)
            context.elapsed_s = await subject.measure(gateway, 11, "one-ops")
            context.n_calls = subject.count_calls(gateway) - n_calls
            for reader, scope in subject.scopes:
                if reader is not gateway:
                    scope.cancel()
            if gateway is not harness.gateway:
                harness.stop_first_gateway()
            context.alone_s = await subject.measure(gateway, 12, "two-ops")
            nursery.cancel_scope.cancel()

    context.harness.run(act)


@then("it makes no calls for changes, and knows a configuration and an upstream's leaving in 3 s")
def then_copies(context):
    print("time until a gateway that copies knows the changes:", context.elapsed_s)
    assert context.n_calls == 0, context.n_calls
    assert context.elapsed_s <= 3.0, context.elapsed_s


@then("when both readers have stopped it knows the next changes in {bound_s:d} s")
def then_goes_on(context, bound_s):
    print("time until it knows them after its readers' stop:", context.alone_s)
    assert context.alone_s <= bound_s, context.alone_s


class RepeatedEntry:
    """The upstreams' table of a gateway, with an entry that its upstream has repeated."""

    KEY = "one-ops"

    def __init__(self):
        shared = (
            GatewayTables(),
            PlatformRecordCodec(),
            GatewayObserver(CollectorRegistry()),
            StoreState(),
        )
        self.handler = UpstreamTableHandler(*shared, bounds=GatewayBounds())
        upstream = StandinUpstream("one")
        upstream.port = PEER_PORT
        self.entry = upstream.make_entry("ops", "domain-one", coldLeftMs=900)
        self.handler.merge_table(self._make_page(1), 0.0)
        for version in range(2, 6):
            self.write(version, sequence=version, coldLeftMs=900 - 100 * version)

    def _make_page(self, version, **changes):
        value = msgspec.json.encode(self.entry | changes)
        return FeedPage((FeedRow(self.KEY, value, version),), version, 0.0, 1)

    def write(self, version, **changes):
        """Merge a later version of the entry."""
        self.handler.merge_changes(self._make_page(version, **changes), float(version))

    def list_versions(self, after):
        """Return the versions of the rows in a copy of the changes."""
        return [row.version for row in self.handler.replica.make_changes_page(after).rows]


@given("a replica of the upstreams' table with an entry that was repeated")
def given_repeated(context):
    context.repeated = RepeatedEntry()


@then("a copy of the changes has no row for it, and one after its draining has it")
def then_left_out(context):
    subject = context.repeated
    replica = subject.handler.replica
    assert subject.list_versions(1) == [] and subject.list_versions(0) == [5]
    assert (replica.last_content_change.version, replica.position.version) == (1, 5)
    for version, changes in (
        (6, {"state": "draining"}),
        (7, {"state": "draining", "coldLeftMs": 2000}),
        (8, {"state": "ready", "born": 1_700_000_009_000}),
    ):
        subject.write(version, sequence=version, **changes)
        assert subject.list_versions(version - 1) == [version], version
        assert replica.last_content_change.version == version


@given("a settings file without a number of readers")
def given_settings(context):
    context.settings_path = GatewayProcessHarness(context).write_settings()


@given('a settings file with "{line}"')
def given_settings_with(context, line):
    path = GatewayProcessHarness(context).write_settings()
    path.write_text(f"{line}\n{path.read_text()}")
    context.settings_path = path


@then("a failure domain has {n:d} readers")
def then_n_readers(context, n):
    settings = load_boot_settings({SETTINGS_VARIABLE: str(context.settings_path)})
    assert settings.n_table_readers == n, settings
