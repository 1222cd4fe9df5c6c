"""Requests that crash the upstreams that run them, by a digest of path, caller and body."""

from collections import OrderedDict
from collections.abc import Iterable

__all__ = ["CrashRegistry"]

#: Distinct crashes after which a request is permanently refused.
MAX_CRASHES = 3
#: Digests that are remembered.
MAX_DIGESTS = 2000


class CrashRegistry:
    """Crashes by request digest; the digest with the least recent crash is evicted first.

    An incident id identifies one crash: the upstream and the start of the process that crashed.
    """

    def __init__(self) -> None:
        self._incidents: OrderedDict[str, set[str]] = OrderedDict()

    def record_crash(self, digest: str, incident: str) -> int:
        """Record a crash, once per incident id; return the number of crashes of the digest."""
        incidents = self._incidents.setdefault(digest, set())
        self._incidents.move_to_end(digest)
        incidents.add(incident)
        if len(self._incidents) > MAX_DIGESTS:
            self._incidents.popitem(last=False)
        return len(incidents)

    def count(self, digest: str) -> int:
        """Return the number of distinct crashes of a digest."""
        return len(self._incidents.get(digest, ()))

    def is_banned(self, digest: str) -> bool:
        """Return whether a request is permanently refused."""
        return self.count(digest) >= MAX_CRASHES

    @property
    def n_banned(self) -> int:
        """Number of requests that are permanently refused."""
        return sum(len(incidents) >= MAX_CRASHES for incidents in self._incidents.values())

    def merge(self, digest: str, incidents: Iterable[str]) -> bool:
        """Merge the incidents that another gateway reported; return whether this bans a digest."""
        was_banned = self.is_banned(digest)
        for incident in incidents:
            self.record_crash(digest, incident)
        return self.is_banned(digest) and not was_banned

    def list_newest(self, n_digests: int) -> dict[str, list[str]]:
        """Return the digests with the most recent crashes, and their incident ids."""
        newest = list(self._incidents.items())[-n_digests:]
        return {digest: sorted(incidents) for digest, incidents in newest}
