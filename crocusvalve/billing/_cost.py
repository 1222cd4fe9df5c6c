"""Cost of attempts by the document's prices."""

from crocusvalve.base import VersionRef
from crocusvalve.config import DocumentView
from crocusvalve.rpc import Usage

__all__ = ["add_usage", "compute_cost"]

TOKENS_A_PRICE = 1000.0


def add_usage(first: Usage, second: Usage) -> Usage:
    """Add the tokens of two attempts."""
    return Usage(
        first.prompt_tokens + second.prompt_tokens,
        first.completion_tokens + second.completion_tokens,
        first.cached_tokens + second.cached_tokens,
    )


def compute_cost(view: DocumentView, version: VersionRef, service: str, usage: Usage) -> float:
    """Return the cost of one whole attempt, in currency units.

    Parameters
    ----------
    view : DocumentView
        Revision whose prices hold.
    version : VersionRef
        Version that ran; ignored for a plain service.
    service : str
        Plain service written ``member/service``, or empty.
    usage : Usage
        Tokens of the attempt.

    Returns
    -------
    float
        0 where the document no longer knows the version or the service.
    """
    if service:
        member, _, name = service.partition("/")
        section = view.document.members.get(member)
        cfg = section.services.get(name) if section else None
        return cfg.price if cfg else 0.0
    prices = view.versions.get(version)
    if prices is None:
        return 0.0
    prompt = usage.prompt_tokens * prices.prompt_price
    completion = usage.completion_tokens * prices.completion_price
    return (prompt + completion) / TOKENS_A_PRICE
