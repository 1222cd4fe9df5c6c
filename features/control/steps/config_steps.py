"""Steps about the configuration: deltas, store, cache and follower."""

import msgspec
import trio
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from crocusvalve.base import ClassKind, DomainState, MemberId, Revision
from crocusvalve.config import (
    ClassConfig,
    CustomerConfig,
    Document,
    DomainConfig,
    MemberConfig,
    PolicyConfig,
    apply_delta,
    encode_document,
    make_delta,
)
from crocusvalve.control import ConfigCache, ConfigFollower, ConfigStore, promote_document
from crocusvalve.exceptions import (
    ConfigConflictError,
    ConfigError,
    InvariantError,
    PlatformError,
)
from crocusvalve.rpc import ConfigAck, ConfigPush, RpcError
from crocusvalve.standin import MemoryPlatform, PlatformFaults
from features.support.virtual_platform import (
    TrioClock,
    make_client,
    make_faults,
    run_schedules,
    run_virtual,
)


def make_document(n, environment="trial"):
    """Return a document that is different for each ``n``."""
    domains = {f"d{i}": DomainConfig("r") for i in range(5)}
    domains[f"d{n % 5}"] = DomainConfig("r", DomainState.OUT)
    customers = {f"c{n}": CustomerConfig("k", ("a",), ("x",), burst=n + 1)}
    member = MemberConfig(domains=domains, customers=customers)
    return Document(environment, {MemberId("m"): member})


def make_store(platform, seed="s", snapshot_every=64, environment="trial"):
    """Return a configuration store with its own client of the platform."""
    tables, objects = make_client(platform, seed)
    return ConfigStore(tables, objects, environment=environment, snapshot_every=snapshot_every)


async def publish_up_to(store, revision, start=0):
    for n in range(start, revision):
        await store.publish(Revision(n), make_document(n + 1), "op", float(n))


class ConfigSubject:
    """An environment whose configuration is stored on an in-memory platform."""

    def __init__(self, revision, snapshot_every=64):
        self.revision = revision
        self.snapshot_every = snapshot_every
        self.faults = PlatformFaults()
        self.publish = None

    async def make_platform(self):
        platform = MemoryPlatform(clock=TrioClock())
        await publish_up_to(make_store(platform, "set-up", self.snapshot_every), self.revision)
        platform.faults = msgspec.structs.replace(self.faults)
        return platform

    async def publish_as(self, platform, name, n, base):
        store = make_store(platform, name)
        try:
            revision = await store.publish(base, make_document(n), name, trio.current_time())
            return f"revision {revision}"
        except ConfigConflictError as exc:
            return f"conflict {exc.revision}"
        except PlatformError as exc:
            return "maybe applied" if exc.maybe_applied else "not applied"

    async def load(self, platform):
        platform.faults = PlatformFaults()
        return await make_store(platform, "reader").load()


names = st.sampled_from(["a", "b", "c"])
members = st.builds(
    MemberConfig,
    domains=st.dictionaries(names, st.builds(DomainConfig, names, st.sampled_from(DomainState))),
    customers=st.dictionaries(
        names, st.builds(CustomerConfig, names, st.just(("a",)), st.just(("x",)))
    ),
    classes=st.dictionaries(names, st.builds(ClassConfig, st.sampled_from(ClassKind))),
    policy=st.builds(PolicyConfig, names),
)
documents = st.builds(Document, names, st.dictionaries(names, members))


@then("a delta between any two documents restores the second from the first")
def then_delta(context):
    @settings(derandomize=True, database=None, max_examples=200, deadline=None)
    @for_all(documents, documents)
    def check(old, new):
        assert apply_delta(old, make_delta(old, new)) == new

    check()


@then("a delta for another document is refused")
def then_delta_refused(context):
    delta = make_delta(make_document(1), make_document(2))
    try:
        apply_delta(make_document(3), delta)
    except ConfigError:
        return
    raise AssertionError("a delta for another document was applied")


@given("an environment at revision {n:d}")
def given_environment(context, n):
    context.env = ConfigSubject(n)


@given("an environment at revision {n:d} with a snapshot every {every:d} revisions")
def given_environment_with_snapshots(context, n, every):
    context.env = ConfigSubject(n, every)


@when('the fault "{fault}" is injected into the store')
def when_fault(context, fault):
    context.env.faults = make_faults(fault)


@when("operator a publishes a change based on revision {base:d}")
def when_publishes(context, base):
    subject = context.env

    async def main():
        platform = await subject.make_platform()
        result = await subject.publish_as(platform, "a", 100, base)
        return result, await subject.load(platform)

    context.results = run_schedules(main)


