"""Steps about what an agent does in single situations."""

import trio
from behave import then, when
from fakes import BOOT, NOW, FakeUpstream, make_request, make_view
from faults import REFUSED_CONNECTION, collect, make_notice
from harness import AgentHarness

from crocusvalve.answers import AnswerStore
from crocusvalve.base import ClassKind, CustomerId, ExecutionStatus, Revision, UpstreamState
from crocusvalve.rpc import (
    CancelRequest,
    Empty,
    Final,
    Frame,
    NoticeKind,
    ResumeRequest,
    UpstreamOrder,
    UpstreamOrderAction,
)


def join(events):
    return b"".join(event.data for event in events if isinstance(event, Frame))


async def resume(agent, upstream):
    gate = trio.Event()
    upstream.script = (b"one ", gate, b"two")
    req = make_request()
    events = agent.run(req)
    first = await anext(events)
    await events.aclose()
    gate.set()
    rest = await collect(agent.resume(ResumeRequest(req.attempt_id, 1)))
    assert join([first, *rest]) == b"one two" and isinstance(rest[-1], Final)
    assert rest[0].seq == 1 and rest[-1].n_frames == 2


async def go_on(agent, upstream):
    upstream.script = (b"one ", b"two")
    with trio.move_on_after(0):
        await collect(agent.run(make_request()))
    await trio.sleep(1)
    assert join(await collect(agent.run(make_request()))) == b"one two"
    assert len(upstream.executed) == 1


async def wait_for_reader(agent, upstream):
    agent.feed.answers = AnswerStore(buffer_max_bytes=5000)
    upstream.script = tuple(b"x" * 3000 for _ in range(20))
    req = make_request()
    events = agent.run(req)
    parts = [await anext(events)]
    await trio.sleep(5)
    assert agent.feed.answers.get(req.attempt_id).n_bytes < 10_000
    parts += await collect(events)
    assert len(join(parts)) == 60_000 and isinstance(parts[-1], Final)


async def cancel(agent, upstream, kind=ClassKind.ANSWER):
    gate = trio.Event()
    upstream.script = (b"one ", gate, b"two")
    req = make_request(kind=kind, boot_id=BOOT)
    events = agent.run(req)
    await anext(events)
    await agent.cancel(CancelRequest(req.attempt_id))
    await trio.sleep(1)
    gate.set()
    return (await collect(events))[-1]


async def cancel_engine(agent, upstream):
    end = await cancel(agent, upstream)
    assert end.ran is ExecutionStatus.RAN and upstream.cancelled == ["a1"], end
    assert agent.tables.limiter.in_flight == 0


async def cancel_order(agent, upstream):
    end = await cancel(agent, upstream, ClassKind.ORDER)
    assert isinstance(end, Final) and not upstream.cancelled


async def fetch_late_order(agent, upstream):
    gate = trio.Event()
    upstream.script = (gate, b"done")
    req = make_request(kind=ClassKind.ORDER, boot_id=BOOT, deadline=NOW + 5)
    with trio.move_on_after(6):
        await collect(agent.run(req))
    gate.set()
    await trio.sleep(1)
    assert join(await collect(agent.resume(ResumeRequest(req.attempt_id, 0)))) == b"done"


async def fetch_revision(agent, upstream):
    asked = []

    async def learn(revision):
        asked.append(revision)
        agent.revision_cache.view = make_view(9)
        return True

    agent.revision_cache.view = make_view(1, allowed=("other",))
    agent.tables.view = None
    agent.apply_view()
    agent.pull_revision = learn
    events = await collect(agent.run(make_request(revision=Revision(9))))
    assert isinstance(events[-1], Final) and asked == [9]
    stranger = make_request("a2", revision=Revision(9), customer_id=CustomerId("delta/x"))
    assert (await collect(agent.run(stranger)))[-1].code == "FORBIDDEN"


async def obey_notice(agent, upstream):
    await agent.notify(make_notice(NoticeKind.WITHDRAWN, "delta/assess@v1"))
    agent.revision_cache.view = make_view(2)
    agent.apply_view()
    agent.revision_cache.view = make_view(1)
    agent.apply_view()
    assert (await agent.report(Empty())).revision == 2
    assert (await collect(agent.run(make_request())))[-1].code == "VERSION_WITHDRAWN"


async def report(agent, upstream):
    told = await agent.report(Empty())
    assert (told.limit, told.in_flight, told.revision) == (8, 0, 1)
    assert told.state is UpstreamState.WARM and told.boot_id == BOOT
    assert told.serves == ("delta/assess@v1",)
    agent.tables.is_draining = True
    assert (await agent.report(Empty())).state is UpstreamState.DRAINING


async def unload_under_attempt(agent, upstream):
    async def learn():
        return 1

    agent._order_forwarder.read_lease_number = learn
    gate = trio.Event()
    upstream.script = (b"one ", gate, b"two")
    req = make_request()
    order = UpstreamOrder(action=UpstreamOrderAction.UNLOAD, number=1, version=req.version)
    events = agent.run(req)
    await anext(events)
    told = await agent.order_upstream(order)
    assert (told.accepted, told.code, told.ran) == (False, "NOT_READY", ExecutionStatus.NOT_RUN)
    gate.set()
    assert isinstance((await collect(events))[-1], Final)
    assert (await agent.order_upstream(order)).accepted


async def keep_loaded(agent, upstream):
    upstream.loaded = ()
    await trio.sleep(1)
    upstream.loaded = REFUSED_CONNECTION
    await trio.sleep(1)
    told = await agent.report(Empty())
    assert told.loaded == () and told.serves == ()


class SteppedUpstream(FakeUpstream):
    async def call(self, req, *, on_send, on_data):
        async def take(data):
            await on_data(data)
            await trio.sleep(0.01)

        return await super().call(req, on_send=on_send, on_data=take)


async def coalesce(agent, upstream):
    began = trio.current_time()
    events = agent.run(make_request())
    frames = [await anext(events)]
    assert trio.current_time() == began and frames[0].data == b"w "
    frames += [event for event in await collect(events) if isinstance(event, Frame)]
    assert join(frames) == b"w " * 100
    assert 30 <= len(frames) <= 50, len(frames)


CASES = {
    "an answer resumes at its place after a cut": resume,
    "an attempt goes on after its entry is cut off": go_on,
    "a long answer waits for its reader and is whole": wait_for_reader,
    "a cancel reaches the engine": cancel_engine,
    "an order that was sent is not cancelled": cancel_order,
    "an order that ends after its deadline can be fetched": fetch_late_order,
    "a revision that the agent lacks is fetched first": fetch_revision,
    "a notice wins over an older revision": obey_notice,
    "the report tells limit, state, boot and revision": report,
    "tokens go out at once, then joined by the window": coalesce,
    "a version is not unloaded under its attempt": unload_under_attempt,
    "a silent engine's loaded versions stay as known": keep_loaded,
}


@when("this is played at an agent: {case}")
def when_played(context, case):
    upstream = SteppedUpstream((b"w ",) * 100) if CASES[case] is coalesce else FakeUpstream()
    AgentHarness(upstream).run(CASES[case])
    context.played = True


@then("it went as it should")
def then_went(context):
    assert context.played
