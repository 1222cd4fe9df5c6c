"""The upstreams that an entry talks to."""

import heapq
from collections import defaultdict
from collections.abc import Sequence

import xxhash
from msgspec import Struct

from crocusvalve.base import NodeId, UpstreamId, VersionRef
from crocusvalve.config import UpstreamView
from crocusvalve.model import UpstreamRow

__all__ = ["choose_subset"]

N_PER_REMOTE_REGION = 2


class GroupKey(Struct, frozen=True):
    """Upstreams among which an entry chooses; ``place`` is a failure domain or a far region."""

    place: str
    serves: tuple[VersionRef, ...]
    is_fallback: bool


def choose_subset(
    node_id: NodeId,
    upstreams: Sequence[UpstreamRow | UpstreamView],
    n_per_domain: int,
    *,
    region: str = "",
    n_per_remote_region: int = N_PER_REMOTE_REGION,
) -> list[UpstreamId]:
    """Choose an entry's upstreams by rendezvous hashing.

    Parameters
    ----------
    node_id : NodeId
        The entry.
    upstreams : sequence of UpstreamRow or UpstreamView
        All upstreams; of each, domain, region, served versions and id are read.
    n_per_domain : int
        Upstreams per failure domain and set of served versions.
    region : str
        Region of the entry; empty where unknown. Upstreams of other regions are then a fallback
        where their versions are all served in this one.
    n_per_remote_region : int
        Fallback upstreams per other region and set of served versions.

    Returns
    -------
    list of UpstreamId
        Sorted. When an upstream comes or goes, one place changes at most; when an entry does, the
        others' choices stay.
    """
    near_versions = {
        version for row in upstreams if not region or row.region == region for version in row.serves
    }
    groups: dict[GroupKey, list[UpstreamId]] = defaultdict(list)
    for row in upstreams:
        is_near = not region or row.region == region
        is_fallback = not is_near and near_versions.issuperset(row.serves)
        place = row.region if is_fallback else row.domain
        groups[GroupKey(place, row.serves, is_fallback)].append(row.upstream_id)
    seed = xxhash.xxh3_64_intdigest(node_id.encode())
    chosen: list[UpstreamId] = []
    for key, ids in groups.items():
        n_chosen = n_per_remote_region if key.is_fallback else n_per_domain
        chosen += heapq.nlargest(n_chosen, ids, key=lambda ref: _score(ref, seed))
    return sorted(chosen)


def _score(upstream_id: UpstreamId, seed: int) -> int:
    return xxhash.xxh3_64_intdigest(upstream_id.encode(), seed)
