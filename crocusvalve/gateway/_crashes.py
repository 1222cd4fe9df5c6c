"""Requests that crash the upstreams that run them, known by a digest of path, caller and body."""

from collections import OrderedDict
from collections.abc import Iterable

__all__ = ["CrashBook"]

#: Crashes of different upstreams after which a request is refused for good.
MAX_CRASHES = 3
MAX_DIGESTS = 2000


class CrashBook:
    """Crashes by digest; the digest used least recently goes first."""

    def __init__(self) -> None:
        self._incidents: OrderedDict[str, set[str]] = OrderedDict()

    def record_crash(self, digest: str, incident: str) -> int:
        """Count a crash, once an incident; return the crashes of the digest."""
        incidents = self._incidents.setdefault(digest, set())
        self._incidents.move_to_end(digest)
        incidents.add(incident)
        if len(self._incidents) > MAX_DIGESTS:
            self._incidents.popitem(last=False)
        return len(incidents)

    def count(self, digest: str) -> int:
        """Return the crashes of a digest."""
        return len(self._incidents.get(digest, ()))

    def is_banned(self, digest: str) -> bool:
        """Tell whether a request is refused for good."""
        return self.count(digest) >= MAX_CRASHES

    def merge(self, digest: str, incidents: Iterable[str]) -> None:
        """Take what another gateway knows of a digest."""
        for incident in incidents:
            self.record_crash(digest, incident)

    def list_newest(self, n_digests: int) -> dict[str, list[str]]:
        """Return the digests used last, with their incidents."""
        newest = list(self._incidents.items())[-n_digests:]
        return {digest: sorted(incidents) for digest, incidents in newest}
