"""Steps for the decisions of the admission queue, and for the room left for urgent requests."""

import re

import trio
import trio.testing
from behave import given, then, when

from crocusvalve.base import UpstreamId
from crocusvalve.gateway.base import RouteKind
from crocusvalve.gateway.decisions._admission import AdmissionQueue
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.decisions._full_upstreams import FullUpstreams
from crocusvalve.gateway.decisions._tickets import AdmissionRequest, RefusalReason, WaitingBytes
from features.gateway.admission_load import SERVICE, LoadSimulation, check_empty, make_route

NOW = 1_000.0
MANY_BYTES = 10**9
RUN = UpstreamRun(UpstreamId("u"), 1)


class QueueSubject:
    """An admission queue whose requests are named."""

    def __init__(self, n_bytes=MANY_BYTES):
        self.queue = AdmissionQueue(WaitingBytes(n_bytes))
        self.tickets = {}
        self.now = NOW

    def join(self, name, *, rank=5, start_s=10.0, wait_s=10.0, customer="c", kind="", n_bytes=0):
        req = AdmissionRequest(
            key=name,
            customer=customer,
            rank=rank,
            kind=kind,
            start_by=self.now + start_s,
            n_bytes=n_bytes,
        )
        self.tickets[name] = self.queue.join(req, self.now + wait_s, self.now)
        return self.tickets[name]

    def choose(self):
        """Return the name of the request that is offered first."""
        [ticket] = self.queue.choose_next(1, self.now)
        return ticket.req.key

    def start(self, name):
        self.queue.leave(self.tickets.pop(name), self.now, has_started=True)


@given("a queue with waiting requests {text}")
def given_waiting(context, text):
    context.subject = subject = QueueSubject()
    subject.now = NOW - 1.0
    for number in range(20):
        subject.join(f"earlier {number}", customer="greedy" if number < 10 else "c")
    for number in range(10):
        subject.start(f"earlier {number}")
    for number in range(10, 20):
        subject.queue.leave(subject.tickets.pop(f"earlier {number}"), subject.now)
    for name in re.findall(r"(\w+):[^,]* returning", text):
        subject.queue.book_return(name, NOW, subject.now)
    subject.now = NOW
    for part in text.split(", "):
        name, words = part.split(": ")
        words = words.split()
        subject.join(
            name,
            rank=int(words[1]),
            start_s=float(words[3]),
            customer="greedy" if "greedy" in words else "c",
            kind=words[5] if "kind" in words else "",
        )


@when("no upstream is found for {name}")
def when_none_found(context, name):
    assert context.subject.choose() == name
    context.subject.queue.block(context.subject.tickets[name], None, NOW)


@then("{name} is offered first")
def then_offered(context, name):
    assert context.subject.choose() == name


@given("a queue into which 2 urgent requests come for each one that is sent")
def given_urgent_load(context):
    context.subject = QueueSubject()


@when("{n:d} requests are sent while {n_bulk:d} bulk requests wait")
def when_many_sent(context, n, n_bulk):
    subject = context.subject
    for number in range(n_bulk):
        subject.join(f"bulk {number}", rank=9, wait_s=4.0)
    context.sent = []
    for number in range(n):
        subject.now += 0.05
        for part in "ab":
            subject.join(f"urgent {number}{part}", rank=0, wait_s=1000.0)
        name = subject.choose()
        context.sent.append(name.split()[0])
        subject.start(name)


@then("{low:d} to {high:d} bulk requests were sent, and none of them before a tenth of the others")
def then_raised(context, low, high):
    bulk = [number for number, kind in enumerate(context.sent) if kind == "bulk"]
    assert low <= len(bulk) <= high, bulk
    assert all(later - earlier >= 10 for earlier, later in zip(bulk, bulk[1:], strict=False)), bulk


