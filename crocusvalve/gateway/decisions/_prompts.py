"""Estimate of the prompt parts that upstreams have cached, and of the tokens left to process."""

from collections.abc import Sequence

from crocusvalve.gateway.base import PrefixPart
from crocusvalve.gateway.tables._tables import UpstreamLoad

__all__ = ["count_unread_tokens", "get_shared_parts", "record_parts"]


def get_shared_parts(parts: Sequence[PrefixPart]) -> Sequence[PrefixPart]:
    """Return the parts that other requests may share; the last part is specific to the request."""
    return parts[:-1]


def record_parts(
    load: UpstreamLoad, model: str, parts: Sequence[PrefixPart], memory_tokens: int
) -> None:
    """Record that an upstream caches parts of a prompt; evicts the least recently used ones.

    Parameters
    ----------
    memory_tokens : int
        Capacity of the upstream's cache in tokens.
    """
    for part in parts:
        key = (model, part.part_id)
        load.n_cached_part_tokens += part.n_tokens - load.cached_parts.pop(key, 0)
        load.cached_parts[key] = part.n_tokens
    while load.cached_parts and load.n_cached_part_tokens > memory_tokens:
        oldest = next(iter(load.cached_parts))
        load.n_cached_part_tokens -= load.cached_parts.pop(oldest)


def count_unread_tokens(load: UpstreamLoad, model: str, parts: Sequence[PrefixPart]) -> int:
    """Return the prompt tokens that an upstream has to process.

    A cached part saves work only if all parts before it are cached as well.
    """
    unread = 0
    for part in parts:
        if unread or (model, part.part_id) not in load.cached_parts:
            unread += part.n_tokens
    return unread
