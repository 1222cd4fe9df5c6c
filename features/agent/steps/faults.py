"""Faults during an attempt at an agent; each function returns the events that the entry gets."""

import trio
from fakes import BOOT_ID, NOW, make_request, make_view

from crocusvalve.agent import HealthReport, UpstreamError
from crocusvalve.base import BootId, CustomerId, ExecutionStatus, Revision, UpstreamState
from crocusvalve.exceptions import ErrorCode
from crocusvalve.rpc import CancelRequest, FenceRequest, Notice, NoticeKind

REFUSED_CONNECTION = UpstreamError(ErrorCode.UPSTREAM_DOWN, "refused", ran=ExecutionStatus.NOT_RUN)
INTERRUPTION = UpstreamError(
    ErrorCode.UPSTREAM_FAILED, "cut", ran=ExecutionStatus.UNKNOWN, is_interrupted=True
)


async def collect(events):
    return [event async for event in events]


def make_notice(kind, subject, number=1):
    return Notice(kind=kind, subject=subject, number=number, issuer="entry-1")


async def interrupt_before_send(agent, upstream, req):
    async def refuse():
        raise REFUSED_CONNECTION

    upstream.before_send = refuse
    return await collect(agent.run(req))


async def interrupt_after_send(agent, upstream, req):
    upstream.script = (INTERRUPTION,)
    return await collect(agent.run(req))


async def interrupt_mid_stream(agent, upstream, req):
    upstream.script = (b"some ", INTERRUPTION)
    return await collect(agent.run(req))


async def crash_mid_stream(agent, upstream, req):
    upstream.script = (b"some ", INTERRUPTION)
    upstream.before_send = lambda: set_health(upstream, HealthReport(False))
    events = await collect(agent.run(req))
    assert events[-1].crashed and agent.tables.crashes[0].digest == req.digest
    return events


async def crash_and_restart(agent, upstream, req):
    upstream.script = (b"some ", INTERRUPTION)
    agent.probe_period_s = 1000.0
    report = HealthReport(True, UpstreamState.COLD, "engine-2")
    upstream.before_send = lambda: set_health(upstream, report)
    events = await collect(agent.run(req))
    assert events[-1].crashed
    return events


async def set_health(upstream, report):
    upstream.health = report


async def freeze_before_send(agent, upstream, req):
    async def freeze():
        agent.clock.offset_s += 60.0

    upstream.before_send = freeze
    return await collect(agent.run(req))


async def freeze_before_admission(agent, upstream, req):
    agent.clock.offset_s += 60.0
    return await collect(agent.run(req))


async def restart_agent(agent, upstream, req):
    return await collect(agent.run(make_request(kind=req.kind, boot_id=BootId("boot-0"))))


async def repeat_while_running(agent, upstream, req):
    may_continue = trio.Event()
    upstream.script = (b"some ", may_continue, b"more")
    results = []

    async def run():
        results.append(await collect(agent.run(req)))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run)
        nursery.start_soon(run)
        await trio.sleep(0.1)
        may_continue.set()
    assert results[0] == results[1]
    return results[0]


async def repeat_after_end(agent, upstream, req):
    first = await collect(agent.run(req))
    assert await collect(agent.run(req)) == first
    return first


async def repeat_after_expiry(agent, upstream, req):
    await collect(agent.run(req))
    agent.feed.answers.keep_s = 0.0
    agent.expire(agent.clock.now())
    return await collect(agent.run(req))


async def fence_before_arrival(agent, upstream, req):
    reply = await agent.fence(FenceRequest(req.attempt_id, BOOT_ID, req.deadline))
    assert reply.ran is ExecutionStatus.NOT_RUN and reply.boot_id == BOOT_ID
    return await collect(agent.run(req))


async def fence_before_send(agent, upstream, req):
    async def fence():
        reply = await agent.fence(FenceRequest(req.attempt_id, BOOT_ID, req.deadline))
        assert reply.ran is ExecutionStatus.NOT_RUN

    upstream.before_send = fence
    return await collect(agent.run(req))


async def fence_while_running(agent, upstream, req):
    may_continue = trio.Event()
    upstream.script = (may_continue, b"done")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(collect, agent.run(req))
        await trio.sleep(0.1)
        reply = await agent.fence(FenceRequest(req.attempt_id, BOOT_ID, req.deadline))
        assert reply.ran is not ExecutionStatus.NOT_RUN
        may_continue.set()
    return await collect(agent.run(req))


async def cancel_before_arrival(agent, upstream, req):
    await agent.cancel(CancelRequest(req.attempt_id))
    return await collect(agent.run(req))


