"""Signs and verifies notices with the internal key."""

import hashlib
import hmac

from msgspec.structs import replace

from crocusvalve.rpc._messages import Notice

__all__ = ["is_signed_notice", "sign_notice"]


def _compute_signature(notice: Notice, key: str) -> str:
    parts = (notice.kind.value, notice.subject, str(notice.number), notice.issuer)
    parts += notice.incidents
    return hmac.new(key.encode(), "\0".join(parts).encode(), hashlib.sha256).hexdigest()


def sign_notice(notice: Notice, key: str) -> Notice:
    """Return a copy of a notice, signed with HMAC-SHA256."""
    return replace(notice, signature=_compute_signature(notice, key))


def is_signed_notice(notice: Notice, key: str) -> bool:
    """Return whether a notice has a valid signature made with the internal key."""
    return hmac.compare_digest(notice.signature, _compute_signature(notice, key))
