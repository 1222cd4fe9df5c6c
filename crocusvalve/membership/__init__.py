"""Upstreams as an entry knows them."""

from crocusvalve.membership._subset import choose_subset

__all__ = ["choose_subset"]
