"""Digests of keys, requests and answers."""

import hashlib

import xxhash

__all__ = ["compute_digest", "hash_key", "hash_to_int", "hash_to_unit"]


def hash_key(key: str) -> str:
    """Return the hexadecimal SHA-256 digest of a bearer key; the key itself is never stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def compute_digest(*parts: bytes) -> str:
    """Return the hexadecimal 128-bit XXH3 digest of the concatenated byte strings."""
    state = xxhash.xxh3_128()
    for part in parts:
        state.update(part)
    return state.hexdigest()


def hash_to_int(text: str) -> int:
    """Map a text to a uniformly distributed 64-bit integer, the same in every process."""
    return xxhash.xxh3_64_intdigest(text.encode())


def hash_to_unit(text: str) -> float:
    """Map a text to a uniformly distributed number in ``[0, 1)``, the same in every process."""
    return hash_to_int(text) / 2**64
