"""Requests that crash the upstreams that run them, by a digest of path, caller and body."""

from collections import OrderedDict
from collections.abc import Iterable

from crocusvalve.gateway.shared._report_queue import ReportQueue
from crocusvalve.utils import hash_to_int

__all__ = ["CrashRegistry"]

#: Distinct crashes after which a request is permanently refused.
MAX_CRASHES = 3
#: Digests with fewer crashes that are remembered; each crash adds all requests that it has ended.
MAX_SUSPECTS = 8192
#: Digests that are permanently refused.
MAX_BANNED = 16384


class CrashRegistry:
    """Crashes by request digest, as far as this gateway and its peers have seen them.

    Load that it answers: a request that crashes upstreams is sent again at all gateways, so that
    each of them sees a part of its crashes; each crash also ends sound requests, which are
    recorded as well. Every gateway has to refuse the request after its third crash, also one that
    starts later or was cut off.

    An incident id identifies one crash: the upstream and the start of the process that crashed.

    Attributes
    ----------
    fingerprint : int
        Hash of the refused digests, in any order. Gateways with different ones refuse different
        requests.
    """

    def __init__(self) -> None:
        self._suspects: OrderedDict[str, tuple[str, ...]] = OrderedDict()
        self._banned: OrderedDict[str, tuple[str, ...]] = OrderedDict()
        self._suspect_reports: ReportQueue[str] = ReportQueue()
        self._ban_reports: ReportQueue[str] = ReportQueue()
        self.fingerprint = 0

    @property
    def n_banned(self) -> int:
        """Number of requests that are permanently refused."""
        return len(self._banned)

    def record_crash(self, digest: str, incident: str, *, is_own: bool = True) -> int:
        """Record a crash, once per incident id; return the number of crashes of the digest.

        Crashes of a digest that is already refused aren't counted.

        Parameters
        ----------
        is_own : bool
            Whether this gateway has seen the crash itself.
        """
        incidents = self._get_incidents(digest)
        if len(incidents) >= MAX_CRASHES or incident in incidents:
            return len(incidents)
        incidents = (*incidents, incident)
        if len(incidents) >= MAX_CRASHES:
            self._ban(digest, incidents, is_own)
        else:
            self._suspects[digest] = incidents
            self._suspects.move_to_end(digest)
            self._suspect_reports.add(digest, is_own=is_own)
            if len(self._suspects) > MAX_SUSPECTS:
                evicted, _ = self._suspects.popitem(last=False)
                self._suspect_reports.discard(evicted)
        return len(incidents)

    def _ban(self, digest: str, incidents: tuple[str, ...], is_own: bool) -> None:
        if self._suspects.pop(digest, None) is not None:
            self._suspect_reports.discard(digest)
        self._banned[digest] = incidents
        self._ban_reports.add(digest, is_own=is_own)
        self.fingerprint ^= hash_to_int(digest)
        if len(self._banned) > MAX_BANNED:
            evicted, _ = self._banned.popitem(last=False)
            self._ban_reports.discard(evicted)
            self.fingerprint ^= hash_to_int(evicted)

    def _get_incidents(self, digest: str) -> tuple[str, ...]:
        return self._banned.get(digest) or self._suspects.get(digest, ())

    def count(self, digest: str) -> int:
        """Return the number of distinct crashes of a digest, up to ``MAX_CRASHES``."""
        return len(self._get_incidents(digest))

    def is_suspect(self, digest: str) -> bool:
        """Return whether a request was lost in a crash and isn't refused yet."""
        return digest in self._suspects

    def is_banned(self, digest: str) -> bool:
        """Return whether a request is permanently refused."""
        return digest in self._banned

    def merge(self, digest: str, incidents: Iterable[str]) -> bool:
        """Merge the incidents that another gateway reported; return whether this bans a digest."""
        was_banned = self.is_banned(digest)
        for incident in incidents:
            self.record_crash(digest, incident, is_own=False)
        return self.is_banned(digest) and not was_banned

    def choose_reports(self, n_digests: int, *, is_peer_behind: bool) -> dict[str, list[str]]:
        """Return incidents by digest for the next message, and count them as told.

        Parameters
        ----------
        n_digests : int
            Maximum numbers of refused digests and of others.
        is_peer_behind : bool
            Whether a peer may lack digests that are refused here, so that all are told in turn.
        """
        chosen = self._ban_reports.choose(n_digests, is_complete=is_peer_behind)
        chosen += self._suspect_reports.choose(n_digests)
        return {digest: list(self._get_incidents(digest)) for digest in chosen}