@given("a queue in which {n:d} requests wait for {wait_s:g} s, and {rate:d} are sent a second")
def given_slow_queue(context, n, wait_s, rate):
    context.subject = subject = QueueSubject()
    for number in range(n):
        ticket = subject.join(f"{number:03}", wait_s=wait_s, start_s=wait_s + number)
        subject.queue.begin_wait(ticket, subject.now)
    context.rate = rate
    subject.queue.block(subject.tickets["000"], None, subject.now)


@then(
    "nothing is refused within {early_s:g} s, and {low:d} to {high:d} requests after {late_s:g} s, "
    "the last in order"
)
def then_refused_late(context, early_s, low, high, late_s):
    subject = context.subject
    n_sent = 0
    for step in range(1, round(late_s * context.rate) + 1):
        subject.now = NOW + step / context.rate
        subject.queue.record_change()
        name = subject.choose()
        subject.start(name)
        n_sent += 1
        refused = subject.queue.refuse_late(subject.now)
        if subject.now - NOW <= early_s:
            assert not refused, refused
    names = sorted(name for name, ticket in subject.tickets.items() if ticket.refusal)
    assert low <= len(names) <= high, len(names)
    assert names == sorted(subject.tickets)[-len(names) :]


@given("a queue for bodies of {n_bytes:d} bytes")
def given_bounded_queue(context, n_bytes):
    context.subject = QueueSubject(n_bytes)


@when("requests with bodies of {n_bytes:d} bytes and ranks {ranks} wait")
def when_bodies_wait(context, n_bytes, ranks):
    subject, context.refused = context.subject, []
    for number, rank in enumerate(ranks.split(", ")):
        ticket = subject.join(f"{number}", rank=int(rank), n_bytes=n_bytes)
        for evicted in subject.queue.begin_wait(ticket, NOW):
            context.refused.append(evicted.req.rank)
            assert evicted.refusal is RefusalReason.MEMORY
            subject.queue.leave(evicted, NOW)


@then("those with ranks {ranks} are refused for lack of memory")
def then_evicted(context, ranks):
    assert context.refused == [int(rank) for rank in ranks.split(", ")], context.refused


@given("a caller that is told to return after {span_s:g} s")
def given_told(context, span_s):
    context.subject = QueueSubject()
    context.return_at = context.subject.queue.book_return("told", NOW + span_s, NOW)
    assert context.return_at == NOW + span_s


@then(
    "it is told the same time if it returns after {early_s:g} s, and is ahead of newcomers "
    "after {span_s:g} s"
)
def then_same_time(context, early_s, span_s):
    subject = context.subject
    subject.now = NOW + early_s
    assert not subject.join("told").is_returning
    subject.queue.leave(subject.tickets.pop("told"), subject.now)
    again_at = subject.queue.book_return("told", subject.now + 3.0, subject.now)
    assert again_at == context.return_at, again_at
    subject.now = NOW + span_s
    subject.join("newcomer", start_s=1.0)
    subject.join("told", start_s=2.0)
    assert subject.choose() == "told"


@given("an upstream that has rejected requests sent beside {n_beside:d} others {n:d} times")
def given_rejections(context, n_beside, n):
    context.full, context.now = FullUpstreams(), NOW
    for number in range(n):
        if number:
            context.now += 0.41
        context.full.record_rejection(RUN, n_beside, context.now)


@then("it is {state} with {n_inflight:d} requests in flight after {age_s:g} s")
def then_full(context, state, n_inflight, age_s):
    is_full = context.full.is_full(RUN, n_inflight, context.now + age_s)
    assert is_full == (state == "full"), is_full


