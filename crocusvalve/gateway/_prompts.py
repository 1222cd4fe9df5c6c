"""What upstreams are thought to keep of prompts, and the work that a prompt still is."""

from collections.abc import Sequence

from crocusvalve.gateway._tables import UpstreamLoad
from crocusvalve.gateway.base import PrefixPart

__all__ = ["count_unread_tokens", "get_shared_parts", "record_parts"]


def get_shared_parts(parts: Sequence[PrefixPart]) -> Sequence[PrefixPart]:
    """Return the parts that other requests share; the last one is the request's own."""
    return parts[:-1]


def record_parts(
    load: UpstreamLoad, model: str, parts: Sequence[PrefixPart], memory_tokens: int
) -> None:
    """Remember that an upstream reads parts; those used longest ago yield its memory."""
    for part in parts:
        key = (model, part.part_id)
        load.part_tokens += part.n_tokens - load.parts.pop(key, 0)
        load.parts[key] = part.n_tokens
    while load.parts and load.part_tokens > memory_tokens:
        oldest = next(iter(load.parts))
        load.part_tokens -= load.parts.pop(oldest)


def count_unread_tokens(load: UpstreamLoad, model: str, parts: Sequence[PrefixPart]) -> int:
    """Return the tokens that an upstream has to read; a part counts as kept after kept ones."""
    unread = 0
    for part in parts:
        if unread or (model, part.part_id) not in load.parts:
            unread += part.n_tokens
    return unread
