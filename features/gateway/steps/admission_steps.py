"""Steps for the admission queue: what callers get under load, and each of its decisions."""

import re
from functools import partial

import trio
import trio.testing
from behave import given, then, when

from crocusvalve.base import UpstreamId
from crocusvalve.gateway.base import RouteKind
from crocusvalve.gateway.decisions._admission import AdmissionQueue
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.decisions._full_upstreams import FullUpstreams
from crocusvalve.gateway.decisions._tickets import AdmissionRequest, RefusalReason, WaitingBytes
from features.gateway.admission_load import (
    SERVICE,
    LoadSimulation,
    make_route,
)

NOW = 1_000.0
MANY_BYTES = 10**9
RUN = UpstreamRun(UpstreamId("u"), 1)


# Loads


async def send_burst(sim, nursery):
    """Send 1.7 times the capacity for 3 s, and 0.8 of it before and after."""
    for factor, span_s in ((0.8, 4.0), (1.7, 3.0), (0.8, 6.0)):
        await sim.load(nursery, factor * sim.capacity_per_s, span_s, sim.make_caller)


async def send_surge(sim, nursery):
    """Send 0.85 of the capacity from 20 customers, one of which then sends 7.5 times its share."""
    rate_per_s = 0.85 * sim.capacity_per_s
    nursery.start_soon(sim.load, nursery, rate_per_s, 12.0, sim.make_caller)
    await trio.sleep(6.0)
    extra_per_s = 6.5 * rate_per_s / 20
    await sim.load(nursery, extra_per_s, 5.0, partial(sim.make_caller, "c0"))


async def send_big_customer(sim, nursery):
    """Send 28 in 100 of the requests from one customer, first below and then above capacity."""
    for factor, span_s in ((0.8, 5.0), (1.5, 4.0)):
        rate_per_s = factor * sim.capacity_per_s
        async with trio.open_nursery() as senders:
            make_big = partial(sim.make_caller, "big")
            senders.start_soon(sim.load, nursery, 0.72 * rate_per_s, span_s, sim.make_caller)
            senders.start_soon(sim.load, nursery, 0.28 * rate_per_s, span_s, make_big)


async def send_repeats(sim, nursery):
    """Send 1.3 times the capacity; 30 in 100 of the callers repeat at once three times."""
    rate_per_s = 1.3 * sim.capacity_per_s
    make_repeating = partial(sim.make_caller, "repeating")
    repeat = partial(sim.load, repeats_at_once=3)
    async with trio.open_nursery() as senders:
        senders.start_soon(sim.load, nursery, 0.7 * rate_per_s, 6.0, sim.make_caller)
        senders.start_soon(repeat, nursery, 0.3 * rate_per_s, 6.0, make_repeating)


async def send_leaving(sim, nursery):
    """Send 1.2 times the capacity; 40 in 100 of the callers leave after 0.3 s."""
    rate_per_s = 1.2 * sim.capacity_per_s
    leave = partial(sim.load, patience_s=0.3)
    async with trio.open_nursery() as senders:
        senders.start_soon(sim.load, nursery, 0.6 * rate_per_s, 8.0, sim.make_caller)
        senders.start_soon(
            leave, nursery, 0.4 * rate_per_s, 8.0, partial(sim.make_caller, "leaving")
        )


async def send_without_half(sim, nursery):
    """Send 0.8 of the capacity of all upstreams, of which half are gone after 4 s."""
    nursery.start_soon(sim.load, nursery, 0.8 * sim.capacity_per_s, 12.0, sim.make_caller)
    await trio.sleep(4.0)
    for upstream_id in list(sim.upstreams)[::2]:
        sim.upstreams[upstream_id].is_gone = True
        sim.tables.drop_upstream(upstream_id)


async def send_all_at_once(sim, nursery):
    """Send 400 requests at the same time to a gateway that has just started."""
    for _ in range(400):
        nursery.start_soon(sim.call, sim.make_caller())


LOADS = {
    "a burst of 1.7 times the capacity for 3 s": send_burst,
    "7.5 times the usual of one customer": send_surge,
    "too much, 28 in 100 with one key": send_big_customer,
    "too much, of whom 30 in 100 repeat three times": send_repeats,
    "too much, of whom 40 in 100 leave after 0.3 s": send_leaving,
    "as usual while half of the upstreams are gone": send_without_half,
    "400 requests at once after a restart": send_all_at_once,
}


@given("callers send {load}")
def given_load(context, load):
    context.load = LOADS[load]


@when("it meets a gateway with the queue, and one where each request searches for itself")
def when_loaded(context):
    context.queued = LoadSimulation(is_polling=False).run(context.load)
    context.polling = LoadSimulation(is_polling=True).run(context.load)


def check_share(context, low, select):
    """Check that a share of some callers gets answers in time, more than without the queue."""
    queued, polling = context.queued.get_share(select), context.polling.get_share(select)
    assert queued >= low, queued
    assert queued > polling, (queued, polling)


