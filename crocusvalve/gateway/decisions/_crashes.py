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
#: A crash within this time after an answer to the same request isn't held against the request.
SOUND_PERIOD_S = 10.0
#: Digests of answered requests that are remembered, for at most ``SOUND_PERIOD_S``.
MAX_ANSWERED = 4096
#: Digests of which cleared crashes are remembered, the crashes of each, and those of one report.
MAX_CLEARED = 4096
MAX_CLEARED_CRASHES = 32
MAX_REPORTED_CRASHES = 8


class CrashRegistry:
    """Crashes by request digest, as far as this gateway and its peers have seen them.

    Load that it answers: a request that crashes upstreams is sent again at all gateways, so that
    each of them sees a part of its crashes; each crash also ends sound requests, which are
    recorded as well. Every gateway has to refuse the request after its third crash, also one that
    starts later or was cut off.

    An incident id identifies one crash: the upstream and the start of the process that crashed.

    A request that crashes upstreams crashes each one that begins to run it, so that it is never
    answered. An answer clears a request of the crashes that have ended it, and of those in the
    ``SOUND_PERIOD_S`` after the answer: it was only open there when the upstream ended for another
    reason. Crashes are only added, and so are cleared ones; the order in which gateways hear of
    them doesn't matter.

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
        self._cleared: OrderedDict[str, tuple[str, ...]] = OrderedDict()
        self._cleared_reports: ReportQueue[str] = ReportQueue()
        #: Local time of the last answer to a request, the oldest first.
        self._answered_at: OrderedDict[str, float] = OrderedDict()
        self.fingerprint = 0

    @property
    def n_banned(self) -> int:
        """Number of requests that are permanently refused."""
        return len(self._banned)

    def record_crash(self, digest: str, incident: str, *, is_own: bool = True) -> int:
        """Record a crash, once per incident id; return the number of crashes of the digest.

        Crashes of a digest that is already refused aren't counted, and neither are cleared ones.

        Parameters
        ----------
        is_own : bool
            Whether this gateway has seen the crash itself.
        """
        incidents = self._get_incidents(digest)
        is_known = incident in incidents or self.is_cleared(digest, incident)
        if len(incidents) >= MAX_CRASHES or is_known:
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

    def record_answer(self, digest: str, now: float) -> bool:
        """Clear a request of its crashes, since it has been answered.

        Parameters
        ----------
        now : float
            Local time in seconds.

        Returns
        -------
        bool
            Whether the request was refused until now.
        """
        while self._answered_at:
            oldest, answered_at = next(iter(self._answered_at.items()))
            if now - answered_at <= SOUND_PERIOD_S and len(self._answered_at) < MAX_ANSWERED:
                break
            del self._answered_at[oldest]
        self._answered_at[digest] = now
        self._answered_at.move_to_end(digest)
        return self.clear(digest, self._get_incidents(digest))

    def was_answered(self, digest: str, now: float) -> bool:
        """Return whether a request was answered within ``SOUND_PERIOD_S`` before a time."""
        return now - self._answered_at.get(digest, float("-inf")) <= SOUND_PERIOD_S

    def clear(self, digest: str, incidents: Iterable[str], *, is_own: bool = True) -> bool:
        """Clear a request of crashes; return whether it was refused until now."""
        known = self._cleared.get(digest, ())
        new = tuple(incident for incident in incidents if incident not in known)
        if not new:
            return False
        self._cleared[digest] = cleared = (*known, *new)[-MAX_CLEARED_CRASHES:]
        self._cleared.move_to_end(digest)
        self._cleared_reports.add(digest, is_own=is_own)
        if len(self._cleared) > MAX_CLEARED:
            evicted, _ = self._cleared.popitem(last=False)
            self._cleared_reports.discard(evicted)
        counted = self._get_incidents(digest)
        left = tuple(incident for incident in counted if incident not in cleared)
        if len(left) == len(counted):
            return False
        was_banned = self._release(digest)
        if not was_banned:
            self._suspects.pop(digest)
            self._suspect_reports.discard(digest)
        if left:
            self._suspects[digest] = left
            self._suspect_reports.add(digest, is_own=is_own)
        return was_banned

    def _release(self, digest: str) -> bool:
        """End the ban of a digest, if there is one; return whether there was."""
        if self._banned.pop(digest, None) is None:
            return False
        self._ban_reports.discard(digest)
        self.fingerprint ^= hash_to_int(digest)
        return True

    def _ban(self, digest: str, incidents: tuple[str, ...], is_own: bool) -> None:
        if self._suspects.pop(digest, None) is not None:
            self._suspect_reports.discard(digest)
        self._banned[digest] = incidents
        self._ban_reports.add(digest, is_own=is_own)
        self.fingerprint ^= hash_to_int(digest)
        if len(self._banned) > MAX_BANNED:
            self._release(next(iter(self._banned)))

    def _get_incidents(self, digest: str) -> tuple[str, ...]:
        return self._banned.get(digest) or self._suspects.get(digest, ())

    def count(self, digest: str) -> int:
        """Return the number of distinct crashes of a digest, up to ``MAX_CRASHES``."""
        return len(self._get_incidents(digest))

    def is_suspect(self, digest: str) -> bool:
        """Return whether a request was lost in a crash and isn't refused yet."""
        return digest in self._suspects

    def is_cleared(self, digest: str, incident: str) -> bool:
        """Return whether a crash isn't held against a request, since it has been answered."""
        return incident in self._cleared.get(digest, ())

    def is_banned(self, digest: str) -> bool:
        """Return whether a request is permanently refused."""
        return digest in self._banned

    def merge(self, digest: str, incidents: Iterable[str]) -> bool:
        """Merge the incidents that another gateway reported; return whether this bans a digest."""
        was_banned = self.is_banned(digest)
        for incident in incidents:
            self.record_crash(digest, incident, is_own=False)
        return self.is_banned(digest) and not was_banned

    def merge_cleared(self, digest: str, incidents: Iterable[str]) -> bool:
        """Merge cleared crashes that another gateway reported; return whether this ends a ban."""
        return self.clear(digest, incidents, is_own=False)

    def choose_cleared_reports(
        self, n_digests: int, *, is_peer_behind: bool
    ) -> dict[str, list[str]]:
        """Return cleared crashes by digest for the next message, and count them as told.

        Parameters
        ----------
        n_digests : int
            Maximum number of digests.
        is_peer_behind : bool
            Whether a peer may refuse a request that was cleared here, so that all are told in turn.
        """
        chosen = self._cleared_reports.choose(n_digests, is_complete=is_peer_behind)
        return {digest: list(self._cleared[digest][-MAX_REPORTED_CRASHES:]) for digest in chosen}

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
