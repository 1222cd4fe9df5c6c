"""Steps for rows, messages and bodies that can't be read or applied."""

import json

import msgspec
import trio
from behave import given, then, when

from crocusvalve.agent._engine_stream import _decode_chunk
from crocusvalve.agent._upstream import UpstreamError
from crocusvalve.base import NodeId, UpstreamId
from crocusvalve.entry._parse import parse_chat_body
from crocusvalve.exceptions import CrocusvalveError, ErrorCode
from crocusvalve.gateway.shared._gossip_message import GossipMessage
from crocusvalve.gateway.shared._table_copies import TableCopy
from crocusvalve.platform import PlatformRecordCodec
from crocusvalve.rpc import decode
from crocusvalve.store._messages import JSON_TYPE, decode_message
from crocusvalve.store.base import FeedPage, FeedRow
from features.gateway.gateway_harness import PEER_PORT
from features.gateway.steps.gateway_steps import has_logged

BAD_KEY, BAD_ID = "i-of-another-writer", UpstreamId("one-ops")
N_LISTS = 2000
PAUSE_S = 0.02


def make_bad_value(harness, name):
    """Return the value of an entry that a step describes."""
    entry = harness.upstreams["two"].make_entry("ops", "domain-two")
    host, _, port = entry["address"].partition(":")
    if name == "an entry within 2000 lists":
        return b"[" * N_LISTS + b"]" * N_LISTS
    if name == "an entry within 32000 lists":
        return b"[" * 32_000 + b"]" * 32_000
    if name == "an entry with a start of 1e999":
        return json.dumps(entry | {"born": 0}).encode().replace(b'"born": 0', b'"born": 1e999')
    if name == "an entry with a field of 2000 lists":
        return json.dumps(entry).encode()[:-1] + b',"x":' + b"[" * N_LISTS + b"]" * N_LISTS + b"}"
    changes = {
        "an entry with a port that is no number": {"address": f"{host}:\u00b2"},
        "an entry with a port of 5000 digits": {"address": f"{host}:{'1' * 5000}"},
        "an entry with a port over 65535": {"address": f"{host}:70000"},
        "an entry with a port of 0": {"address": f"{host}:0"},
        "an entry with a port of -1": {"address": f"{host}:-1"},
        "an entry with a lone surrogate": {"zone": "\ud800"},
        "an entry with slots of minus 400 digits": {"slots": -(10**400)},
        "an entry with slots of -1": {"slots": -1},
        "an entry with a cold time of 1e308": {"coldLeftMs": 1e308},
        "an entry with a name as its address": {"address": f"a\0b:{port}"},
        "an entry with slots of 400 digits": {"slots": 10**400},
        "an entry with a start of 30 digits": {"born": 10**30},
    }[name]
    return json.dumps(entry | changes).encode()


def drain_one(harness):
    """Let upstream one announce its end."""
    entry = harness.upstreams["one"].make_entry("ops", "domain-one", state="draining")
    harness.store.put("servers", BAD_ID, entry)


def is_draining(harness):
    """Return whether the gateway knows that upstream one is draining."""
    row = harness.gateway.tables.upstreams.get(BAD_ID)
    return row is not None and row.is_draining


async def await_draining(context, harness):
    """Measure the time until the gateway knows that upstream one is draining."""
    started_at = trio.current_time()
    context.known_after_s = float("inf")
    with trio.move_on_after(5.0):
        await harness.wait_for(lambda: is_draining(harness))
        context.known_after_s = trio.current_time() - started_at


@given("{entry} in the store")
def given_bad_entry(context, entry):
    harness = context.harness
    harness.extra_rows = [("servers", BAD_KEY, lambda: make_bad_value(harness, entry))]


@when("{entry} is stored and then upstream one begins to drain, while requests for {path} arrive")
def when_bad_entry(context, entry, path):
    async def act(harness):
        for _ in range(3):
            harness.store.put("servers", BAD_KEY, make_bad_value(harness, entry))
            await trio.sleep(0.1)
        for _ in range(6):
            await harness.call(path, method="POST", body=b"order")
        drain_one(harness)
        await await_draining(context, harness)
        context.n_before = len(harness.upstreams["one"].calls)
        for _ in range(10):
            await harness.call(path, method="POST", body=b"order")
            await trio.sleep(PAUSE_S)

    context.harness.run(act)


