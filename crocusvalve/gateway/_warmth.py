"""Admission of requests to cold upstreams, shared among the gateways."""

from collections.abc import Sequence

from crocusvalve.base import NodeId, UpstreamId
from crocusvalve.gateway._tables import UpstreamLoad
from crocusvalve.utils import hash_to_unit

__all__ = ["compute_cold_quota", "may_send_cold", "note_cold_send"]

#: Span in which requests to a cold upstream are counted, with a margin for clocks and delays.
WINDOW_S = 1.1


def compute_cold_quota(
    rate_per_s: float, upstream_id: UpstreamId, node_id: NodeId, nodes: Sequence[NodeId]
) -> int:
    """Return how many requests a second a gateway may send to a cold upstream.

    Where there are more gateways than requests, those first by rendezvous hash get one each.

    Parameters
    ----------
    rate_per_s : float
        Requests a second that the upstream bears.
    nodes : sequence of NodeId
        All gateways that may send, this one included.
    """
    total = int(rate_per_s)
    if total >= len(nodes):
        return total // max(1, len(nodes))
    ranked = sorted(nodes, key=lambda node: hash_to_unit(f"{upstream_id}|{node}"))
    return 1 if node_id in ranked[:total] else 0


def may_send_cold(load: UpstreamLoad, quota: int, now: float) -> bool:
    """Tell whether a cold upstream may get a request now."""
    load.cold_send_times = [at for at in load.cold_send_times if now - at < WINDOW_S]
    return len(load.cold_send_times) < quota


def note_cold_send(load: UpstreamLoad, now: float) -> None:
    """Count a request that is sent to an upstream."""
    load.cold_send_times.append(now)
    if len(load.cold_send_times) > 64:
        del load.cold_send_times[:-64]
