"""Steps for the admission queue: what callers get under load."""

from functools import partial

import trio
from behave import given, then, when

from crocusvalve.gateway.decisions._tickets import RefusalReason
from features.gateway.admission_load import SERVICE, LoadSimulation, check_empty


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
