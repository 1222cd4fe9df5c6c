"""Test doubles for the interfaces of the agent."""

import httpx
import msgspec
import trio

from crocusvalve.agent import HealthReport, Upstream, UpstreamEnd
from crocusvalve.base import (
    AttemptId,
    BootId,
    ClassKind,
    CustomerId,
    DomainId,
    DomainState,
    MemberId,
    NodeId,
    Priority,
    RequestId,
    Revision,
    UpstreamId,
    UpstreamKind,
    UpstreamState,
    VersionRef,
    VersionState,
)
from crocusvalve.config import (
    CustomerConfig,
    Document,
    DocumentView,
    DomainConfig,
    MemberConfig,
    ModelConfig,
    UpstreamConfig,
    VersionConfig,
)
from crocusvalve.rpc import ConfigAck, RunRequest, UpstreamOrderReply, Usage
from crocusvalve.utils import Clock

BOOT_ID = BootId("boot-1")
NOW = 1000.0


class ManualClock(Clock):
    """Clock that follows trio's clock, plus an offset in seconds that a test may increase."""

    def __init__(self):
        self.offset_s = NOW - trio.current_time()

    def now(self):
        return trio.current_time() + self.offset_s


def make_view(
    revision=1, *, is_out=False, is_withdrawn=False, allowed=("assess",), cold_limit=2, warm_limit=8
):
    state = VersionState.WITHDRAWN if is_withdrawn else VersionState.ACTIVE
    versions = {"v1": VersionConfig(prompt_price=1.0, completion_price=2.0, state=state)}
    member = MemberConfig(
        domains={"can-tho": DomainConfig("south", DomainState.OUT if is_out else DomainState.IN)},
        models={"assess": ModelConfig("v1", versions)},
        upstreams={
            "e1": UpstreamConfig(
                "can-tho",
                "127.0.0.1:1",
                "http://e1",
                serves=("assess@v1",),
                cold_limit=cold_limit,
                warm_limit=warm_limit,
            ),
            "p1": UpstreamConfig("can-tho", "127.0.0.1:2", "http://p1", kind=UpstreamKind.PLAIN),
        },
        customers={"coop": CustomerConfig("k", allowed, ("chat",))},
    )
    members = {MemberId("delta"): member, MemberId("sfax"): MemberConfig()}
    return DocumentView(Document("trial", members), Revision(revision))


def make_request(attempt="a1", **changes):
    fields = {
        "attempt_id": AttemptId(attempt),
        "request_id": RequestId(f"r-{attempt}"),
        "entry_id": NodeId("entry-1"),
        "customer_id": CustomerId("delta/coop"),
        "class_name": "chat",
        "kind": ClassKind.ANSWER,
        "upstream_id": UpstreamId("delta/e1"),
        "upstream_kind": UpstreamKind.ENGINE,
        "version": VersionRef("delta/assess@v1"),
        "revision": Revision(1),
        "deadline": NOW + 30.0,
        "priority": Priority.NORMAL,
        "body": b'{"messages": [{"role": "user", "content": "hi"}]}',
        "digest": "d1",
    }
    return RunRequest(**(fields | changes))


class FakeRevisionCache:
    """Revision cache whose view a test sets."""

    def __init__(self, view):
        self.view = view

    def apply_push(self, push):
        self.view = make_view(push.revision)
        return ConfigAck(push.revision)

    def make_push(self, peer_revision):
        raise NotImplementedError


class FakeUpstream(Upstream):
    """Upstream whose calls follow a script and record what they execute.

    ``script`` holds the steps of each call in order: bytes are sent as a chunk of the answer,
    events are waited for and errors are raised. ``before_send`` is awaited before the call is sent.
    ``executed`` holds the IDs of executed attempts and the numbers of executed orders.
    """

    def __init__(self, script=(b"one ", b"two")):
        self.script = script
        self.health = HealthReport(True, UpstreamState.WARM, "engine-1")
        self.loaded = None
        self.executed = []
        self.cancelled = []
        self.before_send = None

    async def call(self, req, *, on_send, on_data):
        if self.before_send is not None:
            await self.before_send()
        on_send()
        self.executed.append(req.attempt_id)
        for item in self.script:
            if isinstance(item, Exception):
                raise item
            if isinstance(item, bytes):
                await on_data(item)
            else:
                await item.wait()
        return UpstreamEnd(Usage(10, 20), "stop")

    async def cancel(self, req):
        self.cancelled.append(req.attempt_id)

    async def probe(self):
        return self.health

    async def list_loaded(self):
        if isinstance(self.loaded, Exception):
            raise self.loaded
        return self.loaded

    async def order(self, order, *, on_send):
        on_send()
        self.executed.append(order.number)
        return UpstreamOrderReply(True, order.number)


def make_sse(texts, *, finish_reason="stop", usage=True, done=True):
    """Return the body of an engine's stream as server-sent events."""
    chunks = [{"choices": [{"delta": {"content": text}}]} for text in texts]
    if finish_reason:
        last = {"choices": [{"delta": {}, "finish_reason": finish_reason}]}
        if usage:
            last["usage"] = {"prompt_tokens": 3, "completion_tokens": len(texts)}
        chunks.append(last)
    lines = [b"data: " + msgspec.json.encode(chunk) + b"\n\n" for chunk in chunks]
    return b"".join(lines) + (b"data: [DONE]\n\n" if done else b"")


class InterruptedStream(httpx.AsyncByteStream):
    """Response body during which the connection is interrupted."""

    def __init__(self, data):
        self.data = data

    async def __aiter__(self):
        yield self.data
        raise httpx.ReadError("cut")


def make_domain(name="delta/can-tho"):
    return DomainId(name)
