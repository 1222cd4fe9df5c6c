"""Steps for upstreams that name the rate of requests that they take."""

import trio
from behave import given, then, when

from crocusvalve.standin import UpstreamFault
from features.gateway.gateway_harness import PlatformStore
from features.gateway.steps.closure_steps import RepeatedFault, request

#: Time after which a gateway's own answers count as known to it, and the span of the users' bound.
KNOWN_AFTER_S = 0.5
SPAN_S = 4.0


@given("upstream {name} takes {rate} requests per second")
def given_rate(context, name, rate):
    context.harness.upstreams[name].rate_limit = rate


async def send_load(harness, path, per_s, span_s, hosts):
    """Send requests at even intervals, to the hosts in turn, and wait for their answers."""
    async with trio.open_nursery() as nursery:
        for number in range(int(per_s * span_s)):
            nursery.start_soon(send_one, harness, path, hosts[number % len(hosts)])
            await trio.sleep(1 / per_s)


async def send_one(harness, path, host):
    """Send one request to a gateway."""
    started_at = trio.current_time()
    fields = {"X_Model": "small"} if path.startswith("/stream") else {}
    if path.startswith("/stream"):
        fields |= {"Accept": "text/event-stream", "X_Prefix_Hash": "aa:200,bb:100"}
    method = "GET" if path.startswith("/safe") else "POST"
    answer = await harness.call(path, method=method, front_host=host, **fields)
    now = trio.current_time()
    harness.elapsed_s.append((now - started_at, answer))
    if answer.status == 503:
        harness.return_at.append(now + float(answer.headers["retry-after"]))


@when("for {span_s:d} s {per_s:d} callers per second send {path}, to two gateways in turn")
def when_two_gateways(context, span_s, per_s, path):
    async def act(harness):
        async with PlatformStore(harness.store_address) as feed, trio.open_nursery() as nursery:
            await harness.start_second_gateway(feed, nursery)
            await harness.wait_for(harness.second_gateway.is_ready)
            await trio.sleep(1.0)
            hosts = [harness.host, harness.second_gateway.settings.front.host]
            await send_load(harness, path, per_s, span_s, hosts)
            nursery.cancel_scope.cancel()

    context.harness.run(act)


@when("{per_s:d} callers per second send {path} to one gateway for {span_s:d} s")
def when_load(context, span_s, per_s, path):
    async def act(harness):
        await send_load(harness, path, per_s, span_s, [harness.host])
        # Each refused caller is told a time of its own; the one that is due first returns.
        due = [at for at in harness.return_at if at >= trio.current_time()]
        context.returned = None
        if due:
            await trio.sleep_until(min(due))
            context.returned = await request(harness, path)

    context.harness.run(act)


@when(
    "{per_s:d} callers per second send {path} to one gateway, {span_s:d} s before and {more_s:d} s "
    "after the limit ends"
)
def when_limit_ends(context, span_s, per_s, path, more_s):
    async def act(harness):
        await send_load(harness, path, per_s, span_s, [harness.host])
        harness.upstreams["one"].rate_limit = ""
        context.ended_at = trio.current_time()
        await send_load(harness, path, per_s, more_s, [harness.host])

    context.harness.run(act)


@when("for {span_s:d} s {per_s:d} callers per second open streams that upstream two interrupts")
def when_interrupted(context, span_s, per_s):
    async def act(harness):
        harness.upstreams["two"].faults = RepeatedFault([UpstreamFault.BREAK_IN_EVENT])
        await send_load(harness, "/stream/1", per_s, span_s, [harness.host])

    context.harness.run(act)


def count_most(upstream):
    """Return the most requests in any span after the upstream has named its limit."""
    since = min(upstream.arrived_at, default=0.0) + KNOWN_AFTER_S
    times = [at for at in upstream.arrived_at if at >= since]
    return max((sum(start <= at < start + SPAN_S for at in times) for start in times), default=0)


@then("upstream one never gets more than {bound:d} requests in 4 s once it has named its limit")
def then_bound(context, bound):
    n_most = count_most(context.harness.upstreams["one"])
    assert n_most <= bound, (n_most, bound)


@then("no upstream gets more than {bound:d} requests in 4 s once it has named its limit")
def then_each_bound(context, bound):
    counts = [count_most(upstream) for upstream in context.harness.upstreams.values()]
    assert max(counts) <= bound, counts


@then("callers are refused within {limit_s:g} s, and one that returns when told to is served")
def then_refused_at_once(context, limit_s):
    refused = [(s, answer) for s, answer in context.harness.elapsed_s if answer.status == 503]
    assert len(refused) >= 10, [answer.status for _, answer in context.harness.elapsed_s]
    # Up to 0.3 of the route's goal may be waited for an upstream that opens within this time.
    slow = [s for s, _ in refused if s > limit_s]
    assert len(slow) <= len(refused) / 5, sorted(slow)
    assert context.returned is not None and context.returned.status == 200, context.returned


@then("upstream one gets at least {n:d} requests in some second after that")
def then_open_again(context, n):
    arrived_at = context.harness.upstreams["one"].arrived_at
    times = [at for at in arrived_at if at >= context.ended_at]
    n_most = max((sum(start <= at < start + 1.0 for at in times) for start in times), default=0)
    assert n_most >= n, (n_most, [round(at - context.ended_at, 2) for at in times])
