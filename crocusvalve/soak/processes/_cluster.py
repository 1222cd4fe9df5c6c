"""All components of a soak, and the actions of operators and of the platform on them."""

import random
import signal
from functools import partial
from pathlib import Path

import trio

from crocusvalve.soak.processes._checker import STORE, GuaranteeChecker, ServiceHistory
from crocusvalve.soak.processes._components import GatewayProcess, SoakUpstream
from crocusvalve.soak.processes._proxy import LinkFault, LinkProxy
from crocusvalve.soak.processes.base import Guarantee, SoakBounds
from crocusvalve.standin import (
    StandinCaller,
    StandinOperator,
    StandinStore,
    StoreFault,
    make_config,
    make_loopback_host,
    make_route,
)

__all__ = ["CUSTOMERS", "DEFAULT_IDLE_TIMEOUT_S", "DEFAULT_TIMEOUT_S", "SoakCluster"]

DOMAINS = ("domain-1", "domain-2", "domain-3")
#: Customers by API key.
CUSTOMERS = {"key-of-first": "first", "key-of-second": "second"}
MODELS = [{"name": "small", "cost": 0.1}, {"name": "large", "cost": 1.0}]
SERVICES = ("ops", "spare", "llm")
FIRST_PROXY_PORT = 20000
#: Interval at which upstreams refresh their entries.
HEARTBEAT_S = 1.2
#: Pause between two readiness probes of a gateway.
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0
#: Time from the end of a process to its next start, as on the users' platform.
RESTART_PAUSE_S = 0.3
#: Interval at which the delay of the soak's own tasks is measured.
DELAY_POLL_S = 0.01
#: Timeout of all routes, and time after which gateways close an idle connection, at first.
DEFAULT_TIMEOUT_S = 10.0
DEFAULT_IDLE_TIMEOUT_S = 3.0


