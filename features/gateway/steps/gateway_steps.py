"""Steps for a gateway with a stand-in store and stand-in upstreams."""

import socket

import msgspec
import trio
from behave import given, then, when

from crocusvalve.base import DomainId, NodeId, UpstreamId
from crocusvalve.gateway.decisions._placement import PlacementReason
from crocusvalve.gateway.flows._stopping import StopPlan
from crocusvalve.gateway.shared._gossip_message import GossipMessage
from crocusvalve.gateway.shared._table_copies import TableCopy
from crocusvalve.platform import PlatformStore
from crocusvalve.standin import StoreFault, UpstreamFault, make_event
from crocusvalve.store.base import FeedPage, FeedRow
from crocusvalve.utils import Clock
from features.gateway.gateway_harness import (
    API_KEY,
    ATTEMPT_ID,
    READY_PORT,
    GatewayHarness,
    make_gateway_config,
)

GRACE_S = 8.0
REQUEST_FIELDS = (
    f"Host: api.example\r\nX-Attempt-Id: {ATTEMPT_ID}\r\nAuthorization: Bearer {API_KEY}\r\n"
)
RESERVED_FIELDS = {
    "X_Tenant": "another",
    "X_Hold": "h1",
    "X_Pin_Ms": "100",
    "X_Kv_Backup": "127.0.0.1:1",
    "Kv_From": "127.0.0.1:1/h",
    "Kv_Fetch": "127.0.0.1:1",
    "X_Expect_Instance": "nobody",
    "X_Expect_Version": "7",
    "X_Request_Priority": "0",
    "X_Deadline_Ms": "5000",
    "Connection": "close, X-Secret",
    "X_Secret": "1",
    "X_Other": "kept",
}


class InvalidRequest:
    """Factory of invalid requests."""

    @staticmethod
    def make(name):
        """Return the bytes of the request that a step calls by this name."""
        head = f"POST /unsafe/1 HTTP/1.1\r\n{REQUEST_FIELDS}"
        return {
            "a request head that is too long": f"{head}X-Long: {'x' * 5000}\r\n\r\n",
            "a request body that is too long": f"{head}Content-Length: 20001\r\n\r\n{'x' * 20001}",
            "a chunked body with a length": f"{head}Content-Length: 5\r\n"
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /safe/1 HTTP/1.1\r\n\r\n",
            "bytes that are not HTTP": "\x16\x03\x01 nonsense\r\n\r\n",
            "two Content-Lengths": f"{head}Content-Length: 5\r\nContent-Length: 6\r\n\r\n123456",
            "an unknown host": f"{head}\r\n".replace("api.example", "other.example"),
            "an unknown path": f"{head}\r\n".replace("/unsafe/1", "/unsafe"),
            "an unknown API key": f"{head}\r\n".replace(API_KEY, "other"),
            "no API key": f"{head}\r\n".replace(f"Authorization: Bearer {API_KEY}\r\n", ""),
        }[name].encode()


class SuspendedClock(Clock):
    """A clock that jumps ahead by ``jump_s`` after its third read.

    It is read at the admission, at the placement and at the start of the attempt of a request, so
    that the attempt notices the jump before it sends the request.
    """

    def __init__(self, clock, jump_s):
        self.clock = clock
        self.jump_s = jump_s
        self.n_reads = 0

    def now(self):
        self.n_reads += 1
        return self.clock.now() + (self.jump_s if self.n_reads > 3 else 0.0)


@given("a gateway with two upstreams")
def given_gateway(context):
    context.harness = GatewayHarness()


@given("the operators have written no configuration")
def given_no_configuration(context):
    context.harness.has_configuration = False


@given("the store refuses calls as busy from the start")
def given_busy_store(context):
    context.harness.has_configuration = False
    context.harness.store.fault = StoreFault.BUSY


