"""Requests that crash the upstreams that run them."""

from collections.abc import Sequence

from crocusvalve.base import UpstreamId
from crocusvalve.exceptions import InvariantError
from crocusvalve.model import QuarantineRow, UpstreamRow
from crocusvalve.rpc import CrashRecord

__all__ = ["Quarantine"]

STEP = "quarantine"
MAX_ROWS = 10_000
MAX_AGE_S = 7 * 86_400.0


class Quarantine:
    """Digests of requests that crashed upstreams.

    A digest is a suspect after one crash and banned after two. A suspect runs on one upstream at a
    time and shares it with no other suspect, so that those that merely ran beside a crash are
    cleared by their next success.

    Parameters
    ----------
    rows : dict
        Table of the entry, by digest; kept in order of use, the oldest first.
    max_rows : int
        Bound of the table; the row used least recently goes first.
    max_age_s : float
        Age at which a row is forgotten.
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
        """Count a crash, which ends an attempt; tell whether the digest is now banned.

        Parameters
        ----------
        digest : str
            Digest of the request that ran.
        upstream_id : UpstreamId
            Upstream that crashed.
        now : float
            Present Unix time in seconds.
        incident : str
            Distinguishes crashes of one upstream, such as the engine's boot id; a crash that is
            reported twice counts once.
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
        """Tell whether a digest is refused for good; a repeat keeps its row from eviction."""
        row = self.rows.get(digest)
        if row is None or not row.is_banned:
            return False
        self.rows[digest] = self.rows.pop(digest)
        return True

    def is_suspect(self, digest: str) -> bool:
        """Tell whether a digest has crashed an upstream and isn't banned."""
        row = self.rows.get(digest)
        return row is not None and not row.is_banned

    def filter_candidates(
        self, digest: str, candidates: Sequence[UpstreamRow]
    ) -> Sequence[UpstreamRow]:
        """Leave the upstreams on which a digest may run now.

        Returns
        -------
        sequence of UpstreamRow
            All for a digest that isn't known; none for one that is banned, or a suspect that runs
            already; for another suspect those on which no suspect runs.
        """
        if digest not in self.rows:
            return candidates
        if self.is_banned(digest) or digest in self.running_:
            return []
        taken = {
            upstream_id
            for other, upstream_ids in self.running_.items()
            if self.is_suspect(other)
            for upstream_id in upstream_ids
        }
        return [row for row in candidates if row.upstream_id not in taken]

    def record_attempt_start(self, digest: str, upstream_id: UpstreamId) -> None:
        """Count the start of an attempt.

        Raises
        ------
        InvariantError
            Where the digest is banned, or is a suspect that runs already.
        """
        if digest in self.rows and (self.is_banned(digest) or digest in self.running_):
            raise InvariantError(f"suspect {digest} may not start", step=STEP, peer=upstream_id)
        self.running_.setdefault(digest, []).append(upstream_id)

    def record_attempt_end(
        self, digest: str, upstream_id: UpstreamId | None = None, *, is_success: bool
    ) -> None:
        """Count the end of an attempt that crashed nothing; a success clears a suspect.

        Without an upstream the digest's only attempt ends; where several run, none does.
        """
        self._remove_running(digest, upstream_id)
        if is_success and self.is_suspect(digest):
            del self.rows[digest]

    def merge_crash_report(
        self, upstream_id: UpstreamId, crashes: Sequence[CrashRecord], now: float
    ) -> list[QuarantineRow]:
        """Merge the crashes that an agent reports; return the rows that were news."""
        news = []
        for crash in crashes:
            incident = UpstreamId(f"{upstream_id}#{crash.attempt_id}")
            known = self.rows.get(crash.digest)
            if known is not None and incident in known.upstreams:
                continue
            row = QuarantineRow(
                digest=crash.digest, n_crashes=1, crashed_at=now, upstreams={incident}
            )
            if self.merge(row, now):
                news.append(self.rows[crash.digest])
        return news

    def merge(self, notice: QuarantineRow, now: float) -> bool:
        """Merge what another entry knows of a digest; tell whether it was new."""
        row = self.rows.pop(notice.digest, None)
        if row is None:
            row = QuarantineRow(digest=notice.digest, n_crashes=0, crashed_at=notice.crashed_at)
        before = row.n_crashes
        row.upstreams |= notice.upstreams
        row.n_crashes = max(row.n_crashes, notice.n_crashes, len(row.upstreams))
        row.crashed_at = max(row.crashed_at, notice.crashed_at)
        self.rows[notice.digest] = row
        self._evict(now)
        return row.n_crashes > before

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
            del self.rows[oldest.digest]
