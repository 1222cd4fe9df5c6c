"""Experiment ``slopes``: growth of memory and processor time with size, in one process."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable

from msgspec import structs

from crocusvalve.base import (
    BootId,
    ClassKind,
    CustomerId,
    MemberId,
    NodeId,
    Priority,
    RequestId,
    Revision,
    UpstreamId,
    UpstreamState,
    VersionRef,
    VersionState,
)
from crocusvalve.bench._report import BenchTable, Progress
from crocusvalve.config import (
    CustomerConfig,
    Document,
    DocumentView,
    DomainConfig,
    MemberConfig,
    ModelConfig,
    UpstreamConfig,
    VersionConfig,
    apply_delta,
    encode_document,
    make_delta,
)
from crocusvalve.limits import FairQueue
from crocusvalve.membership import MembershipSystem, merge_load_report
from crocusvalve.model import EntryTables, RequestRow, RolloutRow
from crocusvalve.rollout import RolloutCounts, aggregate, choose_version
from crocusvalve.routing import (
    list_candidates,
    make_router,
    record_attempt_end,
    record_attempt_start,
)
from crocusvalve.rpc import BillRecord, LoadReport, Usage, decode, encode

__all__ = ["run_slopes"]

#: Numbers of upstreams, requests or entries at which to measure.
SIZES = (100, 400, 1600, 3500)
N_DOMAINS = 14
N_MODELS = 8
#: Number of calls in a mean of processor time.
N_REPEATS = 200
MEMBER = MemberId("delta")
CUSTOMER = CustomerId("delta/c0")
REGION = "r0"
VERSION = VersionRef("delta/m0@v1")


def make_sized_document(n_upstreams: int, n_customers: int) -> Document:
    """Build a configuration document with this number of upstreams and of customers."""
    upstreams = {
        f"u{index}": UpstreamConfig(
            domain=f"d{index % N_DOMAINS}",
            agent=f"10.{index >> 16}.{(index >> 8) & 255}.{index & 255}:7000",
            url=f"http://10.{index >> 16}.{(index >> 8) & 255}.{index & 255}:8000",
            serves=(f"m{index % N_MODELS}@v1",),
        )
        for index in range(n_upstreams)
    }
    versions = {"v1": VersionConfig(0.1, 0.3, 0.9), "v2": VersionConfig(0.1, 0.3, 0.9)}
    models = {f"m{index}": ModelConfig("v1", versions) for index in range(N_MODELS)}
    customers = {
        f"c{index}": CustomerConfig(f"{index:064x}", tuple(models), ("chat",), 0.8)
        for index in range(n_customers)
    }
    section = MemberConfig(
        domains={f"d{index}": DomainConfig(f"r{index % 5}") for index in range(N_DOMAINS)},
        models=models,
        upstreams=upstreams,
        customers=customers,
    )
    return Document("bench", {MEMBER: section})


def withdraw_version(document: Document) -> Document:
    """Return a copy of a document in which one version is withdrawn."""
    section = document.members[MEMBER]
    model = section.models["m1"]
    version = structs.replace(model.versions["v2"], state=VersionState.WITHDRAWN)
    model = structs.replace(model, versions=model.versions | {"v2": version})
    section = structs.replace(section, models=section.models | {"m1": model})
    return structs.replace(document, members={MEMBER: section})


def measure_cpu_us(call: Callable[[], object], n: int = N_REPEATS) -> float:
    """Return the processor time of a call in microseconds.

    It is the smallest of three means, each over ``n`` calls.
    """
    means = []
    for _ in range(3):
        start = time.process_time()
        for _ in range(n):
            call()
        means.append((time.process_time() - start) / n * 1e6)
    return min(means)


def measure_bytes(build: Callable[[], object]) -> int:
    """Return the bytes of memory that the result of a call occupies."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return after - before


def make_request(index: int) -> RequestRow:
    """Make the row of a request with an empty body."""
    return RequestRow(
        request_id=RequestId(f"r{index}"),
        customer_id=CUSTOMER,
        member=MEMBER,
        class_name="chat",
        kind=ClassKind.ANSWER,
        priority=Priority.NORMAL,
        arrived_at=0.0,
        deadline=1e9,
        body=b"",
        digest=f"d{index}",
        version=VERSION,
    )


def make_load_report(index: int, reported_at: float) -> LoadReport:
    """Make a load report of an upstream, made at a time in seconds."""
    return LoadReport(
        upstream_id=UpstreamId(f"{MEMBER}/u{index}"),
        boot_id=BootId("boot"),
        state=UpstreamState.WARM,
        in_flight=4,
        limit=16,
        queued=0,
        ewma_service_s=2.0,
        revision=Revision(1),
        at=reported_at,
    )


def measure_upstreams(n: int, add: Callable[[str, int, str, float], None]) -> None:
    """Measure documents, placement, load reports and heartbeats with ``n`` upstreams.

    ``add`` records a result: name of the quantity, size, unit and value.
    """
    document = make_sized_document(n, 100)
    tables = EntryTables(DocumentView(document, Revision(1)))
    MembershipSystem(NodeId("e0"), region=REGION).run(tables, 0.0)
    add("document", n, "bytes", len(encode_document(document)))
    add("view and rows", n, "bytes", measure_bytes(lambda: _make_tables(document)))
    newer = withdraw_version(document)
    delta = make_delta(document, newer)
    add("delta of one change", n, "bytes", len(delta))
    add("delta of one change", n, "us", measure_cpu_us(lambda: make_delta(document, newer), 3))
    add("apply delta", n, "us", measure_cpu_us(lambda: apply_delta(document, delta), 3))
    add("index a revision", n, "us", measure_cpu_us(lambda: DocumentView(newer, Revision(2)), 3))
    view = DocumentView(newer, Revision(2))
    add("put a view in force", n, "us", measure_cpu_us(lambda: tables.apply_view(view), 3))
    _measure_placement(tables, n, add)


