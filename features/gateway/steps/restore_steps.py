"""Steps for a store that is restored from a backup, which begins a new era."""

import msgspec
import trio
from behave import given, then, when
from prometheus_client import CollectorRegistry

from crocusvalve.base import DomainId, UpstreamId
from crocusvalve.exceptions import PlatformError
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway.base import Address, ServiceName
from crocusvalve.gateway.tables._operator_table import OperatorTableHandler
from crocusvalve.gateway.tables._store_state import StoreState
from crocusvalve.gateway.tables._tables import GatewayTables
from crocusvalve.platform import PlatformRecordCodec, PlatformStore
from crocusvalve.standin import StandinStore, StoreFault
from crocusvalve.store.base import FeedPage, FeedRow
from features.gateway.gateway_harness import API_KEY, make_gateway_config

DOMAIN = DomainId("domain-one")
UPSTREAM = UpstreamId("one-ops")
NEW_UPSTREAM = UpstreamId("two-new")
NEW_KEY = "key-that-replaces-the-first"
STATUS_KEY = "rollout/llm"
ORDER = {"service": "llm", "target": "v2", "durationS": 20}
NOW = 1_000.0


class StoredChange:
    """A change that the operators or an upstream write to the store.

    Parameters
    ----------
    name : str
        Name of the change in the feature file.
    """

    def __init__(self, name):
        self.name = name

    def write(self, harness):
        """Write the change to the store."""
        self._put(harness, is_undone=False)

    def undo(self, harness):
        """Write the state before the change to the store again."""
        self._put(harness, is_undone=True)

    def _put(self, harness, is_undone):
        store = harness.store
        entry = harness.upstreams["one"].make_entry("ops", DOMAIN, sequence=2 + is_undone)
        if self.name == "a newer configuration":
            store.put("op", "config", make_gateway_config(7))
        elif self.name == "a revoked key":
            customers = [{"name": "first", "apiKeys": [NEW_KEY]}]
            store.put("op", "config", make_gateway_config(7, tenants=customers))
        elif self.name == "an evacuation":
            key = f"evacuate/{DOMAIN}"
            _ = store.drop("op", key) if is_undone else store.put("op", key, {})
        elif self.name == "the draining of an upstream":
            state = "ready" if is_undone else "draining"
            store.put("servers", UPSTREAM, entry | {"state": state})
        elif self.name == "the removal of an upstream":
            _ = (
                store.put("servers", UPSTREAM, entry)
                if is_undone
                else store.drop("servers", UPSTREAM)
            )
        elif self.name == "the restart of an upstream":
            store.put("servers", UPSTREAM, entry | {"born": entry["born"] + 5000})
        else:
            entry = harness.upstreams["two"].make_entry("ops", "domain-two")
            store.put("servers", NEW_UPSTREAM, entry)

    def is_in_force(self, gateway):
        """Return whether a gateway knows the change."""
        tables = gateway.tables
        row = tables.upstreams.get(UPSTREAM)
        return {
            "a newer configuration": lambda: tables.config.version == 7,
            "a revoked key": lambda: API_KEY not in tables.config.customers,
            "an evacuation": lambda: DOMAIN in tables.evacuated_domains,
            "the draining of an upstream": lambda: row.is_draining,
            "the removal of an upstream": lambda: row is None,
            "the restart of an upstream": lambda: row.started_ms > 1_700_000_000_000,
            "a new upstream": lambda: NEW_UPSTREAM in tables.upstreams,
        }[self.name]()


async def lose_change(harness, change):
    """Write a change, and restore the store to a backup from before it."""
    backup = harness.store.make_backup()
    change.write(harness)
    await harness.wait_for(lambda: change.is_in_force(harness.gateway))
    harness.store.restore(backup)


def has_read_restored_tables(gateway, store):
    """Return whether a gateway has read the tables of the store's era."""
    replicas = (gateway.operator_handler.replica, gateway.upstream_handler.replica)
    return all(replica.era == store.era and replica.version is not None for replica in replicas)


