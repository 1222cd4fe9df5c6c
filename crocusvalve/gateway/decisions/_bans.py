"""Requests that are refused since they, or parts of their prompts, crash upstreams."""

from collections.abc import Callable, Sequence

from crocusvalve.gateway.base import PrefixPart
from crocusvalve.gateway.decisions._crashes import CrashRegistry
from crocusvalve.gateway.decisions._crashing_parts import CrashingPartRegistry, get_suspect_ids

__all__ = ["RequestBans"]


class RequestBans:
    """Decides which requests get no upstream, at their admission and before each attempt.

    Parameters
    ----------
    crashes : CrashRegistry
        Crashes by digest of the request.
    crashing_parts : CrashingPartRegistry
        Crashes by part of the prompt.

    Attributes
    ----------
    on_change : callable
        Called when a request or a part has become banned; set by the handler of requests.
    """

    def __init__(self, crashes: CrashRegistry, crashing_parts: CrashingPartRegistry):
        self.crashes = crashes
        self.crashing_parts = crashing_parts
        self.on_change: Callable[[], None] = lambda: None

    def find_reason(self, digest: str, prefix: Sequence[PrefixPart]) -> str | None:
        """Return why a request is refused; None if it isn't.

        Parameters
        ----------
        digest : str
            Digest of the request.
        prefix : sequence of PrefixPart
            Parts of its prompt.
        """
        if self.crashes.is_banned(digest):
            return "the request crashes upstreams"
        if self.crashing_parts.find_banned(get_suspect_ids(prefix)) is not None:
            return "a part of the prompt crashes upstreams"
        return None
