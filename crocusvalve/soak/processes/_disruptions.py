"""Disruptions of a soak: injected faults and planned work."""

import random
import signal
from collections.abc import Sequence

import trio

from crocusvalve.soak.processes._checker import STORE
from crocusvalve.soak.processes._cluster import DOMAINS, SoakCluster
from crocusvalve.soak.processes._components import (
    GatewayProcess,
    SoakUpstream,
    UpstreamFaultProfile,
)
from crocusvalve.soak.processes._disruption import Disruption
from crocusvalve.soak.processes._proxy import LinkFault
from crocusvalve.soak.processes._series import LimitsChanged, ServiceSpoilt, UpstreamsSilent
from crocusvalve.soak.processes.base import CallKind
from crocusvalve.standin import StoreFault

__all__ = ["Disruption", "find_kinds", "make_disruption", "sample_kinds"]

LINK_FAULTS = tuple(fault for fault in LinkFault if fault is not LinkFault.NONE)
STORE_FAULTS = (StoreFault.BUSY, StoreFault.SILENT, StoreFault.ANSWER_LOST)
#: Time within which an upgrade is to be complete, as its order states.
UPGRADE_ORDER_S = 8.0
#: Smallest and largest number of kinds of disruption in one soak.
MIN_KINDS = 2
MAX_KINDS = 7
#: Oldest backup that the store is restored from, and longest time from a restore until lost rows
#: are written again.
MAX_BACKUP_AGE_S = 10.0
MAX_REWRITE_S = 1.5
POLL_INTERVAL_S = 0.1
#: Largest number of routes that a configuration grows by, the size of a route in an answer, and the
#: time that a transfer takes, which is within the bound for a configuration to be in force.
MAX_EXTRA_ROUTES = 1500
ROUTE_BYTES = 180
TRANSFER_RANGE_S = (1.4, 1.7)
#: Time for which callers send a request that crashes upstreams.
CRASH_RANGE_S = (6.0, 12.0)
#: Limits that upstreams name, in requests per second.
LIMIT_RANGE_PER_S = (0.5, 4.0)


class GatewayDisruption(Disruption):
    """A disruption of one gateway, or of all."""

    def choose_targets(self) -> None:
        """Choose one gateway, or sometimes all."""
        is_all = self.random_state.random() < 0.1
        gateways = self.cluster.gateways
        self.gateways: list[GatewayProcess] = (
            list(gateways) if is_all else [self.random_state.choice(gateways)]
        )
        self.components = [gateway.name for gateway in self.gateways]


class GatewayKill(GatewayDisruption):
    """Gateways are killed, and are then started again."""

    def begin(self) -> None:
        """Send SIGKILL."""
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGKILL)


class GatewayStop(GatewayDisruption):
    """Gateways are stopped gracefully, and are then started again."""

    is_planned = True

    def begin(self) -> None:
        """Send SIGTERM."""
        for gateway in self.gateways:
            self.cluster.stop_gateway(gateway)


class GatewayPause(GatewayDisruption):
    """Gateway processes are suspended."""

    def begin(self) -> None:
        """Send SIGSTOP."""
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGSTOP)

    def end(self) -> None:
        """Send SIGCONT."""
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGCONT)


class SettingsTold(GatewayDisruption):
    """Gateways get the signal that their settings have changed."""

    is_planned = True

    def begin(self) -> None:
        """Send SIGHUP."""
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGHUP)


class LinkDisruption(GatewayDisruption):
    """A fault of the links from callers to gateways, or from gateways to the store."""

    def choose_targets(self) -> None:
        """Choose gateways, links and the fault."""
        super().choose_targets()
        self.fault = self.random_state.choice(LINK_FAULTS)
        is_front = self.random_state.random() < 0.5
        self.links = [gateway.front if is_front else gateway.store for gateway in self.gateways]

    @property
    def label(self) -> str:
        """Name of the disruption, its components and the fault, for the report."""
        return f"{super().label} {self.fault.value}"

    def begin(self) -> None:
        """Inject the fault into the links."""
        for link in self.links:
            link.set_fault(self.fault)

    def end(self) -> None:
        """End the fault of the links."""
        for link in self.links:
            link.set_fault(LinkFault.NONE)


class ConnectionsLost(LinkDisruption):
    """Open connections are reset, or forward no more bytes."""

    def begin(self) -> None:
        """Reset or silence the connections."""
        is_reset = self.random_state.random() < 0.5
        for link in self.links:
            if is_reset:
                link.reset_all()
            else:
                link.mute_all()


