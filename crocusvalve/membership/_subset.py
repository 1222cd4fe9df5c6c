"""Choice of the subset of upstreams that an entry sends requests to."""

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
    """Key of a group of upstreams from which an entry chooses a fixed number.

    ``location`` is a failure domain, or the remote region of a group of fallback upstreams.
    """

    location: str
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
        Id of the entry.
    upstreams : sequence of UpstreamRow or UpstreamView
        All upstreams; only their domain, region, served versions and id are read.
    n_per_domain : int
        Upstreams per failure domain and set of served versions.
    region : str
        Region of the entry, or empty if unknown. With a known region, an upstream of another
        region is a fallback if all its versions are served in the entry's region too.
    n_per_remote_region : int
        Fallback upstreams per remote region and set of served versions.

    Returns
    -------
    list of UpstreamId
        The chosen upstreams, sorted. When an upstream is added or removed, at most one chosen
        upstream changes; when an entry is, the choices of the other entries stay the same.
    """
    local_versions = {
        version for row in upstreams if not region or row.region == region for version in row.serves
    }
    groups: dict[GroupKey, list[UpstreamId]] = defaultdict(list)
    for row in upstreams:
        is_local = not region or row.region == region
        is_fallback = not is_local and local_versions.issuperset(row.serves)
        location = row.region if is_fallback else row.domain
        groups[GroupKey(location, row.serves, is_fallback)].append(row.upstream_id)
    seed = xxhash.xxh3_64_intdigest(node_id.encode())
    chosen: list[UpstreamId] = []
    for key, ids in groups.items():
        n_chosen = n_per_remote_region if key.is_fallback else n_per_domain
        chosen += heapq.nlargest(n_chosen, ids, key=lambda ref: _score(ref, seed))
    return sorted(chosen)


def _score(upstream_id: UpstreamId, seed: int) -> int:
    return xxhash.xxh3_64_intdigest(upstream_id.encode(), seed)