@when("the application of one row fails as it comes {source} with a change of upstream one")
def when_row_fails(context, source):
    async def act(harness):
        handler = harness.gateway.upstream_handler
        apply_row = handler.apply_row

        def apply(row, now):
            if row.key == BAD_KEY:
                raise ZeroDivisionError("injected")
            apply_row(row, now)

        handler.apply_row = apply
        entry = harness.upstreams["one"].make_entry("ops", "domain-one", state="draining")
        if source == "from the store":
            harness.store.put("servers", BAD_KEY, entry)
            drain_one(harness)
        else:
            era, version = handler.replica.position.era, handler.replica.position.version + 1
            value = msgspec.json.encode(entry)
            rows = (FeedRow(BAD_KEY, value, version), FeedRow(BAD_ID, value, version))
            copy = TableCopy(FeedPage(rows, version, 0.0, era), False)
            harness.gateway.copy_exchange.merge_copies("127.0.0.9", {"servers": copy})
        await await_draining(context, harness)

    context.harness.run(act)


@when("the follower of upstreams fails once and upstream one begins to drain meanwhile")
def when_follower_fails(context):
    async def act(harness):
        handler = harness.gateway.upstream_handler
        merge_changes = handler.merge_changes

        def merge(page, now, answered_at=None):
            handler.merge_changes = merge_changes
            raise ZeroDivisionError("injected")

        handler.merge_changes = merge
        drain_one(harness)
        await await_draining(context, harness)

    context.harness.run(act)


@when("a datagram within {n:d} lists arrives before a message of a peer")
def when_datagram(context, n):
    message = GossipMessage(node_id=NodeId("gateway-9"), boot_id="b", host="127.0.0.9")

    async def act(harness):
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as sock:
            for data in (make_longer_message(message, n), msgspec.msgpack.encode(message)):
                await sock.sendto(data, (harness.host, PEER_PORT))
                await trio.sleep(0.2)
        now = harness.gateway.clock.now()
        context.nodes = harness.gateway.peers.list_active_nodes(now)

    context.harness.run(act)


def make_longer_message(message, n):
    """Return a message with a further field that is nested."""
    fields = [msgspec.msgpack.encode(field) for field in msgspec.structs.astuple(message)]
    header = b"\xdc" + (len(fields) + 1).to_bytes(2, "big")
    return header + b"".join(fields) + b"\x91" * n + b"\x90"


@then("the gateway knows within {bound_s:g} s that upstream one is draining")
def then_draining(context, bound_s):
    assert context.known_after_s <= bound_s, context.known_after_s


@then("all requests are answered, and none sent later reached upstream one")
def then_answered(context):
    harness = context.harness
    assert all(answer.status == 200 for answer in harness.answers), harness.answers
    assert len(harness.upstreams["one"].calls) == context.n_before


@then("the malformed entry is logged once")
def then_logged_once(context):
    lines = [row for row in context.harness.log_records if BAD_KEY in row.getMessage()]
    assert len(lines) == 1, lines


@then("the log says that the row was not applied")
def then_row_logged(context):
    assert has_logged(context.harness, f"row servers/{BAD_KEY} was not applied")


@then("the log says that a task failed")
def then_task_logged(context):
    assert has_logged(context.harness, "task TableFollower.run failed")


@then("the gateway knows the peer")
def then_peer(context):
    assert "gateway-9" in context.nodes, context.nodes


@then("{reader} refuses a value within {n:d} lists as malformed")
def then_refused(context, reader, n):
    nested = b"[" * n + b"]" * n
    body = b'{"model":"m","messages":[],"x":' + nested + b"}"
    codec = PlatformRecordCodec()
    message = GossipMessage(node_id=NodeId("gateway-9"), boot_id="b", host="127.0.0.9")
    if reader == "the reader of upgrade orders":
        value = b'{"service":"s","target":"v","durationS":1,"x":' + nested + b"}"
        assert codec.read_order("rollout/s", value, 1) is None
        return
    code, action = {
        "the reader of callers' bodies": (ErrorCode.BAD_JSON, lambda: parse_chat_body(body)),
        "the reader of an engine's chunks": (
            ErrorCode.UPSTREAM_FAILED,
            lambda: _decode_chunk(body.decode()),
        ),
        "the reader of configurations": (
            ErrorCode.CONFIG_INVALID,
            lambda: codec.read_configuration(b'{"version":1,"x":' + nested + b"}"),
        ),
        "the reader of messages between VMs": (
            None,
            lambda: decode(make_longer_message(message, n), GossipMessage),
        ),
        "the reader of the store's answers": (
            None,
            lambda: decode_message(body, GossipMessage, JSON_TYPE),
        ),
    }[reader]
    try:
        action()
    except (CrocusvalveError, UpstreamError) as exc:
        assert exc.code is code, exc
    except msgspec.DecodeError:
        assert code is None
    else:
        raise AssertionError("nothing was refused")