class StoreOutage(Disruption):
    """The store is unavailable, and sometimes loses its history of changes."""

    def choose_targets(self) -> None:
        """Choose the fault, and whether the history is lost."""
        self.components = [STORE]
        self.fault = self.random_state.choice(STORE_FAULTS)
        self.loses_history = self.random_state.random() < 0.3

    def begin(self) -> None:
        """Inject the fault into the store."""
        self.cluster.store.fault = self.fault

    def end(self) -> None:
        """Make the store available again."""
        if self.loses_history:
            self.cluster.store.discard_history()
        self.cluster.store.fault = StoreFault.NONE


class StoreRestore(Disruption):
    """The store is away for a moment, and comes back from a backup of some seconds ago."""

    def choose_targets(self) -> None:
        """Choose the age of the backup, and how long it takes until lost rows are written again."""
        self.components = [STORE]
        self.age_s = self.random_state.uniform(0.5, MAX_BACKUP_AGE_S)
        self.rewrite_s = self.random_state.uniform(0.0, MAX_REWRITE_S)

    def begin(self) -> None:
        """Stop answering."""
        self.cluster.store.fault = StoreFault.SILENT

    def end(self) -> None:
        """Answer again."""
        self.cluster.store.fault = StoreFault.NONE

    async def run(self) -> None:
        """Take the backup, disrupt the store later, restore it and write lost rows again."""
        store = self.cluster.store
        backup = store.make_backup()
        await trio.sleep(self.age_s)
        disruption_table = self.cluster.checker.disruption_table
        disruption_table.begin(STORE, self.cluster.checker.clock())
        try:
            self.begin()
            await trio.sleep(self.random_state.uniform(0.1, 1.0))
            if backup.version >= store.first_version_of_era:
                store.restore(backup)
            self.end()
            await trio.sleep(self.rewrite_s)
            self.cluster.write_again()
        finally:
            disruption_table.end(STORE, self.cluster.checker.clock())


class UpstreamDisruption(Disruption):
    """A disruption of one upstream."""

    def choose_targets(self) -> None:
        """Choose an upstream, a ready one if there is any."""
        upstreams = list(self.cluster.upstreams.values())
        ready = [upstream for upstream in upstreams if upstream.state == "ready"]
        self.upstream: SoakUpstream = self.random_state.choice(ready or upstreams)
        self.components = [self.upstream.upstream_id]


class UpstreamCrash(UpstreamDisruption):
    """An upstream crashes and starts again."""

    def begin(self) -> None:
        """Reset its connections and accept no new ones."""
        self.upstream.proxy.set_fault(LinkFault.DOWN)

    def end(self) -> None:
        """Accept connections again, and register as a new run unless it is draining."""
        self.upstream.proxy.set_fault(LinkFault.NONE)
        if self.upstream.state == "ready":
            self.cluster.restore_upstream(self.upstream)


class UpstreamLinkFault(UpstreamDisruption):
    """A fault of the link from gateways to an upstream."""

    def begin(self) -> None:
        """Inject a random fault into the link."""
        self.upstream.proxy.set_fault(self.random_state.choice(LINK_FAULTS))

    def end(self) -> None:
        """End the fault of the link."""
        self.upstream.proxy.set_fault(LinkFault.NONE)


class UpstreamSpoilt(UpstreamDisruption):
    """An upstream injects faults into its answers."""

    def begin(self) -> None:
        """Set a random fault profile."""
        self.upstream.fault_profile = self.random_state.choice(list(UpstreamFaultProfile)[1:])

    def end(self) -> None:
        """Set the profile without faults."""
        self.upstream.fault_profile = UpstreamFaultProfile.HEALTHY


class UpstreamDrain(UpstreamDisruption):
    """An upstream is drained, with or without announcement, and returns as a new run."""

    is_planned = True

    def begin(self) -> None:
        """Drain the upstream."""
        self.cluster.drain_upstream(self.upstream, is_announced=self.random_state.random() < 0.7)

    def end(self) -> None:
        """Register the upstream again."""
        self.cluster.restore_upstream(self.upstream)


class UpstreamLeaving(UpstreamDrain):
    """An upstream says in its answers that it is about to stop, and drains some time later."""

    def begin(self) -> None:
        """Announce the end in all answers."""
        self.upstream.is_leaving = True

    async def run(self) -> None:
        """Announce the end, drain later, and start again."""
        self.begin()
        await trio.sleep(self.sample_duration_s())
        self.cluster.drain_upstream(self.upstream, is_announced=self.random_state.random() < 0.7)
        await trio.sleep(self.sample_duration_s())
        self.end()


