"""Cost of attempts at the prices of the configuration document."""

from crocusvalve.base import VersionRef
from crocusvalve.config import DocumentView
from crocusvalve.rpc import Usage

__all__ = ["add_usage", "compute_cost"]

#: Number of tokens to which the prices of a version refer.
TOKENS_PER_PRICE_UNIT = 1000.0


def add_usage(first: Usage, second: Usage) -> Usage:
    """Return the sum of the tokens of two attempts."""
    return Usage(
        first.prompt_tokens + second.prompt_tokens,
        first.completion_tokens + second.completion_tokens,
        first.cached_tokens + second.cached_tokens,
    )


def compute_cost(view: DocumentView, version: VersionRef, service: str, usage: Usage) -> float:
    """Return the cost of one complete attempt, in currency units.

    Parameters
    ----------
    view : DocumentView
        Configuration revision with the prices to apply.
    version : VersionRef
        Version that ran; ignored for a plain service.
    service : str
        Plain service as ``member/service``; empty for a model version.
    usage : Usage
        Tokens used by the attempt.

    Returns
    -------
    float
        0 if the document no longer contains the version or the service.
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
    return (prompt + completion) / TOKENS_PER_PRICE_UNIT
