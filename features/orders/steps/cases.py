"""Cases of orders: each returns what the first call and a repeat of its key are told."""

from harness import UPSTREAMS, OrderHarness

from crocusvalve.orders import _events as ev
from crocusvalve.orders._flow import FlowPhase


def drive(harness, call, faults=None, *, until=None, is_served=True):
    """Step a call to its end; ``faults`` names one fault for the next command of a type."""
    faults = dict(faults or {})
    for _ in range(40):
        name = type(call.command).__name__
        if not call.is_open or name == until:
            return call
        harness.step(call, faults.pop(name, "ok"))
        if is_served:
            serve(harness)
    raise AssertionError(f"no end: {call.command}")


def repeat(harness, body="b"):
    """Call the key again at another entry, after what the first one owes the store."""
    while harness.unwritten_claims:
        harness.settle()
    return drive(harness, harness.start_call("k1", "e2", body))


def serve(harness, *, is_success=True):
    for agent in harness.agents.values():
        while agent.admitted:
            agent.begin(harness.now)
        while agent.running:
            agent.finish(is_success)


def call_and_repeat(harness, faults=None, *, wait_s=6.0, body="b"):
    first = drive(harness, harness.start_call("k1", "e1"), faults)
    harness.now += wait_s
    return first, repeat(harness, body)


def deliver_all(harness):
    while harness.network:
        harness.deliver(0)
    serve(harness)


def insert_applied_late(harness):
    first = drive(harness, harness.start_call("k1", "e1"), {"InsertClaim": "late"})
    harness.store.write(*harness.store.late_writes.pop())
    harness.now += 6.0
    return first, repeat(harness)


def repeat_before_settled(harness):
    first = drive(harness, harness.start_call("k1", "e1"), {"InsertClaim": "lost_after"})
    return first, drive(harness, harness.start_call("k1", "e2"))


def cut_after_arrival(harness):
    first = harness.start_call("k1", "e1")
    drive(harness, first, until="SendAttempt")
    harness.step(first, "copied")
    serve(harness)
    drive(harness, first, {"ResumeAttempt": "lost"})
    deliver_all(harness)
    return first, repeat(harness)


def fence_never_answers(harness, *, restarts=False):
    first = harness.start_call("k1", "e1")
    drive(harness, first, until="SendAttempt")
    harness.step(first, "ok")
    serve(harness)
    harness.step(first, "lost")
    while first.is_open:
        harness.step(first, "lost")
    if restarts:
        harness.agents[UPSTREAMS[0]].restart()
    return first, repeat(harness)


def agent_restarts(harness):
    first = harness.start_call("k1", "e1")
    drive(harness, first, until="ResumeAttempt", is_served=False)
    for agent in harness.agents.values():
        while agent.admitted:
            agent.begin(harness.now)
        agent.restart()
    drive(harness, first)
    return first, repeat(harness)


def entry_freezes(harness, *, seconds, has_taker):
    first = drive(harness, harness.start_call("k1", "e1"), until="SendAttempt")
    harness.now += seconds
    if not has_taker:
        return drive(harness, first), repeat(harness)
    second = drive(harness, harness.start_call("k1", "e2"))
    return drive(harness, first), second


def entry_freezes_before_write_ends(harness):
    first = drive(harness, harness.start_call("k1", "e1"), until="InsertClaim")
    claim = first.command.claim
    result = harness.store.write(claim, 0)
    harness.now += 25.0
    harness.feed(first, ev.ClaimWritten(result))
    drive(harness, first)
    assert not any(len(agent.guard) for agent in harness.agents.values()), "sent though too late"
    return first, repeat(harness)


def fenced_by_taker(harness):
    """The taker has fenced but not yet written; the first call can't write either."""
    first = drive(harness, harness.start_call("k1", "e1"), until="SendAttempt")
    harness.now += 6.0
    second = drive(harness, harness.start_call("k1", "e2"), until="UpdateClaim")
    drive(harness, first, {"UpdateClaim": "lost"})
    return first, drive(harness, second)


