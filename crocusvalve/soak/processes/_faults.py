"""Faults and planned work of a soak."""

import random
import signal
from abc import ABC, abstractmethod

import trio

from crocusvalve.soak.processes._judge import STORE
from crocusvalve.soak.processes._parts import GatewayProcess, SoakUpstream, UpstreamMood
from crocusvalve.soak.processes._proxy import LinkFault
from crocusvalve.soak.processes._world import DOMAINS, SoakWorld
from crocusvalve.standin import StoreFault

__all__ = ["Disruption", "draw_kinds", "make_disruption"]

LINK_FAULTS = tuple(fault for fault in LinkFault if fault is not LinkFault.NONE)
STORE_FAULTS = (StoreFault.BUSY, StoreFault.SILENT, StoreFault.ANSWER_LOST)
UPGRADE_S = 8.0
#: Least and most number of kinds in a run.
MIN_KINDS = 2
MAX_KINDS = 7
#: Longest disruption, and longest planned work, which has to outlast the bounds that it starts.
MAX_DISRUPTION_S = 4.0
MAX_PLANNED_S = 12.0
LOOK_S = 0.1


class Disruption(ABC):
    """Something that happens to a world for a time."""

    #: Whether bounds on time hold on for the parts meanwhile.
    is_planned = False

    def __init__(self, world: SoakWorld, random_state: random.Random):
        self.world = world
        self.random_state = random_state
        self.parts: list[str] = []
        self.choose()

    @property
    def label(self) -> str:
        """What happens to which parts, for the report."""
        return f"{type(self).__name__} {' '.join(self.parts)}"

    @abstractmethod
    def choose(self) -> None:
        """Choose the parts that it meets."""

    @abstractmethod
    def begin(self) -> None:
        """Begin."""

    def end(self) -> None:  # noqa: B027
        """End what lasts."""

    def draw_duration_s(self) -> float:
        """Draw how long it lasts."""
        most_s = MAX_PLANNED_S if self.is_planned else MAX_DISRUPTION_S
        return self.random_state.uniform(0.1, most_s)

    async def run(self) -> None:
        """Begin, last for a time and end."""
        for_s = self.draw_duration_s()
        calm = self.world.judge.calm
        parts = () if self.is_planned else self.parts
        for part in parts:
            calm.begin(part)
        try:
            self.begin()
            await trio.sleep(for_s)
            self.end()
        finally:
            for part in parts:
                calm.end(part, self.world.judge.clock())


class GatewayDisruption(Disruption):
    """Something that happens to one gateway, or to all."""

    def choose(self) -> None:
        """Choose the gateways."""
        is_all = self.random_state.random() < 0.1
        gateways = self.world.gateways
        self.gateways: list[GatewayProcess] = (
            list(gateways) if is_all else [self.random_state.choice(gateways)]
        )
        self.parts = [gateway.name for gateway in self.gateways]


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

    def choose(self) -> None:
        """Choose gateways, links and the fault."""
        super().choose()
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

    def choose(self) -> None:
        """Choose the fault."""
        self.parts = [STORE]
        self.fault = self.random_state.choice(STORE_FAULTS)
        self.is_forgetful = self.random_state.random() < 0.3

    def begin(self) -> None:
        """Take the store away."""
        self.world.store.fault = self.fault

    def end(self) -> None:
        """Bring it back."""
        if self.is_forgetful:
            self.world.store.discard_history()
        self.world.store.fault = StoreFault.NONE


class UpstreamDisruption(Disruption):
    """Something that happens to one upstream."""

    def choose(self) -> None:
        """Choose the upstream."""
        rows = list(self.world.upstreams.values())
        ready = [row for row in rows if row.state == "ready"]
        self.upstream: SoakUpstream = self.random_state.choice(ready or rows)
        self.parts = [self.upstream.upstream_id]


class UpstreamCrash(UpstreamDisruption):
    """An upstream ends and starts again."""

    def begin(self) -> None:
        """End it."""
        self.upstream.proxy.set_fault(LinkFault.DOWN)

    def end(self) -> None:
        """Start it."""
        self.upstream.proxy.set_fault(LinkFault.NONE)
        if self.upstream.state == "ready":
            self.world.return_upstream(self.upstream)


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
        self.upstream.mood = self.random_state.choice(list(UpstreamMood)[1:])

    def end(self) -> None:
        """Answer well again."""
        self.upstream.mood = UpstreamMood.GOOD