def _make_tables(document: Document) -> EntryTables:
    tables = EntryTables(DocumentView(document, Revision(1)))
    MembershipSystem(NodeId("e0"), region=REGION).run(tables, 0.0)
    return tables


def _measure_placement(
    tables: EntryTables, n: int, add: Callable[[str, int, str, float], None]
) -> None:
    req = make_request(0)
    router = make_router("expected_wait", random_state=random.Random(1))
    for row in tables.upstreams.values():
        row.state, row.reported_limit = UpstreamState.WARM, 16

    def place() -> None:
        candidates = list_candidates(tables, req, VERSION, 1.0)
        row = router.choose(req, candidates, 1.0)
        record_attempt_start(row, 1.0)
        record_attempt_end(row, 1.0)

    n_subset = sum(row.in_subset for row in tables.upstreams.values())
    add("upstreams in the subset", n, "rows", n_subset)
    add("candidates in the subset", n, "rows", len(list_candidates(tables, req, VERSION, 1.0)))
    add("place a request", n, "us", measure_cpu_us(place))
    report = encode(make_load_report(0, 1.0))
    add("load report", n, "bytes", len(report))

    def merge() -> None:
        merge_load_report(tables, decode(report, LoadReport), 2.0)

    add("take a load report", n, "us", measure_cpu_us(merge))
    system = MembershipSystem(NodeId("e0"), region=REGION)
    system.run(tables, 0.0)
    clock = iter(range(1, 10**9))
    add(
        "heartbeat pass", n, "us", measure_cpu_us(lambda: system.run(tables, float(next(clock))), 5)
    )


def measure_requests(n: int, add: Callable[[str, int, str, float], None]) -> None:
    """Measure request rows, queueing and bills with ``n`` requests; see ``measure_upstreams``."""
    add("request rows", n, "bytes", measure_bytes(lambda: [make_request(i) for i in range(n)]))
    queue = FairQueue(max_per_member=10**6)
    for index in range(n):
        queue.push(make_request(index), max_queue=10**6)
    extra = iter(range(n, 10**9))

    def push_and_pop() -> None:
        queue.push(make_request(next(extra)), max_queue=10**6)
        queue.pop_ready(lambda req: True, 1.0)

    add("queue a request", n, "us", measure_cpu_us(push_and_pop))
    bill = BillRecord(
        request_id=RequestId("r" * 32),
        customer_id=CUSTOMER,
        class_name="chat",
        version=VERSION,
        upstream_id=UpstreamId(f"{MEMBER}/u0"),
        usage=Usage(300, 200, 100),
        cost=0.1,
        n_attempts=1,
        at=1.0,
    )
    add("bill", n, "bytes", len(encode(bill)))
    add("encode bills", n, "us", measure_cpu_us(lambda: [encode(bill) for _ in range(n)], 3))


def measure_rollout(n: int, add: Callable[[str, int, str, float], None]) -> None:
    """Measure a roll-out with the counts of ``n`` entries; see ``measure_upstreams``."""
    tables = EntryTables(DocumentView(make_sized_document(10, 1), Revision(1)))
    row = RolloutRow(
        rollout_id="delta/r",
        model="delta/m0",
        version="delta/m0@v2",
        baseline=VERSION,
        stages=(0.1,),
    )
    tables.rollouts[row.model] = row
    counts = [
        RolloutCounts(rollout_id="delta/r", node_id=NodeId(f"e{i}"), boot_id=BootId("b"), n_good=9)
        for i in range(n)
    ]
    add("counts of one entry", n, "bytes", len(encode(counts[0])))
    add("aggregate counts", n, "us", measure_cpu_us(lambda: aggregate(row, counts), 5))
    keys = iter(range(10**9))

    def choose() -> None:
        choose_version(tables, CUSTOMER, row.model, f"s{next(keys)}")

    add("choose a version", n, "us", measure_cpu_us(choose))


def run_slopes(seed: int, sizes: tuple[str, ...]) -> list[BenchTable]:
    """Measure bytes and processor time at each of ``SIZES``; the deployments are ignored."""
    table = BenchTable(
        name="slopes",
        seed=seed,
        columns=("what", "size", "unit", "value", "per item"),
        plot_x="size",
        plot_y="value",
        plot_group=("what", "unit"),
    )

    def add(quantity: str, size: int, unit: str, value: float) -> None:
        table.rows.append((quantity, size, unit, float(value), value / size))

    measurements = (measure_upstreams, measure_requests, measure_rollout)
    progress = Progress(len(SIZES) * len(measurements))
    for measure in measurements:
        for size in SIZES:
            measure(size, add)
            progress.advance(f"slopes {measure.__name__} {size}")
    table.rows.sort(key=lambda row: row[0])
    return [table]
