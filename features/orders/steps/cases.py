"""Cases of orders: each returns what the first call and a repeat of its key are told."""

from world import UPSTREAMS, World

from crocusvalve.orders import _events as ev
from crocusvalve.orders._flow import FlowPhase


def drive(world, call, faults=None, *, until=None, is_served=True):
    """Step a call to its end; ``faults`` names one fault for the next command of a type."""
    faults = dict(faults or {})
    for _ in range(40):
        name = type(call.command).__name__
        if not call.is_open or name == until:
            return call
        world.step(call, faults.pop(name, "ok"))
        if is_served:
            serve(world)
    raise AssertionError(f"no end: {call.command}")


def repeat(world, body="b"):
    """Call the key again at another entry, after what the first one owes the store."""
    while world.settles:
        world.settle()
    return drive(world, world.start_call("k1", "e2", body))


def serve(world, *, is_success=True):
    for agent in world.agents.values():
        while agent.admitted:
            agent.begin(world.now)
        while agent.running:
            agent.finish(is_success)


def pair(world, faults=None, *, wait_s=6.0, body="b"):
    first = drive(world, world.start_call("k1", "e1"), faults)
    world.now += wait_s
    return first, repeat(world, body)


def deliver_all(world):
    while world.network:
        world.deliver(0)
    serve(world)


def late_insert(world):
    first = drive(world, world.start_call("k1", "e1"), {"InsertClaim": "late"})
    world.store.write(*world.store.late.pop())
    world.now += 6.0
    return first, repeat(world)


def repeat_before_settled(world):
    first = drive(world, world.start_call("k1", "e1"), {"InsertClaim": "lost_after"})
    return first, drive(world, world.start_call("k1", "e2"))


def cut_after_arrival(world):
    first = world.start_call("k1", "e1")
    drive(world, first, until="SendAttempt")
    world.step(first, "copied")
    serve(world)
    drive(world, first, {"ResumeAttempt": "lost"})
    deliver_all(world)
    return first, repeat(world)


def fence_never_answers(world, *, restarts=False):
    first = world.start_call("k1", "e1")
    drive(world, first, until="SendAttempt")
    world.step(first, "ok")
    serve(world)
    world.step(first, "lost")
    while first.is_open:
        world.step(first, "lost")
    if restarts:
        world.agents[UPSTREAMS[0]].restart()
    return first, repeat(world)


def agent_restarts(world):
    first = world.start_call("k1", "e1")
    drive(world, first, until="ResumeAttempt", is_served=False)
    for agent in world.agents.values():
        while agent.admitted:
            agent.begin(world.now)
        agent.restart()
    drive(world, first)
    return first, repeat(world)


def entry_freezes(world, *, seconds, has_taker):
    first = drive(world, world.start_call("k1", "e1"), until="SendAttempt")
    world.now += seconds
    if not has_taker:
        return drive(world, first), repeat(world)
    second = drive(world, world.start_call("k1", "e2"))
    return drive(world, first), second


def entry_freezes_before_write_ends(world):
    first = drive(world, world.start_call("k1", "e1"), until="InsertClaim")
    claim = first.command.claim
    result = world.store.write(claim, 0)
    world.now += 25.0
    world.feed(first, ev.ClaimWritten(result))
    drive(world, first)
    assert not any(len(agent.guard) for agent in world.agents.values()), "sent though too late"
    return first, repeat(world)


def fenced_by_taker(world):
    """The taker has fenced but not yet written; the first call can't write either."""
    first = drive(world, world.start_call("k1", "e1"), until="SendAttempt")
    world.now += 6.0
    second = drive(world, world.start_call("k1", "e2"), until="UpdateClaim")
    drive(world, first, {"UpdateClaim": "lost"})
    return first, drive(world, second)


def frozen_in_last_write(world):
    for agent in world.agents.values():
        agent.is_closed = True
    first = world.start_call("k1", "e1")
    while first.flow.phase is not FlowPhase.SETTLING:
        world.step(first, "ok")
    for agent in world.agents.values():
        agent.is_closed = False
    world.now += 6.0
    second = drive(world, world.start_call("k1", "e2"))
    return drive(world, first), second


def entry_dies(world, *, at, restarts=False):
    first = drive(world, world.start_call("k1", "e1"), until=at)
    first.is_dead = True
    deliver_all(world)
    if restarts:
        for agent in world.agents.values():
            agent.restart()
    world.now += 6.0
    return first, repeat(world)


def repeat_in_progress(world):
    first = drive(world, world.start_call("k1", "e1"), until="SendAttempt")
    second = drive(world, world.start_call("k1", "e2"))
    return drive(world, first), second


def race(world):
    first, second = world.start_call("k1", "e1"), world.start_call("k1", "e2")
    drive(world, first, until="InsertClaim")
    drive(world, second, until="InsertClaim")
    return drive(world, first), drive(world, second)


def domain_out(world, faults=None):
    for agent in world.agents.values():
        agent.is_closed = True
    first = drive(world, world.start_call("k1", "e1"), faults)
    for agent in world.agents.values():
        agent.is_closed = False
    return first, repeat(world)


def upstream_fails(world):
    first = drive(world, world.start_call("k1", "e1"), until="ResumeAttempt", is_served=False)
    serve(world, is_success=False)
    drive(world, first)
    return first, repeat(world)


def forgotten(world):
    first, _ = upstream_fails(world)
    world.now += 1000.0
    for agent in world.agents.values():
        agent.guard.expire(world.now)
    return first, repeat(world)


CASES = {
    "nothing": lambda w: pair(w, wait_s=0.0),
    "another body": lambda w: pair(w, body="other"),
    "the claim refused by a store that is down": lambda w: pair(w, {"InsertClaim": "lost"}),
    "the claim's answer lost": lambda w: pair(w, {"InsertClaim": "lost_after"}),
    "the claim's answer lost, repeated at once": repeat_before_settled,
    "the claim landing late": late_insert,
    "no connection to the agent": lambda w: pair(w, {"SendAttempt": "lost"}),
    "a cut before the order arrives": lambda w: pair(w, {"SendAttempt": "late"}),
    "a cut after the order arrived": cut_after_arrival,
    "the agent out of reach after the send": fence_never_answers,
    "the agent out of reach, then restarted": lambda w: fence_never_answers(w, restarts=True),
    "the agent restarted while it runs": agent_restarts,
    "the entry frozen past the deadline": lambda w: entry_freezes(w, seconds=25, has_taker=False),
    "the entry frozen in the claim": entry_freezes_before_write_ends,
    "the entry frozen, another taking over": lambda w: entry_freezes(w, seconds=6, has_taker=True),
    "a taker's fence and the store down": fenced_by_taker,
    "the entry frozen in its last write": frozen_in_last_write,
    "the entry killed before the send": lambda w: entry_dies(w, at="SendAttempt"),
    "the entry killed while it runs": lambda w: entry_dies(w, at="ResumeAttempt"),
    "the entry killed, the agent restarted": lambda w: entry_dies(
        w, at="ResumeAttempt", restarts=True
    ),
    "a repeat while it is in progress": repeat_in_progress,
    "two entries racing": race,
    "every domain out": domain_out,
    "every domain out and the store down": lambda w: domain_out(w, {"UpdateClaim": "lost"}),
    "the upstream failing after the send": upstream_fails,
    "the upstream failing, long forgotten": forgotten,
}


def run_case(name):
    world = World()
    first, repeat = CASES[name](world)
    deliver_all(world)
    world.check()
    return first, repeat, sum(world.executed.values())
