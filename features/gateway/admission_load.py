"""Simulation of a gateway under load in virtual time, with the admission queue or without it."""

import random
from functools import partial
from types import SimpleNamespace

import trio
import trio.testing
from prometheus_client import CollectorRegistry

from crocusvalve.base import DomainId, NodeId, UpstreamId
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway.base import (
    CallerRequest,
    Configuration,
    Customer,
    GatewayBounds,
    PrefixPart,
    Route,
    RouteKind,
    RouteTarget,
    Service,
    ServiceName,
    Upstream,
)
from crocusvalve.gateway.decisions._crashes import CrashRegistry
from crocusvalve.gateway.decisions._outcome_counts import OutcomeCountsTable
from crocusvalve.gateway.decisions._upgrades import VersionChoice
from crocusvalve.gateway.flows._flow import make_gateway_error
from crocusvalve.gateway.flows._plain_flow import PlainFlow
from crocusvalve.gateway.flows._request import GatewayRequest
from crocusvalve.gateway.flows._stream_flow import StreamFlow
from crocusvalve.gateway.flows._waiting import WaitingRoom
from crocusvalve.gateway.tables._tables import GatewayTables
from crocusvalve.gateway.upstreams._attempts import AttemptManager
from crocusvalve.utils import Clock

SERVICE = ServiceName("llm")
DOMAIN = DomainId("d1")
#: Settings of the gateway before it had a queue.
POLL_INTERVAL_S = 0.05
MAX_WAIT_FRACTION = 0.3
#: Time after which a full upstream rejects a request, in seconds.
REJECTION_S = 0.005


class TrioClock(Clock):
    """The virtual time of trio."""

    def now(self):
        return 1000.0 + trio.current_time()


class PollingFlow(StreamFlow):
    """Flow in which each request searches for an upstream by itself, as before the queue."""

    async def wait_for_upstream(self, req, since, model=""):
        until = since + MAX_WAIT_FRACTION * req.route.goal_s
        while True:
            now = self.clock.now()
            upstream = self.find_upstream(req, now, model)
            if req.compute_left_s(now) <= 0.0:
                return None
            reopens_at = self.book_return(req, now)
            if upstream is not None or now >= until or (reopens_at or now) > until:
                return upstream
            req.tried.clear()
            await trio.sleep(POLL_INTERVAL_S)
            req.waited_s += self.clock.now() - now


class SimulatedUpstream:
    """Runs as many requests at a time as it has slots, and rejects the others."""

    def __init__(self, row):
        self.row = row
        self.n_running = 0
        self.is_gone = False

    async def run(self, answer_s):
        """Return whether a request was run."""
        if self.is_gone or self.n_running >= self.row.slots:
            await trio.sleep(REJECTION_S)
            return False
        self.n_running += 1
        try:
            await trio.sleep(answer_s)
        finally:
            self.n_running -= 1
        return True


class Caller:
    """A caller's request through all its attempts, and what the caller got."""

    def __init__(self, kind, customer, number, body=b""):
        self.kind = kind
        self.customer = customer
        self.digest = f"{customer}|{number}"
        self.body = body
        self.began_at = None
        self.answered_at = None
        self.n_refusals = 0
        self.n_sends = 0
        self.retry_times = []
        self.waited_s = 0.0
        self.n_kept_promises = self.n_broken_promises = 0

    @property
    def is_in_time(self):
        """Whether the caller's first event has come within its goal."""
        return self.answered_at is not None and self.elapsed_s <= self.kind.goal_s

    @property
    def elapsed_s(self):
        return self.answered_at - self.began_at


def make_route(name, priority, goal_s, kind=RouteKind.STREAM):
    return Route(
        name=name,
        host="h",
        prefix=f"/{name}/",
        kind=kind,
        timeout_s=5.0 * goal_s,
        goal_s=goal_s,
        targets=(RouteTarget(SERVICE),),
        priority=priority,
        is_resumable=True,
        max_attempts=3,
    )


ROUTES = {
    "urgent": make_route("urgent", 0, 2.0),
    "normal": make_route("normal", 5, 3.0),
    "bulk": make_route("bulk", 9, 6.0),
}


