"""Steps for upstreams that are about to stop, or that are overloaded."""

import trio
from behave import given, then, when

from crocusvalve.base import DomainId, NodeId, UpstreamId
from crocusvalve.gateway.base import Address, ServiceName, Upstream, VersionName
from crocusvalve.gateway.decisions._closures import ClosureTable, UpstreamRun
from crocusvalve.gateway.shared._gossip_message import GossipMessage
from crocusvalve.gateway.upstreams._upstream_call import UpstreamCall
from crocusvalve.platform import PlatformHeaderCodec
from crocusvalve.standin import UpstreamFault
from features.gateway.gateway_harness import make_gateway

#: Messages of a gateway, sent before another one starts.
N_EARLIER_MESSAGES = 25
STARTED_MS = 1_700_000_000_000
ONE = UpstreamRun(UpstreamId("one-ops"), STARTED_MS)
ONE_LLM = UpstreamRun(UpstreamId("one-llm"), STARTED_MS)
STREAM_FIELDS = {"X_Model": "*", "X_Prefix_Hash": "aa:200,bb:100", "Accept": "text/event-stream"}


class RepeatedFault(list):
    """Faults of an upstream that injects the same one into every answer."""

    def pop(self, index=-1):
        return self[index]


async def request(harness, path):
    """Send a request of the kind that a path needs."""
    fields = STREAM_FIELDS if path.startswith("/stream") else {}
    method = "GET" if path.startswith("/safe") else "POST"
    return await harness.call(path, method=method, **fields)


def count_requests(upstream):
    """Return the number of requests that an upstream got."""
    return len(upstream.calls) + upstream.n_rejected


def is_closed(harness):
    """Return whether the gateway knows that upstream one is about to stop."""
    leaving = harness.gateway.tables.closures.list_leaving()
    return ONE in leaving or ONE_LLM in leaving


async def request_until_closed(context, harness, path="/safe/1"):
    """Send requests until the gateway knows that upstream one is about to stop."""
    with trio.fail_after(10.0):
        while not is_closed(harness):
            await request(harness, path)
    context.n_requests = count_requests(harness.upstreams["one"])


@given("upstream one is about to stop and its answers are {fault}")
def given_leaving(context, fault):
    upstream = context.harness.upstreams["one"]
    upstream.is_leaving = True
    upstream.faults = RepeatedFault([UpstreamFault(fault)])


@given("upstream one is about to stop and its address belongs to another upstream")
def given_reused_address(context):
    upstream = context.harness.upstreams["one"]
    upstream.is_leaving = True
    upstream.upstream_id = "another"


@given("both upstreams are about to stop")
def given_both_leaving(context):
    context.reports = (ONE, UpstreamRun(UpstreamId("two-ops"), STARTED_MS))


@when(
    "callers request {path} until upstream one has said that it is about to stop, "
    "and {n:d} times more"
)
def when_until_closed(context, path, n):
    async def act(harness):
        await request_until_closed(context, harness, path)
        for _ in range(n):
            await request(harness, path)

    context.harness.run(act)


@then("upstream one got no request after its answer")
def then_none_after(context):
    assert count_requests(context.harness.upstreams["one"]) == context.n_requests
    assert context.harness.upstreams["two"].calls


@when("a caller sends {path} with POST after another gateway has reported it")
def when_reported(context, path):
    async def act(harness):
        message = GossipMessage(
            node_id=NodeId("gateway-2"), boot_id="b", host="127.0.0.9", leaving=context.reports
        )
        harness.gateway.gossip.merge(message, harness.gateway.clock.now())
        await harness.call(path, method="POST")

    context.harness.run(act)


@given("a closure table in which the run of an upstream that started at {started_ms:d} is {state}")
def given_closure_table(context, started_ms, state):
    context.closures = ClosureTable()
    context.closures.mark_leaving(UpstreamRun(UpstreamId("u1"), started_ms))


@then("its run that started at {started_ms:d} is {state}")
def then_run_state(context, started_ms, state):
    upstream = Upstream(
        upstream_id=UpstreamId("u1"),
        service=ServiceName("ops"),
        address=Address("127.0.0.1", 1),
        domain=DomainId("a"),
        version=VersionName("v1"),
        slots=1,
        started_ms=started_ms,
    )
    assert context.closures.is_leaving(upstream) == (state == "closed")


@when(
    "upstream one's entry is removed and registered again after it has said "
    "that it is about to stop"
)
def when_registered_again(context):
    async def act(harness):
        await request_until_closed(context, harness)
        rows = harness.gateway.tables.upstreams
        harness.store.drop("servers", ONE.upstream_id)
        await harness.wait_for(lambda: ONE.upstream_id not in rows)
        entry = harness.upstreams["one"].make_entry("ops", "domain-one")
        harness.store.put("servers", ONE.upstream_id, entry)
        await harness.wait_for(lambda: ONE.upstream_id in rows)
        for _ in range(8):
            await request(harness, "/safe/1")

    context.harness.run(act)


