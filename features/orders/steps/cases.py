"""Fault cases of orders: each returns the first call and a repeat of its key, both ended."""

from harness import UPSTREAMS, OrderHarness

from crocusvalve.orders import _events as ev
from crocusvalve.orders._flow import FlowPhase


def drive(harness, call, faults=None, *, until=None, is_served=True):
    """Execute the commands of a call until it ends, or until its next command is of type ``until``.

    ``faults`` maps the name of a command's type to the fault of the next command of that type.
    Unless ``is_served`` is false, the agents complete all their attempts after each command.
    """
    faults = dict(faults or {})
    for _ in range(40):
        name = type(call.command).__name__
        if not call.is_open or name == until:
            return call
        harness.step(call, faults.pop(name, "ok"))
        if is_served:
            serve(harness)
    raise AssertionError(f"the call does not end: {call.command}")


def repeat(harness, body="b"):
    """Call the key again at another entry, after the queued claims have been written."""
    while harness.unwritten_claims:
        harness.settle()
    return drive(harness, harness.start_call("k1", "e2", body))


def serve(harness, *, is_success=True):
    """Begin and finish all attempts at all agents."""
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
    """Deliver all messages in the network and complete the attempts that they start."""
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


def interrupt_after_arrival(harness):
    first = harness.start_call("k1", "e1")
    drive(harness, first, until="SendAttempt")
    harness.step(first, "copied")
    serve(harness)
    drive(harness, first, {"ResumeAttempt": "lost"})
    deliver_all(harness)
    return first, repeat(harness)


def agent_unreachable_after_send(harness, *, restarts=False):
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


def restart_agent_during_run(harness):
    first = harness.start_call("k1", "e1")
    drive(harness, first, until="ResumeAttempt", is_served=False)
    for agent in harness.agents.values():
        while agent.admitted:
            agent.begin(harness.now)
        agent.restart()
    drive(harness, first)
    return first, repeat(harness)


def entry_pauses(harness, *, seconds, is_taken_over):
    first = drive(harness, harness.start_call("k1", "e1"), until="SendAttempt")
    harness.now += seconds
    if not is_taken_over:
        return drive(harness, first), repeat(harness)
    second = drive(harness, harness.start_call("k1", "e2"))
    return drive(harness, first), second


def entry_pauses_during_claim(harness):
    first = drive(harness, harness.start_call("k1", "e1"), until="InsertClaim")
    claim = first.command.claim
    result = harness.store.write(claim, 0)
    harness.now += 25.0
    harness.handle_event(first, ev.ClaimWritten(result))
    drive(harness, first)
    assert not any(
        len(agent.guard) for agent in harness.agents.values()
    ), "an attempt was sent after its deadline"
    return first, repeat(harness)


def fence_by_other_entry(harness):
    """Fence at another entry, whose write is still due when the first call's write fails."""
    first = drive(harness, harness.start_call("k1", "e1"), until="SendAttempt")
    harness.now += 6.0
    second = drive(harness, harness.start_call("k1", "e2"), until="UpdateClaim")
    drive(harness, first, {"UpdateClaim": "lost"})
    return first, drive(harness, second)


def entry_pauses_during_last_write(harness):
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


def kill_entry(harness, *, before, restarts=False):
    first = drive(harness, harness.start_call("k1", "e1"), until=before)
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


def guard_expires_after_failure(harness):
    first, _ = upstream_fails(harness)
    harness.now += 1000.0
    for agent in harness.agents.values():
        agent.guard.expire(harness.now)
    return first, repeat(harness)


CASES = {
    "nothing": lambda h: call_and_repeat(h, wait_s=0.0),
    "another body in the repeat": lambda h: call_and_repeat(h, body="other"),
    "a store outage when the claim is written": lambda h: call_and_repeat(
        h, {"InsertClaim": "lost"}
    ),
    "a lost response to the claim's write": lambda h: call_and_repeat(
        h, {"InsertClaim": "lost_after"}
    ),
    "a lost response to the claim's write, then an immediate repeat": repeat_before_settled,
    "a claim applied after the order was refused": insert_applied_late,
    "no connection to the agent": lambda h: call_and_repeat(h, {"SendAttempt": "lost"}),
    "an interruption before the order arrives": lambda h: call_and_repeat(
        h, {"SendAttempt": "late"}
    ),
    "an interruption after the order arrived": interrupt_after_arrival,
    "the agent unreachable after the send": agent_unreachable_after_send,
    "the agent unreachable, then restarted": lambda h: agent_unreachable_after_send(
        h, restarts=True
    ),
    "an agent restart while the order runs": restart_agent_during_run,
    "the entry paused past the deadline": lambda h: entry_pauses(
        h, seconds=25, is_taken_over=False
    ),
    "the entry paused during the claim's write": entry_pauses_during_claim,
    "the entry paused, another taking over": lambda h: entry_pauses(
        h, seconds=6, is_taken_over=True
    ),
    "a fence by another entry and a store outage": fence_by_other_entry,
    "the entry paused during its last write": entry_pauses_during_last_write,
    "the entry killed before the send": lambda h: kill_entry(h, before="SendAttempt"),
    "the entry killed while the order runs": lambda h: kill_entry(h, before="ResumeAttempt"),
    "the entry killed, the agent restarted": lambda h: kill_entry(
        h, before="ResumeAttempt", restarts=True
    ),
    "a repeat while the order is in progress": repeat_while_in_progress,
    "two entries claiming the key at once": race_two_entries,
    "every domain withdrawn": domain_out,
    "every domain withdrawn and a store outage": lambda h: domain_out(h, {"UpdateClaim": "lost"}),
    "an upstream failure after the send": upstream_fails,
    "an upstream failure, repeated after the agent's record expired": guard_expires_after_failure,
}


def run_case(name):
    """Run a case and return the first call, the repeat and the number of executions."""
    harness = OrderHarness()
    first, repeat = CASES[name](harness)
    deliver_all(harness)
    harness.check()
    return first, repeat, sum(harness.executed.values())