@when("operators a and b concurrently publish changes based on revision {base:d}")
def when_publish_at_once(context, base):
    subject = context.env

    async def main():
        platform = await subject.make_platform()
        results = {}

        async def publish(name, n):
            results[name] = await subject.publish_as(platform, name, n, base)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(publish, "a", 100)
            nursery.start_soon(publish, "b", 200)
        return results, await subject.load(platform)

    context.results = run_schedules(main)


@when(
    "the answer to a's publication is lost and operator b publishes a change based on "
    "revision {base:d} before the retry"
)
def when_publication_overtaken(context, base):
    subject = context.env

    async def main():
        platform = await subject.make_platform()
        transact = platform.transact

        async def transact_and_lose(writes):
            platform.transact = transact
            await transact(writes)
            assert await subject.publish_as(platform, "b", 200, base) == f"revision {base + 1}"
            raise PlatformError("answer lost", maybe_applied=True)

        platform.transact = transact_and_lose
        result = await subject.publish_as(platform, "a", 100, Revision(base - 1))
        return result, await subject.load(platform)

    context.results = [run_virtual(main)]


@then('operator a gets the result "{expected}"')
def then_result(context, expected):
    results = [result for result, _ in context.results]
    assert results == [expected] * len(results), results


@then("the store ends at revision {revision:d}")
def then_ends_at(context, revision):
    revisions = [loaded[1] for _, loaded in context.results]
    assert revisions == [revision] * len(revisions), revisions


@then("one gets revision {n:d} and the other a conflict with revision {m:d}")
def then_one_wins(context, n, m):
    for results, _ in context.results:
        assert sorted(results.values()) == [f"conflict {m}", f"revision {n}"], results


@then("the store holds the winner's document at revision {n:d}")
def then_winner_stored(context, n):
    for results, (document, revision) in context.results:
        winner = 100 if results["a"].startswith("revision") else 200
        assert revision == n and document == make_document(winner)


@then("every revision from 1 to {n:d} loads as it was published")
def then_all_load(context, n):
    async def main():
        platform = await context.env.make_platform()
        store = make_store(platform, snapshot_every=context.env.snapshot_every)
        for revision in range(1, n + 1):
            assert await store.load(Revision(revision)) == (make_document(revision), revision)

    run_virtual(main)


@then("a reader that is {n:d} revisions behind needs {n_reads:d} reads and no snapshot object")
def then_reads_only_new(context, n, n_reads):
    async def main():
        subject = context.env
        platform = await subject.make_platform()
        store = make_store(platform, snapshot_every=subject.snapshot_every)
        await store.load()
        await publish_up_to(make_store(platform, "w"), subject.revision + n, subject.revision)
        # Makes reading an object an error.
        platform.get_object = None
        before = platform.counters.n_gets + platform.counters.n_scans
        document, _ = await store.load()
        assert document == make_document(subject.revision + n)
        return platform.counters.n_gets + platform.counters.n_scans - before

    assert run_virtual(main) == n_reads


@then("the last {n:d} records of the history are revisions {first:d} to {last:d}")
def then_history(context, n, first, last):
    async def main():
        platform = await context.env.make_platform()
        return [record.revision for record in await make_store(platform).history(n)]

    assert run_virtual(main) == list(range(first, last - 1, -1))


@when("revision {n:d} is promoted to an empty production environment")
def when_promoted(context, n):
    async def main():
        platform = await context.env.make_platform()
        source = make_store(platform)
        target = make_store(platform, environment="production")
        await promote_document(
            source, target, revision=Revision(n), base=Revision(0), author="op", now=9.0
        )
        return await target.load(), (await target.history(1))[0]

    context.promoted = run_virtual(main)
    context.expected = make_document(n, "production")


@then("production holds that document as revision 1, with a note of its origin")
def then_promoted(context):
    loaded, record = context.promoted
    assert loaded == (context.expected, 1)
    assert record.note == "promoted from trial revision 2"


class ConfigCacheSubject:
    """A configuration cache that applied the revisions up to one, in order."""

    def __init__(self, revision):
        self.config_cache = ConfigCache()
        for n in range(1, revision + 1):
            self.config_cache.apply_document(make_document(n), Revision(n))

    def receive(self, offer):
        """Pass a push or a document to the cache; return its reply in words."""
        new = make_document(6)
        delta = make_delta(make_document(5), new)
        offers = {
            "a push of revision 4": ConfigPush(4, 0, encode_document(make_document(4))),
            "a push of revision 5": ConfigPush(5, 0, encode_document(new)),
            "a delta based on revision 6": ConfigPush(7, 6, delta),
            "a corrupt push of revision 6": ConfigPush(6, 0, b"\xc1"),
            "a delta based on another revision": ConfigPush(6, 4, delta),
        }
        if offer in offers:
            ack = self.config_cache.apply_push(offers[offer])
            return f"revision {ack.revision}" + (
                ", full document requested" if ack.need_full else ""
            )
        n, document = (4, make_document(4)) if "4" in offer else (5, make_document(50))
        return "taken" if self.config_cache.apply_document(document, Revision(n)) else "not taken"