def get_sends(simulation):
    return simulation.n_sends / len(simulation.callers)


@then(
    "at least {urgent:g} of the urgent and {share:g} of all callers are answered in time, "
    "more than without the queue"
)
def then_in_time(context, urgent, share):
    check_share(context, urgent, lambda caller: caller.kind.name == "urgent")
    check_share(context, share, lambda caller: True)


@then("at most {n:g} requests are sent for each caller, fewer than without the queue")
def then_sends(context, n):
    queued, polling = get_sends(context.queued), get_sends(context.polling)
    assert queued <= n and queued < polling, (queued, polling)


@then("no request is refused while a place is free, and none is left in the queue")
def then_none_refused(context):
    assert not context.queued.n_refused_beside_free, context.queued.n_refused_beside_free
    check_empty(context.queued.waiting.queue)


def check_empty(queue):
    assert not len(queue) and not queue.n_offered and not queue.waiting_bytes.size


@then(
    "at least {low:g} of the callers of other customers are answered in time, "
    "more than without the queue"
)
def then_others_in_time(context, low):
    check_share(context, low, lambda caller: caller.customer not in ("c0", "repeating"))


@then(
    "at least {low:g} of the callers of customer {customer} are answered in time, "
    "more than without the queue"
)
def then_customer_in_time(context, low, customer):
    check_share(context, low, lambda caller: caller.customer == customer)


@then("at least {low:g} of the callers that stay are answered in time, and none is left")
def then_staying_in_time(context, low):
    share = context.queued.get_share(lambda caller: caller.customer != "leaving")
    assert share >= low, share
    check_empty(context.queued.waiting.queue)


@then(
    "every caller is answered, and at least {low:g} of the refused ones at the time "
    "that they were told"
)
def then_promises(context, low):
    callers = context.queued.callers
    assert all(caller.answered_at is not None for caller in callers)
    n_kept = sum(caller.n_kept_promises for caller in callers)
    n_broken = sum(caller.n_broken_promises for caller in callers)
    assert n_kept >= low * (n_kept + n_broken) > 0, (n_kept, n_broken)


@then("at most {n:d} callers are told to return within the same {span_s:g} s")
def then_spread(context, n, span_s):
    times = sorted(at for caller in context.queued.callers for at in caller.retry_times)
    for first, last in zip(times, times[n:], strict=False):
        assert last - first > span_s, (first, last)


@then("the refusals by reason add up to the callers' refusals, and the queue length is 0")
def then_metrics(context):
    registry = context.queued.manager.observer.registry
    n_refusals = sum(caller.n_refusals for caller in context.queued.callers)
    n_counted = sum(
        registry.get_sample_value(
            "crocusvalve_gateway_admission_refusals_total",
            {"service": SERVICE, "reason": reason.value},
        )
        or 0
        for reason in RefusalReason
    )
    assert n_counted == n_refusals > 0, (n_counted, n_refusals)
    labels = {"service": SERVICE}
    assert registry.get_sample_value("crocusvalve_gateway_queue_length", labels) == 0


# Decisions of the queue


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
        subject.join(f"{number:03}", wait_s=wait_s, start_s=wait_s + number)
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
        for evicted in subject.queue.hold_bytes(ticket, NOW):
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


# Full upstreams


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


# Room for more urgent requests


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


@given("every upstream has {tokens:g} prompt tokens queued for {busy_s:g} s")
def given_queued_tokens(context, tokens, busy_s):
    context.busy_s = busy_s
    for load in context.room.loads:
        load.peer_pending_work = tokens

    def change():
        for load in context.room.loads:
            load.peer_pending_work = 0.0

    context.change = change


@when("a stream of priority {priority:d} with {n_tokens:d} prompt tokens comes")
def when_stream_comes(context, priority, n_tokens):
    context.room.send(priority, n_tokens, context.change, context.busy_s)


@given("a plain service with routes of priorities {priorities}, whose answers take {answer_s:g} s")
def given_plain_service(context, priorities, answer_s):
    context.room = RoomSubject(priorities, RouteKind.SAFE)
    context.room.sim.manager.pace.record_plain_answer(SERVICE, answer_s, NOW)


@given("every upstream has {n:d} of {n_slots:d} slots taken for {busy_s:g} s")
def given_taken_slots(context, n, n_slots, busy_s):
    context.busy_s = busy_s
    for load in context.room.loads:
        load.n_peer_inflight = n

    def change():
        for load in context.room.loads:
            load.n_peer_inflight = 0

    context.change = change


@when("a plain request of priority {priority:d} comes")
def when_plain_comes(context, priority):
    context.room.send(priority, 0, context.change, context.busy_s)


@then("it is admitted after {low:g} s to {high:g} s")
def then_admitted(context, low, high):
    assert low - 1e-6 <= context.room.admitted_s <= high + 1e-6, context.room.admitted_s
