"""Steps for gateways that follow the store's tables over slow links and through outages."""

import random

import trio
from behave import given, then, when
from prometheus_client import CollectorRegistry

from crocusvalve.base import NodeId, UpstreamId
from crocusvalve.exceptions import PlatformError
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway._table_followers import BACKOFF_BASE_S, BACKOFF_MAX_S, WAIT_MARGIN_S
from crocusvalve.gateway.base import Address, GatewayBounds
from crocusvalve.gateway.shared._gossip_message import GossipMessage
from crocusvalve.gateway.shared._table_copies import CopyRequest
from crocusvalve.gateway.tables._followers import TableFollower
from crocusvalve.gateway.tables._operator_table import OperatorTableHandler
from crocusvalve.gateway.tables._replica import TablePosition
from crocusvalve.gateway.tables._store_state import StoreState
from crocusvalve.gateway.tables._tables import GatewayTables
from crocusvalve.gateway.tables._upstream_table import UpstreamTableHandler
from crocusvalve.platform import PlatformRecordCodec, PlatformStore
from crocusvalve.standin import (
    StandinStore,
    StandinUpstream,
    StoreFault,
    make_loopback_host,
    make_route,
)
from crocusvalve.store import Backoff
from crocusvalve.store.base import ChangeFeed, FeedPage
from crocusvalve.utils import BootClock
from features.gateway.gateway_harness import PEER_PORT, make_gateway_config
from features.gateway.steps.restore_steps import StoredChange

BOUNDS = GatewayBounds()
#: Time limit of the client's calls while the store doesn't answer it.
CUT_OFF_CALL_S = 1.0
LEAVING, EXPIRING = UpstreamId("leaving"), UpstreamId("expiring")


def make_large_config(version, n_routes=2000):
    """Return a configuration with many routes."""
    config = make_gateway_config(version)
    routes = [
        make_route(f"route-{n}", f"/many/{n}/", "safe", service="ops") for n in range(n_routes)
    ]
    return config | {"routes": config["routes"] + routes}


def limit_rate(store, transfer_s):
    """Slow the store's answers so that the operators' table takes a time to transfer."""
    store.bytes_per_s = store.count_bytes("op") / transfer_s


class CutOffFeed(ChangeFeed):
    """A client of the store that gets no answers while it is cut off."""

    def __init__(self, feed):
        self.feed = feed
        self.is_cut_off = False

    async def _check(self):
        if self.is_cut_off:
            await trio.sleep(CUT_OFF_CALL_S)
            raise PlatformError("cut off", step="test", peer="store")

    async def read_table(self, table, *, timeout_s=1.0):
        await self._check()
        return await self.feed.read_table(table)

    async def wait_for_changes(self, table, after, wait_s, *, max_bytes=None, timeout_s=1.0):
        await self._check()
        page = await self.feed.wait_for_changes(table, after, wait_s, max_bytes=max_bytes)
        await self._check()
        return page

    async def put_row(self, table, key, value, if_version):
        await self._check()
        return await self.feed.put_row(table, key, value, if_version)


async def measure_until(condition, timeout_s):
    """Return the seconds until a condition holds; infinite if it doesn't in time."""
    started_at = trio.current_time()
    with trio.move_on_after(timeout_s):
        while not condition():
            await trio.sleep(0.01)
        return trio.current_time() - started_at
    return float("inf")


@when("the store is busy, then has a configuration whose transfer takes {transfer_s:g} s")
def when_large_after_failure(context, transfer_s):
    async def act(harness):
        store = harness.store
        store.fault = StoreFault.BUSY
        # Ends the call that waits for changes, so that the next one fails.
        store.put("op", "other", {})
        await trio.sleep(0.5)
        store.put("op", "config", make_large_config(7))
        limit_rate(store, transfer_s)
        store.fault = StoreFault.NONE
        tables = harness.gateway.tables
        context.elapsed_s = await measure_until(lambda: tables.config.version == 7, 8.0)

    context.harness.run(act)


