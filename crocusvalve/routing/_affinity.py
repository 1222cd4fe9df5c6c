"""Hints that an upstream still holds the cached prefix of a prompt or the KV cache of a session."""

from crocusvalve.model import RequestRow, UpstreamRow

__all__ = ["compute_affinity", "note_prefix", "note_prefix_gone"]

#: Life of a hint; its strength falls linearly to 0.
HINT_LIFE_S = 60.0
#: Hints kept per upstream.
MAX_HINTS = 512


def note_prefix(row: UpstreamRow, prefix_digest: str, now: float) -> None:
    """Remember that an upstream has just computed, or announced, a cached prefix."""
    row.prefix_hint_expiry.pop(prefix_digest, None)
    row.prefix_hint_expiry[prefix_digest] = now + HINT_LIFE_S
    if len(row.prefix_hint_expiry) > MAX_HINTS:
        del row.prefix_hint_expiry[next(iter(row.prefix_hint_expiry))]


def note_prefix_gone(row: UpstreamRow, prefix_digest: str) -> None:
    """Forget a hint after a cache event that announces an eviction."""
    row.prefix_hint_expiry.pop(prefix_digest, None)


def compute_affinity(req: RequestRow, row: UpstreamRow, now: float) -> float:
    """Return the strength of a request's pull towards an upstream, from 0 to 1."""
    if row.upstream_id == req.preferred_upstream:
        return 1.0
    expires_at = row.prefix_hint_expiry.get(req.prefix_digest) if row.prefix_hint_expiry else None
    if expires_at is None or expires_at <= now:
        return 0.0
    return min(1.0, (expires_at - now) / HINT_LIFE_S)
