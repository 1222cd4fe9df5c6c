"""Signed tokens that carry a session's pinned version, so that any entry can continue it."""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Sequence

import msgspec
from msgspec import Struct

from crocusvalve.base import CustomerId, ModelRef, SessionId, UpstreamId, VersionRef
from crocusvalve.exceptions import ErrorCode, RefusedError

__all__ = ["SessionClaim", "SessionSigner"]

STEP = "session"
MIN_KEY_BYTES = 16
MAX_TOKEN_CHARS = 2048


class SessionClaim(Struct, frozen=True, kw_only=True, array_like=True):
    """Content of a session token; ``issued_at`` is Unix time in seconds."""

    session_id: SessionId
    customer_id: CustomerId
    model: ModelRef
    version: VersionRef
    preferred_upstream: UpstreamId = UpstreamId("")
    issued_at: float = 0.0


class SessionSigner:
    """Signs and verifies session tokens by HMAC-SHA256.

    Parameters
    ----------
    key : bytes or sequence of bytes
        Secret keys of 16 bytes or more; the first signs, all verify. To rotate the key, add the new
        one as second at every entry, then move it to the first position, then remove the old one.
    """

    def __init__(self, key: bytes | Sequence[bytes]):
        self.key = key
        self._keys = {_compute_key_id(item): item for item in _check_keys(key)}
        self._signing_key_id = next(iter(self._keys))

    def sign(self, claim: SessionClaim) -> str:
        """Return the token of a claim: key id, payload and signature, joined by dots."""
        payload = _encode_base64url(msgspec.msgpack.encode(claim))
        key_id = self._signing_key_id
        return f"{key_id}.{payload}.{self._compute_mac(key_id, payload)}"

    def verify(self, token: str, customer_id: CustomerId) -> SessionClaim:
        """Verify a token and return its claim.

        Raises
        ------
        RefusedError
            BAD_HEADER if the token is malformed, forged or signed by an unknown key; FORBIDDEN if
            it was issued to another customer.
        """
        if len(token) > MAX_TOKEN_CHARS or not token.isascii():
            raise _refuse("session token is malformed")
        key_id, _, rest = token.partition(".")
        payload, _, mac = rest.partition(".")
        if key_id not in self._keys:
            raise _refuse("session token is signed by an unknown key")
        expected = self._compute_mac(key_id, payload)
        if not hmac.compare_digest(expected.encode(), mac.encode()):
            raise _refuse("session token has a wrong signature")
        claim = _decode_claim(payload)
        if claim.customer_id != customer_id:
            raise RefusedError(
                ErrorCode.FORBIDDEN, "session token belongs to another customer", step=STEP
            )
        return claim

    def _compute_mac(self, key_id: str, payload: str) -> str:
        data = f"{key_id}.{payload}".encode()
        return _encode_base64url(hmac.digest(self._keys[key_id], data, hashlib.sha256))


def _check_keys(key: bytes | Sequence[bytes]) -> list[bytes]:
    keys = [key] if isinstance(key, bytes) else list(key)
    if not keys:
        raise ValueError("key must hold at least 1 key, got 0")
    for item in keys:
        if len(item) < MIN_KEY_BYTES:
            raise ValueError(f"key must have {MIN_KEY_BYTES} bytes or more, got {len(item)}")
    return keys


def _compute_key_id(key: bytes) -> str:
    return hashlib.sha256(b"crocusvalve session key " + key).hexdigest()[:8]


def _encode_base64url(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode_claim(payload: str) -> SessionClaim:
    try:
        data = base64.urlsafe_b64decode(payload + "=" * (-len(payload) % 4))
        return msgspec.msgpack.decode(data, type=SessionClaim)
    except (binascii.Error, msgspec.DecodeError, ValueError) as exc:
        raise _refuse("session token can't be decoded") from exc


def _refuse(message: str) -> RefusedError:
    return RefusedError(ErrorCode.BAD_HEADER, message, step=STEP)
