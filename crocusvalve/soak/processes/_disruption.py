"""Base class of the disruptions of a soak."""

import random
from abc import ABC, abstractmethod

import trio

from crocusvalve.soak.processes._cluster import SoakCluster

__all__ = ["Disruption"]

#: Longest duration of a fault.
MAX_DISRUPTION_S = 4.0
#: Longest duration of planned work, which has to outlast the time bounds that it starts.
MAX_PLANNED_S = 12.0


class Disruption(ABC):
    """A fault or planned work that affects components of a cluster for a time.

    The names of subclasses are written to the report.

    Parameters
    ----------
    cluster : SoakCluster
        The affected cluster.
    random_state : random.Random
        Source of randomness.

    Attributes
    ----------
    components : list of str
        Names of the affected components; planned work may name others, for the report only.
    """

    #: Whether this is planned work, during which time bounds still apply to the components.
    is_planned = False

    def __init__(self, cluster: SoakCluster, random_state: random.Random):
        self.cluster = cluster
        self.random_state = random_state
        self.components: list[str] = []
        self.choose_targets()

    @property
    def label(self) -> str:
        """Name of the disruption and its components, for the report."""
        return f"{type(self).__name__} {' '.join(self.components)}"

    @abstractmethod
    def choose_targets(self) -> None:
        """Choose the affected components, and variants of the disruption."""

    @abstractmethod
    def begin(self) -> None:
        """Begin the disruption."""

    def end(self) -> None:  # noqa: B027
        """End the disruption, if it has a lasting effect."""

    def sample_duration_s(self) -> float:
        """Return a random duration."""
        max_s = MAX_PLANNED_S if self.is_planned else MAX_DISRUPTION_S
        return self.random_state.uniform(0.1, max_s)

    async def run(self) -> None:
        """Begin, wait for a random time and end; record faults in the disruption table."""
        duration_s = self.sample_duration_s()
        disruption_table = self.cluster.checker.disruption_table
        components = () if self.is_planned else self.components
        for component in components:
            disruption_table.begin(component, self.cluster.checker.clock())
        try:
            self.begin()
            await trio.sleep(duration_s)
            self.end()
        finally:
            for component in components:
                disruption_table.end(component, self.cluster.checker.clock())
