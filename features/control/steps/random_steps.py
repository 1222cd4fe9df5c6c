"""Steps about randomised runs: concurrent actions of several nodes under faults of the store."""

from collections import Counter

import trio
from behave import then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from crocusvalve.base import BootId, CustomerId, MemberId, NodeId, RequestId, Revision
from crocusvalve.billing import BillFlusher, BillOutbox, UsageReport, format_day
from crocusvalve.config import Document, DomainConfig, MemberConfig
from crocusvalve.control import ConfigCache, ConfigFollower, ConfigStore, LeaseManager
from crocusvalve.exceptions import ConfigConflictError, PlatformError
from crocusvalve.rpc import BillRecord, Usage
from crocusvalve.standin import MemoryPlatform, PlatformFaults
from features.support.virtual_platform import (
    FAULTS,
    TrioClock,
    make_client,
    make_faults,
    run_virtual,
)

N_NODES = 3
N_RUNS = 200
SNAPSHOT_EVERY = 4
TTL_S = 10.0
#: Methods of ClusterHarness that run as actions.
ACTIONS = (
    "publish",
    "poll",
    "push",
    "acquire",
    "stand_by",
    "release",
    "bill",
    "flush",
    "restart",
    "wait",
)
#: Actions to sample from; those listed again are sampled more often.
SAMPLED_ACTIONS = ACTIONS + ("publish", "publish", "poll", "acquire", "stand_by")


class Node:
    """One run of a process, with its store, configuration cache, lease and bill outbox."""

    def __init__(self, harness, name, boot):
        self.harness = harness
        tables, objects = make_client(harness.platform, f"{name}/{boot}")
        self.store = ConfigStore(
            tables, objects, environment="trial", snapshot_every=SNAPSHOT_EVERY
        )
        self.config_cache = ConfigCache(max_documents=3)
        clock = TrioClock()
        self.follower = ConfigFollower(
            self.store, self.config_cache, clock=clock, list_peers=lambda: harness.list_peers(self)
        )
        ids = {"boot_id": BootId(str(boot))}
        self.lease = LeaseManager(tables, "l", NodeId(name), ttl_s=TTL_S, **ids)
        self.outbox = BillOutbox()
        self.flusher = BillFlusher(tables, self.outbox, node_id=NodeId(name), clock=clock, **ids)
        self.revision_seen = Revision(0)

    async def pull_config(self, req):
        return self.config_cache.make_push(req.revision)

    def get_bills(self):
        return self.outbox.peek_batch(10**6)


