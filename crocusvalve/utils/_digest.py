"""Digests of keys, requests and answers."""

import hashlib

import xxhash

__all__ = ["compute_digest", "hash_key", "hash_to_unit"]


def hash_key(key: str) -> str:
    """Return the SHA-256 of a bearer key in hexadecimal; the key itself is never stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def compute_digest(*parts: bytes) -> str:
    """Return the 128-bit XXH3 digest of byte strings in hexadecimal."""
    state = xxhash.xxh3_128()
    for part in parts:
        state.update(part)
    return state.hexdigest()


def hash_to_unit(text: str) -> float:
    """Map a text to a number in ``[0, 1)``, evenly and the same in every process."""
    return xxhash.xxh3_64_intdigest(text.encode()) / 2**64