class SoakCluster:
    """Gateways, upstreams, the store and the links between them, on loopback addresses.

    Parameters
    ----------
    random_state : random.Random
        Source of randomness.
    checker : GuaranteeChecker
        Receives disruptions and acknowledged changes.
    folder : Path
        Directory of settings and logs.
    n_gateways : int
        Number of gateway processes.

    Attributes
    ----------
    config_version : int
        Version of the latest configuration.
    routes : dict
        Service by route, as in the latest configuration.
    n_upgrades : int
        Upgrades that were ordered.
    upgrade_order : tuple or None
        Service, version and duration of the latest order to upgrade a service.
    upstreams : dict
        All upstreams that were ever started, by id.
    n_extra_routes : int
        Routes that make the configuration longer and get no requests.
    crash_part, crash_target : str
        Part of prompts, and target of a request, that crash upstreams at present; empty for none.
    timeout_s, idle_timeout_s : float
        Timeout of all routes and limit for idle connections, as in the latest configuration.
    is_stopping : bool
        Whether gateways are no longer started again.
    """

    def __init__(
        self,
        random_state: random.Random,
        checker: GuaranteeChecker,
        folder: Path,
        n_gateways: int,
    ):
        self.random_state = random_state
        self.checker = checker
        self.folder = folder
        self.bounds: SoakBounds = checker.bounds
        self.store = StandinStore()
        self.operator = StandinOperator(self.store)
        self.config_version = 0
        self.routes = {"safe": "ops", "unsafe": "ops", "stream": "llm", "once": "llm"}
        self.n_proxies = 0
        self.n_upgrades = 0
        self.upgrade_order: tuple[str, str, float] | None = None
        self.n_extra_routes = 0
        self.crash_part = ""
        self.crash_target = ""
        self.timeout_s = DEFAULT_TIMEOUT_S
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.nursery: trio.Nursery | None = None
        self.upstreams: dict[str, SoakUpstream] = {}
        self.gateways = [self._make_gateway(number) for number in range(n_gateways)]
        self.is_stopping = False

    def _make_proxy(self, target_host: str, target_port: int) -> LinkProxy:
        self.n_proxies += 1
        port = FIRST_PROXY_PORT + self.n_proxies
        return LinkProxy(make_loopback_host(0), port, target_host, target_port, self.random_state)

    def _make_gateway(self, number: int) -> GatewayProcess:
        host = make_loopback_host(1 + number)
        return GatewayProcess(
            f"gateway-{number + 1:03d}",
            host,
            DOMAINS[number % len(DOMAINS)],
            self._make_proxy(host, GatewayProcess.ports.front),
            self._make_proxy("127.0.0.1", 0),
            self.folder,
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Start store and upstreams, write the configuration and start the gateways."""
        self.nursery = nursery
        await nursery.start(self.store.serve)
        for service in SERVICES:
            for domain in DOMAINS:
                await self.add_upstream(service, domain, "v1")
        self.put_config()
        seeds = [gateway.host for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.store.target_port = self.store.port
            for proxy in (gateway.front, gateway.store):
                nursery.start_soon(proxy.run)
            gateway.write_settings(seeds, self.bounds.grace_s, self.bounds.drain_s)
            self.checker.disruption_table.record(gateway.name, self.checker.clock())
            nursery.start_soon(self._keep_gateway_running, gateway)
            nursery.start_soon(self._probe, gateway)
        nursery.start_soon(self._monitor_wakeup_delay)
        nursery.start_soon(self._refresh_entries)

    async def _keep_gateway_running(self, gateway: GatewayProcess) -> None:
        """Start a gateway, and again whenever its process ends, as the platform does."""
        while not self.is_stopping:
            await gateway.start()
            self.checker.loss_check.record_process_start(gateway.name, self.checker.clock())
            code = await gateway.process.wait()
            table, now = self.checker.disruption_table, self.checker.clock()
            self.checker.loss_check.record_process_end(gateway.name, now)
            if code == 0 and gateway.is_stop_requested:
                table.record_restart(gateway.name, now)
            else:
                table.record(gateway.name, now)
            if not gateway.is_stop_requested:
                description = f"{gateway.name} ended by itself with {code}"
                self.checker.report(Guarantee.PROCESS, description)
            await trio.sleep(RESTART_PAUSE_S)

    async def _probe(self, gateway: GatewayProcess) -> None:
        """Probe the readiness of a gateway periodically, as the load balancer does."""
        while True:
            is_ready = False
            with trio.move_on_after(PROBE_TIMEOUT_S):
                is_ready = await _probe_readiness(gateway.host, gateway.ports.ready)
            gateway.n_missed_probes = 0 if is_ready else gateway.n_missed_probes + 1
            await trio.sleep(PROBE_INTERVAL_S)

    async def _refresh_entries(self) -> None:
        """Refresh the entries of registered upstreams, as upstreams of the platform do."""
        while True:
            await trio.sleep(HEARTBEAT_S)
            if self.store.fault is StoreFault.NONE:
                for upstream in self.upstreams.values():
                    if upstream.is_registered:
                        self.register(upstream)

    async def _monitor_wakeup_delay(self) -> None:
        """Record delays of the soak's own tasks, and long ones as a disruption of all components.

        Time bounds can't be checked reliably at such times.
        """
        while True:
            due = trio.current_time() + DELAY_POLL_S
            await trio.sleep_until(due)
            now = trio.current_time()
            self.checker.loss_check.record_wakeup(due, now, now + DELAY_POLL_S)
            if now - due > self.bounds.wakeup_s:
                for component in (
                    STORE,
                    *self.upstreams,
                    *(gateway.name for gateway in self.gateways),
                ):
                    self.checker.disruption_table.record(component, self.checker.clock())

    def choose_gateway(self) -> GatewayProcess:
        """Return a random ready gateway, as the load balancer does, or any if none is ready."""
        ready = [gateway for gateway in self.gateways if gateway.n_missed_probes < 2]
        return self.random_state.choice(ready or self.gateways)

    async def add_upstream(self, service: str, domain: str, version: str) -> SoakUpstream:
        """Start an upstream with its proxy and register it."""
        name = f"{service}-{len(self.upstreams) + 1:03d}"
        upstream = SoakUpstream(name, service, domain, version, self.checker, self.random_state)
        self.upstreams[name] = upstream
        await self.nursery.start(upstream.serve)
        upstream.proxy = self._make_proxy("127.0.0.1", upstream.port)
        self.nursery.start_soon(upstream.proxy.run)
        upstream.crash_part = self.crash_part
        upstream.crash_target = self.crash_target
        upstream.on_start = partial(self._restart_upstream, upstream)
        self.register(upstream)
        return upstream

    def set_crash_part(self, part_id: str) -> None:
        """Let prompts with a part crash the upstreams that begin to answer them; none if empty."""
        self.crash_part = part_id
        for upstream in self.upstreams.values():
            upstream.crash_part = part_id

    def set_crash_target(self, target: str) -> None:
        """Let a request for a target crash the upstreams that begin to answer it; none if empty."""
        self.crash_target = target
        for upstream in self.upstreams.values():
            upstream.crash_target = target

    def _restart_upstream(self, upstream: SoakUpstream) -> None:
        """Accept connections again after a crash, and register as a new run unless draining."""
        upstream.proxy.set_fault(LinkFault.NONE)
        self.checker.disruption_table.end(upstream.upstream_id, self.checker.clock())
        if upstream.state == "ready" and upstream.is_registered:
            self.restore_upstream(upstream)

    def register(self, upstream: SoakUpstream) -> None:
        """Write an upstream's current entry to the store."""
        upstream.is_registered = True
        upstream.sequence += 1
        self.operator.register(upstream.upstream_id, upstream.make_current_entry())

    def drain_upstream(self, upstream: SoakUpstream, is_announced: bool) -> None:
        """Drain an upstream: announce the state "draining", or delete its entry without notice."""
        if is_announced:
            upstream.state = "draining"
            self.register(upstream)
        else:
            upstream.is_registered = False
            self.operator.drop(upstream.upstream_id)
        self.checker.drained_upstreams[upstream.upstream_id] = self.checker.make_acknowledgement()

    def restore_upstream(self, upstream: SoakUpstream) -> None:
        """Register a drained or crashed upstream again, as a new run of it."""
        upstream.state = "ready"
        upstream.is_leaving = False
        upstream.rate_limit = ""
        self.checker.forget_run(upstream.upstream_id)
        upstream.started_ms += 1
        self.checker.drained_upstreams.pop(upstream.upstream_id, None)
        self.register(upstream)

    def order_upgrade(self, service: str, version: str, duration_s: float) -> None:
        """Order the upgrade of a service."""
        self.upgrade_order = (service, version, duration_s)
        self.operator.order_upgrade(service, version, duration_s)

    def put_config(self) -> None:
        """Write the routes as a new version of the configuration, and record changed routes."""
        self.config_version += self.random_state.randint(1, 4)
        kinds = {
            "safe": {"kind": "safe", "maxAttempts": 2, "goalMs": 1000},
            "unsafe": {"kind": "unsafe", "goalMs": 1000},
            "stream": {
                "kind": "streaming",
                "maxAttempts": 3,
                "resumable": True,
                "sizes": ["small", "large"],
                "goalMs": 2000,
            },
            "once": {"kind": "streaming", "goalMs": 2000},
        }
        routes = [
            make_route(
                name,
                f"/{name}/",
                **kind,
                service=self.routes[name],
                timeoutMs=int(1000 * self.timeout_s),
            )
            for name, kind in kinds.items()
        ]
        routes += [
            make_route(f"extra-{number}", f"/extra/{number}/", "safe", service="spare")
            for number in range(self.n_extra_routes)
        ]
        services = [{"name": "ops"}, {"name": "spare"}]
        services.append({"name": "llm", "engine": {"kvCapacity": 100000, "models": MODELS}})
        customers = [{"name": name, "apiKeys": [key]} for key, name in CUSTOMERS.items()]
        limits = {"idleTimeoutMs": int(1000 * self.idle_timeout_s)}
        config = make_config(
            self.config_version, routes, services, tenants=customers, limits=limits
        )
        self.operator.put_config(config)
        now = self.checker.clock()
        self.checker.loss_check.record_timeout(self.timeout_s, now)
        for name, service in self.routes.items():
            history = self.checker.routes.setdefault(name, ServiceHistory([]))
            if not history.changes or history.changes[-1][1] != service:
                history.changes.append((now, service))

    def set_limits(self, timeout_s: float, idle_timeout_s: float) -> None:
        """Write a configuration with another timeout of routes and limit for idle connections."""
        self.timeout_s = timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.put_config()

    def evacuate(self, domain: str, is_out: bool) -> None:
        """Evacuate a failure domain, or end its evacuation."""
        if is_out:
            self.operator.evacuate(domain, is_out)
            self.checker.evacuated_domains[domain] = self.checker.make_acknowledgement()
        else:
            self.checker.evacuated_domains.pop(domain, None)
            self.operator.evacuate(domain, is_out)

    def write_again(self) -> None:
        """Write again what the operators and the running upstreams have in the store."""
        self.put_config()
        for domain in DOMAINS:
            is_out = domain in self.checker.evacuated_domains
            self.operator.evacuate(domain, is_out)
        for upstream in self.upstreams.values():
            if upstream.is_registered:
                self.register(upstream)
            else:
                self.operator.drop(upstream.upstream_id)
        if self.upgrade_order is not None:
            self.operator.order_upgrade(*self.upgrade_order)

    def end_faults(self) -> None:
        """End faults of the store and evacuations that are still in force."""
        self.store.fault = StoreFault.NONE
        self.store.bytes_per_s = float("inf")
        self.set_crash_part("")
        self.set_crash_target("")
        for upstream in self.upstreams.values():
            upstream.rate_limit = ""
            self.checker.limit_check.end(upstream.upstream_id)
        for domain in list(self.checker.evacuated_domains):
            self.evacuate(domain, is_out=False)

    def stop_gateway(self, gateway: GatewayProcess) -> None:
        """Send SIGTERM to a gateway."""
        if gateway.is_running and not gateway.is_stop_requested:
            self.checker.loss_check.record_stop(gateway.name, self.checker.clock())
        gateway.send_signal(signal.SIGTERM)

    async def stop(self) -> None:
        """Send SIGTERM to all ready gateways and check that they end in time."""
        self.is_stopping = True
        # A gateway that is still starting has no signal handler yet, and no requests to lose.
        running = [
            gateway
            for gateway in self.gateways
            if gateway.is_running and not gateway.n_missed_probes
        ]
        for gateway in running:
            self.stop_gateway(gateway)
        with trio.move_on_after(self.bounds.grace_s + self.bounds.wakeup_s):
            for gateway in running:
                await gateway.process.wait()
        for gateway in running:
            if gateway.process.returncode != 0:
                description = f"{gateway.name} ended with {gateway.process.returncode} after a stop"
                self.checker.report(Guarantee.PROCESS, description)
        self.kill()

    def kill(self) -> None:
        """Kill all gateway processes."""
        self.is_stopping = True
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGKILL)


async def _probe_readiness(host: str, port: int) -> bool:
    """Return whether a gateway answers that it is ready."""
    try:
        caller = await StandinCaller.connect(host, port)
    except OSError:
        return False
    try:
        return await caller.is_ready()
    except (OSError, trio.BrokenResourceError):
        return False
    finally:
        await caller.close()
