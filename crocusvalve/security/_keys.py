"""Creation, comparison and parsing of bearer keys."""

import hmac
import secrets

from msgspec import Struct

from crocusvalve.utils import hash_key

__all__ = ["KEY_PREFIX", "NewKey", "is_internal_key", "make_key", "read_bearer"]

KEY_PREFIX = "cv-"
KEY_BYTES = 32
BEARER_SCHEME = "bearer"


class NewKey(Struct, frozen=True):
    """A new key, to be shown only once, and its hash, which goes into the document."""

    key: str
    sha256: str

    def __repr__(self) -> str:
        return f"<NewKey {self.sha256[:8]}>"


def make_key() -> NewKey:
    """Make a key of 256 random bits from the operating system's random number generator."""
    key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    return NewKey(key, hash_key(key))


def is_internal_key(presented: str, expected: str) -> bool:
    """Return whether two keys are equal, in a time that does not depend on their contents.

    Parameters
    ----------
    presented : str
        Key that the caller sent.
    expected : str
        Key of this process; if empty, every key is rejected.
    """
    if not expected:
        return False
    return hmac.compare_digest(presented.encode(), expected.encode())


def read_bearer(header: str | None) -> str:
    """Return the key of an ``Authorization: Bearer`` header, or an empty string."""
    scheme, _, key = (header or "").strip().partition(" ")
    return key.strip() if scheme.lower() == BEARER_SCHEME else ""