@when("upstream one starts again after it has said that it is about to stop")
def when_starts_again(context):
    async def act(harness):
        await request_until_closed(context, harness)
        upstream = harness.upstreams["one"]
        upstream.is_leaving = False
        entry = upstream.make_entry("ops", "domain-one", born=STARTED_MS + 1)
        harness.store.put("servers", ONE.upstream_id, entry)
        rows = harness.gateway.tables.upstreams
        await harness.wait_for(lambda: rows[ONE.upstream_id].started_ms > STARTED_MS)
        for _ in range(8):
            await request(harness, "/safe/1")

    context.harness.run(act)


@then("upstream one got a request after its start")
def then_got_request(context):
    assert count_requests(context.harness.upstreams["one"]) > context.n_requests


@when("callers request {path} {n:d} times")
def when_callers_request(context, path, n):
    async def act(harness):
        for _ in range(n):
            await request(harness, path)

    context.harness.run(act)


@then("no upstream is closed")
def then_no_closed(context):
    assert not context.harness.gateway.tables.closures.list_leaving()


@when("upstream one closes while a request for {path} connects to it")
def when_closes_meanwhile(context, path):
    async def act(harness):
        connect = UpstreamCall.open

        async def open_and_close(call, timeout_s):
            await connect(call, timeout_s)
            if str(call.address) == harness.upstreams["one"].address:
                harness.gateway.tables.closures.mark_leaving(ONE)

        # Upstream two looks busy, so that upstream one is chosen first.
        harness.gateway.tables.get_load(UpstreamId("two-ops")).n_peer_inflight = 1
        UpstreamCall.open = open_and_close
        try:
            await request(harness, path)
        finally:
            UpstreamCall.open = connect
        context.is_marked = is_closed(harness)

    context.harness.run(act)


@then("the caller gets 200 and upstream two ran the request")
def then_two_ran(context):
    harness = context.harness
    assert context.is_marked and harness.answers[0].status == 200, harness.answers
    assert len(harness.upstreams["two"].calls) == 1 and not harness.upstreams["one"].calls


@when("an upstream rejects a request with status {status:d} and Retry-After {value}")
def when_rejects(context, status, value):
    headers = [(b"x-not-executed", b"1"), (b"retry-after", value.encode())]
    context.reply = PlatformHeaderCodec().read_reply(status, headers)


@then("it gets no requests for {span_s:g} s")
def then_span(context, span_s):
    assert (context.reply.retry_after_s or 0.0) == span_s, context.reply


@given("upstream one is overloaded and wants no requests for {span} s")
def given_overloaded(context, span):
    context.span_s = float(span)
    upstream = context.harness.upstreams["one"]
    upstream.retry_after = span
    upstream.faults = [UpstreamFault.OVERLOADED]


@given("both upstreams are overloaded and want no requests for {first} s and {second} s")
def given_both_overloaded(context, first, second):
    for name, span in (("one", first), ("two", second)):
        upstream = context.harness.upstreams[name]
        upstream.retry_after = span
        upstream.faults = [UpstreamFault.OVERLOADED]


@when("callers send {path} for {seconds:g} s, {n_per_s:d} per second")
def when_send_for(context, path, seconds, n_per_s):
    async def act(harness):
        upstream = harness.upstreams["one"]
        rejected_at = None
        context.n_while_closed = context.n_later = 0
        with trio.move_on_after(seconds):
            while True:
                n_before = count_requests(upstream)
                await request(harness, path)
                now = trio.current_time()
                n_new = count_requests(upstream) - n_before
                if rejected_at is not None and now - rejected_at < context.span_s:
                    context.n_while_closed += n_new
                elif rejected_at is not None:
                    context.n_later += n_new
                if rejected_at is None and upstream.n_rejected:
                    rejected_at = now
                await trio.sleep(1.0 / n_per_s)

    context.harness.run(act)


@then("upstream one got at most {n:d} requests before the time was over, and further ones later")
def then_while_closed(context, n):
    assert context.n_while_closed <= n, context.n_while_closed
    assert context.n_later > 0


@then("every caller got {status:d}")
def then_every_status(context, status):
    assert {answer.status for answer in context.harness.answers} == {status}


@when("callers send {path} {n:d} times")
def when_send_times(context, path, n):
    async def act(harness):
        for _ in range(n):
            started_at = trio.current_time()
            await request(harness, path)
            context.elapsed_s = trio.current_time() - started_at

    context.harness.run(act)


@then("the last caller gets 503 within {bound_s:g} s and may retry after {low:g} s to {high:g} s")
def then_last_refused(context, bound_s, low, high):
    answer = context.harness.answers[-1]
    assert answer.status == 503 and context.elapsed_s < bound_s, (answer, context.elapsed_s)
    assert low <= float(answer.headers["retry-after"]) <= high, answer


@given("{n:d} upstreams have told a gateway that they are about to stop")
def given_many_leaving(context, n):
    context.first, context.second = make_gateway(1), make_gateway(2)
    context.runs = {UpstreamRun(UpstreamId(f"u{number}"), STARTED_MS) for number in range(n)}
    for run in context.runs:
        context.first.tables.closures.mark_leaving(run)
    for _ in range(N_EARLIER_MESSAGES):
        context.first.gossip.make_message(0.0)


@when("a gateway that has started since gets {n:d} of its messages")
def when_messages(context, n):
    for _ in range(n):
        context.second.gossip.merge(context.first.gossip.make_message(0.0), 0.0)


@then("it knows all of them")
def then_all_known(context):
    assert set(context.second.tables.closures.list_leaving()) == context.runs
