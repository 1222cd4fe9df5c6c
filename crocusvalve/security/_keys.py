"""Bearer keys: made, hashed and compared."""

import hmac
import secrets

from msgspec import Struct

from crocusvalve.utils import hash_key

__all__ = ["KEY_PREFIX", "NewKey", "is_internal_key", "make_key", "read_bearer"]

KEY_PREFIX = "cv-"
KEY_BYTES = 32
BEARER_SCHEME = "bearer"


class NewKey(Struct, frozen=True):
    """A key, to be shown once, and the hash that goes into the document."""

    key: str
    sha256: str

    def __repr__(self) -> str:
        return f"<NewKey {self.sha256[:8]}>"


def make_key() -> NewKey:
    """Make a key of 256 random bits from the system's source of randomness."""
    key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    return NewKey(key, hash_key(key))


def is_internal_key(presented: str, expected: str) -> bool:
    """Compare keys in a time that does not depend on their contents.

    Parameters
    ----------
    presented : str
        Key from the other side.
    expected : str
        Key of this process; an empty one admits nobody.
    """
    if not expected:
        return False
    return hmac.compare_digest(presented.encode(), expected.encode())


def read_bearer(header: str | None) -> str:
    """Return the key of an ``Authorization: Bearer`` header, or an empty string."""
    scheme, _, key = (header or "").strip().partition(" ")
    return key.strip() if scheme.lower() == BEARER_SCHEME else ""