class ClusterHarness:
    """Nodes on one platform, the writes that were confirmed to them, and checks of both.

    An action is a method that takes the index of the node that performs it.
    """

    def __init__(self, covered):
        #: Counts of the faults and actions that took place.
        self.covered = covered
        self.platform = MemoryPlatform(clock=TrioClock())
        #: Number of restarts of each node.
        self.boots = [0] * N_NODES
        self.nodes = [Node(self, str(i), 0) for i in range(N_NODES)]
        self.n_published = 0
        #: Published documents by revision.
        self.documents = {}
        #: Holder of the lease by its number.
        self.holders = {}
        #: Bills by the id of their request.
        self.bills = {}

    def list_peers(self, node):
        return [peer for peer in self.nodes if peer is not node]

    async def run(self, groups):
        """Run groups of concurrent actions, each under one fault of the store."""
        for fault, actions in groups:
            self.platform.faults = make_faults(fault)
            self.covered.update([fault, *(action for action, _ in actions)])
            async with trio.open_nursery() as nursery:
                for action, i in actions:
                    nursery.start_soon(self.perform, action, i)
            self.check_invariants()
        await self.check_end()

    async def perform(self, action, i):
        """Perform an action on a node; a failure of the store or a conflict ends it."""
        try:
            await getattr(self, action)(i)
        except (PlatformError, ConfigConflictError):
            self.covered["refused"] += 1
        self.check_invariants()

    async def publish(self, i):
        node = self.nodes[i]
        self.n_published += 1
        member = MemberConfig(domains={f"d{self.n_published}": DomainConfig("r")})
        document = Document("trial", {MemberId("m"): member})
        base = node.config_cache.revision
        revision = await node.store.publish(base, document, str(i), trio.current_time())
        assert revision == base + 1 and revision not in self.documents
        self.documents[revision] = document
        node.config_cache.apply_document(document, revision)

    async def poll(self, i):
        await self.nodes[i].follower.poll_once()

    async def push(self, i):
        peer = self.nodes[(i + 1) % N_NODES]
        push = self.nodes[i].config_cache.make_push(peer.config_cache.revision)
        if push.revision:
            peer.config_cache.apply_push(push)

    async def acquire(self, i):
        await self.nodes[i].lease.acquire(trio.current_time())

    async def stand_by(self, i):
        """Poll the lease for longer than its lifetime, so that a lapsed one is acquired."""
        for _ in range(8):
            await self.nodes[i].lease.acquire(trio.current_time())
            self.check_invariants()
            await trio.sleep(TTL_S / 5)

    async def release(self, i):
        await self.nodes[i].lease.release()

    async def bill(self, i):
        """Add a new bill to the outboxes of two nodes, as for a bill that is handed over twice."""
        n = len(self.bills)
        bill = BillRecord(
            request_id=RequestId(f"19700101-b{i}-{n:08x}"),
            customer_id=CustomerId("m/c"),
            class_name="x",
            version="m/a@1",
            upstream_id="m/u",
            usage=Usage(n, 1, 0),
            cost=1.0,
            n_attempts=1,
            at=0.0,
        )
        self.bills[bill.request_id] = bill
        self.nodes[i].outbox.add(bill)
        self.nodes[(i + 1) % N_NODES].outbox.add(bill)

    async def flush(self, i):
        await self.nodes[i].flusher.flush_once(trio.current_time())

    async def restart(self, i):
        bills = self.nodes[i].get_bills()
        self.boots[i] += 1
        self.nodes[i] = Node(self, str(i), self.boots[i])
        for bill in bills:
            self.nodes[i].outbox.add(bill)

    async def wait(self, i):
        await trio.sleep(2.0 * (i + 1))

    def check_invariants(self):
        """Check that one node at most holds the lease and that nothing reverts.

        Revisions and lease numbers only rise, and each revision has one document.
        """
        now = trio.current_time()
        held = [node.lease for node in self.nodes if node.lease.is_held(now)]
        assert len(held) <= 1, "two nodes hold the lease"
        for lease in held:
            assert self.holders.setdefault(lease.number, lease.holder) == lease.holder
            assert lease.number == max(self.holders), "the lease's number decreased"
        for node in self.nodes:
            assert node.config_cache.revision >= node.revision_seen, "a node's revision decreased"
            node.revision_seen = node.config_cache.revision
            document = self.documents.get(node.config_cache.revision, node.config_cache.document)
            assert (
                node.config_cache.document == document
            ), "two different documents under one revision"
            assert not node.config_cache.counters.n_diverged
            assert not node.config_cache.counters.n_head_regressed

    async def check_end(self):
        """Check, once the faults are over, that every confirmed write is in force or stored."""
        self.platform.faults = PlatformFaults()
        await trio.sleep(60.0)
        head = await self.nodes[0].store.read_head()
        assert head >= max(self.documents, default=0), "a published revision was lost"
        for revision, document in self.documents.items():
            assert (await self.nodes[0].store.load(revision))[0] == document
        for node in self.nodes:
            await node.follower.poll_once()
            assert (
                node.config_cache.revision == head
            ), "the newest revision is not in force at every node"
            assert await node.flusher.flush_safely()
        await self.check_ledger()

    async def check_ledger(self):
        """Check that each bill is in the ledger once and that the day's totals agree with it."""
        report = UsageReport(self.platform)
        ledger = [bill async for bill in report.list_bills("")]
        assert len(ledger) == len(self.bills), "a bill was lost or recorded twice"
        assert {bill.request_id: bill for bill in ledger} == self.bills
        totals = await report.read_totals(format_day(trio.current_time()))
        assert totals == await report.sum_ledger()


actions = st.tuples(st.sampled_from(SAMPLED_ACTIONS), st.integers(0, N_NODES - 1))
groups = st.tuples(st.sampled_from(sorted(FAULTS)), st.lists(actions, min_size=1, max_size=6))


@when("3 nodes perform random actions concurrently while the store fails at random")
def when_random_actions(context):
    context.covered = covered = Counter()

    @settings(
        derandomize=True,
        database=None,
        max_examples=N_RUNS,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @for_all(st.lists(groups, min_size=10, max_size=40), st.integers(0, 2**16))
    def check(script, seed):
        async def main():
            await ClusterHarness(covered).run(script)

        run_virtual(main, seed)
        covered["runs"] += 1

    check()


@then("no run violated an invariant")
def then_no_violation(context):
    assert context.covered["runs"] >= N_RUNS, context.covered


@then("the runs covered every action and every fault")
def then_covered(context):
    missing = (set(ACTIONS) | set(FAULTS) | {"refused"}) - set(context.covered)
    assert not missing, missing
