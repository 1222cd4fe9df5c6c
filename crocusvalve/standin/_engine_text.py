"""Deterministic answer text of the stand-in engine."""

import xxhash

from crocusvalve.base import VersionRef

__all__ = ["make_answer_words", "make_quality_mark"]

WORDS = (
    "soil moisture probe canal sluice pump level reading field delta season rice district flow "
    "pressure valve gas quality breach log shift handover tag sensor report limit normal high low "
    "rising falling steady check before after within expected"
).split()


def make_quality_mark(version: VersionRef, quality: float) -> str:
    """Return the first word of an answer; the stand-in rating service reads the quality from it."""
    return f"[{version}|q={quality:.3f}]"


def make_answer_words(seed: int, version: VersionRef, prompt: str, start: int, n: int) -> str:
    """Return words ``start`` to ``start + n`` of an answer, each with a space after it."""
    key = f"{seed}|{version}|{prompt}"
    base = xxhash.xxh3_64_intdigest(key.encode())
    words = []
    for index in range(start, start + n):
        number = xxhash.xxh3_64_intdigest(index.to_bytes(8, "little"), seed=base)
        words.append(WORDS[number % len(WORDS)])
    return "".join(f"{word} " for word in words)