class UpstreamDrain(UpstreamDisruption):
    """An upstream leaves, told or untold, and comes back as another run."""

    is_planned = True

    def begin(self) -> None:
        """Leave."""
        self.world.drain_upstream(self.upstream, is_told=self.random_state.random() < 0.7)

    def end(self) -> None:
        """Come back."""
        self.world.return_upstream(self.upstream)


class DomainOut(Disruption):
    """A failure domain is taken out and back."""

    is_planned = True

    def choose(self) -> None:
        """Choose the domain."""
        self.is_nested = bool(self.world.judge.evacuated)
        self.domain = self.random_state.choice(DOMAINS)
        self.parts = [self.domain]

    def begin(self) -> None:
        """Take it out, unless another one is out already."""
        if not self.is_nested:
            self.world.evacuate(self.domain, is_out=True)

    def end(self) -> None:
        """Take it back."""
        if not self.is_nested:
            self.world.evacuate(self.domain, is_out=False)


class ConfigurationMoved(Disruption):
    """A new version of the configuration moves a route to another service, and back."""

    is_planned = True

    def choose(self) -> None:
        """Choose the route."""
        self.route = self.random_state.choice(("safe", "unsafe"))
        self.parts = [self.route]

    def begin(self) -> None:
        """Move it."""
        self.world.routes[self.route] = "spare"
        self.world.put_config()

    def end(self) -> None:
        """Move it back."""
        self.world.routes[self.route] = "ops"
        self.world.put_config()


class Upgrade(Disruption):
    """The models' service is moved to a version that is good or bad."""

    is_planned = True

    def choose(self) -> None:
        """Choose whether the version is good."""
        self.is_good = self.random_state.random() < 0.5
        self.version = f"v{2 + self.world.n_upgrades}"
        self.parts = [self.version, "good" if self.is_good else "bad"]

    def begin(self) -> None:
        """Start upstreams of the version and order the upgrade."""
        self.world.n_upgrades += 1

    async def run(self) -> None:
        """Play the upgrade to its end, or as long as its order lasts."""
        world = self.world
        self.begin()
        old = [row for row in world.upstreams.values() if row.service == "llm"]
        old = [row for row in old if row.state == "ready"]
        new = [await world.add_upstream("llm", domain, self.version) for domain in DOMAINS]
        for upstream in () if self.is_good else new:
            upstream.mood = UpstreamMood.FAILING
        world.operator.order_upgrade("llm", self.version, UPGRADE_S)
        with trio.move_on_after(UPGRADE_S + self.draw_duration_s()):
            while world.operator.get_upgrade("llm") not in (
                (self.version, "complete"),
                (self.version, "reverted"),
            ):
                await trio.sleep(LOOK_S)
        version, state = world.operator.get_upgrade("llm")
        if version == self.version:
            world.judge.check_version("llm", version, self.is_good, state)
        is_moved = version == self.version and state == "complete"
        for upstream in old if is_moved else new:
            # Old upstreams stop at once; those of a version that was given up leave first.
            world.drain_upstream(upstream, is_told=not is_moved)
            if is_moved:
                upstream.proxy.set_fault(LinkFault.DOWN)


KINDS: dict[type[Disruption], float] = {
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


def draw_kinds(random_state: random.Random) -> dict[type[Disruption], float]:
    """Draw the kinds of a run and their weights; few kinds together reach what all would hide."""
    kinds = list(KINDS)
    n_kinds = random_state.randint(MIN_KINDS, MAX_KINDS)
    return {kind: KINDS[kind] for kind in random_state.sample(kinds, n_kinds)}


def make_disruption(
    world: SoakWorld, kinds: dict[type[Disruption], float], random_state: random.Random
) -> Disruption:
    """Draw a disruption of some kinds; at most one upgrade is ordered."""
    open_kinds = {
        kind: weight
        for kind, weight in kinds.items()
        if kind is not Upgrade or not world.n_upgrades
    }
    kind = random_state.choices(list(open_kinds), list(open_kinds.values()))[0]
    return kind(world, random_state)
