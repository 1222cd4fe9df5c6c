"""Steps for the controller's loads and unloads, with fakes in virtual time."""

import trio
from behave import given, then, when

from crocusvalve.agent._order_forwarder import OrderForwarder
from crocusvalve.base import BootId, Revision, UpstreamId, UpstreamState, VersionRef
from crocusvalve.config import DocumentView
from crocusvalve.entry._loads import LoadTask
from crocusvalve.exceptions import PlatformError
from crocusvalve.membership import merge_load_report
from crocusvalve.model import EntryTables, filter_loaded_versions
from crocusvalve.rpc import LoadReport, UpstreamOrderReply
from crocusvalve.rpc._client import RpcError
from crocusvalve.store import WeightReservation
from features.core_builders import make_document
from features.support.virtual_platform import TrioClock, run_virtual

ENGINE = UpstreamId("d/u0")
REFUSAL_S = 30.0


def make_version(name):
    return VersionRef(f"d/m@{name}")


class LoadSubject:
    """Runs the load task with this object as the fake lease, weight store, agent and engine.

    ``state`` is the fault or condition that a scenario injects; "wrong" injects none.
    """

    def __init__(self, versions):
        self.versions = versions
        self.tables = EntryTables(self.make_view(1))
        self.state = "wrong"
        self.number = 7
        self.orders, self.n_reserve_calls = [], 0
        self.loaded = [make_version("v1")]
        self.is_lost = False
        self.order_forwarder = None

    def make_view(self, revision, withdrawn=()):
        document = make_document(1, versions=self.versions, withdrawn=withdrawn)
        return DocumentView(document, Revision(revision))

    def set_state(self, state):
        self.state = state
        self.is_lost = state in ("lost", "lost when a version is withdrawn")
        if state.endswith("withdrawn"):
            self.loaded.append(make_version("v2"))
            self.tables.apply_view(self.make_view(2, withdrawn=("v1",)))

    def report(self):
        row = self.tables.upstreams[ENGINE]
        loaded = None if self.state == "not reporting its versions" else tuple(self.loaded)
        is_down = self.state == "down"
        row.in_subset = self.state != "outside the subset"
        report = LoadReport(
            upstream_id=ENGINE,
            boot_id=BootId("b"),
            state=UpstreamState.DOWN if is_down else UpstreamState.WARM,
            in_flight=0,
            limit=1,
            queued=0,
            ewma_service_s=0.0,
            revision=self.tables.view.revision,
            at=trio.current_time(),
            serves=filter_loaded_versions(self.tables.view.upstreams[ENGINE].serves, loaded),
            loaded=loaded,
        )
        merge_load_report(self.tables, report, trio.current_time())

    def is_held(self, now):
        return not self.is_lost

    async def reserve(self, version):
        self.n_reserve_calls += 1
        if self.state == "lost during the reservation":
            self.is_lost = True
        if self.state == "failing":
            raise PlatformError("down")
        if self.state == "hanging":
            await trio.sleep_forever()
        if self.state == "refusing for 30 s" and trio.current_time() < REFUSAL_S:
            return WeightReservation(False, REFUSAL_S - trio.current_time())
        return WeightReservation(True)

    def get(self, address):
        return self

    async def order_upstream(self, order):
        if self.order_forwarder is not None:
            return await self.order_forwarder.forward_order(order)
        return await self.order(order)

    async def order(self, order, *, on_send=lambda: None):
        on_send()
        self.orders.append(f"{order.action.value} {order.version.partition('@')[2]}")
        is_silent = self.state == "silent at first" and len(self.orders) == 1
        if is_silent or self.state == "silent":
            raise RpcError("cut", step="order_upstream", peer="a")
        if self.state == "hanging at first" and len(self.orders) == 1:
            await trio.sleep_forever()
        if self.state == "out of memory":
            return UpstreamOrderReply(False, order.number, code="UPSTREAM_FAILED")
        if self.state not in (
            "ignoring accepted orders",
            "not unloading a version that is withdrawn",
        ):
            change = self.loaded.append if order.action.value == "load" else self.loaded.remove
            change(order.version)
        return UpstreamOrderReply(True, order.number)

    def run(self, seconds):
        async def main():
            task = LoadTask(tables=self.tables, pool=self, weights=self, clock=TrioClock())
            while trio.current_time() < seconds:
                self.report()
                await task.run_once(self, trio.current_time())
                await trio.sleep(1.0)

        run_virtual(main)


@given('an engine that has loaded "v1" and is configured to serve "{versions}"')
def given_engine(context, versions):
    context.subject = LoadSubject(tuple(versions.split()))


@given("that the engine's agent has seen the number {number:d}")
def given_fenced(context, number):
    async def read_lease_number():
        return number

    context.subject.order_forwarder = OrderForwarder(context.subject, read_lease_number)


@given("that {component} is {state}")
def given_state(context, component, state):
    context.subject.set_state(state)


@when("the controller with number 7 runs its loads for {seconds:d} s")
@when("the controller runs its loads for {seconds:d} s")
def when_runs(context, seconds):
    context.subject.run(seconds)


@then("the agent received {orders} and {requested:d} loads were requested from the weight store")
def then_received(context, orders, requested):
    text, _, times = orders.partition("x")
    expected = [] if orders == "none" else [text] * int(times or 1)
    actual = (context.subject.orders, context.subject.n_reserve_calls)
    assert actual == (expected, requested), actual


@then("the engine received no order")
def then_no_order(context):
    assert context.subject.n_reserve_calls and not context.subject.orders


@when('the agent reports that "{loaded}" is loaded and then the revision changes')
def when_reported(context, loaded):
    subject = context.subject
    subject.loaded = [make_version(name) for name in loaded.split() if name != "nothing"]
    subject.state = "not reporting its versions" if loaded == "unknown" else "wrong"

    async def main():
        subject.report()
        context.serves = [subject.tables.upstreams[ENGINE].serves]
        subject.tables.apply_view(subject.make_view(2))
        context.serves.append(subject.tables.upstreams[ENGINE].serves)

    run_virtual(main)


@then('the entry\'s upstream row serves "{serves}"')
@then('the entry\'s upstream row serves ""')
def then_serves(context, serves=""):
    expected = tuple(make_version(name) for name in serves.split())
    assert context.serves == [expected, expected], context.serves
