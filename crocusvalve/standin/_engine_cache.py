"""Prefix cache of the stand-in engine, with least-recently-used eviction of token blocks."""

from collections import OrderedDict

import xxhash

from crocusvalve.base import VersionRef

__all__ = ["PrefixCache", "split_tokens"]


def split_tokens(prompt: str) -> list[str]:
    """Split a prompt into tokens; the stand-in counts each word as one token."""
    return prompt.split()


class PrefixCache:
    """Least-recently-used cache of prompt prefixes, stored in blocks of tokens.

    A block is identified by the digest of the version and of all tokens up to the end of the
    block, so that it is found only after the same prefix.

    Parameters
    ----------
    capacity_tokens : int
        Capacity of the cache in tokens.
    block_tokens : int
        Tokens in a block; an incomplete block is not cached.
    """

    def __init__(self, *, capacity_tokens: int, block_tokens: int):
        self.capacity_tokens = capacity_tokens
        self.block_tokens = block_tokens
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of cached tokens."""
        return len(self._blocks) * self.block_tokens

    def lookup(self, version: VersionRef, tokens: list[str]) -> int:
        """Return how many leading tokens are cached, and mark their blocks as recently used."""
        n_blocks = 0
        for digest in self._list_digests(version, tokens):
            if digest not in self._blocks:
                break
            self._blocks.move_to_end(digest)
            n_blocks += 1
        return n_blocks * self.block_tokens

    def insert(self, version: VersionRef, tokens: list[str]) -> None:
        """Cache the complete blocks of a prompt; evict the least recently used beyond capacity."""
        for digest in self._list_digests(version, tokens):
            self._blocks[digest] = None
            self._blocks.move_to_end(digest)
        while len(self) > self.capacity_tokens:
            self._blocks.popitem(last=False)

    def clear(self) -> None:
        """Remove all blocks, as a restart does."""
        self._blocks.clear()

    def _list_digests(self, version: VersionRef, tokens: list[str]) -> list[int]:
        state = xxhash.xxh3_64(version.encode())
        digests = []
        for start in range(0, len(tokens) - self.block_tokens + 1, self.block_tokens):
            state.update(" ".join(tokens[start : start + self.block_tokens]).encode())
            digests.append(state.intdigest())
        return digests
