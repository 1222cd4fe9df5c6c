"""Requests that are refused since they, or parts of their prompts, crash upstreams."""

from collections.abc import Callable, Sequence

from msgspec import Struct

from crocusvalve.base import NodeId
from crocusvalve.gateway.base import PrefixPart
from crocusvalve.gateway.decisions._crashes import CrashRegistry
from crocusvalve.gateway.decisions._crashing_parts import CrashingPartRegistry, get_suspect_ids
from crocusvalve.utils import hash_to_unit

__all__ = ["RequestBans"]

#: Time in seconds for which a probe may look for an upstream. Its crash is known by then, or its
#: answer has gone on and ended the ban.
PROBE_EXPIRY_S = 10.0


class _Probe(Struct, frozen=True):
    """The last request with a banned part that was let through, and when."""

    digest: str
    sent_at: float


class RequestBans:
    """Decides which requests get no upstream, at their admission and before each attempt.

    A request with a banned part is let through as a probe if this gateway is the one to send it:
    an answer that goes on ends the ban, and a crash prolongs it. Without probes a part that sound
    prompts share would stay banned, since no prompt that could show that it is sound is sent.

    Parameters
    ----------
    crashes : CrashRegistry
        Crashes by digest of the request.
    crashing_parts : CrashingPartRegistry
        Crashes by part of the prompt.
    node_id : NodeId
        Id of this gateway.
    list_nodes : callable
        Returns the ids of the running gateways at a local time in seconds.

    Attributes
    ----------
    on_change : callable
        Called when a request or a part has become banned; set by the handler of requests.
    """

    def __init__(
        self,
        crashes: CrashRegistry,
        crashing_parts: CrashingPartRegistry,
        node_id: NodeId,
        list_nodes: Callable[[float], Sequence[NodeId]],
    ):
        self.crashes = crashes
        self.crashing_parts = crashing_parts
        self.node_id = node_id
        self.list_nodes = list_nodes
        self.on_change: Callable[[], None] = lambda: None
        self._probes: dict[str, _Probe] = {}

    def find_reason(self, digest: str, prefix: Sequence[PrefixPart], now: float) -> str | None:
        """Return why a request is refused; None if it isn't.

        Parameters
        ----------
        digest : str
            Digest of the request.
        prefix : sequence of PrefixPart
            Parts of its prompt.
        now : float
            Local time in seconds.
        """
        if self.crashes.is_banned(digest):
            return "the request crashes upstreams"
        part_ids = get_suspect_ids(prefix)
        part_id = self.crashing_parts.find_banned(part_ids)
        if part_id is not None and not self._is_probe(part_id, part_ids, digest, now):
            return "a part of the prompt crashes upstreams"
        return None

    def _is_probe(self, part_id: str, part_ids: Sequence[str], digest: str, now: float) -> bool:
        """Return whether a request is the one that tests a banned part."""
        if self.crashes.is_suspect(digest):
            return False
        last = self._probes.get(part_id)
        if last is not None and last.digest == digest:
            return now < last.sent_at + PROBE_EXPIRY_S
        period = self.crashing_parts.compute_probe_period(part_id, now)
        if period is None or (last is not None and now < last.sent_at + PROBE_EXPIRY_S):
            return False
        others = [other for other in part_ids if other != part_id]
        if not self.crashing_parts.are_unsuspected(others, part_id):
            return False
        if not self._is_owner(part_id, period, now):
            return False
        self._probes = {
            probed: probe
            for probed, probe in self._probes.items()
            if now < probe.sent_at + PROBE_EXPIRY_S
        }
        self._probes[part_id] = _Probe(digest, now)
        return True

    def _is_owner(self, part_id: str, period: int, now: float) -> bool:
        """Return whether this gateway sends the probe of a period."""
        nodes = {self.node_id, *self.list_nodes(now)}
        return self.node_id == max(
            nodes, key=lambda node: (hash_to_unit(f"{part_id}|{period}|{node}"), node)
        )