@when("{n:d} configurations whose transfer takes {transfer_s:g} s each are written in {span_s:g} s")
def when_many_configurations(context, n, transfer_s, span_s):
    async def act(harness):
        store, tables = harness.store, harness.gateway.tables
        store.put("op", "config", make_large_config(6))
        await harness.wait_for(lambda: tables.config.version == 6)
        limit_rate(store, transfer_s)
        for version in range(7, 7 + n):
            store.put("op", "config", make_large_config(version))
            await trio.sleep(span_s / n)
        context.elapsed_s = await measure_until(lambda: tables.config.version == 6 + n, 15.0)

    context.harness.run(act)


@when("an answer of the store stops within its body and a configuration is written")
def when_answer_stops(context):
    async def act(harness):
        store, tables = harness.store, harness.gateway.tables
        store.bytes_per_s = 0.01
        store.put("op", "config", make_gateway_config(6))
        await trio.sleep(0.3)
        store.bytes_per_s = float("inf")
        store.put("op", "config", make_gateway_config(7))
        context.elapsed_s = await measure_until(lambda: tables.config.version == 7, 10.0)

    context.harness.run(act)


@then("the configuration is in force within {bound_s:d} s")
def then_in_force(context, bound_s):
    assert context.elapsed_s <= bound_s, context.elapsed_s


@when(
    "a second gateway starts without the store and copies tables whose transfer takes "
    "{transfer_s:g} s"
)
def when_slow_copy(context, transfer_s):
    async def act(harness):
        store, gateway = harness.store, harness.gateway
        store.put("op", "config", make_large_config(6))
        await harness.wait_for(lambda: gateway.tables.config.version == 6)
        store.fault = StoreFault.SILENT
        tables = {name: TablePosition(0, 0) for name in ("op", "servers", "status")}
        n_bytes = len(gateway.copy_exchange.encode_copies(CopyRequest(tables)))
        host = make_loopback_host(2)

        async def serve_slowly(stream):
            await gateway.copy_exchange.serve(SlowStream(stream, n_bytes / transfer_s))

        async with PlatformStore(harness.store_address) as feed, trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(PEER_PORT, host=host)
            nursery.start_soon(trio.serve_listeners, serve_slowly, listeners)
            await harness.start_second_gateway(feed, nursery)
            second = harness.second_gateway
            # The slow listener is on another host than the gateway that it serves copies of.
            second.peers.list_copy_sources = lambda now: [host]
            context.elapsed_s = await measure_until(second.is_ready, 8.0)
            nursery.cancel_scope.cancel()

    context.harness.run(act)


class SlowStream:
    """A stream whose writes are limited to a rate."""

    def __init__(self, stream, bytes_per_s):
        self.stream = stream
        self.bytes_per_s = bytes_per_s

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self.stream.aclose()

    async def send_eof(self):
        await self.stream.send_eof()

    async def receive_some(self, max_bytes=None):
        return await self.stream.receive_some(max_bytes)

    async def send_all(self, data):
        size = max(1, int(self.bytes_per_s * 0.05))
        for start in range(0, len(data), size):
            await self.stream.send_all(data[start : start + size])
            await trio.sleep(0.05)


@then("the second gateway is ready")
def then_second_ready(context):
    assert context.elapsed_s < float("inf")


@when("{change} is written while the store turns the second gateway away")
def when_turned_away(context, change):
    stored = StoredChange(change)

    async def act(harness):
        async with PlatformStore(harness.store_address) as store, trio.open_nursery() as nursery:
            feed = CutOffFeed(store)
            await harness.start_second_gateway(feed, nursery)
            second = harness.second_gateway
            await harness.wait_for(second.is_ready)
            await harness.wait_for(lambda: second.peers.list_alive(second.clock.now()))
            feed.is_cut_off = True
            await trio.sleep(0.5)
            stored.write(harness)
            context.elapsed_s = await measure_until(lambda: stored.is_in_force(second), 6.0)
            nursery.cancel_scope.cancel()

    context.harness.run(act)


