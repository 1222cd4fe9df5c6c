"""Faults and planned work of a soak."""

import random
import signal
from abc import ABC, abstractmethod

import trio

from crocusvalve.soak.processes._checker import STORE
from crocusvalve.soak.processes._cluster import DOMAINS, SoakCluster
from crocusvalve.soak.processes._components import (
    GatewayProcess,
    SoakUpstream,
    UpstreamFaultProfile,
)
from crocusvalve.soak.processes._proxy import LinkFault
from crocusvalve.standin import StoreFault

__all__ = ["Disruption", "sample_kinds", "make_disruption"]

LINK_FAULTS = tuple(fault for fault in LinkFault if fault is not LinkFault.NONE)
STORE_FAULTS = (StoreFault.BUSY, StoreFault.SILENT, StoreFault.ANSWER_LOST)
UPGRADE_ORDER_S = 8.0
#: Least and most number of kinds in a run.
MIN_KINDS = 2
MAX_KINDS = 7
#: Longest disruption, and longest planned work, which has to outlast the bounds that it starts.
MAX_DISRUPTION_S = 4.0
MAX_PLANNED_S = 12.0
POLL_INTERVAL_S = 0.1


class Disruption(ABC):
    """Something that happens to a world for a time."""

    #: Whether bounds on time hold on for the parts meanwhile.
    is_planned = False

    def __init__(self, cluster: SoakCluster, random_state: random.Random):
        self.cluster = cluster
        self.random_state = random_state
        self.components: list[str] = []
        self.choose_targets()

    @property
    def label(self) -> str:
        """What happens to which parts, for the report."""
        return f"{type(self).__name__} {' '.join(self.components)}"

    @abstractmethod
    def choose_targets(self) -> None:
        """Choose the parts that it meets."""

    @abstractmethod
    def begin(self) -> None:
        """Begin."""

    def end(self) -> None:  # noqa: B027
        """End what lasts."""

    def sample_duration_s(self) -> float:
        """Draw how long it lasts."""
        max_s = MAX_PLANNED_S if self.is_planned else MAX_DISRUPTION_S
        return self.random_state.uniform(0.1, max_s)

    async def run(self) -> None:
        """Begin, last for a time and end."""
        duration_s = self.sample_duration_s()
        disruption_table = self.cluster.checker.disruption_table
        components = () if self.is_planned else self.components
        for component in components:
            disruption_table.begin(component)
        try:
            self.begin()
            await trio.sleep(duration_s)
            self.end()
        finally:
            for component in components:
                disruption_table.end(component, self.cluster.checker.clock())


class GatewayDisruption(Disruption):
    """Something that happens to one gateway, or to all."""

    def choose_targets(self) -> None:
        """Choose the gateways."""
        is_all = self.random_state.random() < 0.1
        gateways = self.cluster.gateways
        self.gateways: list[GatewayProcess] = (
            list(gateways) if is_all else [self.random_state.choice(gateways)]
        )
        self.components = [gateway.name for gateway in self.gateways]


class GatewayKill(GatewayDisruption):
    """Gateways are killed; they start again."""

    def begin(self) -> None:
        """Kill."""
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGKILL)


class GatewayStop(GatewayDisruption):
    """Gateways are told to stop; they start again."""

    is_planned = True

    def begin(self) -> None:
        """Tell them."""
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGTERM)


class GatewayPause(GatewayDisruption):
    """Gateways are frozen."""

    def begin(self) -> None:
        """Freeze."""
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGSTOP)

    def end(self) -> None:
        """Let them go on."""
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGCONT)


class SettingsTold(GatewayDisruption):
    """Gateways are told that their settings have changed."""

    is_planned = True

    def begin(self) -> None:
        """Tell them."""
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGHUP)


class LinkDisruption(GatewayDisruption):
    """A fault of the links of gateways to callers or to the store."""

    def choose_targets(self) -> None:
        """Choose gateways, links and the fault."""
        super().choose_targets()
        self.fault = self.random_state.choice(LINK_FAULTS)
        is_front = self.random_state.random() < 0.5
        self.links = [row.front if is_front else row.store for row in self.gateways]

    @property
    def label(self) -> str:
        """What happens to which parts, for the report."""
        return f"{super().label} {self.fault.value}"

    def begin(self) -> None:
        """Disturb the links."""
        for link in self.links:
            link.set_fault(self.fault)

    def end(self) -> None:
        """Heal the links."""
        for link in self.links:
            link.set_fault(LinkFault.NONE)


class ConnectionsLost(LinkDisruption):
    """Open connections are reset, or fall silent for good."""

    def begin(self) -> None:
        """Lose the connections."""
        is_reset = self.random_state.random() < 0.5
        for link in self.links:
            if is_reset:
                link.reset_all()
            else:
                link.mute_all()


class StoreOutage(Disruption):
    """The store is away, or forgets its history."""

    def choose_targets(self) -> None:
        """Choose the fault."""
        self.components = [STORE]
        self.fault = self.random_state.choice(STORE_FAULTS)
        self.loses_history = self.random_state.random() < 0.3

    def begin(self) -> None:
        """Take the store away."""
        self.cluster.store.fault = self.fault

    def end(self) -> None:
        """Bring it back."""
        if self.loses_history:
            self.cluster.store.forget_history()
        self.cluster.store.fault = StoreFault.NONE


