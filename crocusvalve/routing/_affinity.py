"""Affinity of a request to upstreams that may still hold its prompt prefix or session KV cache."""

from crocusvalve.model import RequestRow, UpstreamRow

__all__ = ["compute_affinity", "add_prefix_hint", "remove_prefix_hint"]

#: Lifetime of a prefix hint in seconds; its strength falls linearly to 0 over this time.
HINT_LIFETIME_S = 60.0
#: Prefix hints stored per upstream; the oldest is evicted first.
MAX_HINTS = 512


def add_prefix_hint(row: UpstreamRow, prefix_digest: str, now: float) -> None:
    """Record that an upstream has just computed, or announced, a cached prefix."""
    row.prefix_hint_expiry.pop(prefix_digest, None)
    row.prefix_hint_expiry[prefix_digest] = now + HINT_LIFETIME_S
    if len(row.prefix_hint_expiry) > MAX_HINTS:
        del row.prefix_hint_expiry[next(iter(row.prefix_hint_expiry))]


def remove_prefix_hint(row: UpstreamRow, prefix_digest: str) -> None:
    """Remove a prefix hint after a cache event that announces an eviction."""
    row.prefix_hint_expiry.pop(prefix_digest, None)


def compute_affinity(req: RequestRow, row: UpstreamRow, now: float) -> float:
    """Return the affinity of a request to an upstream, from 0 (none) to 1.

    It is 1 for the preferred upstream of the request's session.
    """
    if row.upstream_id == req.preferred_upstream:
        return 1.0
    expires_at = row.prefix_hint_expiry.get(req.prefix_digest) if row.prefix_hint_expiry else None
    if expires_at is None or expires_at <= now:
        return 0.0
    return min(1.0, (expires_at - now) / HINT_LIFETIME_S)