class DomainOut(Disruption):
    """A failure domain is evacuated and put back in service."""

    is_planned = True

    def choose_targets(self) -> None:
        """Choose the domain; nothing happens while another one is evacuated."""
        self.is_skipped = bool(self.cluster.checker.evacuated_domains)
        self.domain = self.random_state.choice(DOMAINS)
        self.components = [self.domain]

    def begin(self) -> None:
        """Evacuate the domain."""
        if not self.is_skipped:
            self.cluster.evacuate(self.domain, is_out=True)

    def end(self) -> None:
        """End the evacuation."""
        if not self.is_skipped:
            self.cluster.evacuate(self.domain, is_out=False)


class ConfigurationMoved(Disruption):
    """A new version of the configuration moves a route to another service, and back."""

    is_planned = True

    def choose_targets(self) -> None:
        """Choose the route; nothing happens while the transfer of a configuration takes long.

        Otherwise a change could take the time of two transfers, which is beyond its bound.
        """
        self.is_skipped = self.cluster.n_extra_routes > 0
        self.route = self.random_state.choice(("safe", "unsafe"))
        self.components = [self.route]

    def begin(self) -> None:
        """Move the route to the spare service."""
        if not self.is_skipped:
            self._move("spare")

    def end(self) -> None:
        """Move the route back."""
        if not self.is_skipped:
            self._move("ops")

    def _move(self, service: str) -> None:
        self.cluster.routes[self.route] = service
        self.cluster.put_config()


class ConfigurationGrown(ConfigurationMoved):
    """A new version of the configuration moves a route, and is long for the store's links."""

    def choose_targets(self) -> None:
        """Choose the route, the number of further routes and the time of a transfer."""
        super().choose_targets()
        self.n_routes = self.random_state.randint(300, MAX_EXTRA_ROUTES)
        self.transfer_s = self.random_state.uniform(*TRANSFER_RANGE_S)
        self.components += [f"{self.n_routes} routes", f"{self.transfer_s:.1f} s"]

    def begin(self) -> None:
        """Slow the store's answers, and write the long configuration."""
        if self.is_skipped:
            return
        cluster = self.cluster
        cluster.n_extra_routes = self.n_routes
        cluster.store.bytes_per_s = ROUTE_BYTES * self.n_routes / self.transfer_s
        super().begin()

    def end(self) -> None:
        """Answer at the usual speed, and write a short configuration."""
        if self.is_skipped:
            return
        self.cluster.n_extra_routes = 0
        self.cluster.store.bytes_per_s = float("inf")
        super().end()


class PromptPartCrash(Disruption):
    """Prompts with one part crash each upstream that begins to answer them."""

    is_planned = True

    def choose_targets(self) -> None:
        """Choose the part."""
        self.part_id = f"bad{self.random_state.randrange(1 << 20):05x}"
        self.components = [self.part_id]

    def begin(self) -> None:
        """Let the part crash upstreams, and callers send it, unless there is another such part."""
        if not self.cluster.crash_part:
            self.cluster.set_crash_part(self.part_id)

    def end(self) -> None:
        """Let no part crash upstreams."""
        if self.cluster.crash_part == self.part_id:
            self.cluster.set_crash_part("")


class RequestCrash(Disruption):
    """One request that callers send again and again crashes each upstream that begins to run it."""

    is_planned = True

    def choose_targets(self) -> None:
        """Choose the target of the request."""
        self.target = f"/{CallKind.STREAM.value}/bad{self.random_state.randrange(1 << 20):05x}?a=1"
        self.components = [self.target]

    def begin(self) -> None:
        """Let the request crash upstreams, and callers send it, unless there is another one."""
        if not self.cluster.crash_target:
            self.cluster.set_crash_target(self.target)

    def sample_duration_s(self) -> float:
        """Return for how long the request is sent: beyond the bound for all gateways to know it."""
        return self.random_state.uniform(*CRASH_RANGE_S)

    def end(self) -> None:
        """Let no request crash upstreams."""
        if self.cluster.crash_target == self.target:
            self.cluster.set_crash_target("")


class UpstreamLimited(UpstreamDisruption):
    """An upstream names in its answers a low rate of requests that it takes."""

    is_planned = True

    def begin(self) -> None:
        """Name the limit."""
        rate_per_s = round(self.random_state.uniform(*LIMIT_RANGE_PER_S), 1)
        self.upstream.rate_limit = str(rate_per_s)
        checker = self.cluster.checker
        checker.limit_check.begin(self.upstream.upstream_id, rate_per_s, checker.clock())

    def end(self) -> None:
        """Name no limit any more."""
        self.upstream.rate_limit = ""
        self.cluster.checker.limit_check.end(self.upstream.upstream_id)


