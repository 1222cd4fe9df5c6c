"""What upstreams are thought to keep of prompts, and the work that a prompt still is."""

from collections.abc import Sequence

from crocusvalve.gateway._tables import UpstreamLoad
from crocusvalve.gateway.base import PrefixPart

__all__ = ["count_unread_tokens", "get_shared_parts", "note_parts"]


def get_shared_parts(parts: Sequence[PrefixPart]) -> Sequence[PrefixPart]:
    """Return the parts that other requests share; the last one is the request's own."""
    return parts[:-1]


def note_parts(
    load: UpstreamLoad, model: str, parts: Sequence[PrefixPart], memory_tokens: int
) -> None:
    """Remember that an upstream reads parts; those used longest ago yield its memory."""
    for part in parts:
        key = (model, part.part_id)
        load.n_cached_part_tokens += part.n_tokens - load.cached_parts.pop(key, 0)
        load.cached_parts[key] = part.n_tokens
    while load.cached_parts and load.n_cached_part_tokens > memory_tokens:
        oldest = next(iter(load.cached_parts))
        load.n_cached_part_tokens -= load.cached_parts.pop(oldest)


def count_unread_tokens(load: UpstreamLoad, model: str, parts: Sequence[PrefixPart]) -> int:
    """Return the tokens that an upstream has to read; a part counts as kept after kept ones."""
    unread = 0
    for part in parts:
        if unread or (model, part.part_id) not in load.cached_parts:
            unread += part.n_tokens
    return unread
