"""A gateway with a stand-in store and stand-in upstreams, all on loopback in one process."""

import logging
import random

import trio

from crocusvalve.base import DomainId, NodeId
from crocusvalve.gateway import Gateway
from crocusvalve.gateway.base import Address, GatewayBounds, GatewaySettings
from crocusvalve.platform import PlatformHeaderCodec, PlatformRecordCodec, PlatformStore
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
#: Timeout of each wait in a scenario; it only ends a hanging test and checks nothing.
WAIT_TIMEOUT_S = 20.0
API_KEY = "key-of-the-first-customer"
ATTEMPT_ID = "a1"


def make_gateway_config(version, **changes):
    """Return a configuration with routes of each kind and one customer.

    ``changes`` replaces top-level fields.
    """
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
    optional_sections = {
        "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 20000},
        "tenants": [{"name": "first", "apiKeys": [API_KEY]}],
    }
    return make_config(version, routes, services, **optional_sections) | changes


def make_gateway(number, domain="domain-one"):
    """Return a gateway that is not started; only its gossip is used."""
    host = f"127.0.1.{number}"
    settings = GatewaySettings(
        node_id=NodeId(f"gateway-{number}"),
        domain=DomainId(domain),
        front=Address(host, 1),
        ready=Address(host, 2),
        peer=Address(host, 3),
        seeds=(),
        store=Address(host, 4),
        bounds=GatewayBounds(),
    )
    return Gateway(
        settings,
        feed=None,
        header_codec=PlatformHeaderCodec(),
        record_codec=PlatformRecordCodec(),
        clock=BootClock(),
        random_state=random.Random(number),
    )


class GatewayHarness:
    """Stand-in servers and a gateway; ``run`` executes an action while they all serve.

    Attributes
    ----------
    services : dict
        Services that each stand-in upstream is registered for.
    extra_rows : list
        Further rows of the store, as tuples (table, key, value); a callable value is called when
        the stand-in servers listen.
    has_configuration : bool
        Whether the store has a configuration, so that the gateway becomes ready.
    stop : trio.Event or None
        Stops the gateway; set while it runs.
    second_gateway : Gateway or None
        A second gateway, started by a step.
    peer_gossip : GossipMessage or None
        Message of a peer gateway that a step passes to the gateway.
    front_host : str or None
        Host of the gateway that gets the requests; None for the first gateway.
    answers : list
        Answers to the callers' requests, in order.
    elapsed_s : list of tuple
        Time to each answer in seconds and the answer, as far as a step records them.
    return_at : list of float
        Times from which refused callers may return, as far as a step records them.
    log_records : list
        Log records of the gateway.
    """

    def __init__(self):
        self.host = make_loopback_host(0)
        self.store = StandinStore()
        self.upstreams = {name: StandinUpstream(name) for name in ("one", "two")}
        self.services = {"one": ("ops", "llm"), "two": ("ops", "llm")}
        self.config = make_gateway_config(2)
        self.extra_rows = []
        self.has_configuration = True
        self.gateway = None
        self.second_gateway = None
        self.stop = None
        self.peer_gossip = None
        self.front_host = None
        self.answers = []
        self.elapsed_s = []
        self.return_at = []
        self.probe = None
        self.log_records = []
        self._first_scope = trio.CancelScope()

    def run(self, action):
        """Start the servers and the gateway, execute an action, and stop; collect log records."""
        handler = logging.Handler()
        handler.emit = self.log_records.append
        log = logging.getLogger("crocusvalve.gateway")
        log.addHandler(handler)
        try:
            trio.run(self._run, action)
        finally:
            log.removeHandler(handler)

    async def _run(self, action):
        with trio.fail_after(3 * WAIT_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for server in (self.store, *self.upstreams.values()):
                    await nursery.start(server.serve)
                self._write_rows()
                async with PlatformStore(self.store_address) as feed:
                    self.gateway = self._make_gateway(feed)
                    self.stop = trio.Event()
                    await nursery.start(self._run_first_gateway)
                    if self.has_configuration:
                        await self.wait_for(self._has_loaded_all)
                    await action(self)
                    nursery.cancel_scope.cancel()

    async def _run_first_gateway(self, *, task_status):
        with self._first_scope:
            await self.gateway.run(self.stop, task_status=task_status)

    def stop_first_gateway(self):
        """Stop the first gateway without a drain."""
        self._first_scope.cancel()

    def _has_loaded_all(self):
        n_upstreams = sum(len(services) for services in self.services.values())
        gateway = self.gateway
        return gateway.is_ready() and len(gateway.tables.upstreams) >= n_upstreams

    def _write_rows(self):
        if self.has_configuration:
            self.store.put("op", "config", self.config)
        for name, services in self.services.items():
            for service in services:
                entry = self.upstreams[name].make_entry(service, f"domain-{name}")
                self.store.put("servers", f"{name}-{service}", entry)
        for table, key, value in self.extra_rows:
            self.store.put(table, key, value() if callable(value) else value)

    @property
    def store_address(self):
        """Address of the stand-in store."""
        return Address("127.0.0.1", self.store.port)

    async def start_second_gateway(self, feed, nursery, node_id="gateway-2"):
        """Start a second gateway on another host, with the first one as a seed."""
        host = make_loopback_host(1)
        self.second_gateway = self._make_gateway(
            feed, node_id, host, (Address(self.host, PEER_PORT),)
        )
        await nursery.start(self.second_gateway.run, trio.Event())

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
            header_codec=PlatformHeaderCodec(),
            record_codec=PlatformRecordCodec(),
            clock=BootClock(),
            random_state=random.Random(1),
        )

    async def wait_for(self, condition):
        """Wait until a condition holds."""
        with trio.fail_after(WAIT_TIMEOUT_S):
            while not condition():
                await trio.sleep(0.005)

    async def call(
        self,
        path,
        *,
        method="GET",
        body=b"",
        key=API_KEY,
        host="api.example",
        front_host=None,
        **headers,
    ):
        """Send a request on a new connection and return the answer."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Attempt-Id: {ATTEMPT_ID}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        if key:
            lines.append(f"Authorization: Bearer {key}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return await self.send(
            ("\r\n".join(lines) + "\r\n\r\n").encode() + body, method, front_host=front_host
        )

    async def send(self, data, method="GET", port=FRONT_PORT, front_host=None):
        """Send bytes on a new connection and return the answer."""
        host = front_host or self.front_host or self.host
        stream = await trio.open_tcp_stream(host, port)
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
        with trio.fail_after(WAIT_TIMEOUT_S):
            await caller.read(answer)
        return answer

    @property
    def calls(self):
        """Requests that ran on any upstream."""
        return [call for upstream in self.upstreams.values() for call in upstream.calls]
