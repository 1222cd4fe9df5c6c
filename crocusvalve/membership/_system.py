"""Maintains an entry's subset of upstreams, checks their heartbeats and probes silent ones."""

import heapq

from crocusvalve.base import NodeId, Revision, System, UpstreamState
from crocusvalve.membership._commands import ProbeUpstream
from crocusvalve.membership._subset import choose_subset
from crocusvalve.model import EntryTables, UpstreamRow

__all__ = ["MembershipSystem"]

#: Up to this number of upstreams an entry uses all of them, and no subset is chosen.
MAX_ALL_UPSTREAMS = 256
N_PER_DOMAIN = 4
#: Silence after which an upstream is marked as down.
EXPIRY_S = 5.0
#: Interval between two checks of the heartbeats.
CHECK_INTERVAL_S = 0.25
PROBE_INTERVAL_S = 2.0
#: The interval between probes of a silent upstream grows to this fraction of its silence, up to
#: ``MAX_PROBE_INTERVAL_S``.
PROBE_BACKOFF = 0.25
MAX_PROBE_INTERVAL_S = 30.0
MAX_PROBES_PER_S = 20.0


class MembershipSystem(System):
    """Chooses the entry's subset of upstreams, marks silent ones as down and probes them.

    Parameters
    ----------
    node_id : NodeId
        Id of the entry.
    region : str
        Region of the entry, or empty if unknown.
    n_per_domain : int
        Upstreams per failure domain and set of served versions, if there are too many to use
        all of them.
    expiry_s : float
        Silence in seconds after which an upstream is marked as down.
    max_probes_per_s : float
        Upper bound on the rate of probes.

    Attributes
    ----------
    subset_revision_ : Revision
        Revision from which the subset was chosen.
    checked_at_ : float
        When the heartbeats were last checked, in Unix seconds.
    """

    def __init__(
        self,
        node_id: NodeId,
        *,
        region: str = "",
        n_per_domain: int = N_PER_DOMAIN,
        expiry_s: float = EXPIRY_S,
        max_probes_per_s: float = MAX_PROBES_PER_S,
    ):
        self.node_id = node_id
        self.region = region
        self.n_per_domain = n_per_domain
        self.expiry_s = expiry_s
        self.max_probes_per_s = max_probes_per_s
        self.subset_revision_ = Revision(-1)
        self.checked_at_ = float("-inf")

    def run(self, tables: EntryTables, now: float) -> list[ProbeUpstream]:
        """Update the subset and the heartbeats and return the probes; see ``System.run``."""
        if tables.view.revision != self.subset_revision_:
            self._choose_subset(tables)
        elapsed_s = now - self.checked_at_
        if elapsed_s < CHECK_INTERVAL_S:
            return []
        self.checked_at_ = now
        silent = []
        for row in tables.upstreams.values():
            if row.in_subset and self._check_heartbeat(row, now):
                silent.append(row)
        return self._probe(silent, min(elapsed_s, 1.0), now)

    def _choose_subset(self, tables: EntryTables) -> None:
        views = list(tables.view.upstreams.values())
        chosen = set(tables.view.upstreams)
        if len(views) > MAX_ALL_UPSTREAMS:
            chosen = set(choose_subset(self.node_id, views, self.n_per_domain, region=self.region))
        for row in tables.upstreams.values():
            row.in_subset = row.upstream_id in chosen
        tables.index_upstreams()
        self.subset_revision_ = tables.view.revision

    def _check_heartbeat(self, row: UpstreamRow, now: float) -> bool:
        """Mark a silent upstream as down and return whether it is due for a probe."""
        silence_s = now - row.last_seen_at
        if row.last_seen_at and silence_s > self.expiry_s:
            row.state = UpstreamState.DOWN
        if silence_s <= self.expiry_s / 2.0:
            return False
        backoff_s = PROBE_BACKOFF * silence_s if row.last_seen_at else 0.0
        interval_s = min(MAX_PROBE_INTERVAL_S, max(PROBE_INTERVAL_S, backoff_s))
        return now - row.probed_at >= interval_s

    def _probe(
        self, silent: list[UpstreamRow], elapsed_s: float, now: float
    ) -> list[ProbeUpstream]:
        n_max = max(1, int(self.max_probes_per_s * elapsed_s))
        chosen = heapq.nsmallest(n_max, silent, key=lambda row: row.probed_at)
        for row in chosen:
            row.probed_at = now
        return [ProbeUpstream(row.upstream_id, row.agent) for row in chosen]
