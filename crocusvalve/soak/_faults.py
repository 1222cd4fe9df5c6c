"""Probabilities and rates of a simulation's faults."""

from collections import Counter

from msgspec import Struct, field

__all__ = ["SoakFaults"]


class SoakFaults(Struct, kw_only=True):
    """Probabilities and rates of faults, and counts of the injected ones.

    Fields that end in ``_per_s`` are mean rates per second. ``caller_leaves`` and ``poison`` are
    probabilities per request, the other faults are probabilities per message, each from 0 to 1.
    Fields that begin with ``cut_`` break a connection: before or after an attempt is sent, or while
    its events are streamed.
    ``max_delay_s`` bounds the delay of a message, in seconds. ``counts`` holds how often each
    fault was injected, by name.
    """

    cut_before_send: float = 0.02
    cut_after_send: float = 0.02
    cut_stream: float = 0.02
    repeated_message: float = 0.02
    repeated_frame: float = 0.02
    late_frame: float = 0.02
    agent_restart_per_s: float = 0.05
    engine_cold_per_s: float = 0.05
    freeze_per_s: float = 0.05
    entry_kill_per_s: float = 0.03
    revision_per_s: float = 0.4
    store_outage_per_s: float = 0.05
    caller_leaves: float = 0.02
    poison: float = 0.01
    max_delay_s: float = 0.02
    counts: Counter[str] = field(default_factory=Counter)

    def count_fault(self, name: str) -> None:
        """Count an injected fault."""
        self.counts[name] += 1
