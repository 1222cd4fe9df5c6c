"""Quarantine of requests that crash the upstreams that run them."""

from collections.abc import Sequence

from crocusvalve.base import UpstreamId
from crocusvalve.exceptions import InvariantError
from crocusvalve.model import QuarantineRow, UpstreamRow
from crocusvalve.rpc import CrashRecord

__all__ = ["Quarantine"]

#: Name of this processing step in errors and logs.
STEP = "quarantine"
#: Default bound on the number of rows.
MAX_ROWS = 10_000
#: Default age in seconds at which a row is evicted: 7 days.
MAX_AGE_S = 7 * 86_400.0


class Quarantine:
    """Table of the digests of requests that crashed upstreams.

    A digest is a suspect after one crash and banned after two. A suspect runs on one upstream at a
    time and shares it with no other suspect. So a request that merely ran on an upstream that
    another request crashed is cleared by its next success.

    Parameters
    ----------
    rows : dict
        Quarantine table of the entry, by digest, in order of use with the oldest first.
    max_rows : int
        Largest number of rows; the least recently used suspect is evicted first.
    max_age_s : float
        Time in seconds after its last crash at which a row is evicted.

    Attributes
    ----------
    running_ : dict
        Upstream ids of the running attempts, by digest.
    """

    def __init__(
        self,
        rows: dict[str, QuarantineRow],
        *,
        max_rows: int = MAX_ROWS,
        max_age_s: float = MAX_AGE_S,
    ):
        self.rows = rows
        self.max_rows = max_rows
        self.max_age_s = max_age_s
        self.running_: dict[str, list[UpstreamId]] = {}

    def record_crash(
        self, digest: str, upstream_id: UpstreamId, now: float, *, incident: str = ""
    ) -> bool:
        """Record a crash, which also ends the attempt on the upstream.

        Parameters
        ----------
        digest : str
            Digest of the request that ran.
        upstream_id : UpstreamId
            Upstream that crashed.
        now : float
            Current Unix time in seconds.
        incident : str
            Identifies one crash of an upstream, such as the engine's boot id, so that a crash that
            is reported twice counts once.

        Returns
        -------
        bool
            Whether the digest is banned now.
        """
        row = self.rows.pop(digest, None)
        if row is None:
            row = QuarantineRow(digest=digest, n_crashes=0, crashed_at=now)
        self.rows[digest] = row
        row.upstreams.add(UpstreamId(f"{upstream_id}#{incident}"))
        row.n_crashes = max(row.n_crashes, len(row.upstreams))
        row.crashed_at = max(row.crashed_at, now)
        self._remove_running(digest, upstream_id)
        self._evict(now)
        return row.is_banned

    def is_banned(self, digest: str) -> bool:
        """Return whether a digest is banned; if so, its row becomes the most recently used."""
        row = self.rows.get(digest)
        if row is None or not row.is_banned:
            return False
        self.rows[digest] = self.rows.pop(digest)
        return True

    def is_suspect(self, digest: str) -> bool:
        """Return whether a digest has crashed an upstream and isn't banned."""
        row = self.rows.get(digest)
        return row is not None and not row.is_banned

    def filter_candidates(
        self, digest: str, candidates: Sequence[UpstreamRow]
    ) -> Sequence[UpstreamRow]:
        """Return the candidates on which a digest may run now.

        Returns
        -------
        sequence of UpstreamRow
            All candidates for a digest without a row; none for a banned digest or a suspect that
            already runs; for any other suspect those on which no suspect runs.
        """
        if digest not in self.rows:
            return candidates
        if self.is_banned(digest) or digest in self.running_:
            return []
        occupied = {
            upstream_id
            for other, upstream_ids in self.running_.items()
            if self.is_suspect(other)
            for upstream_id in upstream_ids
        }
        return [row for row in candidates if row.upstream_id not in occupied]

    def record_attempt_start(self, digest: str, upstream_id: UpstreamId) -> None:
        """Record the start of an attempt.

        Raises
        ------
        InvariantError
            If the digest is banned, or is a suspect that already runs.
        """
        if digest in self.rows and (self.is_banned(digest) or digest in self.running_):
            raise InvariantError(
                f"digest {digest} is banned or a suspect that already runs, and may not start",
                step=STEP,
                peer=upstream_id,
            )
        self.running_.setdefault(digest, []).append(upstream_id)

    def record_attempt_end(
        self, digest: str, upstream_id: UpstreamId | None = None, *, is_success: bool
    ) -> None:
        """Record the end of an attempt that caused no crash; a success clears a suspect.

        Without ``upstream_id`` the digest's only running attempt ends; if several run, none is
        removed.
        """
        self._remove_running(digest, upstream_id)
        if is_success and self.is_suspect(digest):
            del self.rows[digest]

    def merge_crash_report(
        self, upstream_id: UpstreamId, crashes: Sequence[CrashRecord], now: float
    ) -> list[QuarantineRow]:
        """Merge the crashes that an agent reports; return the rows that changed by them."""
        changed = []
        for crash in crashes:
            incident = UpstreamId(f"{upstream_id}#{crash.attempt_id}")
            known = self.rows.get(crash.digest)
            if known is not None and incident in known.upstreams:
                continue
            row = QuarantineRow(
                digest=crash.digest, n_crashes=1, crashed_at=now, upstreams={incident}
            )
            if self.merge(row, now):
                changed.append(self.rows[crash.digest])
        return changed

    def merge(self, remote: QuarantineRow, now: float) -> bool:
        """Merge another entry's row of a digest; return whether the number of crashes rose."""
        row = self.rows.get(remote.digest)
        if row is None:
            row = QuarantineRow(digest=remote.digest, n_crashes=0, crashed_at=remote.crashed_at)
        before = row.n_crashes
        row.upstreams |= remote.upstreams
        row.n_crashes = max(row.n_crashes, remote.n_crashes, len(row.upstreams))
        if row.n_crashes == before:
            # A report of known crashes isn't a use that keeps the row from being evicted.
            return False
        row.crashed_at = max(row.crashed_at, remote.crashed_at)
        self.rows.pop(remote.digest, None)
        self.rows[remote.digest] = row
        self._evict(now)
        return True

    def _remove_running(self, digest: str, upstream_id: UpstreamId | None) -> None:
        running = self.running_.get(digest)
        if running is None:
            return
        if upstream_id is None and len(running) == 1:
            running.clear()
        elif upstream_id in running:
            running.remove(upstream_id)
        if not running:
            del self.running_[digest]

    def _evict(self, now: float) -> None:
        while self.rows:
            oldest = next(iter(self.rows.values()))
            is_old = now - oldest.crashed_at > self.max_age_s
            if not is_old and len(self.rows) <= self.max_rows:
                return
            if not is_old:
                oldest = next((row for row in self.rows.values() if not row.is_banned), oldest)
            del self.rows[oldest.digest]
