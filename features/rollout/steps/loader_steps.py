"""Steps about orders to engines to load and unload versions."""

from behave import given, then, when

from crocusvalve.base import DomainId, MemberId, Revision, UpstreamId, VersionRef, VersionState
from crocusvalve.config import (
    Document,
    DocumentView,
    DomainConfig,
    MemberConfig,
    ModelConfig,
    UpstreamConfig,
    VersionConfig,
)
from crocusvalve.engines import EngineRow, LoaderTables, ModelLoader, OrderLoad

#: Time that an engine takes to load a version.
LOAD_S = 1.0


def make_view(n_engines, n_domains, n_versions, withdrawn=()):
    names = [f"v{index + 1}" for index in range(n_versions)]
    versions = {
        name: VersionConfig(
            state=VersionState.WITHDRAWN if name in withdrawn else VersionState.ACTIVE
        )
        for name in names
    }
    section = MemberConfig(
        domains={f"d{index}": DomainConfig("south") for index in range(n_domains)},
        models={"assess": ModelConfig("v1", versions)},
        upstreams={
            f"e{index}": UpstreamConfig(
                f"d{index * n_domains // n_engines}",
                "a:1",
                "u",
                serves=tuple(f"assess@{n}" for n in names),
            )
            for index in range(n_engines)
        },
    )
    return DocumentView(Document("trial", {MemberId("delta"): section}), Revision(1))


class LoaderSubject:
    """Engines that carry out load orders after ``LOAD_S``, and unload orders at once."""

    def __init__(self, n_engines, n_domains, n_versions, n_memory):
        # Arguments of make_view.
        self.shape = (n_engines, n_domains, n_versions)
        self.tables = LoaderTables(make_view(*self.shape))
        for upstream_id, view in self.tables.view.upstreams.items():
            self.tables.engines[upstream_id] = EngineRow(
                upstream_id=upstream_id, domain=DomainId(view.domain), memory_gb=10.0 * n_memory
            )
        self.now = 100.0
        self.orders = []

    def run(self, seconds, rate):
        loader = ModelLoader(number=7, loads_per_s=rate)
        pending_loads = []
        end = self.now + seconds
        while self.now < end:
            for loaded_at, upstream_id, version in list(pending_loads):
                if loaded_at <= self.now:
                    pending_loads.remove((loaded_at, upstream_id, version))
                    loaded = self.tables.engines[upstream_id].loaded | {version}
                    self.tables.update_loaded(upstream_id, loaded)
            for command in loader.run(self.tables, self.now):
                row = self.tables.engines[command.upstream_id]
                assert command.number == 7
                if isinstance(command, OrderLoad):
                    self.orders.append((self.now, command))
                    pending_loads.append((self.now + LOAD_S, command.upstream_id, command.version))
                    assert self.tables.get_free_gb(row) >= 0.0
                else:
                    self.tables.update_loaded(row.upstream_id, row.loaded - {command.version})
            self.now += 1.0


@given(
    "{n_engines:d} engines in {n_domains:d} domains that are configured to serve "
    "{n_versions:d} versions, each with memory for {n_memory:d}"
)
def given_engines(context, n_engines, n_domains, n_versions, n_memory):
    context.subject = LoaderSubject(n_engines, n_domains, n_versions, n_memory)


@when("the loader runs for {seconds:g} s at {rate:g} loads per second")
def when_runs(context, seconds, rate):
    context.subject.run(seconds, rate)


@then("every engine holds both versions")
def then_holds_both(context):
    for row in context.subject.tables.engines.values():
        assert row.loaded == {"delta/assess@v1", "delta/assess@v2"}, row


@then("orders never exceeded a burst of {burst:d} loads plus {rate:g} per second")
def then_rate_respected(context, burst, rate):
    times = [at for at, _ in context.subject.orders]
    assert len(times) == 12
    for first in range(len(times)):
        for last in range(first, len(times)):
            n = last - first + 1
            assert n <= burst + rate * (times[last] - times[first]) + 1e-6


@then("the first copies of each version are in {n:d} domains")
def then_copies_in_domains(context, n):
    engines = context.subject.tables.engines
    for version in ("delta/assess@v1", "delta/assess@v2"):
        ids = [order.upstream_id for _, order in context.subject.orders if order.version == version]
        assert len({engines[upstream_id].domain for upstream_id in ids[:n]}) == n, ids


@then("every engine holds one version")
def then_holds_one(context):
    for row in context.subject.tables.engines.values():
        assert len(row.loaded) == 1, row


@when('version "{name}" is withdrawn by a revision')
def when_withdrawn(context, name):
    subject = context.subject
    subject.tables.view = make_view(*subject.shape, withdrawn=(name,))


@then('no engine holds "{name}"')
def then_not_held(context, name):
    version = VersionRef(f"delta/assess@{name}")
    for row in context.subject.tables.engines.values():
        assert version not in row.loaded and version not in row.loading
        assert row.loaded == {"delta/assess@v1"}


@when("the loader orders a load and the order is lost")
def when_order_lost(context):
    assert len(ModelLoader(number=1).run(context.subject.tables, 100.0)) == 1


@then("the order is issued again only after {seconds:g} s")
def then_issued_again(context, seconds):
    loader = ModelLoader(number=1, timeout_s=seconds)
    assert loader.run(context.subject.tables, 100.0 + seconds - 1.0) == []
    assert len(loader.run(context.subject.tables, 100.0 + seconds)) == 1


@when("the weight store asks to wait for {seconds:g} s")
def when_store_asks_to_wait(context, seconds):
    context.subject.tables.defer_loads(100.0 + seconds)
    context.wait_s = seconds


@then("no load is ordered before that time")
def then_no_load_before(context):
    loader = ModelLoader(number=1)
    assert loader.run(context.subject.tables, 100.0 + context.wait_s - 0.1) == []
    upstream_id = UpstreamId("delta/e0")
    (order,) = loader.run(context.subject.tables, 100.0 + context.wait_s)
    assert order.upstream_id == upstream_id