class UpstreamDisruption(Disruption):
    """Something that happens to one upstream."""

    def choose_targets(self) -> None:
        """Choose the upstream."""
        rows = list(self.cluster.upstreams.values())
        ready = [row for row in rows if row.state == "ready"]
        self.upstream: SoakUpstream = self.random_state.choice(ready or rows)
        self.components = [self.upstream.upstream_id]


class UpstreamCrash(UpstreamDisruption):
    """An upstream ends and starts again."""

    def begin(self) -> None:
        """End it."""
        self.upstream.proxy.set_fault(LinkFault.DOWN)

    def end(self) -> None:
        """Start it."""
        self.upstream.proxy.set_fault(LinkFault.NONE)
        if self.upstream.state == "ready":
            self.cluster.restore_upstream(self.upstream)


class UpstreamLinkFault(UpstreamDisruption):
    """A fault of the link to an upstream."""

    def begin(self) -> None:
        """Disturb the link."""
        self.upstream.proxy.set_fault(self.random_state.choice(LINK_FAULTS))

    def end(self) -> None:
        """Heal the link."""
        self.upstream.proxy.set_fault(LinkFault.NONE)


class UpstreamSpoilt(UpstreamDisruption):
    """An upstream answers badly."""

    def begin(self) -> None:
        """Change its mood."""
        self.upstream.fault_profile = self.random_state.choice(list(UpstreamFaultProfile)[1:])

    def end(self) -> None:
        """Answer well again."""
        self.upstream.fault_profile = UpstreamFaultProfile.HEALTHY


class UpstreamDrain(UpstreamDisruption):
    """An upstream leaves, told or untold, and comes back as another run."""

    is_planned = True

    def begin(self) -> None:
        """Leave."""
        self.cluster.drain_upstream(self.upstream, is_announced=self.random_state.random() < 0.7)

    def end(self) -> None:
        """Come back."""
        self.cluster.restore_upstream(self.upstream)


class DomainOut(Disruption):
    """A failure domain is taken out and back."""

    is_planned = True

    def choose_targets(self) -> None:
        """Choose the domain."""
        self.is_skipped = bool(self.cluster.checker.evacuated_domains)
        self.domain = self.random_state.choice(DOMAINS)
        self.components = [self.domain]

    def begin(self) -> None:
        """Take it out, unless another one is out already."""
        if not self.is_skipped:
            self.cluster.evacuate(self.domain, is_out=True)

    def end(self) -> None:
        """Take it back."""
        if not self.is_skipped:
            self.cluster.evacuate(self.domain, is_out=False)


class ConfigurationMoved(Disruption):
    """A new version of the configuration moves a route to another service, and back."""

    is_planned = True

    def choose_targets(self) -> None:
        """Choose the route."""
        self.route = self.random_state.choice(("safe", "unsafe"))
        self.components = [self.route]

    def begin(self) -> None:
        """Move it."""
        self.cluster.routes[self.route] = "spare"
        self.cluster.put_config()

    def end(self) -> None:
        """Move it back."""
        self.cluster.routes[self.route] = "ops"
        self.cluster.put_config()


class Upgrade(Disruption):
    """The models' service is moved to a version that is good or bad."""

    is_planned = True

    def choose_targets(self) -> None:
        """Choose whether the version is good."""
        self.is_good = self.random_state.random() < 0.5
        self.version = f"v{2 + self.cluster.n_upgrades}"
        self.components = [self.version, "good" if self.is_good else "bad"]

    def begin(self) -> None:
        """Start upstreams of the version and order the upgrade."""
        self.cluster.n_upgrades += 1

    async def run(self) -> None:
        """Play the upgrade to its end, or as long as its order lasts."""
        cluster = self.cluster
        self.begin()
        old = [row for row in cluster.upstreams.values() if row.service == "llm"]
        old = [row for row in old if row.state == "ready"]
        new = [await cluster.add_upstream("llm", domain, self.version) for domain in DOMAINS]
        for upstream in () if self.is_good else new:
            upstream.fault_profile = UpstreamFaultProfile.FAILING
        cluster.operator.order_upgrade("llm", self.version, UPGRADE_ORDER_S)
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
            # Old upstreams stop at once; those of a version that was given up leave first.
            cluster.drain_upstream(upstream, is_announced=not is_upgraded)
            if is_upgraded:
                upstream.proxy.set_fault(LinkFault.DOWN)


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
    DomainOut: 1,
    ConfigurationMoved: 2,
    Upgrade: 1,
}


def sample_kinds(random_state: random.Random) -> dict[type[Disruption], float]:
    """Draw the kinds of a run and their weights; few kinds together reach what all would hide."""
    kinds = list(KIND_WEIGHTS)
    n_kinds = random_state.randint(MIN_KINDS, MAX_KINDS)
    return {kind: KIND_WEIGHTS[kind] for kind in random_state.sample(kinds, n_kinds)}


def make_disruption(
    cluster: SoakCluster, kinds: dict[type[Disruption], float], random_state: random.Random
) -> Disruption:
    """Draw a disruption of some kinds; at most one upgrade is ordered."""
    allowed_kinds = {
        kind: weight
        for kind, weight in kinds.items()
        if kind is not Upgrade or not cluster.n_upgrades
    }
    kind = random_state.choices(list(allowed_kinds), list(allowed_kinds.values()))[0]
    return kind(cluster, random_state)
