"""Prints the figures in the design notes on the platform's service, with fixed seeds.

Run as ``python tools/measure_platform.py [deltas|bills|batches|http|durable]...``.
"""

import random
import resource
import sys
import time
import tracemalloc

import trio
import trio.testing

from crocusvalve.base import BootId, CustomerId, MemberId, NodeId, RequestId, Revision, WriteId
from crocusvalve.billing import BillFlusher, BillOutbox, RequestIdMaker
from crocusvalve.billing import _request_id as request_ids
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
from crocusvalve.control import ConfigStore
from crocusvalve.durable import DurableRequest, DurableResult, DurableStore, DurableWorker
from crocusvalve.rpc import BillRecord, Usage
from crocusvalve.standin import MemoryPlatform, serve_platform
from crocusvalve.store import (
    CallGuard,
    GuardSettings,
    HttpPlatform,
    ReliableTables,
    Write,
    WriteBatcher,
)
from crocusvalve.utils import Clock, MonotonicClock

#: Limits that no measurement reaches.
UNLIMITED = GuardSettings(write_rate_per_s=1e9, write_burst=1e9, n_failures_to_open=10**6)


class TrioClock(Clock):
    """Clock of the current trio run, real or virtual."""

    def now(self):
        """Return the time of the run in seconds."""
        return trio.current_time()


def run_virtual(work):
    """Run a coroutine function in virtual time, which skips all waiting, and return its result."""
    return trio.run(work, clock=trio.testing.MockClock(autojump_threshold=0))


def measure_cpu_s(work, n=5):
    """Return the shortest processor time of ``n`` calls, in seconds."""
    times = []
    for _ in range(n):
        started = time.process_time()
        work()
        times.append(time.process_time() - started)
    return min(times)


