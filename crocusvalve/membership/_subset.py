"""The upstreams that an entry talks to."""

import heapq
from collections import defaultdict
from collections.abc import Iterable

import xxhash

from crocusvalve.base import NodeId, UpstreamId
from crocusvalve.config import UpstreamView
from crocusvalve.model import UpstreamRow

__all__ = ["choose_subset"]


def choose_subset(
    node_id: NodeId, upstreams: Iterable[UpstreamRow | UpstreamView], n_per_domain: int
) -> list[UpstreamId]:
    """Choose an entry's upstreams by rendezvous hashing.

    Parameters
    ----------
    node_id : NodeId
        The entry.
    upstreams : iterable of UpstreamRow or UpstreamView
        All upstreams; of each, domain, served versions and id are read.
    n_per_domain : int
        Upstreams per failure domain and set of served versions.

    Returns
    -------
    list of UpstreamId
        Sorted. A change of one upstream moves one place at most; other entries have no influence.
    """
    groups: dict[tuple, list[UpstreamId]] = defaultdict(list)
    for row in upstreams:
        groups[row.domain, row.serves].append(row.upstream_id)
    seed = xxhash.xxh3_64_intdigest(node_id.encode())
    chosen: list[UpstreamId] = []
    for ids in groups.values():
        chosen += heapq.nlargest(n_per_domain, ids, key=lambda ref: _score(ref, seed))
    return sorted(chosen)


def _score(upstream_id: UpstreamId, seed: int) -> int:
    return xxhash.xxh3_64_intdigest(upstream_id.encode(), seed)