@given("a process at revision {n:d}")
def given_process(context, n):
    context.subject = ConfigCacheSubject(n)


@when("it receives {offer}")
def when_receives(context, offer):
    context.reply = context.subject.receive(offer)


@then("it replies {answer}")
def then_replies(context, answer):
    assert context.reply == answer, context.reply


@then("it stays at revision {n:d}")
def then_stays(context, n):
    config_cache = context.subject.config_cache
    assert config_cache.revision == n and config_cache.document == make_document(n)


@then("installing revision {n:d} inside its cache raises an invariant error")
def then_invariant(context, n):
    try:
        context.subject.config_cache._install(make_document(n), Revision(n))
    except InvariantError:
        return
    raise AssertionError("no InvariantError was raised")


@then(
    "its push for a peer at revision {peer_revision:d} is a {kind} "
    "that updates it to revision {n:d}"
)
def then_push(context, peer_revision, kind, n):
    push = context.subject.config_cache.make_push(Revision(peer_revision))
    assert (push.base == 0) == (kind == "full document"), push.base
    peer = ConfigCacheSubject(peer_revision)
    assert peer.config_cache.apply_push(push) == ConfigAck(Revision(n))
    assert peer.config_cache.document == make_document(n)


class ConfigCachePeer:
    """A peer that answers from its configuration cache."""

    def __init__(self, revision):
        self.config_cache = ConfigCacheSubject(revision).config_cache

    async def pull_config(self, req):
        return self.config_cache.make_push(req.revision)


class FailingPeer:
    """A peer that is unreachable."""

    async def pull_config(self, req):
        raise RpcError("down", step="pull_config", peer="p")


@given("a process that starts, with peers at revisions {first:d}, {second:d} and one that fails")
def given_starting(context, first, second):
    context.peers = [ConfigCachePeer(first), ConfigCachePeer(second), FailingPeer()]


@given("a process that starts, with {n:d} peers that fail and one at revision {revision:d}")
def given_failing_peers(context, n, revision):
    context.peers = [FailingPeer()] * n + [ConfigCachePeer(revision)]


@when("the process polls {n:d} times")
def when_polls(context, n):
    async def main():
        platform = await context.env.make_platform()
        config_cache = ConfigCache()
        follower = ConfigFollower(
            make_store(platform), config_cache, clock=TrioClock(), list_peers=lambda: context.peers
        )
        for _ in range(n):
            assert not await follower.poll_once()
        return config_cache

    context.config_cache = run_virtual(main)


@then("the process is at revision {n:d}")
def then_process_at(context, n):
    assert context.config_cache.revision == n and context.config_cache.document == make_document(n)


@given("a backup of the platform at revision {n:d}")
@given("the environment is then published up to revision {n:d}")
def given_revision_after_backup(context, n):
    context.published_revision = n


@given("a process that has then polled the store")
def given_polled(context):
    # Set up in the step that restores the platform, as all of it runs in one virtual time.
    pass


@when("the platform is restored from the backup")
def when_platform_restored(context):
    async def main():
        platform = await context.env.make_platform()
        backup = platform.dump_tables()
        operator = make_store(platform, "op")
        await publish_up_to(operator, context.published_revision, context.env.revision)
        config_cache = ConfigCache()
        follower = ConfigFollower(make_store(platform), config_cache, clock=TrioClock())
        await follower.poll_once()
        platform.restore_tables(backup)
        try:
            await operator.publish(Revision(3), make_document(9), "op", 1.0)
            conflict_revision = None
        except ConfigConflictError as exc:
            conflict_revision = exc.revision
        follower.repairs_head = False
        states = []
        for _ in range(2):
            await follower.poll_once()
            states.append(config_cache.head_state.value)
        follower.repairs_head = True
        await follower.poll_once()
        head = await make_store(platform).load()
        next_revision = await operator.publish(Revision(6), make_document(7), "op", 2.0)
        return conflict_revision, states, config_cache, head, next_revision

    context.restored = run_virtual(main)


@then("an operator who knows revision {n:d} can't publish a change based on revision {m:d}")
def then_cannot_publish(context, n, m):
    assert context.restored[0] == n


@then('the polling process finds the head "{state}", counts that once and stays at revision {n:d}')
def then_regressed(context, state, n):
    _, states, config_cache, _, _ = context.restored
    assert states == [state, state] and config_cache.counters.n_head_regressed == 1
    assert config_cache.revision == n and config_cache.document == make_document(n)


@then("the store is repaired to revision {n:d} and accepts revision {m:d}")
def then_repaired(context, n, m):
    assert context.restored[3] == (make_document(n), n)
    assert context.restored[4] == m
