"""Steps about the behaviour of an agent in single cases."""

import trio
from behave import then, when
from fakes import BOOT_ID, NOW, FakeUpstream, make_request, make_view
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
    may_continue = trio.Event()
    upstream.script = (b"one ", may_continue, b"two")
    req = make_request()
    events = agent.run(req)
    first = await anext(events)
    await events.aclose()
    may_continue.set()
    rest = await collect(agent.resume(ResumeRequest(req.attempt_id, 1)))
    assert join([first, *rest]) == b"one two" and isinstance(rest[-1], Final)
    assert rest[0].seq == 1 and rest[-1].n_frames == 2


async def continue_after_disconnect(agent, upstream):
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
    may_continue = trio.Event()
    upstream.script = (b"one ", may_continue, b"two")
    req = make_request(kind=kind, boot_id=BOOT_ID)
    events = agent.run(req)
    await anext(events)
    await agent.cancel(CancelRequest(req.attempt_id))
    await trio.sleep(1)
    may_continue.set()
    return (await collect(events))[-1]


async def cancel_engine(agent, upstream):
    end = await cancel(agent, upstream)
    assert end.ran is ExecutionStatus.RAN and upstream.cancelled == ["a1"], end
    assert agent.tables.limiter.in_flight == 0


async def cancel_sent_order(agent, upstream):
    end = await cancel(agent, upstream, ClassKind.ORDER)
    assert isinstance(end, Final) and not upstream.cancelled


async def fetch_late_order(agent, upstream):
    may_continue = trio.Event()
    upstream.script = (may_continue, b"done")
    req = make_request(kind=ClassKind.ORDER, boot_id=BOOT_ID, deadline=NOW + 5)
    with trio.move_on_after(6):
        await collect(agent.run(req))
    may_continue.set()
    await trio.sleep(1)
    assert join(await collect(agent.resume(ResumeRequest(req.attempt_id, 0)))) == b"done"


async def pull_missing_revision(agent, upstream):
    pulled = []

    async def pull(revision):
        pulled.append(revision)
        agent.revision_cache.view = make_view(9)
        return True

    agent.revision_cache.view = make_view(1, allowed=("other",))
    agent.tables.view = None
    agent.apply_view()
    agent.pull_revision = pull
    events = await collect(agent.run(make_request(revision=Revision(9))))
    assert isinstance(events[-1], Final) and pulled == [9]
    stranger = make_request("a2", revision=Revision(9), customer_id=CustomerId("delta/x"))
    assert (await collect(agent.run(stranger)))[-1].code == "FORBIDDEN"


async def prefer_notice(agent, upstream):
    await agent.notify(make_notice(NoticeKind.WITHDRAWN, "delta/assess@v1"))
    agent.revision_cache.view = make_view(2)
    agent.apply_view()
    agent.revision_cache.view = make_view(1)
    agent.apply_view()
    assert (await agent.report(Empty())).revision == 2
    assert (await collect(agent.run(make_request())))[-1].code == "VERSION_WITHDRAWN"


async def report(agent, upstream):
    load_report = await agent.report(Empty())
    assert (load_report.limit, load_report.in_flight, load_report.revision) == (8, 0, 1)
    assert load_report.state is UpstreamState.WARM and load_report.boot_id == BOOT_ID
    assert load_report.serves == ("delta/assess@v1",)
    agent.tables.is_draining = True
    assert (await agent.report(Empty())).state is UpstreamState.DRAINING


async def refuse_unload_while_running(agent, upstream):
    async def read_lease_number():
        return 1

    agent._order_forwarder.read_lease_number = read_lease_number
    may_continue = trio.Event()
    upstream.script = (b"one ", may_continue, b"two")
    req = make_request()
    order = UpstreamOrder(action=UpstreamOrderAction.UNLOAD, number=1, version=req.version)
    events = agent.run(req)
    await anext(events)
    reply = await agent.order_upstream(order)
    assert (reply.accepted, reply.code, reply.ran) == (False, "NOT_READY", ExecutionStatus.NOT_RUN)
    may_continue.set()
    assert isinstance((await collect(events))[-1], Final)
    assert (await agent.order_upstream(order)).accepted


async def keep_loaded_versions(agent, upstream):
    upstream.loaded = ()
    await trio.sleep(1)
    upstream.loaded = REFUSED_CONNECTION
    await trio.sleep(1)
    load_report = await agent.report(Empty())
    assert load_report.loaded == () and load_report.serves == ()


class SlowUpstream(FakeUpstream):
    """Upstream that pauses for 10 ms after each chunk."""

    async def call(self, req, *, on_send, on_data):
        async def handle_data(data):
            await on_data(data)
            await trio.sleep(0.01)

        return await super().call(req, on_send=on_send, on_data=handle_data)


async def coalesce(agent, upstream):
    started_at = trio.current_time()
    events = agent.run(make_request())
    frames = [await anext(events)]
    assert trio.current_time() == started_at and frames[0].data == b"w "
    frames += [event for event in await collect(events) if isinstance(event, Frame)]
    assert join(frames) == b"w " * 100
    assert 30 <= len(frames) <= 50, len(frames)


CASES = {
    "an interrupted answer is resumed where it stopped": resume,
    "an attempt continues after its entry has disconnected": continue_after_disconnect,
    "a long answer waits for its reader and is complete": wait_for_reader,
    "a cancellation reaches the engine": cancel_engine,
    "an order that was sent is not cancelled": cancel_sent_order,
    "an order that ends after its deadline can be fetched": fetch_late_order,
    "a revision that the agent lacks is pulled first": pull_missing_revision,
    "a notice takes precedence over an older revision": prefer_notice,
    "the report contains limit, state, boot and revision": report,
    "the first token is sent at once, later ones are joined per window": coalesce,
    "a version is not unloaded while an attempt with it is running": refuse_unload_while_running,
    "loaded versions stay as last read while the engine does not answer": keep_loaded_versions,
}


@when("this case is checked at an agent: {case}")
def when_checked(context, case):
    upstream = SlowUpstream((b"w ",) * 100) if CASES[case] is coalesce else FakeUpstream()
    AgentHarness(upstream).run(CASES[case])
    context.has_passed = True


@then("all checks of the case have passed")
def then_passed(context):
    assert context.has_passed