class LoadSimulation:
    """A gateway, its upstreams and its callers."""

    def __init__(self, *, is_polling, n_upstreams=8, slots=4, answer_s=0.4, seed=1):
        self.random = random.Random(seed)
        #: Draws the times of answers, so that callers are the same with and without the queue.
        self.answer_random = random.Random(seed + 1000)
        self.answer_s = answer_s
        self.clock = TrioClock()
        self.tables = GatewayTables(NodeId("g1"))
        self.configure(ROUTES.values(), version=1)
        self.upstreams = {}
        for number in range(n_upstreams):
            row = Upstream(
                upstream_id=UpstreamId(f"u{number}"),
                service=SERVICE,
                address=None,
                domain=DOMAIN,
                version="1",
                slots=slots,
            )
            self.tables.put_upstream(row, 0.0)
            self.upstreams[row.upstream_id] = SimulatedUpstream(row)
        observer = GatewayObserver(CollectorRegistry())
        self.manager = AttemptManager(
            settings=SimpleNamespace(
                node_id=NodeId("g1"),
                domain=DOMAIN,
                bounds=GatewayBounds(),
                uses_prefix_cache=True,
            ),
            tables=self.tables,
            peers=SimpleNamespace(list_active_nodes=lambda now: [NodeId("g1")]),
            crashes=CrashRegistry(),
            outcome_counts=OutcomeCountsTable(),
            codec=None,
            observer=observer,
            clock=self.clock,
        )
        room = WaitingRoom(self.manager)
        self.waiting = room.get(SERVICE)
        self.is_polling = is_polling
        self.flow = (PollingFlow if is_polling else StreamFlow)(self.manager, room)
        self.plain_flow = PlainFlow(self.manager, room)
        self.callers = []
        self.n_sends = 0
        self.n_refused_beside_free = 0

    def configure(self, routes, version):
        """Put a configuration with some routes in force."""
        services = {SERVICE: Service(name=SERVICE)}
        config = Configuration(version=version, routes=tuple(routes), services=services)
        assert self.tables.apply_configuration(config)

    @property
    def capacity_per_s(self):
        return sum(up.row.slots for up in self.upstreams.values()) / self.answer_s

    def make_request(self, caller, now, n_tokens=0):
        """Return the gateway's record of a caller's request."""
        route = caller.kind
        return GatewayRequest(
            caller=CallerRequest(
                method=b"POST",
                target=b"/",
                path="/",
                host="h",
                headers=(),
                attempt_id=b"a",
                deadline_s=None,
                key=None,
                session="",
                model="",
                n_prompt_tokens=n_tokens,
                max_output_tokens=0,
                prefix=(PrefixPart("p", n_tokens),) if n_tokens else (),
                last_event_id=b"",
                body=caller.body,
            ),
            route=route,
            service=self.tables.config.services[SERVICE],
            customer=Customer(caller.customer),
            versions=VersionChoice(),
            arrived_at=now,
            deadline=now + route.timeout_s,
            affinity="p" if n_tokens else "",
            digest=caller.digest,
        )

    async def serve(self, req):
        """Serve a request as StreamFlow.answer does; return the retry time if it is refused."""
        self.manager.get_budget(SERVICE).count_request(self.clock.now())
        since = self.clock.now()
        while True:
            if self.is_polling:
                since = self.clock.now()
            upstream = await self.flow.wait_for_upstream(req, since)
            now = self.clock.now()
            if upstream is None:
                self._check_refusal(req, now)
                return self._make_refusal(req, "place")
            if await self._attempt(req, upstream):
                return None
            req.tried.add(upstream.upstream_id)
            if not self.manager.may_send_again(req, self.clock.now()):
                return self._make_refusal(req, "attempt")

    def _make_refusal(self, req, step):
        if self.is_polling:
            return make_gateway_error(req, "", step, self.clock.now()).retry_after_s
        return self.flow.make_refusal(req, "", step).retry_after_s

    def _check_refusal(self, req, now):
        n_free = sum(
            up.row.slots - up.n_running
            for up in self.upstreams.values()
            if not up.is_gone and self.tables.is_open(up.row, now)
        )
        self.n_refused_beside_free += n_free > self.waiting.queue.n_offered

    async def _attempt(self, req, upstream):
        load = self.tables.get_load(upstream.upstream_id)
        load.n_inflight += 1
        req.n_sends += 1
        req.upstream_id = upstream.upstream_id
        self.n_sends += 1
        if req.n_arrivals:
            self.manager.get_budget(SERVICE).count_extra_attempt(self.clock.now())
        req.n_arrivals += 1
        answer_s = self.answer_random.expovariate(1.0 / self.answer_s)
        try:
            return await self.upstreams[upstream.upstream_id].run(answer_s)
        finally:
            load.n_inflight -= 1
            self.manager.on_attempt_end(SERVICE)

    async def call(self, caller, *, patience_s=None, repeats_at_once=0, max_calls=20):
        """Call until the answer, returning when told to."""
        caller.began_at = now = self.clock.now()
        self.callers.append(caller)
        until = now + (caller.kind.timeout_s if patience_s is None else patience_s)
        with trio.move_on_after(until - now):
            for number in range(max_calls):
                req = self.make_request(caller, self.clock.now())
                try:
                    retry_s = await self.serve(req)
                finally:
                    caller.n_sends += req.n_sends
                    caller.waited_s += req.waited_s
                if number and number > repeats_at_once:
                    caller.n_kept_promises += retry_s is None
                    caller.n_broken_promises += retry_s is not None
                if retry_s is None:
                    caller.answered_at = self.clock.now()
                    return
                caller.n_refusals += 1
                caller.retry_times.append(self.clock.now() + retry_s)
                if number >= repeats_at_once:
                    await trio.sleep(retry_s)

    async def load(self, nursery, rate_per_s, span_s, make_caller, **options):
        """Start callers at random times at a rate, for a span."""
        end = trio.current_time() + span_s
        while True:
            await trio.sleep(self.random.expovariate(rate_per_s))
            if trio.current_time() >= end:
                return
            nursery.start_soon(partial(self.call, make_caller(), **options))

    def make_caller(self, customer=None, kind=None):
        """Return a caller, by default of one of 20 customers and of any kind."""
        customer = customer or f"c{self.random.randrange(20)}"
        kind = kind or self.random.choices(list(ROUTES), (20, 50, 30))[0]
        return Caller(ROUTES[kind], customer, len(self.callers) + 1_000 * self.random.random())

    def run(self, main):
        """Run a load in virtual time."""

        async def run_all():
            async with trio.open_nursery() as nursery:
                await main(self, nursery)

        trio.run(run_all, clock=trio.testing.MockClock(autojump_threshold=0.0))
        return self

    def get_share(self, select=lambda caller: True):
        """Return the share of the selected callers that are answered in time."""
        chosen = [caller for caller in self.callers if select(caller)]
        return sum(caller.is_in_time for caller in chosen) / max(1, len(chosen))


def check_empty(queue):
    """Check that nothing is left of the requests that a queue has had."""
    assert not len(queue) and not queue.n_offered and not queue.waiting_bytes.size