@when("{change} is lost by a restore of the store and then undone")
def when_lost_and_undone(context, change):
    context.change = StoredChange(change)

    async def act(harness):
        await lose_change(harness, context.change)
        await harness.wait_for(lambda: has_read_restored_tables(harness.gateway, harness.store))
        context.was_in_force = context.change.is_in_force(harness.gateway)
        context.change.undo(harness)
        with trio.move_on_after(2.0):
            while context.change.is_in_force(harness.gateway):
                await trio.sleep(0.01)
        context.is_in_force = context.change.is_in_force(harness.gateway)

    context.harness.run(act)


@then("{change} is no longer in force within 2 s")
def then_undone(context, change):
    assert context.was_in_force and not context.is_in_force


@given("an upgrade that is {state}")
def given_upgrade_state(context, state):
    context.state = state
    context.harness.extra_rows = [("op", STATUS_KEY, ORDER)]


async def lose_status(harness, state):
    """Write the status of an upgrade, and restore the store to a backup from before it."""
    status = ORDER | {"state": state, "share": 1.0, "started_s": 0.0}
    backup = harness.store.make_backup()
    harness.store.put("status", STATUS_KEY, status)
    await harness.wait_for(lambda: ServiceName("llm") in harness.gateway.tables.statuses)
    harness.store.restore(backup)


async def record_status_changes(harness, seconds):
    """Return the states of the upgrade that the store had, one for each write of its status."""
    states = {}
    with trio.move_on_after(seconds):
        while True:
            version = harness.store.get_version("status", STATUS_KEY)
            if version:
                states[version] = harness.store.get("status", STATUS_KEY)["state"]
            await trio.sleep(0.01)
    return list(states.values())


@when("the status of the upgrade is lost by a restore of the store")
def when_status_lost(context):
    async def act(harness):
        await lose_status(harness, context.state)
        context.states = await record_status_changes(harness, 4.0)

    context.harness.run(act)


@when("the status of the upgrade is lost and a new gateway leads")
def when_new_leader(context):
    async def act(harness):
        await lose_status(harness, context.state)
        async with PlatformStore(harness.store_address) as feed, trio.open_nursery() as nursery:
            # The first gateway loses the store, so that it doesn't write the status itself.
            harness.gateway.upgrades.feed = UnreachableFeed()
            await harness.start_second_gateway(feed, nursery, node_id="gateway-0")
            context.states = await record_status_changes(harness, 6.0)
            nursery.cancel_scope.cancel()

    context.harness.run(act)


class UnreachableFeed:
    """A client of the store whose writes fail."""

    async def put_row(self, table, key, value, if_version):
        raise PlatformError("unreachable", step="test", peer="store")


@then("the status {state} is written again once and the upgrade does not start again")
def then_status_written(context, state):
    assert context.states == [state], context.states


@when("{change} is lost by a restore of the store")
def when_lost(context, change):
    context.change = StoredChange(change)

    async def act(harness):
        await lose_change(harness, context.change)
        restored_at = trio.current_time()
        await harness.wait_for(lambda: has_read_restored_tables(harness.gateway, harness.store))
        context.is_in_force = context.change.is_in_force(harness.gateway)
        context.dropped_after_s = None
        if change == "a new upstream":
            await harness.wait_for(lambda: not context.change.is_in_force(harness.gateway))
            context.dropped_after_s = trio.current_time() - restored_at

    context.harness.run(act)


@then("{change} is still in force once the gateway has read the restored tables")
def then_still_in_force(context, change):
    assert context.is_in_force


@then("the new upstream is dropped between {low:d} s and {high:d} s after the restore")
def then_dropped(context, low, high):
    assert low <= context.dropped_after_s <= high, context.dropped_after_s