@then("the second gateway knows it within {bound_s:d} s")
def then_second_knows(context, bound_s):
    assert context.elapsed_s <= bound_s, context.elapsed_s


class FollowingGateway:
    """The followers of one gateway without peers, with a client of their own."""

    def __init__(self, number, feed):
        self.tables = GatewayTables()
        observer = GatewayObserver(CollectorRegistry())
        store = StoreState()
        shared = (self.tables, PlatformRecordCodec(), observer, store)
        self.upstream_handler = UpstreamTableHandler(*shared, bounds=BOUNDS)
        settings = {
            "feed": feed,
            "store": store,
            "clock": BootClock(),
            "wait_s": BOUNDS.contact_s - WAIT_MARGIN_S,
        }
        rng = random.Random(number)
        self.followers = [
            TableFollower(
                handler=handler,
                backoff=Backoff(base_s=BACKOFF_BASE_S, max_s=BACKOFF_MAX_S, random_state=rng),
                is_probing=is_probing,
                **settings,
            )
            for handler, is_probing in (
                (OperatorTableHandler(*shared), True),
                (self.upstream_handler, False),
            )
        ]

    def may_send(self, upstream_id):
        """Return whether the gateway may send requests to an upstream."""
        row = self.tables.upstreams.get(upstream_id)
        return row is not None and self.tables.accepts_work(row)


@given("{n:d} gateways without peers that follow the upstreams' table")
def given_followers(context, n):
    context.n_gateways = n


def run_outage(context, silent_s, act_in_outage, watch):
    """Follow a store that is silent for a time; the gateways start at different times before it."""

    async def main():
        store = StandinStore()
        upstream = StandinUpstream("one")
        async with trio.open_nursery() as nursery:
            await nursery.start(store.serve)
            upstream.port = 1
            entries = {key: upstream.make_entry("ops", "domain-one") for key in (LEAVING, EXPIRING)}
            for key, entry in entries.items():
                store.put("servers", key, entry)
            store.put("op", "config", make_gateway_config(2))
            gateways = []
            for number in range(context.n_gateways):
                feed = await nursery.start(keep_open, store.port)
                gateways.append(FollowingGateway(number, feed))
                for follower in gateways[-1].followers:
                    nursery.start_soon(follower.run)
                await trio.sleep(4.0 / context.n_gateways)
            await trio.sleep(1.0)
            assert all(gateway.may_send(LEAVING) for gateway in gateways)
            store.fault = StoreFault.SILENT
            await trio.sleep(silent_s / 2)
            act_in_outage(store)
            await trio.sleep(silent_s / 2)
            store.fault = StoreFault.NONE
            await watch(store, gateways, entries)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def keep_open(port, *, task_status):
    """Keep a client of the store open until cancelled."""
    async with PlatformStore(Address("127.0.0.1", port)) as feed:
        task_status.started(feed)
        await trio.sleep_forever()


@when("the store is silent for {silent_s:g} s and an upstream leaves meanwhile")
def when_upstream_leaves(context, silent_s):
    async def watch(store, gateways, entries):
        await trio.sleep(BOUNDS.contact_s)
        context.n_sending = sum(gateway.may_send(LEAVING) for gateway in gateways)

    run_outage(context, silent_s, lambda store: store.drop("servers", LEAVING), watch)


@then("no gateway sends it a request later than {bound_s:d} s after the store's return")
def then_none_sends(context, bound_s):
    assert bound_s == BOUNDS.contact_s
    assert context.n_sending == 0, context.n_sending