class Upgrade(Disruption):
    """The service of the models is upgraded to a good or a bad version."""

    is_planned = True

    def choose_targets(self) -> None:
        """Choose whether the version is good."""
        self.is_good = self.random_state.random() < 0.5
        self.version = f"v{2 + self.cluster.n_upgrades}"
        self.components = [self.version, "good" if self.is_good else "bad"]

    def begin(self) -> None:
        """Count the upgrade, so that no other one is started."""
        self.cluster.n_upgrades += 1

    async def run(self) -> None:
        """Start upstreams of the new version, order the upgrade and check its outcome.

        The upgrade is watched until it is complete or reverted, or until a random time after
        its order has expired.
        """
        cluster = self.cluster
        self.begin()
        old = [upstream for upstream in cluster.upstreams.values() if upstream.service == "llm"]
        old = [upstream for upstream in old if upstream.state == "ready"]
        new = [await cluster.add_upstream("llm", domain, self.version) for domain in DOMAINS]
        for upstream in () if self.is_good else new:
            upstream.fault_profile = UpstreamFaultProfile.FAILING
        cluster.order_upgrade("llm", self.version, UPGRADE_ORDER_S)
        with trio.move_on_after(UPGRADE_ORDER_S + self.sample_duration_s()):
            while cluster.operator.get_upgrade("llm") not in (
                (self.version, "complete"),
                (self.version, "reverted"),
            ):
                await trio.sleep(POLL_INTERVAL_S)
        version, state = cluster.operator.get_upgrade("llm")
        if version == self.version:
            cluster.checker.check_version("llm", version, self.is_good, state)
        is_upgraded = version == self.version and state == "complete"
        for upstream in old if is_upgraded else new:
            # Upstreams of the old version stop at once; those of a version that was not adopted
            # announce that they drain.
            cluster.drain_upstream(upstream, is_announced=not is_upgraded)
            if is_upgraded:
                now = cluster.checker.clock()
                cluster.checker.disruption_table.record(upstream.upstream_id, now)
                upstream.proxy.set_fault(LinkFault.DOWN)


#: Kinds of disruption with their relative frequencies.
KIND_WEIGHTS: dict[type[Disruption], float] = {
    GatewayKill: 3,
    GatewayStop: 3,
    GatewayPause: 3,
    SettingsTold: 1,
    LinkDisruption: 4,
    ConnectionsLost: 2,
    StoreOutage: 2,
    UpstreamCrash: 2,
    UpstreamLinkFault: 3,
    UpstreamSpoilt: 3,
    UpstreamDrain: 2,
    UpstreamLeaving: 2,
    StoreRestore: 2,
    DomainOut: 1,
    ConfigurationMoved: 2,
    ConfigurationGrown: 2,
    PromptPartCrash: 2,
    RequestCrash: 2,
    UpstreamLimited: 3,
    Upgrade: 1,
    UpstreamsSilent: 3,
    ServiceSpoilt: 2,
    LimitsChanged: 2,
}


def sample_kinds(random_state: random.Random) -> dict[type[Disruption], float]:
    """Return a random choice of kinds for one soak, with their weights.

    A few kinds at a time expose failures that a mixture of all kinds would hide.
    """
    kinds = list(KIND_WEIGHTS)
    n_kinds = random_state.randint(MIN_KINDS, MAX_KINDS)
    return {kind: KIND_WEIGHTS[kind] for kind in random_state.sample(kinds, n_kinds)}


def find_kinds(names: Sequence[str]) -> dict[type[Disruption], float]:
    """Return the kinds of disruption with the given names, with their weights.

    Raises
    ------
    ValueError
        If there is no such kind.
    """
    by_name = {kind.__name__: kind for kind in KIND_WEIGHTS}
    unknown = sorted(set(names) - by_name.keys())
    if unknown:
        raise ValueError(f"kinds must be among {', '.join(sorted(by_name))}, got {unknown[0]}")
    return {by_name[name]: KIND_WEIGHTS[by_name[name]] for name in names}


def make_disruption(
    cluster: SoakCluster, kinds: dict[type[Disruption], float], random_state: random.Random
) -> Disruption:
    """Return a random disruption of the given kinds; at most one upgrade is ordered in a soak."""
    allowed_kinds = {
        kind: weight
        for kind, weight in kinds.items()
        if kind is not Upgrade or not cluster.n_upgrades
    }
    kind = random_state.choices(list(allowed_kinds), list(allowed_kinds.values()))[0]
    return kind(cluster, random_state)
