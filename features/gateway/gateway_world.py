"""A gateway between stand-ins of the users' store and upstreams, all on loopback in one process."""

import logging
import random

import trio

from crocusvalve.base import DomainId, NodeId
from crocusvalve.gateway import Gateway
from crocusvalve.gateway.base import Address, GatewayBounds, GatewaySettings
from crocusvalve.platform import PlatformHeaders, PlatformRecords, PlatformStore
from crocusvalve.standin import (
    CallerAnswer,
    StandinCaller,
    StandinStore,
    StandinUpstream,
    make_config,
    make_loopback_host,
    make_route,
)
from crocusvalve.utils import BootClock

FRONT_PORT, READY_PORT, PEER_PORT = 18080, 18081, 18082
#: Bound on each wait of a scenario; nothing is judged by it.
LIMIT_S = 20.0
KEY = "key-of-the-first-customer"
ATTEMPT = "a1"


def make_gateway_config(version, **changes):
    """Return a configuration with a route of each kind and one customer."""
    routes = [
        make_route("safe", "/safe/", "safe", maxAttempts=2, service="ops"),
        make_route("unsafe", "/unsafe/", "unsafe", service="ops"),
        make_route("stream", "/stream/", "streaming", service="llm", maxAttempts=3)
        | {"resumable": True, "sizes": ["small", "large"], "goalMs": 3000},
        make_route("once", "/once/", "streaming", service="llm"),
        make_route("open", "/open/", "safe", service="ops") | {"public": True},
        make_route("longer", "/safe/inner/", "safe", service="llm"),
        make_route("short", "/short/", "unsafe", service="ops") | {"timeoutMs": 300},
    ]
    models = [{"name": "small", "cost": 0.1}, {"name": "large", "cost": 1.0}]
    services = [
        {"name": "ops"},
        {"name": "llm", "engine": {"slots": 8, "kvCapacity": 100000, "models": models}},
    ]
    others = {
        "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 20000},
        "tenants": [{"name": "first", "apiKeys": [KEY]}],
    }
    return make_config(version, routes, services, **others) | changes


class GatewayWorld:
    """Stand-ins and a gateway; ``run`` plays an action while all of them serve."""

    def __init__(self):
        self.host = make_loopback_host(0)
        self.store = StandinStore()
        self.upstreams = {name: StandinUpstream(name) for name in ("one", "two")}
        self.services = {"one": ("ops", "llm"), "two": ("ops", "llm")}
        self.config = make_gateway_config(2)
        self.rows = []
        self.is_informed = True
        self.gateway = None
        self.other = None
        self.other_news = None
        self.front_host = None
        self.answers = []
        self.probe = None
        self.records = []

    def run(self, action):
        """Start everything, play an action and stop; log records are kept."""
        handler = logging.Handler()
        handler.emit = self.records.append
        log = logging.getLogger("crocusvalve.gateway")
        log.addHandler(handler)
        try:
            trio.run(self._run, action)
        finally:
            log.removeHandler(handler)

    async def _run(self, action):
        with trio.fail_after(3 * LIMIT_S):
            async with trio.open_nursery() as nursery:
                for server in (self.store, *self.upstreams.values()):
                    await nursery.start(server.serve)
                self._register()
                async with PlatformStore(self.store_address) as feed:
                    self.gateway = self._make_gateway(feed)
                    await nursery.start(self.gateway.run, trio.Event())
                    if self.is_informed:
                        await self.wait_for(self._knows_all)
                    await action(self)
                    nursery.cancel_scope.cancel()

    def _knows_all(self):
        n_upstreams = sum(len(services) for services in self.services.values())
        gateway = self.gateway
        return gateway.is_ready() and len(gateway.tables.upstreams) >= n_upstreams

    def _register(self):
        if self.is_informed:
            self.store.put("op", "config", self.config)
        for name, services in self.services.items():
            for service in services:
                entry = self.upstreams[name].make_entry(service, f"domain-{name}")
                self.store.put("servers", f"{name}-{service}", entry)
        for table, key, value in self.rows:
            self.store.put(table, key, value)

    @property
    def store_address(self):
        """Where the store listens."""
        return Address("127.0.0.1", self.store.port)

    async def start_other(self, feed, nursery):
        """Start a second gateway on a host of its own, which knows of the first one."""
        host = make_loopback_host(1)
        self.other = self._make_gateway(feed, "gateway-2", host, (Address(self.host, PEER_PORT),))
        await nursery.start(self.other.run, trio.Event())

    def _make_gateway(self, feed, node_id="gateway-1", host=None, seeds=()):
        host = host or self.host
        settings = GatewaySettings(
            node_id=NodeId(node_id),
            domain=DomainId("domain-one"),
            front=Address(host, FRONT_PORT),
            ready=Address(host, READY_PORT),
            peer=Address(host, PEER_PORT),
            seeds=seeds,
            store=self.store_address,
            bounds=GatewayBounds(),
        )
        return Gateway(
            settings,
            feed=feed,
            headers=PlatformHeaders(),
            records=PlatformRecords(),
            clock=BootClock(),
            random_state=random.Random(1),
        )

    async def wait_for(self, condition):
        """Wait until a condition holds."""
        with trio.fail_after(LIMIT_S):
            while not condition():
                await trio.sleep(0.005)

    async def call(self, path, *, method="GET", body=b"", key=KEY, host="api.example", **headers):
        """Send a request on a connection of its own."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Attempt-Id: {ATTEMPT}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        if key:
            lines.append(f"Authorization: Bearer {key}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return await self.send(("\r\n".join(lines) + "\r\n\r\n").encode() + body, method)

    async def send(self, data, method="GET", port=FRONT_PORT):
        """Send bytes on a connection of their own and read the answer."""
        stream = await trio.open_tcp_stream(self.front_host or self.host, port)
        async with stream:
            await stream.send_all(data)
            answer = await self.read(stream, method)
        self.answers.append(answer)
        return answer

    async def read(self, stream, method="GET"):
        """Read one answer."""
        caller = StandinCaller(stream)
        caller.expect_answer(method)
        answer = CallerAnswer()
        with trio.fail_after(LIMIT_S):
            await caller.read(answer)
        return answer

    @property
    def calls(self):
        """Requests that ran, on all upstreams."""
        return [call for upstream in self.upstreams.values() for call in upstream.calls]