@when(
    "the store is silent for {silent_s:g} s and the entry of a running upstream expires meanwhile"
)
def when_entry_expires(context, silent_s):
    async def watch(store, gateways, entries):
        n_dropped = 0
        returned_at = trio.current_time()
        is_back = False
        while trio.current_time() < returned_at + BOUNDS.contact_s:
            if not is_back and trio.current_time() >= returned_at + 1.2:
                store.put("servers", EXPIRING, entries[EXPIRING] | {"sequence": 9})
                is_back = True
            n_dropped = max(n_dropped, sum(not row.may_send(EXPIRING) for row in gateways))
            await trio.sleep(0.02)
        context.n_dropped = n_dropped

    run_outage(context, silent_s, lambda store: store.drop("servers", EXPIRING), watch)


@then("no gateway drops it if its entry is back {back_s:g} s after the store's return")
def then_none_dropped(context, back_s):
    assert context.n_dropped == 0, context.n_dropped


@when("the store falls silent and a caller sends {request}")
def when_caller_unknown(context, request):
    call = {
        "an unknown path": {"path": "/unknown/"},
        "an unknown API key": {"path": "/safe/1", "key": "other"},
    }[request]

    async def act(harness):
        harness.store.fault = StoreFault.SILENT
        await harness.wait_for(lambda: not harness.gateway.store.is_up)
        context.while_silent = [await harness.call(**call) for _ in range(3)]
        context.known = await harness.call("/safe/1")
        harness.store.fault = StoreFault.NONE
        await harness.wait_for(lambda: harness.gateway.store.is_up)
        await trio.sleep(0.2)
        context.afterwards = await harness.call(**call)

    context.harness.run(act)


@then("the answers are 503 with Retry-After, and {status:d} once the store answers again")
def then_refused_for_a_while(context, status):
    for answer in context.while_silent:
        assert answer.status == 503, answer.status
        assert float(answer.headers["retry-after"]) > 0
    assert context.known.status == 200
    assert context.afterwards.status == status, context.afterwards.status


@when("a peer has a later configuration that the gateway can't get")
def when_peer_ahead(context):
    async def act(harness):
        gateway, store = harness.gateway, harness.store
        store.fault = StoreFault.SILENT
        position = gateway.operator_handler.replica.position
        missing = TablePosition(position.era, position.version + 20)

        async def gossip():
            while True:
                message = GossipMessage(
                    node_id=NodeId("gateway-9"),
                    boot_id="b",
                    host="127.0.0.9",
                    positions={"op": missing},
                )
                gateway.peers.update_peer(message, gateway.clock.now())
                await trio.sleep(0.4)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(gossip)
            context.unready_s = await measure_until(lambda: not gateway.is_ready(), 8.0)
            while store.version < missing.version:
                store.put("op", "config", make_gateway_config(7))
            store.fault = StoreFault.NONE
            context.ready_s = await measure_until(gateway.is_ready, 8.0)
            context.version = gateway.tables.config.version
            nursery.cancel_scope.cancel()

    context.harness.run(act)


@then(
    "the gateway is not ready within {bound_s:d} s, and ready again once it has the configuration"
)
def then_not_ready(context, bound_s):
    assert context.unready_s <= bound_s, context.unready_s
    assert context.ready_s <= 8.0 and context.version == 7, (context.ready_s, context.version)


@given('a store that answers for table "{answered}" and fails for table "{failing}"')
def given_failing_table(context, answered, failing):
    context.store = StoreState()
    page = FeedPage((), 1, 0.0)
    context.reports = []
    for now in range(5):
        context.reports.append(context.store.record_answer(answered, page, now))
        context.reports.append(context.store.record_failure(failing, now))
    context.was_up = context.store.is_up
    context.reports.append(context.store.record_answer(failing, page, 5.0))


@then('the store counts as failing, and one failure and one recovery of "op" are reported')
def then_one_report(context):
    assert not context.was_up and context.store.is_up
    assert context.reports.count(True) == 2, context.reports