@when("the store is restored and {n:d} rows are written before the gateway calls it again")
def when_versions_reused(context, n):
    async def act(harness):
        store = harness.store
        backup = store.make_backup()
        for number in range(5):
            store.put("op", f"other-{number}", {})
        store.put("op", "config", make_gateway_config(7))
        await harness.wait_for(lambda: harness.gateway.tables.config.version == 7)
        store.restore(backup)
        for number in range(n - 1):
            store.put("op", f"another-{number}", {})
        context.expected = make_gateway_config(9)
        store.put("op", "config", context.expected)
        await harness.wait_for(lambda: harness.gateway.tables.config.version == 9)

    context.harness.run(act)


@when("a configuration is lost by a restore and written again with its version and another content")
def when_other_content(context):
    async def act(harness):
        store, tables = harness.store, harness.gateway.tables
        backup = store.make_backup()
        store.put("op", "config", make_gateway_config(7))
        await harness.wait_for(lambda: tables.config.version == 7)
        store.restore(backup)
        context.expected = make_gateway_config(7, tenants=[])
        store.put("op", "config", context.expected)
        await harness.wait_for(lambda: not tables.config.customers)

    context.harness.run(act)


@then("the gateway has the configuration that was written last")
def then_last_configuration(context):
    config = context.harness.gateway.tables.config
    assert config.version == context.expected["version"]
    assert len(config.customers) == len(context.expected["tenants"])


class OperatorTableSubject:
    """A handler of the operators' table that gets pages without a store."""

    def __init__(self):
        self.tables = GatewayTables()
        observer = GatewayObserver(CollectorRegistry())
        self.handler = OperatorTableHandler(
            self.tables, PlatformRecordCodec(), observer, StoreState()
        )

    def read(self, rows, version, era, now):
        """Merge a complete table."""
        self.handler.merge_table(self._make_page(rows, version, era), now)

    def change(self, rows, version, era, now):
        """Merge changes."""
        self.handler.merge_changes(self._make_page(rows, version, era), now)

    @staticmethod
    def _make_page(rows, version, era):
        feed_rows = tuple(
            FeedRow(key, None if value is None else msgspec.json.encode(value), row_version)
            for key, value, row_version in rows
        )
        return FeedPage(feed_rows, version, 0.0, era)


@given("a follower of the operators' table with an evacuated domain")
def given_evacuated(context):
    context.subject = OperatorTableSubject()
    context.subject.read([(f"evacuate/{DOMAIN}", {}, 5), ("other", {}, 1)], 5, 1, NOW)


@when("the store is restored without the evacuation")
def when_restored_without(context):
    context.subject.read([("other", {}, 1)], 3, 2, NOW)


@then("the domain is evacuated for {seconds:d} s more")
def then_evacuated_for(context, seconds):
    evacuated = context.subject.tables.evacuated_domains
    context.subject.change([], 4, 2, NOW + seconds - 0.1)
    assert DOMAIN in evacuated
    assert context.subject.handler.limit_wait_s(3.0, NOW + seconds - 0.1) < 0.2
    context.subject.change([], 4, 2, NOW + seconds + 0.1)
    assert DOMAIN not in evacuated


@given("a follower of the operators' table with a withdrawn upgrade order")
def given_withdrawn(context):
    context.subject = OperatorTableSubject()
    context.subject.read([(STATUS_KEY, ORDER, 5)], 5, 1, NOW - 9)
    context.subject.change([(STATUS_KEY, None, 7)], 7, 1, NOW - 4)
    assert not context.subject.tables.orders


@when("the store is restored with the order")
def when_restored_with(context):
    context.subject.read([(STATUS_KEY, ORDER, 5)], 6, 2, NOW)


@then("the gateway follows no order for {seconds:d} s more")
def then_no_order(context, seconds):
    context.subject.change([], 8, 2, NOW + seconds - 0.1)
    assert not context.subject.tables.orders
    context.subject.change([], 8, 2, NOW + seconds + 0.1)
    assert context.subject.tables.orders