@when(
    "the store stops answering, a second gateway starts and a caller sends it a request for {path}"
)
def when_second_gateway(context, path):
    async def act(harness):
        harness.store.fault = StoreFault.SILENT
        async with PlatformStore(harness.store_address) as feed, trio.open_nursery() as nursery:
            await harness.start_second_gateway(feed, nursery)
            await harness.wait_for(harness.second_gateway.is_ready)
            harness.front_host = harness.second_gateway.settings.front.host
            await harness.call(path)
            nursery.cancel_scope.cancel()

    context.harness.run(act)


@when("a second gateway gets corrupt copies and no answer from the store at first")
def when_corrupt_copies(context):
    async def act(harness):
        harness.store.fault = StoreFault.SILENT
        exchange = harness.gateway.copy_exchange
        encode_copies = exchange.encode_copies
        exchange.encode_copies = lambda req: encode_copies(req)[:-1]
        async with PlatformStore(harness.store_address) as feed, trio.open_nursery() as nursery:
            await harness.start_second_gateway(feed, nursery)
            await harness.wait_for(
                lambda: has_logged(harness, "no tables copied from another gateway")
            )
            assert not harness.second_gateway.is_ready()
            harness.store.fault = StoreFault.NONE
            await harness.wait_for(harness.second_gateway.is_ready)
            nursery.cancel_scope.cancel()

    context.harness.run(act)


@then("the second gateway has the configuration of the store")
def then_second_configuration(context):
    assert context.harness.second_gateway.tables.config.version == context.harness.config["version"]


@when("the gateway gets a copy with another configuration")
def when_given_copy(context):
    async def act(harness):
        row = FeedRow("config", msgspec.json.encode(make_gateway_config(99)), 10**6)
        harness.gateway.copy_exchange.merge_copies(
            "127.0.0.9", {"op": TableCopy(FeedPage((row,), 10**6, 0.0), True)}
        )

    context.harness.run(act)


@then("the configuration of the store stays in force")
def then_configuration_stays(context):
    assert context.harness.gateway.tables.config.version == context.harness.config["version"]


@then("the log says that tables were copied from another gateway")
def then_copy_logged(context):
    assert has_logged(context.harness, "tables copied from another gateway")


@then("the log says that no tables were copied from another gateway")
def then_copy_failure_logged(context):
    assert has_logged(context.harness, "no tables copied from another gateway")


def has_logged(harness, start):
    """Return whether a log message begins with a text."""
    return any(record.getMessage().startswith(start) for record in harness.log_records)


@given("malformed entries of upstreams in the store")
def given_malformed_entries(context):
    good = context.harness.upstreams["one"].make_entry("ops", "domain-one")
    context.harness.extra_rows = [
        ("servers", "bytes", b"\xff\xfe{"),
        ("servers", "empty", {}),
        ("servers", "no-address", {k: v for k, v in good.items() if k != "address"}),
        ("servers", "wrong-type", good | {"slots": "many"}),
        ("servers", "wrong-state", good | {"state": "dreaming"}),
        ("servers", "bad-address", good | {"address": "somewhere"}),
    ]


@given("the first attempt encounters the fault {fault}")
def given_first_attempt_fault(context, fault):
    context.fault = UpstreamFault(fault)
    harness = context.harness
    # The upstreams share one list of faults, so only the first attempt encounters the fault.
    shared = [context.fault]
    for upstream in harness.upstreams.values():
        upstream.faults = shared


@given("the smaller model's confidence is {confidence:d}")
def given_confidence(context, confidence):
    for upstream in context.harness.upstreams.values():
        upstream.confidence = {"small": confidence, "large": 0}


@when("a caller requests {target}")
def when_requests(context, target):
    async def act(harness):
        store = harness.gateway.store
        if not harness.has_configuration:
            await harness.wait_for(
                lambda: harness.gateway.tables.has_upstreams or store.is_failing("op")
            )
        await harness.call(target)
        context.probe = await harness.send(
            b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", port=READY_PORT
        )
        harness.answers.pop()

    context.harness.run(act)


@given("all upstreams are available")
def given_all_available(context):
    context.harness.extra_rows = []


@given("all domains are evacuated")
def given_all_evacuated(context):
    context.harness.extra_rows = [("op", f"evacuate/domain-{name}", {}) for name in ("one", "two")]