def entry_freezes_in_last_write(harness):
    for agent in harness.agents.values():
        agent.is_closed = True
    first = harness.start_call("k1", "e1")
    while first.flow.phase is not FlowPhase.SETTLING:
        harness.step(first, "ok")
    for agent in harness.agents.values():
        agent.is_closed = False
    harness.now += 6.0
    second = drive(harness, harness.start_call("k1", "e2"))
    return drive(harness, first), second


def entry_dies(harness, *, at, restarts=False):
    first = drive(harness, harness.start_call("k1", "e1"), until=at)
    first.is_dead = True
    deliver_all(harness)
    if restarts:
        for agent in harness.agents.values():
            agent.restart()
    harness.now += 6.0
    return first, repeat(harness)


def repeat_while_in_progress(harness):
    first = drive(harness, harness.start_call("k1", "e1"), until="SendAttempt")
    second = drive(harness, harness.start_call("k1", "e2"))
    return drive(harness, first), second


def race_two_entries(harness):
    first, second = harness.start_call("k1", "e1"), harness.start_call("k1", "e2")
    drive(harness, first, until="InsertClaim")
    drive(harness, second, until="InsertClaim")
    return drive(harness, first), drive(harness, second)


def domain_out(harness, faults=None):
    for agent in harness.agents.values():
        agent.is_closed = True
    first = drive(harness, harness.start_call("k1", "e1"), faults)
    for agent in harness.agents.values():
        agent.is_closed = False
    return first, repeat(harness)


def upstream_fails(harness):
    first = drive(harness, harness.start_call("k1", "e1"), until="ResumeAttempt", is_served=False)
    serve(harness, is_success=False)
    drive(harness, first)
    return first, repeat(harness)


def upstream_fails_and_guard_expires(harness):
    first, _ = upstream_fails(harness)
    harness.now += 1000.0
    for agent in harness.agents.values():
        agent.guard.expire(harness.now)
    return first, repeat(harness)


CASES = {
    "nothing": lambda w: call_and_repeat(w, wait_s=0.0),
    "another body": lambda w: call_and_repeat(w, body="other"),
    "the claim refused by a store that is down": lambda w: call_and_repeat(
        w, {"InsertClaim": "lost"}
    ),
    "the claim's answer lost": lambda w: call_and_repeat(w, {"InsertClaim": "lost_after"}),
    "the claim's answer lost, repeated at once": repeat_before_settled,
    "the claim landing late": insert_applied_late,
    "no connection to the agent": lambda w: call_and_repeat(w, {"SendAttempt": "lost"}),
    "a cut before the order arrives": lambda w: call_and_repeat(w, {"SendAttempt": "late"}),
    "a cut after the order arrived": cut_after_arrival,
    "the agent out of reach after the send": fence_never_answers,
    "the agent out of reach, then restarted": lambda w: fence_never_answers(w, restarts=True),
    "the agent restarted while it runs": agent_restarts,
    "the entry frozen past the deadline": lambda w: entry_freezes(w, seconds=25, has_taker=False),
    "the entry frozen in the claim": entry_freezes_before_write_ends,
    "the entry frozen, another taking over": lambda w: entry_freezes(w, seconds=6, has_taker=True),
    "a taker's fence and the store down": fenced_by_taker,
    "the entry frozen in its last write": entry_freezes_in_last_write,
    "the entry killed before the send": lambda w: entry_dies(w, at="SendAttempt"),
    "the entry killed while it runs": lambda w: entry_dies(w, at="ResumeAttempt"),
    "the entry killed, the agent restarted": lambda w: entry_dies(
        w, at="ResumeAttempt", restarts=True
    ),
    "a repeat while it is in progress": repeat_while_in_progress,
    "two entries racing": race_two_entries,
    "every domain out": domain_out,
    "every domain out and the store down": lambda w: domain_out(w, {"UpdateClaim": "lost"}),
    "the upstream failing after the send": upstream_fails,
    "the upstream failing, long forgotten": upstream_fails_and_guard_expires,
}


def run_case(name):
    harness = OrderHarness()
    first, repeat = CASES[name](harness)
    deliver_all(harness)
    harness.check()
    return first, repeat, sum(harness.executed.values())
