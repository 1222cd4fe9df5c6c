"""Deterministic answer text of the stand-in engine, which begins with a quality mark."""

import re

import xxhash
from msgspec import Struct

from crocusvalve.base import VersionRef

__all__ = [
    "QualityMark",
    "compute_prompt_digest",
    "make_answer_words",
    "make_quality_mark",
    "read_quality_mark",
]

MARK_PATTERN = re.compile(r"\[[^|\]]*\|q=([0-9.]+)\|p=([0-9a-f]{8})\]")

WORDS = (
    "soil moisture probe canal sluice pump level reading field delta season rice district flow "
    "pressure valve gas quality breach log shift handover tag sensor report limit normal high low "
    "rising falling steady check before after within expected"
).split()


class QualityMark(Struct, frozen=True):
    """Content of an answer's first word: its quality in [0, 1] and the digest of its prompt."""

    quality: float
    prompt_digest: str


def compute_prompt_digest(prompt: str) -> str:
    """Return a digest of a prompt, as eight hexadecimal digits."""
    return f"{xxhash.xxh3_64_intdigest(prompt.encode()):016x}"[:8]


def make_quality_mark(version: VersionRef, quality: float, prompt: str) -> str:
    """Return the first word of an answer; the stand-in rating service reads the quality from it."""
    return f"[{version}|q={quality:.3f}|p={compute_prompt_digest(prompt)}]"


def read_quality_mark(answer: str) -> QualityMark | None:
    """Return the quality mark at the start of an answer, or None if there is none."""
    match = MARK_PATTERN.match(answer)
    return QualityMark(float(match[1]), match[2]) if match else None


def make_answer_words(seed: int, version: VersionRef, prompt: str, start: int, n: int) -> str:
    """Return the ``n`` words of an answer from word ``start``, each followed by a space."""
    key = f"{seed}|{version}|{prompt}"
    base = xxhash.xxh3_64_intdigest(key.encode())
    words = []
    for index in range(start, start + n):
        number = xxhash.xxh3_64_intdigest(index.to_bytes(8, "little"), seed=base)
        words.append(WORDS[number % len(WORDS)])
    return "".join(f"{word} " for word in words)
