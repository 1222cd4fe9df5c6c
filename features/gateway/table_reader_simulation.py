"""Gateways that read or copy the store's tables, with the real followers, in virtual time.

The store, the datagrams and the connections between gateways are simulated in memory.
"""

import random

import msgspec
import trio
import trio.testing
from prometheus_client import CollectorRegistry

from crocusvalve.base import DomainId, NodeId, UpstreamId
from crocusvalve.exceptions import PlatformError
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway._table_followers import (
    BACKOFF_BASE_S,
    BACKOFF_MAX_S,
    UPSTREAM_PAUSE_FRACTION,
    WAIT_MARGIN_S,
)
from crocusvalve.gateway.base import Address, GatewayBounds, GatewaySettings
from crocusvalve.gateway.shared._gossip_message import GossipMessage, TableReport
from crocusvalve.gateway.shared._lag import LagTracker
from crocusvalve.gateway.shared._peers import PeerTable
from crocusvalve.gateway.shared._table_copies import TableCopyExchange
from crocusvalve.gateway.shared._table_reading import TableReading
from crocusvalve.gateway.tables._followers import TableFollower
from crocusvalve.gateway.tables._operator_table import OperatorTableHandler
from crocusvalve.gateway.tables._replica import TablePosition
from crocusvalve.gateway.tables._store_state import StoreState
from crocusvalve.gateway.tables._tables import GatewayTables
from crocusvalve.gateway.tables._upstream_table import UpstreamTableHandler
from crocusvalve.platform import PlatformRecordCodec
from crocusvalve.store import Backoff
from crocusvalve.store.base import ChangeFeed, FeedPage, FeedRow, HistoryLostError
from crocusvalve.utils import Clock
from features.gateway.gateway_harness import make_gateway_config

BOUNDS = GatewayBounds(drain_s=3.0)
HEARTBEAT_S = 1.2
ROUND_S = 0.4
N_OWN, N_OUTSIDE, N_MEMBERS = 5, 1, 20
CALL_S = 0.02
#: Time after which a copy from a gateway that doesn't answer is given up.
STALL_S = 1.5


class VirtualClock(Clock):
    """Time of trio's clock, which the tests replace by a virtual one."""

    def now(self):
        return trio.current_time()


class VirtualStore:
    """Tables in memory that count the calls for each table.

    Attributes
    ----------
    is_silent : bool
        Whether calls that begin now, or wait now, are never answered.
    """

    def __init__(self):
        self.version, self.era, self.oldest_version = 0, 1, 0
        self.rows, self.changes, self.n_calls = {}, {}, {}
        self.is_silent = False
        self.changed = trio.Event()

    def put(self, table, key, value):
        """Write a row; None deletes it."""
        self.version += 1
        data = None if value is None else msgspec.json.encode(value)
        row = FeedRow(key, data, self.version)
        self.rows.setdefault(table, {})[key] = row
        self.changes.setdefault(table, []).append(row)
        self.notify()

    def notify(self):
        """Wake the calls that wait."""
        self.changed.set()
        self.changed = trio.Event()

    def read(self, table):
        """Return a whole table."""
        rows = tuple(row for row in self.rows.get(table, {}).values() if row.value is not None)
        return FeedPage(rows, self.version, trio.current_time(), self.era)

    def list_changes(self, table, after):
        """Return all changes after a version."""
        changes = reversed(self.changes.get(table, []))
        rows = []
        for row in changes:
            if row.version <= after:
                break
            rows.append(row)
        return tuple(reversed(rows))


class VirtualFeed(ChangeFeed):
    """A gateway's client of the store.

    Attributes
    ----------
    is_cut_off : bool
        Whether its calls get no answers.
    frozen_page : bool
        Whether the changes are always empty, though the store has some.
    """

    def __init__(self, store):
        self.store = store
        self.is_cut_off = False
        self.is_stuck = False

    @property
    def _is_silent(self):
        return self.is_cut_off or self.store.is_silent

    async def _hang(self, span_s):
        await trio.sleep(span_s)
        raise PlatformError("no answer", step="test", peer="store")

    def _count(self, table):
        calls = self.store.n_calls
        calls[table] = calls.get(table, 0) + 1

    async def read_table(self, table, *, timeout_s=1.0):
        self._count(table)
        if self._is_silent:
            await self._hang(timeout_s)
        await trio.sleep(CALL_S)
        return self.store.read(table)

    async def wait_for_changes(self, table, after, wait_s, *, max_bytes=None, timeout_s=1.0):
        self._count(table)
        ends_at = trio.current_time() + wait_s
        if self._is_silent:
            await self._hang(wait_s + timeout_s)
        await trio.sleep(CALL_S)
        store = self.store
        with trio.move_on_at(ends_at):
            while self.is_stuck or (
                store.oldest_version <= after <= store.version
                and not store.list_changes(table, after)
            ):
                await store.changed.wait()
        if self._is_silent:
            await self._hang(max(0.0, ends_at - trio.current_time()) + timeout_s)
        if self.is_stuck:
            return FeedPage((), after, trio.current_time(), store.era)
        if not store.oldest_version <= after <= store.version:
            raise HistoryLostError("history lost", step="test", peer="store")
        rows = store.list_changes(table, after)
        return FeedPage(rows, store.version, trio.current_time(), store.era)

    async def put_row(self, table, key, value, if_version):
        raise NotImplementedError