@given("a follower of the operators' table with an upgrade order")
def given_ordered(context):
    context.subject = OperatorTableSubject()
    context.subject.read([("other", {}, 1), (STATUS_KEY, ORDER, 5)], 5, 1, NOW)


@when("the same order is written {delay_s:g} s after a restore of the store")
def when_order_written(context, delay_s):
    subject = context.subject
    context.order = subject.tables.orders[ServiceName("llm")]
    subject.read([("other", {}, 1)], 3, 2, NOW)
    subject.change([(STATUS_KEY, ORDER, 4)], 4, 2, NOW + delay_s)


@when(
    "the store is restored to a backup with the order, which is written again {delay_s:g} s later"
)
def when_equal_order_written(context, delay_s):
    subject = context.subject
    context.order = subject.tables.orders[ServiceName("llm")]
    subject.read([("other", {}, 1), (STATUS_KEY, ORDER, 5)], 5, 2, NOW)
    subject.change([(STATUS_KEY, ORDER, 6)], 6, 2, NOW + delay_s)


@then("the second order counts as {count}")
def then_order_counts(context, count):
    order = context.subject.tables.orders[ServiceName("llm")]
    assert (order == context.order) == (count == "the same"), order


@when(
    "a gateway starts with a copy of the tables and then reads a store that has lost the evacuation"
)
def when_copied_before_restore(context):
    async def act(harness):
        backup = harness.store.make_backup()
        harness.store.put("op", f"evacuate/{DOMAIN}", {})
        evacuated = harness.gateway.tables.evacuated_domains
        await harness.wait_for(lambda: DOMAIN in evacuated)
        harness.store.fault = StoreFault.SILENT
        async with PlatformStore(harness.store_address) as feed, trio.open_nursery() as nursery:
            await harness.start_second_gateway(feed, nursery)
            second = harness.second_gateway
            await harness.wait_for(second.is_ready)
            harness.store.restore(backup)
            harness.store.fault = StoreFault.NONE
            await harness.wait_for(lambda: has_read_restored_tables(second, harness.store))
            context.is_known = DOMAIN in second.tables.evacuated_domains
            nursery.cancel_scope.cancel()

    context.harness.run(act)


@then("the second gateway still knows the evacuation")
def then_evacuation_known(context):
    assert context.is_known


@given("a client of a store in era 3")
def given_client(context):
    context.store = StandinStore()
    context.store.era = 3


@when("an answer of the store has {header}")
def when_answer_has(context, header):
    async def read():
        async with trio.open_nursery() as nursery:
            await nursery.start(context.store.serve)
            async with PlatformStore(Address("127.0.0.1", context.store.port)) as client:
                await client.read_table("op")
                context.store.era_text = "" if header == "no era" else header.split()[-1]
                try:
                    context.page = await client.read_table("op")
                except PlatformError as exc:
                    context.page = exc
            nursery.cancel_scope.cancel()

    trio.run(read)


@then("the client has a page of era {era:d}")
def then_era(context, era):
    assert context.page.era == era, context.page


@then("the client rejects the answer")
def then_rejected(context):
    assert isinstance(context.page, PlatformError), context.page


@when("a restore of the store loses the registration of the gateway")
def when_registration_lost(context):
    async def act(harness):
        store, row = harness.store, ("gateways", "gateway-1")
        await harness.wait_for(lambda: store.get_version(*row))
        value = harness.host.encode()
        store.drop(*row)
        backup = store.make_backup()
        store.put(*row, value)
        store.restore(backup)
        restored_at = trio.current_time()
        await harness.wait_for(lambda: store.get_version(*row))
        context.registered_after_s = trio.current_time() - restored_at

    context.harness.run(act)


@then("the registration is written again within {bound_s:d} s")
def then_registered(context, bound_s):
    assert context.registered_after_s <= bound_s, context.registered_after_s