def make_document(n_upstreams):
    """Build a document with one member; it has a tenth as many customers as upstreams, plus 10."""
    upstreams = {
        f"engine-{i:05d}": UpstreamConfig(
            f"zone-{i % 14}",
            f"10.0.{i // 250}.{i % 250}:7001",
            "http://127.0.0.1:8000",
            serves=("assess@v1",),
        )
        for i in range(n_upstreams)
    }
    customers = {
        f"customer-{i:04d}": CustomerConfig("0" * 64, ("assess",), ("chat",))
        for i in range(n_upstreams // 10 + 10)
    }
    domains = {f"zone-{i}": DomainConfig(f"region-{i % 5}") for i in range(14)}
    models = {"assess": ModelConfig("v1", {"v1": VersionConfig()})}
    member = MemberConfig(domains=domains, models=models, upstreams=upstreams, customers=customers)
    return Document("production", {MemberId("delta"): member})


def change_document(document, i):
    """Return a copy of a document in which the limits of customer ``i`` differ."""
    member = document.members[MemberId("delta")]
    name = list(member.customers)[i % len(member.customers)]
    changed = dict(member.customers)
    changed[name] = CustomerConfig("0" * 64, ("assess",), ("chat",), burst=1000 + i)
    fields = {field: getattr(member, field) for field in member.__struct_fields__}
    return Document(
        document.environment, {MemberId("delta"): MemberConfig(**fields | {"customers": changed})}
    )


def measure_deltas():
    """Print size and processor time of documents and deltas, then the cost of snapshots."""
    print("upstreams  document B  delta B  encode ms  make ms  apply ms  view ms")
    for n in (35, 350, 3500):
        old = make_document(n)
        new = change_document(old, 1)
        delta = make_delta(old, new)
        row = (
            len(encode_document(new)),
            len(delta),
            measure_cpu_s(lambda new=new: encode_document(new)) * 1e3,
            measure_cpu_s(lambda old=old, new=new: make_delta(old, new)) * 1e3,
            measure_cpu_s(lambda old=old, delta=delta: apply_delta(old, delta)) * 1e3,
            measure_cpu_s(lambda new=new: DocumentView(new, Revision(1))) * 1e3,
        )
        sizes = f"{n:9}  {row[0]:10}  {row[1]:7}"
        print(f"{sizes}  {row[2]:9.2f}  {row[3]:7.2f}  {row[4]:8.2f}  {row[5]:7.2f}")
    for every in (16, 64, 256):
        run_virtual(lambda every=every: measure_snapshots(every))


async def measure_snapshots(every):
    """Print the stored bytes per revision and the reads of a cold start for a snapshot interval."""
    platform = MemoryPlatform(clock=TrioClock())
    store = ConfigStore(platform, platform, environment="e", snapshot_every=every)
    document, n_revisions = make_document(350), 300
    for i in range(n_revisions):
        await store.publish(Revision(i), document, "op", 0.0)
        document = change_document(document, i)
    n_bytes = sum(len(data) for data in platform._objects.values())
    n_reads_before = platform.counters.n_gets + platform.counters.n_scans
    n_rows = platform.counters.n_rows_scanned
    await ConfigStore(platform, platform, environment="e", snapshot_every=every).load()
    n_reads = platform.counters.n_gets + platform.counters.n_scans - n_reads_before
    print(
        f"snapshot every {every:3}: {n_bytes / n_revisions:8.0f} B of objects a revision, "
        f"cold start {n_reads} reads, {platform.counters.n_rows_scanned - n_rows} rows, 1 object"
    )


def make_bill(request_id):
    return BillRecord(
        request_id=request_id,
        customer_id=CustomerId("delta/customer-0001"),
        class_name="assessment",
        version="delta/assess@v1",
        upstream_id="delta/engine-00001",
        usage=Usage(300, 340, 100),
        cost=0.0123,
        n_attempts=1,
        at=1e9,
    )


def measure_bills():
    """Print the rows written per bill by page size and flush interval, and the outbox's memory."""
    print("bills a page  flush s  rows written a bill  rows/s of 410 entries at 3,200 requests/s")
    for per_page in (1, 32, 128):
        for interval_s in (2.0, 5.0, 10.0):
            request_ids.BILLS_PER_PAGE = per_page
            ratio = run_virtual(lambda interval_s=interval_s: measure_flushes(interval_s))
            print(f"{per_page:12}  {interval_s:7}  {ratio:19.3f}  {ratio * 3200:10.0f}")
    request_ids.BILLS_PER_PAGE = 128
    tracemalloc.start()
    outbox, ids = BillOutbox(), RequestIdMaker(BootId("b1"))
    before = tracemalloc.get_traced_memory()[0]
    for _ in range(50_000):
        outbox.add(make_bill(ids.make(1e9)))
    n_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(f"outbox of 50,000 bills: {n_bytes / 2**20:.1f} MiB, {n_bytes / 50_000:.0f} B a bill")


async def measure_flushes(interval_s, rate_per_s=3200 / 410, duration_s=300.0):
    """Return the rows written per bill by one entry at a request rate."""
    platform = MemoryPlatform(clock=TrioClock())
    outbox, ids = BillOutbox(), RequestIdMaker(BootId("b1"))
    random_state = random.Random(1)
    flusher = BillFlusher(
        platform,
        outbox,
        node_id=NodeId("n"),
        boot_id=BootId("b1"),
        clock=TrioClock(),
        flush_interval_s=interval_s,
    )
    open_ids, n_bills = [], 0
    with trio.move_on_after(duration_s):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(flusher.run)
            while True:
                open_ids.append(ids.make(0.0))
                if len(open_ids) > 20:
                    outbox.add(make_bill(open_ids.pop(random_state.randrange(len(open_ids)))))
                    n_bills += 1
                await trio.sleep(1 / rate_per_s)
    return platform.counters.n_rows_written / n_bills


def measure_batches():
    """Print transactions and duration of concurrent writes, with and without batching."""
    print("callers  transactions alone  transactions batched  last answer s alone  batched")
    for n in (10, 100, 1000):
        alone = run_virtual(lambda n=n: measure_callers(n, False))
        batched = run_virtual(lambda n=n: measure_callers(n, True))
        print(f"{n:7}  {alone[0]:18}  {batched[0]:20}  {alone[1]:19.3f}  {batched[1]:7.3f}")


async def measure_callers(n, is_batched):
    """Run ``n`` concurrent writers against a store that serves one call at a time in 0.01 s.

    Returns the number of transactions and the time of the last answer in seconds.
    """
    platform = MemoryPlatform(clock=TrioClock())
    limit = trio.CapacityLimiter(1)
    transact = platform.transact

    async def transact_in_turn(writes):
        async with limit:
            await trio.sleep(0.01)
            return await transact(writes)

    platform.transact = transact_in_turn
    settings = GuardSettings(
        write_rate_per_s=1e9, write_burst=1e9, attempt_timeout_s=60, call_timeout_s=60
    )
    guard = CallGuard(settings=settings, random_state=random.Random(1), clock=TrioClock())
    tables = ReliableTables(platform, guard)
    async with trio.open_nursery() as nursery:
        if is_batched:
            tables = WriteBatcher(tables)
            nursery.start_soon(tables.run)
        async with trio.open_nursery() as callers:
            for i in range(n):
                write = Write(
                    table="t", key=str(i), value=b"", write_id=WriteId(str(i)), if_version=0
                )
                callers.start_soon(tables.transact, [write])
        elapsed_s = trio.current_time()
        nursery.cancel_scope.cancel()
    return platform.counters.n_transacts, elapsed_s


def measure_http():
    """Serve a platform over HTTP and print the latency and processor time of calls to it."""

    async def main():
        async with trio.open_nursery() as nursery:
            port = await nursery.start(serve_platform, MemoryPlatform(), "127.0.0.1", 0)
            url = f"http://127.0.0.1:{port}"
            async with HttpPlatform(
                url, settings=UNLIMITED, random_state=random.Random(1)
            ) as client:
                await measure_calls(client)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def measure_calls(client, n=300):
    """Print the latency and processor time of each kind of call, from ``n`` calls in sequence."""
    print("call, client and server in one process: p50 ms, p99 ms, processor ms")

    async def transact(i):
        writes = [
            Write(
                table="t",
                key=f"{i}/{j}",
                value=b"x" * 200,
                write_id=WriteId(f"{i}/{j}"),
                if_version=0,
            )
            for j in range(20)
        ]
        await client.transact(writes)

    calls = {
        "get": lambda i: client.get("t", "0/0"),
        "transact of 20 rows": transact,
        "scan of 200 rows": lambda i: client.scan("t", limit=200),
    }
    for name, call in calls.items():
        times, cpu_started = [], time.process_time()
        for i in range(n):
            started = time.perf_counter()
            await call(i)
            times.append((time.perf_counter() - started) * 1e3)
        cpu_ms = (time.process_time() - cpu_started) * 1e3 / n
        times.sort()
        print(f"{name:20}  {times[n // 2]:6.2f}  {times[n * 99 // 100]:6.2f}  {cpu_ms:6.2f}")


def measure_durable():
    """Print the transactions and rows per durable request by the duration of its work."""
    print("work s  transactions a request  rows a request  (ttl 30 s, 100 requests at once)")
    for work_s in (1.0, 30.0, 120.0):
        n_transacts, n_rows = run_virtual(lambda work_s=work_s: measure_requests(work_s))
        print(f"{work_s:6}  {n_transacts:22.2f}  {n_rows:14.2f}")


async def measure_requests(work_s, n=100):
    """Return the transactions and rows written per request, for ``n`` concurrent requests."""
    platform = MemoryPlatform(clock=TrioClock())

    async def execute(record):
        await trio.sleep(work_s)
        return DurableResult(status=200, body=b"x" * 1000)

    worker = DurableWorker(
        DurableStore(platform, platform),
        execute,
        node_id=NodeId("n"),
        boot_id=BootId("1"),
        clock=TrioClock(),
        random_state=random.Random(1),
        max_running=n,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(worker.run)
        for i in range(n):
            req = DurableRequest(
                request_id=RequestId(f"r{i:04d}"),
                customer_id=CustomerId("m/c"),
                class_name="assessment",
                deadline=1e6,
                body=b"x" * 1000,
                digest="d",
            )
            await worker.accept(req)
        while worker.counters.n_finished < n:
            await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    return platform.counters.n_transacts / n, platform.counters.n_rows_written / n


MEASUREMENTS = {
    "deltas": measure_deltas,
    "bills": measure_bills,
    "batches": measure_batches,
    "http": measure_http,
    "durable": measure_durable,
}


def main(argv):
    """Run the named measurements, or all, and print the peak memory of the process."""
    for name in argv or MEASUREMENTS:
        started = MonotonicClock().now()
        print(f"== {name}")
        MEASUREMENTS[name]()
        print(f"-- {MonotonicClock().now() - started:.1f} s")
    print(f"peak memory {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MiB")


if __name__ == "__main__":
    main(sys.argv[1:])
