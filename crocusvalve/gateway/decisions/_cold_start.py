"""Admission of requests to cold upstreams, whose rate limit the gateways share."""

from collections.abc import Sequence

from crocusvalve.base import NodeId, UpstreamId
from crocusvalve.gateway.tables._tables import UpstreamLoad
from crocusvalve.utils import hash_to_unit

__all__ = ["compute_cold_quota", "may_send_cold", "record_cold_send"]

#: Seconds over which requests to a cold upstream are counted: one second and a margin for clock
#: differences and network delays.
WINDOW_S = 1.1


def compute_cold_quota(
    rate_per_s: float, upstream_id: UpstreamId, node_id: NodeId, nodes: Sequence[NodeId]
) -> int:
    """Return how many requests per second a gateway may send to a cold upstream.

    If there are more gateways than requests, the first gateways by rendezvous hash get one each.

    Parameters
    ----------
    rate_per_s : float
        Requests per second that the upstream can handle.
    nodes : sequence of NodeId
        All gateways that may send requests, including this one.
    """
    total = int(rate_per_s)
    if total >= len(nodes):
        return total // max(1, len(nodes))
    ranked = sorted(nodes, key=lambda node: hash_to_unit(f"{upstream_id}|{node}"))
    return 1 if node_id in ranked[:total] else 0


def may_send_cold(load: UpstreamLoad, quota: int, now: float) -> bool:
    """Return whether a cold upstream may get a request now."""
    load.cold_send_times = [sent_at for sent_at in load.cold_send_times if now - sent_at < WINDOW_S]
    return len(load.cold_send_times) < quota


def record_cold_send(load: UpstreamLoad, now: float) -> None:
    """Record that a request is sent to a cold upstream."""
    load.cold_send_times.append(now)
    if len(load.cold_send_times) > 64:
        del load.cold_send_times[:-64]