async def restart_engine_cold(agent, upstream, req):
    """Restart the engine cold under load, so that a third request exceeds the cold limit of two."""
    may_continue = trio.Event()
    upstream.script = (may_continue, b"done")
    async with trio.open_nursery() as nursery:
        for name in ("x1", "x2", "x3"):
            nursery.start_soon(collect, agent.run(make_request(name)))
        await trio.sleep(0.1)
        upstream.health = HealthReport(True, UpstreamState.COLD, "engine-2")
        await trio.sleep(1.0)
        events = await collect(agent.run(req))
        may_continue.set()
    upstream.executed = [name for name in upstream.executed if name == req.attempt_id]
    return events


def refuse_by_view(**changes):
    async def run_refused(agent, upstream, req):
        agent.revision_cache.view = make_view(2, **changes)
        agent.apply_view()
        return await collect(agent.run(req))

    return run_refused


def refuse_by_notice(kind, subject):
    async def run_refused(agent, upstream, req):
        assert (await agent.notify(make_notice(kind, subject, number=2))).is_new
        return await collect(agent.run(req))

    return run_refused


async def withdraw_before_send(agent, upstream, req):
    async def withdraw():
        await agent.notify(make_notice(NoticeKind.WITHDRAWN, req.version))

    upstream.before_send = withdraw
    return await collect(agent.run(req))


async def unload_before_admission(agent, upstream, req):
    upstream.loaded = ()
    await trio.sleep(1)
    return await collect(agent.run(req))


async def unload_before_send(agent, upstream, req):
    async def unload():
        upstream.loaded = ()
        await trio.sleep(1)

    upstream.before_send = unload
    return await collect(agent.run(req))


async def repeat_after_refusal(agent, upstream, req):
    out = make_notice(NoticeKind.DOMAIN_OUT, "delta/can-tho", 1)
    await agent.notify(out)
    first = await collect(agent.run(req))
    assert first[0].code == "DOMAIN_OUT" and first[0].ran is ExecutionStatus.NOT_RUN
    await agent.notify(make_notice(NoticeKind.DOMAIN_IN, "delta/can-tho", 2))
    assert not (await agent.notify(out)).is_new
    return await collect(agent.run(req))


async def run_while_draining(agent, upstream, req):
    agent.tables.is_draining = True
    return await collect(agent.run(req))


async def run_for_unknown_customer(agent, upstream, req):
    req = make_request(
        kind=req.kind, boot_id=BOOT_ID, revision=Revision(9), customer_id=CustomerId("delta/new")
    )
    return await collect(agent.run(req))


async def run_while_upstream_down(agent, upstream, req):
    upstream.health = HealthReport(False)
    await trio.sleep(1.0)
    return await collect(agent.run(req))


async def run_past_deadline(agent, upstream, req):
    upstream.script = (b"some ", trio.Event())
    return await collect(agent.run(make_request(kind=req.kind, boot_id=BOOT_ID, deadline=NOW + 2)))


FAULTS = {
    "an interruption before the send": interrupt_before_send,
    "an interruption after the send": interrupt_after_send,
    "an interruption of the stream": interrupt_mid_stream,
    "an engine crash during the stream": crash_mid_stream,
    "an engine crash and a fast restart": crash_and_restart,
    "a freeze of the agent before admission": freeze_before_admission,
    "a freeze of the agent before the send": freeze_before_send,
    "a deadline that passes while it runs": run_past_deadline,
    "a restart of the agent": restart_agent,
    "a copy while it runs": repeat_while_running,
    "a copy after its end": repeat_after_end,
    "a copy after its answer is freed": repeat_after_expiry,
    "a fence before it arrives": fence_before_arrival,
    "a fence before the send": fence_before_send,
    "a fence while it runs": fence_while_running,
    "a cancellation that arrives before it": cancel_before_arrival,
    "a copy after a refusal": repeat_after_refusal,
    "a restarted engine at its cold limit": restart_engine_cold,
    "an upstream that is down": run_while_upstream_down,
    "a failure domain taken out by the configuration": refuse_by_view(is_out=True),
    "a failure domain taken out by a notice": refuse_by_notice(
        NoticeKind.DOMAIN_OUT, "delta/can-tho"
    ),
    "a version withdrawn by the configuration": refuse_by_view(is_withdrawn=True),
    "a version withdrawn by a notice": refuse_by_notice(NoticeKind.WITHDRAWN, "delta/assess@v1"),
    "a version withdrawn before the send": withdraw_before_send,
    "a version that is not loaded": unload_before_admission,
    "a version unloaded before the send": unload_before_send,
    "a model that is no longer allowed": refuse_by_view(allowed=("other",)),
    "a customer of a newer revision": run_for_unknown_customer,
    "a quarantine of its digest": refuse_by_notice(NoticeKind.QUARANTINE, "d1"),
    "an upstream that is leaving": refuse_by_notice(NoticeKind.LEAVING, "delta/e1"),
    "an agent that drains": run_while_draining,
}
