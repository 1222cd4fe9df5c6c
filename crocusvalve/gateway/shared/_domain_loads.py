"""Loads of other failure domains, each as sums over its gateways."""

import heapq
from collections.abc import Iterable, Mapping

from msgspec import Struct

from crocusvalve.base import DomainId, UpstreamId

__all__ = ["DomainLoadTable", "DomainLoads", "UpstreamLoadRow"]

#: The loads that a gateway or a failure domain has reported are used for this long.
LOAD_EXPIRY_S = 3.0
#: Sums over fewer gateways replace sums over more only after this time: a gateway that has just
#: started, or that is cut off from its failure domain, counts few of it.
FULLER_SUMS_S = 1.0
#: Maximum number of upstreams in sums, so that a message fits into a datagram.
MAX_ROWS = 1024


class UpstreamLoadRow(Struct, frozen=True, array_like=True):
    """Load of an upstream from several gateways.

    Attributes
    ----------
    n_inflight : int
        Requests in flight.
    pending_work : int
        Weighted prompt tokens not yet processed.
    """

    upstream_id: UpstreamId
    n_inflight: int
    pending_work: int


class DomainLoads(Struct, frozen=True, array_like=True):
    """Sums of the loads of a failure domain's gateways.

    Attributes
    ----------
    domain : DomainId
        The failure domain.
    n_gateways : int
        Number of gateways that the sums include.
    age_ms : int
        Time since the sums were made, in milliseconds.
    rows : tuple of UpstreamLoadRow
        Loads by upstream; those without a request in flight are left out.
    """

    domain: DomainId
    n_gateways: int
    age_ms: int
    rows: tuple[UpstreamLoadRow, ...]

    @classmethod
    def add_up(
        cls,
        domain: DomainId,
        reports: Iterable[tuple[Mapping[str, int], Mapping[str, int]]],
    ) -> "DomainLoads":
        """Return the sums of gateways' requests in flight and pending work, by upstream.

        With more than ``MAX_ROWS`` upstreams these are the busiest.
        """
        n_gateways = 0
        totals: dict[str, tuple[int, int]] = {}
        for n_inflight, work in reports:
            n_gateways += 1
            for key in n_inflight:
                count, tokens = totals.get(key, (0, 0))
                totals[key] = (count + n_inflight[key], tokens + work.get(key, 0))
        rows = [UpstreamLoadRow(UpstreamId(key), *sums) for key, sums in totals.items()]
        if len(rows) > MAX_ROWS:
            rows = heapq.nlargest(
                MAX_ROWS, rows, key=lambda row: (row.n_inflight, row.pending_work)
            )
        return cls(domain, n_gateways, 0, tuple(rows))


class _Entry(Struct):
    """Sums of a failure domain, and the local time in seconds at which they were made.

    Attributes
    ----------
    is_to_pass : bool
        Whether they are still to be passed on within the own failure domain.
    """

    loads: DomainLoads
    made_at: float
    is_to_pass: bool

    def make_report(self, now: float) -> DomainLoads:
        """Return the sums with their present age."""
        loads = self.loads
        age_ms = max(0, round((now - self.made_at) * 1000))
        return DomainLoads(loads.domain, loads.n_gateways, age_ms, loads.rows)


class DomainLoadTable:
    """Last sums of each other failure domain.

    Parameters
    ----------
    domain : DomainId
        Failure domain of this gateway, whose sums are ignored: its gateways report their own loads.
    """

    def __init__(self, domain: DomainId):
        self.domain = domain
        self._entries: dict[DomainId, _Entry] = {}

    def merge(self, loads: DomainLoads, now: float, *, is_passed_on: bool) -> None:
        """Merge the sums of a failure domain.

        Parameters
        ----------
        is_passed_on : bool
            Whether the peer has them from another one, and hasn't made them itself.
        """
        if not loads.domain or loads.domain == self.domain:
            return
        made_at = now - max(0, loads.age_ms) / 1000
        known = self._entries.get(loads.domain)
        if known is not None:
            is_fuller = known.loads.n_gateways > loads.n_gateways
            if made_at <= known.made_at + (FULLER_SUMS_S if is_fuller else 0.0):
                return
        self._entries[loads.domain] = _Entry(loads, made_at, not is_passed_on)

    def add_up(
        self,
        reports: Iterable[tuple[DomainId, Mapping[str, int], Mapping[str, int]]],
        now: float,
    ) -> tuple[dict[str, int], dict[str, int]]:
        """Return the requests in flight and pending work of all peers, by upstream.

        Parameters
        ----------
        reports : iterable of tuple
            Failure domain of each peer and the two loads that it has reported itself; they don't
            count if there are recent sums of its failure domain.
        """
        recent = {
            domain: entry.loads
            for domain, entry in self._entries.items()
            if now - entry.made_at <= LOAD_EXPIRY_S
        }
        n_inflight: dict[str, int] = {}
        work: dict[str, int] = {}
        for loads in recent.values():
            for row in loads.rows:
                key = row.upstream_id
                n_inflight[key] = n_inflight.get(key, 0) + row.n_inflight
                work[key] = work.get(key, 0) + row.pending_work
        for domain, *loads_of_peer in reports:
            if domain in recent:
                continue
            for total, reported in zip((n_inflight, work), loads_of_peer, strict=True):
                for upstream_id, n in reported.items():
                    total[upstream_id] = total.get(upstream_id, 0) + n
        return n_inflight, work

    def choose(self, n_domains: int, now: float) -> tuple[DomainLoads, ...]:
        """Return sums for the next message within the own failure domain, the newest first.

        Load that it answers: a gateway hears from another failure domain about once a second only,
        while all gateways of its own together hear from it many times. Each passes on once what it
        has heard itself.
        """
        waiting = sorted(
            (entry for entry in self._entries.values() if entry.is_to_pass),
            key=lambda entry: -entry.made_at,
        )
        for entry in waiting[:n_domains]:
            entry.is_to_pass = False
        return tuple(entry.make_report(now) for entry in waiting[:n_domains])
