"""Disruptions of several components at once, most of them in series."""

import trio

from crocusvalve.soak.processes._cluster import DEFAULT_IDLE_TIMEOUT_S, DEFAULT_TIMEOUT_S
from crocusvalve.soak.processes._components import SoakUpstream, UpstreamFaultProfile
from crocusvalve.soak.processes._disruption import Disruption

__all__ = ["LimitsChanged", "ServiceSpoilt", "UpstreamsSilent"]

#: Largest number of members of a series.
MAX_SERIES = 4
#: Range of a silence, and of the pause between the ends and beginnings of two.
SILENCE_RANGE_S = (0.8, 1.6)
SILENCE_PAUSE_RANGE_S = (0.1, 2.0)
#: Probabilities that one upstream is silent, and that all are.
ONE_PROBABILITY = 0.3
ALL_PROBABILITY = 0.3
#: Timeouts of routes and limits for idle connections, and the range of the pause between two
#: configurations, which may be shorter than the time until a configuration is in force.
TIMEOUTS_S = (3.0, 5.0, DEFAULT_TIMEOUT_S)
IDLE_TIMEOUTS_S = (0.5, 1.0, 2.0, 6.0)
CHANGE_PAUSE_RANGE_S = (0.2, 3.0)


class UpstreamsSilent(Disruption):
    """Sound upstreams send nothing for about a second, and then go on."""

    is_planned = True

    def choose_targets(self) -> None:
        """Choose one upstream, several or all."""
        rng, upstreams = self.random_state, list(self.cluster.upstreams.values())
        n_upstreams, draw = rng.randint(2, len(upstreams)), rng.random()
        if draw < ONE_PROBABILITY:
            n_upstreams = 1
        elif draw > 1.0 - ALL_PROBABILITY:
            n_upstreams = len(upstreams)
        self.upstreams: list[SoakUpstream] = rng.sample(upstreams, n_upstreams)
        self.components = [upstream.upstream_id for upstream in self.upstreams]

    def begin(self) -> None:
        """Let all of them fall silent at once."""
        self.silence_s = self.random_state.uniform(*SILENCE_RANGE_S)
        for upstream in self.upstreams:
            upstream.fall_silent(self.silence_s)

    async def run(self) -> None:
        """Let them fall silent a few times."""
        for _ in range(self.random_state.randint(1, MAX_SERIES)):
            self.begin()
            pause_s = self.random_state.uniform(*SILENCE_PAUSE_RANGE_S)
            await trio.sleep(self.silence_s + pause_s)


class ServiceSpoilt(Disruption):
    """Upstreams of a service inject faults, so that few can take over an answer.

    The first one that is ready stays sound, also if several such disruptions overlap.
    """

    def choose_targets(self) -> None:
        """Choose the service."""
        upstreams = list(self.cluster.upstreams.values())
        service = self.random_state.choice(sorted({item.service for item in upstreams}))
        ready = [item for item in upstreams if item.service == service and item.state == "ready"]
        self.upstreams = ready[1:]
        self.components = [upstream.upstream_id for upstream in self.upstreams]

    def begin(self) -> None:
        """Set a random fault profile for each."""
        for upstream in self.upstreams:
            upstream.fault_profile = self.random_state.choice(list(UpstreamFaultProfile)[1:])

    def end(self) -> None:
        """Set the profile without faults."""
        for upstream in self.upstreams:
            upstream.fault_profile = UpstreamFaultProfile.HEALTHY


class LimitsChanged(Disruption):
    """Configurations raise and lower the timeouts of routes and the limit for idle connections."""

    is_planned = True

    def choose_targets(self) -> None:
        """Choose the values, each of a few configurations in turn; the first ones come back."""
        rng = self.random_state
        self.limits = [
            (rng.choice(TIMEOUTS_S), rng.choice(IDLE_TIMEOUTS_S))
            for _ in range(rng.randint(1, MAX_SERIES))
        ]
        self.limits.append((DEFAULT_TIMEOUT_S, DEFAULT_IDLE_TIMEOUT_S))
        self.components = [f"{timeout_s}/{idle_s}" for timeout_s, idle_s in self.limits]

    def begin(self) -> None:
        """Write the next configuration, unless its transfer would take long."""
        limits = self.limits.pop(0)
        if not self.cluster.n_extra_routes:
            self.cluster.set_limits(*limits)

    async def run(self) -> None:
        """Write the configurations one after the other."""
        while self.limits:
            self.begin()
            await trio.sleep(self.random_state.uniform(*CHANGE_PAUSE_RANGE_S))