@when("a caller sends {path}, with a prompt if it is a stream")
def when_sends_prompt(context, path):
    fields = {}
    if path.startswith("/stream"):
        fields = {"X_Model": "*", "X_Prefix_Hash": "5c1e07a2:600,91bd3f06:200"}
        fields["Accept"] = "text/event-stream"

    async def act(harness):
        await harness.call(path, method="POST", **fields)
        context.metrics = (
            await harness.send(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", port=READY_PORT)
        ).body.decode()

    context.harness.run(act)


@then("the request's log line has the reason {reason} and the waiting time is recorded")
def then_placement_logged(context, reason):
    lines = [
        row for row in context.harness.log_records if row.getMessage().startswith("request ended")
    ]
    assert [row.fields["placement"] for row in lines] == [PlacementReason(reason).value]
    waited_ms = lines[0].fields["waited_ms"]
    assert (waited_ms > 0) == (reason == "none_allowed"), waited_ms
    counts = [row for row in context.metrics.splitlines() if "_wait_seconds_count{" in row]
    assert len(counts) == 1 and counts[0].endswith(" 1.0"), counts


@then("a refused caller may retry after {retry_s:g} s")
def then_may_retry(context, retry_s):
    retry_after_s = float(context.harness.answers[0].headers.get("retry-after", 0.0))
    assert retry_after_s == retry_s, context.harness.answers


@when("a caller sends {path} with POST")
def when_sends_post(context, path):
    context.harness.run(lambda harness: harness.call(path, method="POST", body=b"order"))


@when("a caller sends a body of {n_bytes:d} bytes with a Content-Length")
def when_sends_body(context, n_bytes):
    body = b"x" * n_bytes
    context.harness.run(lambda harness: harness.call("/unsafe/1", method="POST", body=body))


@when("a caller sends a body of {n_bytes:d} bytes in chunked encoding")
def when_sends_chunked_body(context, n_bytes):
    head = f"POST /unsafe/1 HTTP/1.1\r\n{REQUEST_FIELDS}Transfer-Encoding: chunked\r\n\r\n"
    half = n_bytes // 2
    chunk = f"{half:x}\r\n{'x' * half}\r\n"
    data = f"{head}{chunk}{chunk}0\r\n\r\n".encode()
    context.harness.run(lambda harness: harness.send(data, "POST"))


@when("a caller sends header fields reserved for the gateway")
def when_sends_reserved_fields(context):
    context.harness.run(lambda harness: harness.call("/safe/1", **RESERVED_FIELDS))


@when("a caller sends three requests at once on one connection")
def when_pipelined(context):
    head = "GET /safe/{} HTTP/1.1\r\n" + REQUEST_FIELDS + "\r\n"

    async def act(harness):
        stream = await trio.open_tcp_stream(harness.host, 18080)
        async with stream:
            await stream.send_all("".join(head.format(n) for n in (1, 2, 3)).encode())
            data = b""
            while data.count(b" by ") < 3:
                data += await stream.receive_some(65536)
        context.data = data

    context.harness.run(act)


@when("a caller sends {request}")
def when_sends_invalid(context, request):
    data = InvalidRequest.make(request)
    context.harness.run(lambda harness: harness.send(data, "POST"))


@when("a caller opens a stream at {path} after event {number:d}")
def when_resumes_stream(context, path, number):
    open_stream(context, path, Last_Event_Id=str(number))


@when("a caller opens a stream at {path}")
def when_opens_stream(context, path):
    open_stream(context, path)


def open_stream(context, path, **headers):
    """Open a stream with a prompt of two parts, and run the harness."""
    fields = {"X_Model": "*", "X_Token_Usage": "300,60", "X_Prefix_Hash": "aa:200,bb:100"}
    fields |= {"Accept": "text/event-stream"} | headers
    context.harness.run(lambda harness: harness.call(path, method="POST", body=b"prompt", **fields))


@when("upstream one is draining and a caller requests {path} {n:d} times")
def when_draining(context, n, path):
    async def act(harness):
        entry = harness.upstreams["one"].make_entry("ops", "domain-one", state="draining")
        harness.store.put("servers", "one-ops", entry)
        rows = harness.gateway.tables.upstreams
        await harness.wait_for(lambda: rows[UpstreamId("one-ops")].is_draining)
        for _ in range(n):
            await harness.call(path)

    context.harness.run(act)


@when("the failure domain of upstream one is evacuated and a caller requests {path} {n:d} times")
def when_domain_evacuated(context, n, path):
    async def act(harness):
        harness.store.put("op", "evacuate/domain-one", {})
        tables = harness.gateway.tables
        await harness.wait_for(lambda: DomainId("domain-one") in tables.evacuated_domains)
        for _ in range(n):
            await harness.call(path)

    context.harness.run(act)


@when("a caller disconnects while {path} runs")
def when_disconnects(context, path):
    async def act(harness):
        stream = await trio.open_tcp_stream(harness.host, 18080)
        await stream.send_all(
            f"POST {path} HTTP/1.1\r\n{REQUEST_FIELDS}Content-Length: 0\r\n\r\n".encode()
        )
        await harness.wait_for(lambda: harness.calls)
        await stream.aclose()
        await harness.wait_for(lambda: sum(u.n_abandoned for u in harness.upstreams.values()))

    context.harness.run(act)


@when("the process is suspended for {seconds:g} s while it handles {path}")
def when_suspended(context, seconds, path):
    async def act(harness):
        attempt_manager = harness.gateway.attempt_manager
        clock = SuspendedClock(attempt_manager.clock, seconds)
        for part in (
            attempt_manager,
            harness.gateway.request_handler.plain,
            harness.gateway.request_handler.streams,
        ):
            part.clock = clock
        await harness.call(path, method="POST", body=b"order")

    context.harness.run(act)


@when("a newer configuration without the key is followed by an older one with it")
def when_older_configuration(context):
    async def act(harness):
        tables = harness.gateway.tables
        harness.store.put("op", "config", make_gateway_config(7, tenants=[]))
        await harness.wait_for(lambda: tables.config.version == 7)
        older_version = harness.store.put("op", "config", make_gateway_config(5))
        await harness.wait_for(
            lambda: harness.gateway.operator_handler.replica.version >= older_version
        )
        await harness.call("/safe/1")

    context.harness.run(act)


@when("the store stops answering and a caller requests {path}")
def when_store_silent(context, path):
    async def act(harness):
        harness.store.fault = StoreFault.SILENT
        await harness.wait_for(lambda: not harness.gateway.store.is_up)
        await harness.call(path)

    context.harness.run(act)


@when("the store drops its history and then a newer configuration arrives")
def when_history_lost(context):
    async def act(harness):
        harness.store.put("op", "config", make_gateway_config(9))
        harness.store.discard_history()
        await harness.wait_for(lambda: harness.gateway.tables.config.version == 9)
        harness.store.put("op", "config", make_gateway_config(10))
        await harness.wait_for(lambda: harness.gateway.tables.config.version == 10)

    context.harness.run(act)


@when("the gateway begins to stop and a caller requests {path}")
def when_stopping(context, path):
    async def act(harness):
        harness.gateway.request_handler.stop_plan = StopPlan.make(
            harness.gateway.clock.now(), GRACE_S
        )
        await harness.call(path)
        context.probe = await harness.send(
            b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", port=READY_PORT
        )
        harness.answers.pop()

    context.harness.run(act)


@given("another gateway that is {state}")
def given_peer(context, state):
    context.harness.peer_gossip = GossipMessage(
        node_id=NodeId("gateway-2"), boot_id="b", host="127.0.0.9", is_leaving=state == "stopping"
    )


@when("the gateway has been stopping for {since_s:d} s and a caller requests {path} with {method}")
def when_stops_since(context, since_s, path, method):
    async def act(harness):
        gateway = harness.gateway
        now = gateway.clock.now()
        gateway.peers.update_peer(harness.peer_gossip, now)
        gateway.request_handler.stop_plan = StopPlan.make(now - since_s, GRACE_S)
        await harness.call(path, method=method)

    context.harness.run(act)


@then("the caller gets {status:d} and may retry after about {retry_s:g} s")
def then_status_and_retry(context, status, retry_s):
    answer = context.harness.answers[0]
    assert answer.status == status, answer
    retry_after_s = float(answer.headers.get("retry-after", 0.0))
    assert retry_s - 0.5 <= retry_after_s <= retry_s, answer


@then("the caller gets {status:d} and the upstream ran {target} once")
def then_ran_once(context, status, target):
    harness = context.harness
    assert harness.answers[0].status == status, harness.answers
    assert [call.target for call in harness.calls] == [target], harness.calls


@then("the upstream's service was {service}")
def then_service(context, service):
    expected = context.harness.calls[0].headers["x-expect-instance"]
    assert expected.endswith(service), expected


@then("the caller gets {status:d} and the upstream read {n_bytes:d} bytes")
def then_body_read(context, status, n_bytes):
    harness = context.harness
    assert harness.answers[0].status == status, harness.answers
    assert [len(call.body) for call in harness.calls] == [n_bytes]


@then("the caller gets {status:d} with code {code} and no upstream ran the request")
def then_refused(context, status, code):
    harness = context.harness
    answer = harness.answers[0]
    assert answer.status == status, answer
    assert msgspec.json.decode(answer.body)["error"]["code"] == code, answer
    assert not harness.calls


@then("the upstream got the customer's name, its own id and the time left, not the caller's values")
def then_reserved_fields(context):
    headers = context.harness.calls[0].headers
    assert headers["x-tenant"] == "first"
    assert headers["x-expect-instance"].endswith("-ops")
    assert 0 < int(headers["x-deadline-ms"]) <= 5000
    assert headers["x-other"] == "kept"
    removed = {name.replace("_", "-").lower() for name in RESERVED_FIELDS} - {
        "x-tenant",
        "x-expect-instance",
        "x-deadline-ms",
        "x-other",
    }
    assert not removed & headers.keys(), headers
    assert "authorization" not in headers


@then("the answer says after which time to retry")
def then_retry_after(context):
    assert float(context.harness.answers[0].headers["retry-after"]) > 0


@then("the readiness probe reports that the gateway is not ready")
def then_not_ready(context):
    assert context.probe.status == 503, context.probe


@then("the gateway has loaded {n:d} upstreams")
def then_upstreams_loaded(context, n):
    assert len(context.harness.gateway.tables.upstreams) == n


@then("the caller gets {status:d} after {n_runs:d} runs")
def then_runs(context, status, n_runs):
    harness = context.harness
    assert harness.answers[0].status == status, harness.answers
    assert len(harness.calls) == n_runs, harness.calls
    if status >= 500 and status != 500:
        assert "x-response-signature" not in harness.answers[0].headers


@then(
    "the caller gets events {first:d} to {last:d}, each once, with the first upstream's signature"
)
def then_events(context, first, last):
    answer = context.harness.answers[0]
    expected = b"".join(make_event("/stream/1", n) for n in range(first, last + 1))
    assert answer.is_complete and answer.body == expected, answer
    models = {call.headers["x-model"] for call in context.harness.calls}
    assert models == {"small"}, models
    first_call = min(context.harness.calls, key=lambda call: call.headers.get("last-event-id", "0"))
    name = first_call.headers["x-expect-instance"].removesuffix("-llm")
    assert answer.headers["x-response-signature"] == f"signed-by-{name}"


@then("the caller gets a part of the answer that is recognizably incomplete, after {n_runs:d} run")
def then_incomplete(context, n_runs):
    answer = context.harness.answers[0]
    assert answer.body == b"".join(make_event("/once/1", n) for n in (1, 2)), answer
    assert not answer.is_complete
    assert len(context.harness.calls) == n_runs


@then("the answer comes from the model {model} after {n_runs:d} runs")
def then_model(context, model, n_runs):
    harness = context.harness
    assert harness.answers[0].is_complete
    models = sorted(call.headers["x-model"] for call in harness.calls)
    assert len(models) == n_runs and model in models, models


@then("upstream one ran no request")
def then_upstream_idle(context):
    assert not context.harness.upstreams["one"].calls
    assert {answer.status for answer in context.harness.answers} == {200}


@then("the log gives the reason for the interruption")
def then_interruption_logged(context):
    (record,) = (r for r in context.harness.log_records if r.getMessage() == "request ended: cut")
    expected = "the stream can't be resumed: it may run only once"
    assert record.fields["reason"] == expected, record.fields


@then("the log says that the store fails")
def then_store_fails(context):
    assert any(r.getMessage().startswith("the store fails") for r in context.harness.log_records)


@then("the upstream sees its connection closed")
def then_connection_closed(context):
    assert sum(upstream.n_abandoned for upstream in context.harness.upstreams.values()) == 1


@then("the newer configuration is in force")
def then_newer_configuration(context):
    assert context.harness.gateway.tables.config.version == 10


@then("the answer says that the connection will be closed")
def then_connection_close(context):
    assert context.harness.answers[0].headers["connection"] == "close"


@then("their answers come in order")
def then_in_order(context):
    positions = [context.data.index(f"GET /safe/{n} ".encode()) for n in (1, 2, 3)]
    assert positions == sorted(positions)


def use_up_budgets(harness):
    """Count so many extra attempts that the budgets allow no further ones."""
    manager = harness.gateway.attempt_manager
    for service in ("ops", "llm"):
        for _ in range(1_000):
            manager.get_budget(service).count_extra_attempt(manager.clock.now())


@given("upstream one refuses connections and the budget of extra attempts is used up")
def given_refusing_upstream(context):
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
    upstream = context.harness.upstreams["one"]
    context.refusing_entries = {
        service: upstream.make_entry(service, "domain-one", address=address, sequence=2)
        for service in ("ops", "llm")
    }


@when("callers send {path} {n:d} times, first to upstream one")
def when_sent_to_refusing(context, path, n):
    async def act(harness):
        tables = harness.gateway.tables
        for service, entry in context.refusing_entries.items():
            harness.store.put("servers", f"one-{service}", entry)
            key = UpstreamId(f"one-{service}")
            await harness.wait_for(
                lambda key=key, entry=entry: str(tables.upstreams[key].address) == entry["address"]
            )
        use_up_budgets(harness)
        for _ in range(n):
            for service in ("ops", "llm"):
                one = tables.get_load(UpstreamId(f"one-{service}"))
                one.suspended_until = 0.0
                other = tables.get_load(UpstreamId(f"two-{service}"))
                other.n_peer_inflight, other.peer_pending_work = 5, 90_000.0
            await call_kind(harness, path)

    context.harness.run(act)


async def call_kind(harness, path):
    """Send a request of the kind that a path needs."""
    fields = {}
    if path.startswith("/stream"):
        fields = {"X_Model": "*", "X_Prefix_Hash": "aa:200,bb:100", "Accept": "text/event-stream"}
    await harness.call(path, method="GET" if path.startswith("/safe") else "POST", **fields)


@when("the budget of extra attempts is used up and a caller opens a stream at {path}")
def when_budget_used_up(context, path):
    async def act(harness):
        use_up_budgets(harness)
        await call_kind(harness, path)

    context.harness.run(act)


@given("every attempt encounters the fault {fault}")
def given_every_fault(context, fault):
    for upstream in context.harness.upstreams.values():
        upstream.faults = [UpstreamFault(fault)] * 100


@then("no upstream is suspended and none of the {n:d} answers counts as a failure of its version")
def then_not_suspended(context, n):
    gateway = context.harness.gateway
    now = gateway.clock.now()
    assert all(load.suspended_until <= now for load in gateway.tables.loads.values())
    rows = gateway.outcome_counts.list_local()
    assert not any(row.counts.n_failures for row in rows), rows