class VirtualExchange(TableCopyExchange):
    """Copies from other gateways of the simulation without connections."""

    simulation = None

    async def _fetch(self, host, req):
        peer = self.simulation.gateways.get(host)
        await trio.sleep(0.005)
        if peer is None or peer.is_dead:
            raise OSError("refused")
        if peer.is_frozen:
            await trio.sleep(STALL_S)
            raise TimeoutError("no answer")
        self.simulation.n_copies += 1
        copies = {} if peer.is_lying else peer.exchange.make_copies(req)
        data = msgspec.msgpack.encode(copies)
        self.simulation.n_copy_bytes += len(data)
        return data


class VirtualGateway:
    """The parts of a gateway that concern the store's tables."""

    def __init__(self, simulation, number, domain, n_readers):
        self.simulation = simulation
        self.host = f"127.0.{number // 200}.{number % 200 + 1}"
        self.rng = random.Random(f"{simulation.seed}/{number}")
        address = Address(self.host, 1)
        settings = GatewaySettings(
            node_id=NodeId(f"gateway-{number:03d}"),
            domain=DomainId(domain),
            front=address,
            ready=address,
            peer=address,
            store=address,
            bounds=BOUNDS,
            n_table_readers=n_readers,
        )
        self.node_id, self.domain = settings.node_id, settings.domain
        self.is_dead = self.is_frozen = self.is_lying = False
        self.clock = VirtualClock()
        self.tables = GatewayTables(settings.node_id)
        observer = GatewayObserver(CollectorRegistry())
        self.store = StoreState()
        shared = (self.tables, PlatformRecordCodec(), observer, self.store)
        self.op = OperatorTableHandler(*shared)
        self.servers = UpstreamTableHandler(*shared, bounds=BOUNDS)
        handlers = (self.op, self.servers)
        self.peers = PeerTable(settings.node_id, self.host)
        self.lags = LagTracker(handlers, self.peers)
        common = {
            "peers": self.peers,
            "lags": self.lags,
            "observer": observer,
            "clock": self.clock,
        }
        self.reading = TableReading(
            settings=settings,
            handlers=handlers,
            store=self.store,
            is_leaving=lambda: False,
            **common,
        )
        self.lags.is_copied = self.reading.is_copied
        self.exchange = VirtualExchange(
            address=address,
            handlers=handlers,
            reading=self.reading,
            random_state=self.rng,
            **common,
        )
        self.exchange.simulation = simulation
        self.feed = VirtualFeed(simulation.store)
        self.followers = [
            TableFollower(
                feed=self.feed,
                handler=handler,
                store=self.store,
                backoff=Backoff(base_s=BACKOFF_BASE_S, max_s=BACKOFF_MAX_S, random_state=self.rng),
                clock=self.clock,
                wait_s=BOUNDS.contact_s - WAIT_MARGIN_S,
                pause_s=pause_s,
                is_enabled=lambda table=handler.table: self.reading.must_follow(table),
                measure_outage_s=self.reading.measure_outage_s,
                is_probing=handler is self.op,
            )
            for handler, pause_s in (
                (self.op, 0.0),
                (self.servers, UPSTREAM_PAUSE_FRACTION * BOUNDS.drain_s),
            )
        ]
        self.scope = trio.CancelScope()

    @property
    def reads(self):
        """Whether the gateway follows the tables itself."""
        return self.reading.readers.must_read

    def knows_upstream(self, key):
        """Return whether the gateway may send requests to an upstream."""
        row = self.tables.upstreams.get(UpstreamId(key))
        return row is not None and self.tables.accepts_work(row)

    async def run(self):
        """Run until the gateway is killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                for follower in self.followers:
                    nursery.start_soon(follower.run)
                nursery.start_soon(self.reading.run)
                nursery.start_soon(self.exchange.run)
                nursery.start_soon(self._gossip)

    def kill(self):
        """End the gateway without a farewell."""
        self.is_dead = True
        self.scope.cancel()

    async def _gossip(self):
        await trio.sleep(self.rng.uniform(0.0, ROUND_S))
        while True:
            if not self.is_frozen:
                self.simulation.send(self, self._make_message())
            await trio.sleep(ROUND_S)

    def _make_message(self):
        now = self.clock.now()
        reports = self.reading.make_reports(now)
        if self.is_lying:
            reports = {
                table: TableReport(TablePosition(1, report.change.version + 100_000), 0, True)
                for table, report in reports.items()
            }
        return GossipMessage(
            node_id=self.node_id,
            boot_id="b",
            host=self.host,
            domain=self.domain,
            has_store=self.store.is_up,
            members=self.peers.sample_members(N_MEMBERS, self.rng, now),
            positions={h.table: h.replica.last_change for h in (self.op, self.servers)},
            table_reports=reports,
        )

    def choose_hosts(self, now):
        """Return the hosts that get a message: own failure domain first, and one outside."""
        domains = {member.host: member.domain for member in self.peers.list_alive(now).values()}
        hosts = self.peers.list_hosts(now)
        if len(hosts) > N_OWN + N_OUTSIDE:
            own = [host for host in hosts if domains.get(host) == self.domain]
            outside = [host for host in hosts if domains.get(host) != self.domain]
            hosts = self.rng.sample(own, min(N_OWN, len(own)))
            hosts += self.rng.sample(outside, min(N_OUTSIDE, len(outside)))
        return {*hosts, *self.reading.list_domain_hosts(now)}


class ReaderSimulation:
    """Gateways in failure domains, upstreams with heartbeats, and a store.

    Attributes
    ----------
    loss : float
        Share of the datagrams that are lost.
    n_rounds_lost : dict
        Further rounds of each gateway, by host, whose datagrams are all lost.
    """

    def __init__(self, n_gateways, n_domains, *, seed, loss=0.2, n_readers=2, n_upstreams=25):
        self.seed, self.loss, self.n_readers = seed, loss, n_readers
        self.n_gateways, self.n_domains, self.n_upstreams = n_gateways, n_domains, n_upstreams
        self.rng = random.Random(seed)
        self.n_rounds_lost = {}
        self.n_copies = self.n_copy_bytes = 0
        self.silenced = set()

    def send(self, sender, message):
        """Deliver a message to the hosts that the sender chooses."""
        now = trio.current_time()
        hosts = sender.choose_hosts(now)
        if self.n_rounds_lost.get(sender.host, 0) > 0:
            self.n_rounds_lost[sender.host] -= 1
            return
        for host in hosts:
            peer = self.gateways.get(host)
            is_open = peer is not None and not (peer.is_dead or peer.is_frozen)
            if is_open and self.rng.random() >= self.loss:
                peer.peers.update_peer(message, now)

    def start(self, nursery):
        """Create the store, its rows and the gateways, and start them."""
        self.store = VirtualStore()
        self.store.put("op", "config", make_gateway_config(2))
        self.entries = {f"u{n}": self._make_entry(n) for n in range(self.n_upstreams)}
        self.gateways = {}
        for number in range(self.n_gateways):
            domain = f"domain-{number % self.n_domains}"
            gateway = VirtualGateway(self, number, domain, self.n_readers)
            self.gateways[gateway.host] = gateway
        seeds = list(self.gateways)[:3]
        for gateway in self.gateways.values():
            gateway.peers.add_hosts(seeds, trio.current_time())
            nursery.start_soon(gateway.run)
        for key in self.entries:
            self.store.put("servers", key, self.entries[key])
            nursery.start_soon(self._beat, key)

    def _make_entry(self, number):
        return {
            "service": "ops",
            "address": f"127.9.0.{number + 1}:80",
            "zone": f"domain-{number % self.n_domains}",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }

    async def _beat(self, key):
        await trio.sleep(self.rng.uniform(0.0, HEARTBEAT_S))
        sequence = 1
        while True:
            if key not in self.silenced and not self.store.is_silent:
                sequence += 1
                self.store.put("servers", key, self.entries[key] | {"sequence": sequence})
            await trio.sleep(HEARTBEAT_S)

    def remove_upstream(self, key):
        """Remove an upstream's entry."""
        self.silenced.add(key)
        self.store.put("servers", key, None)

    @property
    def sound(self):
        """Gateways that run, reach the store and tell the truth."""
        return [
            gateway
            for gateway in self.gateways.values()
            if not (
                gateway.is_dead
                or gateway.is_frozen
                or gateway.is_lying
                or gateway.feed.is_stuck
                or gateway.feed.is_cut_off
            )
        ]

    @property
    def readers(self):
        """Gateways that follow the tables, of all failure domains."""
        return [gateway for gateway in self.sound if gateway.reads]

    def run(self, action):
        """Run an action with all gateways in virtual time."""

        async def main():
            async with trio.open_nursery() as nursery:
                self.start(nursery)
                await action(self)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))
