"""Steps about a gateway between stand-ins."""

import msgspec
import trio
from behave import given, then, when

from crocusvalve.base import DomainId, NodeId, UpstreamId
from crocusvalve.gateway._peers import PeerNews
from crocusvalve.gateway._placement import PlacementReason
from crocusvalve.gateway._stopping import StopPlan
from crocusvalve.platform import PlatformStore
from crocusvalve.standin import StoreFault, UpstreamFault, make_event
from crocusvalve.store.base import FeedPage, FeedRow
from crocusvalve.utils import Clock
from features.gateway.gateway_world import (
    ATTEMPT,
    KEY,
    READY_PORT,
    GatewayWorld,
    make_gateway_config,
)

GRACE_S = 8.0
BASE = f"Host: api.example\r\nX-Attempt-Id: {ATTEMPT}\r\nAuthorization: Bearer {KEY}\r\n"
OWN_FIELDS = {
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


class RequestSubject:
    """Requests with something wrong, as bytes."""

    @staticmethod
    def make(name):
        head = f"POST /unsafe/1 HTTP/1.1\r\n{BASE}"
        return {
            "a head that is too long": f"{head}X-Long: {'x' * 5000}\r\n\r\n",
            "a body that is too long": f"{head}Content-Length: 20001\r\n\r\n{'x' * 20001}",
            "a body with length and chunks": f"{head}Content-Length: 5\r\n"
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /safe/1 HTTP/1.1\r\n\r\n",
            "bytes that are no request": "\x16\x03\x01 nonsense\r\n\r\n",
            "two lengths": f"{head}Content-Length: 5\r\nContent-Length: 6\r\n\r\n123456",
            "an unknown host": f"{head}\r\n".replace("api.example", "other.example"),
            "an unknown path": f"{head}\r\n".replace("/unsafe/1", "/unsafe"),
            "an unknown key": f"{head}\r\n".replace(KEY, "other"),
            "no key": f"{head}\r\n".replace(f"Authorization: Bearer {KEY}\r\n", ""),
        }[name].encode()


class SuspendedClock(Clock):
    """A clock that jumps once it has been read twice: at the admission and at the placement."""

    def __init__(self, clock, jump_s):
        self.clock = clock
        self.jump_s = jump_s
        self.n_reads = 0

    def now(self):
        self.n_reads += 1
        return self.clock.now() + (self.jump_s if self.n_reads > 3 else 0.0)


@given("a gateway with two upstreams")
def given_gateway(context):
    context.world = GatewayWorld()


@given("the operators have written no configuration")
def given_no_config(context):
    context.world.is_informed = False


@given("the store is busy from the start")
def given_busy(context):
    context.world.is_informed = False
    context.world.store.fault = StoreFault.BUSY


@when("the store falls silent, a second gateway starts and a caller asks it for {path}")
def when_second(context, path):
    async def act(world):
        world.store.fault = StoreFault.SILENT
        async with PlatformStore(world.store_address) as feed, trio.open_nursery() as nursery:
            await world.start_other(feed, nursery)
            await world.wait_for(world.other.is_ready)
            world.front_host = world.other.settings.front.host
            await world.call(path)
            nursery.cancel_scope.cancel()

    context.world.run(act)


@when("a second gateway meets damaged copies and a store that is silent at first")
def when_damaged_copies(context):
    async def act(world):
        world.store.fault = StoreFault.SILENT
        whole = world.gateway.copies.make_copy()
        world.gateway.copies.make_copy = lambda: whole[:-1]
        async with PlatformStore(world.store_address) as feed, trio.open_nursery() as nursery:
            await world.start_other(feed, nursery)
            await world.wait_for(lambda: has_logged(world, "no tables from another gateway"))
            assert not world.other.is_ready()
            world.store.fault = StoreFault.NONE
            await world.wait_for(world.other.is_ready)
            nursery.cancel_scope.cancel()

    context.world.run(act)


@then("the second gateway has the configuration of the store")
def then_second_config(context):
    assert context.world.other.tables.config.version == context.world.config["version"]


@when("the gateway is given a copy with another configuration")
def when_given_copy(context):
    async def act(world):
        row = FeedRow("config", msgspec.json.encode(make_gateway_config(99)), 10**6)
        world.gateway.copies.take_copy("127.0.0.9", {"op": FeedPage((row,), 10**6, 0.0)})

    context.world.run(act)


@then("the configuration of the store stays in force")
def then_config_stays(context):
    assert context.world.gateway.tables.config.version == context.world.config["version"]


@then("the log says that tables were taken from another gateway")
def then_copy_logged(context):
    assert has_logged(context.world, "tables taken from another gateway")


@then("the log says that there are no tables from another gateway")
def then_copy_failure_logged(context):
    assert has_logged(context.world, "no tables from another gateway")


def has_logged(world, start):
    return any(record.getMessage().startswith(start) for record in world.records)


@given("damaged entries of upstreams")
def given_damaged(context):
    good = context.world.upstreams["one"].make_entry("ops", "domain-one")
    context.world.rows = [
        ("servers", "bytes", b"\xff\xfe{"),
        ("servers", "empty", {}),
        ("servers", "no-address", {k: v for k, v in good.items() if k != "address"}),
        ("servers", "wrong-type", good | {"slots": "many"}),
        ("servers", "wrong-state", good | {"state": "dreaming"}),
        ("servers", "bad-address", good | {"address": "somewhere"}),
    ]


@given("the first attempt meets {fault}")
def given_fault(context, fault):
    context.fault = UpstreamFault(fault)
    world = context.world
    # Whichever upstream is asked first meets the fault; the other one is good.
    shared = [context.fault]
    for upstream in world.upstreams.values():
        upstream.faults = shared


@given("the smaller model's confidence is {confidence:d}")
def given_confidence(context, confidence):
    for upstream in context.world.upstreams.values():
        upstream.confidence = {"small": confidence, "large": 0}


@when("a caller asks for {target}")
def when_get(context, target):
    async def act(world):
        store = world.gateway.store
        if not world.is_informed:
            await world.wait_for(
                lambda: world.gateway.tables.has_upstreams or store.failed_at > 0.0
            )
        await world.call(target)
        context.probe = await world.send(
            b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", port=READY_PORT
        )
        world.answers.pop()

    context.world.run(act)


@given("all upstreams are there")
def given_all(context):
    context.world.rows = []


@given("all domains are out")
def given_all_out(context):
    context.world.rows = [("op", f"evacuate/domain-{name}", {}) for name in ("one", "two")]


@when("a caller sends {path}, with a prompt where it is a stream")
def when_prompt(context, path):
    fields = {}
    if path.startswith("/stream"):
        fields = {"X_Model": "*", "X_Prefix_Hash": "5c1e07a2:600,91bd3f06:200"}
        fields["Accept"] = "text/event-stream"

    async def act(world):
        await world.call(path, method="POST", **fields)
        context.metrics = (
            await world.send(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", port=READY_PORT)
        ).body.decode()

    context.world.run(act)


@then("the log's line of the request has the reason {reason} and the wait is counted")
def then_reason(context, reason):
    lines = [row for row in context.world.records if row.getMessage().startswith("request ended")]
    assert [row.fields["placement"] for row in lines] == [PlacementReason(reason).value]
    waited_ms = lines[0].fields["waited_ms"]
    assert (waited_ms > 0) == (reason == "none_allowed"), waited_ms
    counts = [row for row in context.metrics.splitlines() if "_wait_seconds_count{" in row]
    assert len(counts) == 1 and counts[0].endswith(" 1.0"), counts


@then("a refused caller may come back after {retry_s:g} s")
def then_come_back(context, retry_s):
    told_s = float(context.world.answers[0].headers.get("retry-after", 0.0))
    assert told_s == retry_s, context.world.answers


@when("a caller sends {path} with POST")
def when_post(context, path):
    context.world.run(lambda world: world.call(path, method="POST", body=b"order"))


@when("a caller sends a body of {n_bytes:d} bytes with a length")
def when_body(context, n_bytes):
    body = b"x" * n_bytes
    context.world.run(lambda world: world.call("/unsafe/1", method="POST", body=body))


@when("a caller sends a body of {n_bytes:d} bytes in chunks")
def when_chunks(context, n_bytes):
    head = f"POST /unsafe/1 HTTP/1.1\r\n{BASE}Transfer-Encoding: chunked\r\n\r\n"
    half = n_bytes // 2
    chunk = f"{half:x}\r\n{'x' * half}\r\n"
    data = f"{head}{chunk}{chunk}0\r\n\r\n".encode()
    context.world.run(lambda world: world.send(data, "POST"))


@when("a caller sends the system's header fields")
def when_own_fields(context):
    context.world.run(lambda world: world.call("/safe/1", **OWN_FIELDS))


@when("a caller sends three requests at once on one connection")
def when_pipelined(context):
    head = "GET /safe/{} HTTP/1.1\r\n" + BASE + "\r\n"

    async def act(world):
        stream = await trio.open_tcp_stream(world.host, 18080)
        async with stream:
            await stream.send_all("".join(head.format(n) for n in (1, 2, 3)).encode())
            data = b""
            while data.count(b" by ") < 3:
                data += await stream.receive_some(65536)
        context.data = data

    context.world.run(act)


@when("a caller sends {request}")
def when_bad(context, request):
    data = RequestSubject.make(request)
    context.world.run(lambda world: world.send(data, "POST"))


@when("a caller opens a stream at {path} after event {number:d}")
def when_resume(context, path, number):
    open_stream(context, path, Last_Event_Id=str(number))


@when("a caller opens a stream at {path}")
def when_stream(context, path):
    open_stream(context, path)


def open_stream(context, path, **headers):
    """Open a stream with a prompt of two parts."""
    fields = {"X_Model": "*", "X_Token_Usage": "300,60", "X_Prefix_Hash": "aa:200,bb:100"}
    fields |= {"Accept": "text/event-stream"} | headers
    context.world.run(lambda world: world.call(path, method="POST", body=b"prompt", **fields))


@when("the upstream one is draining and a caller asks {n:d} times for {path}")
def when_draining(context, n, path):
    async def act(world):
        entry = world.upstreams["one"].make_entry("ops", "domain-one", state="draining")
        world.store.put("servers", "one-ops", entry)
        rows = world.gateway.tables.upstreams
        await world.wait_for(lambda: rows[UpstreamId("one-ops")].is_draining)
        for _ in range(n):
            await world.call(path)

    context.world.run(act)


@when("the domain of the upstream one is out and a caller asks {n:d} times for {path}")
def when_domain_out(context, n, path):
    async def act(world):
        world.store.put("op", "evacuate/domain-one", {})
        tables = world.gateway.tables
        await world.wait_for(lambda: DomainId("domain-one") in tables.evacuated)
        for _ in range(n):
            await world.call(path)

    context.world.run(act)


@when("a caller leaves while {path} runs")
def when_leaves(context, path):
    async def act(world):
        stream = await trio.open_tcp_stream(world.host, 18080)
        await stream.send_all(f"POST {path} HTTP/1.1\r\n{BASE}Content-Length: 0\r\n\r\n".encode())
        await world.wait_for(lambda: world.calls)
        await stream.aclose()
        await world.wait_for(lambda: sum(u.n_abandoned for u in world.upstreams.values()))

    context.world.run(act)


@when("the process is suspended for {seconds:g} s while it takes {path}")
def when_suspended(context, seconds, path):
    async def act(world):
        desk = world.gateway.desk
        clock = SuspendedClock(desk.clock, seconds)
        for part in (desk, world.gateway.relay.plain, world.gateway.relay.streams):
            part.clock = clock
        await world.call(path, method="POST", body=b"order")

    context.world.run(act)


@when("a newer configuration without the key is followed by an older one with it")
def when_older(context):
    async def act(world):
        tables = world.gateway.tables
        world.store.put("op", "config", make_gateway_config(7, tenants=[]))
        await world.wait_for(lambda: tables.config.version == 7)
        n_calls = world.store.put("op", "config", make_gateway_config(5))
        await world.wait_for(lambda: world.gateway.operator.mirror.version >= n_calls)
        await world.call("/safe/1")

    context.world.run(act)


@when("the store falls silent and a caller asks for {path}")
def when_silent(context, path):
    async def act(world):
        world.store.fault = StoreFault.SILENT
        await world.wait_for(lambda: not world.gateway.store.is_up)
        await world.call(path)

    context.world.run(act)


@when("the store drops its history and then a newer configuration arrives")
def when_history_lost(context):
    async def act(world):
        world.store.put("op", "config", make_gateway_config(9))
        world.store.discard_history()
        await world.wait_for(lambda: world.gateway.tables.config.version == 9)
        world.store.put("op", "config", make_gateway_config(10))
        await world.wait_for(lambda: world.gateway.tables.config.version == 10)

    context.world.run(act)


@when("the gateway is told to stop and a caller asks for {path}")
def when_stop(context, path):
    async def act(world):
        world.gateway.relay.stop_plan = StopPlan.make(world.gateway.clock.now(), GRACE_S)
        await world.call(path)
        context.probe = await world.send(
            b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", port=READY_PORT
        )
        world.answers.pop()

    context.world.run(act)


@given("another gateway that is {state}")
def given_other(context, state):
    context.world.other_news = PeerNews(
        node_id=NodeId("gateway-2"), boot="b", host="127.0.0.9", is_leaving=state == "stopping"
    )


@when("the gateway stops since {since_s:d} s and a caller asks for {path} with {method}")
def when_stops_since(context, since_s, path, method):
    async def act(world):
        gateway = world.gateway
        now = gateway.clock.now()
        gateway.peers.take(world.other_news, now)
        gateway.relay.stop_plan = StopPlan.make(now - since_s, GRACE_S)
        await world.call(path, method=method)

    context.world.run(act)


@then("the caller gets {status:d} and may come back after about {retry_s:g} s")
def then_retry(context, status, retry_s):
    answer = context.world.answers[0]
    assert answer.status == status, answer
    told_s = float(answer.headers.get("retry-after", 0.0))
    assert retry_s - 0.5 <= told_s <= retry_s, answer


@then("the caller gets {status:d} and the upstream ran {target} once")
def then_ran(context, status, target):
    world = context.world
    assert world.answers[0].status == status, world.answers
    assert [call.target for call in world.calls] == [target], world.calls


@then("the upstream's service was {service}")
def then_service(context, service):
    expected = context.world.calls[0].headers["x-expect-instance"]
    assert expected.endswith(service), expected


@then("the caller gets {status:d} and the upstream read {n_bytes:d} bytes")
def then_read(context, status, n_bytes):
    world = context.world
    assert world.answers[0].status == status, world.answers
    assert [len(call.body) for call in world.calls] == [n_bytes]


@then("the caller gets {status:d} with code {code} and nothing ran")
def then_refused(context, status, code):
    world = context.world
    answer = world.answers[0]
    assert answer.status == status, answer
    assert msgspec.json.decode(answer.body)["error"]["code"] == code, answer
    assert not world.calls


@then(
    "the upstream got the customer's name, its own id and the time left, and none of the caller's"
)
def then_fields(context):
    headers = context.world.calls[0].headers
    assert headers["x-tenant"] == "first"
    assert headers["x-expect-instance"].endswith("-ops")
    assert 0 < int(headers["x-deadline-ms"]) <= 5000
    assert headers["x-other"] == "kept"
    own = {name.replace("_", "-").lower() for name in OWN_FIELDS} - {
        "x-tenant",
        "x-expect-instance",
        "x-deadline-ms",
        "x-other",
    }
    assert not own & headers.keys(), headers
    assert "authorization" not in headers


@then("the caller is told when to come back")
def then_retry_after(context):
    assert float(context.world.answers[0].headers["retry-after"]) > 0


@then("the balancer is told that the gateway is not ready")
def then_not_ready(context):
    assert context.probe.status == 503, context.probe


@then("the gateway knows {n:d} upstreams")
def then_knows(context, n):
    assert len(context.world.gateway.tables.upstreams) == n


@then("the caller gets {status:d} after {n_runs:d} runs")
def then_runs(context, status, n_runs):
    world = context.world
    assert world.answers[0].status == status, world.answers
    assert len(world.calls) == n_runs, world.calls
    if status >= 500 and status != 500:
        assert "x-response-signature" not in world.answers[0].headers


@then(
    "the caller gets events {first:d} to {last:d}, each once, with the first upstream's signature"
)
def then_events(context, first, last):
    answer = context.world.answers[0]
    expected = b"".join(make_event("/stream/1", n) for n in range(first, last + 1))
    assert answer.is_complete and answer.body == expected, answer
    models = {call.headers["x-model"] for call in context.world.calls}
    assert models == {"small"}, models
    first_call = min(context.world.calls, key=lambda call: call.headers.get("last-event-id", "0"))
    name = first_call.headers["x-expect-instance"].removesuffix("-llm")
    assert answer.headers["x-response-signature"] == f"signed-by-{name}"


@then("the caller gets a part that does not look complete, after {n_runs:d} run")
def then_part(context, n_runs):
    answer = context.world.answers[0]
    assert answer.body == b"".join(make_event("/once/1", n) for n in (1, 2)), answer
    assert not answer.is_complete
    assert len(context.world.calls) == n_runs


@then("the answer comes from the model {model} after {n_runs:d} runs")
def then_model(context, model, n_runs):
    world = context.world
    assert world.answers[0].is_complete
    models = sorted(call.headers["x-model"] for call in world.calls)
    assert len(models) == n_runs and model in models, models


@then("the upstream one ran nothing")
def then_nothing(context):
    assert not context.world.upstreams["one"].calls
    assert {answer.status for answer in context.world.answers} == {200}


@then("the log says why it was cut")
def then_reason(context):
    (record,) = (r for r in context.world.records if r.getMessage() == "request ended: cut")
    assert record.fields["reason"] == "the stream can't be resumed", record.fields


@then("the log says that the store fails")
def then_store_fails(context):
    assert any(r.getMessage().startswith("the store fails") for r in context.world.records)


@then("the upstream sees its connection end")
def then_cut(context):
    assert sum(upstream.n_abandoned for upstream in context.world.upstreams.values()) == 1


@then("the newer configuration is in force")
def then_newer(context):
    assert context.world.gateway.tables.config.version == 10


@then("the answer says that the connection ends")
def then_close(context):
    assert context.world.answers[0].headers["connection"] == "close"


@then("their answers come in order")
def then_in_order(context):
    places = [context.data.index(f"GET /safe/{n} ".encode()) for n in (1, 2, 3)]
    assert places == sorted(places)