class RoomSubject:
    """A gateway of a service with two routes, and one request to it."""

    def __init__(self, priorities, kind):
        self.sim = LoadSimulation(is_polling=False, n_upstreams=3, slots=16)
        urgent, other = (int(text) for text in priorities.split(", "))
        routes = (
            make_route("first", urgent, 2.0, kind),
            make_route("second", other, 6.0, kind),
        )
        self.routes = {route.priority: route for route in routes}
        config = self.sim.tables.config
        self.sim.configure(routes, version=config.version + 1)
        self.kind = kind
        self.loads = [self.sim.tables.get_load(uid) for uid in self.sim.upstreams]

    def send(self, priority, n_tokens, change, busy_s):
        """Return the seconds until a request is admitted; ``change`` frees the upstreams."""
        caller = self.sim.make_caller("c", "urgent")
        caller.kind = self.routes[priority]
        flow = self.sim.flow if self.kind is RouteKind.STREAM else self.sim.plain_flow

        async def free():
            await trio.sleep(busy_s)
            change()

        async def run():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(free)
                now = self.sim.clock.now()
                req = self.sim.make_request(caller, now, n_tokens)
                upstream = await flow.wait_for_upstream(req, now)
                assert upstream is not None
                self.admitted_s = self.sim.clock.now() - now
                assert abs(req.held_s - self.admitted_s) < 1e-6, req.held_s
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.0))
        check_empty(self.sim.waiting.queue)


@given("a stream service with routes of priorities {priorities}")
def given_stream_service(context, priorities):
    context.room = RoomSubject(priorities, RouteKind.STREAM)


def free_later(context, field, busy_s):
    """Let a field of the upstreams' loads be 0 after a time, besides those that are by then."""
    context.busy_s = busy_s
    context.busy_fields = [*getattr(context, "busy_fields", []), field]

    def change():
        for load in context.room.loads:
            for name in context.busy_fields:
                setattr(load, name, 0)

    context.change = change


@given("every upstream has {tokens:g} prompt tokens queued for {busy_s:g} s")
def given_queued_tokens(context, tokens, busy_s):
    for load in context.room.loads:
        load.peer_pending_work = tokens
    free_later(context, "peer_pending_work", busy_s)


@when("a stream of priority {priority:d} with {n_tokens:d} prompt tokens comes")
def when_stream_comes(context, priority, n_tokens):
    context.room.send(priority, n_tokens, context.change, context.busy_s)


@given("a plain service with routes of priorities {priorities}, whose answers take {answer_s:g} s")
def given_plain_service(context, priorities, answer_s):
    context.room = RoomSubject(priorities, RouteKind.SAFE)
    context.room.sim.manager.pace.record_plain_answer(SERVICE, answer_s, NOW)


@given("every upstream has {n:d} of {n_slots:d} slots taken for {busy_s:g} s")
def given_taken_slots(context, n, n_slots, busy_s):
    for load in context.room.loads:
        load.n_peer_inflight = n
    free_later(context, "n_peer_inflight", busy_s)


@when("a plain request of priority {priority:d} comes")
def when_plain_comes(context, priority):
    context.room.send(priority, 0, context.change, context.busy_s)


@given("a stream service without upstreams")
def given_no_upstreams(context):
    context.room = RoomSubject("0, 9", RouteKind.STREAM)
    for upstream_id in context.room.sim.upstreams:
        context.room.sim.tables.drop_upstream(upstream_id)


@when("a stream with a goal of {goal_s:g} s comes")
def when_stream_without_upstream(context, goal_s):
    sim = context.room.sim
    caller = sim.make_caller("c", "urgent")
    assert caller.kind.goal_s == goal_s

    async def run():
        context.retry_s = await sim.serve(sim.make_request(caller, sim.clock.now()))
        context.refused_s = trio.current_time()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.0))


@then("it is refused after {refused_s:g} s, and may return {retry_s:g} s later")
def then_refused_after(context, refused_s, retry_s):
    assert abs(context.refused_s - refused_s) < 0.01, context.refused_s
    assert abs(context.retry_s - retry_s) < 0.01, context.retry_s
    check_empty(context.room.sim.waiting.queue)


@then("it is admitted after {low:g} s to {high:g} s")
def then_admitted(context, low, high):
    assert low - 1e-6 <= context.room.admitted_s <= high + 1e-6, context.room.admitted_s
