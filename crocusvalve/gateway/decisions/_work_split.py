"""Number of a service's upstreams that is left to short prompts, by the observed work."""

import math

from msgspec import Struct

from crocusvalve.gateway.base import ServiceName
from crocusvalve.gateway.decisions._pace import DEFAULT_TOKENS_PER_S

__all__ = ["WorkSplit", "is_short"]

#: Longest short prompt, in prompt tokens of the costliest model. An upstream reads it in 0.15 of
#: the 0.9 s to the first token for which the project is designed.
MAX_SHORT_TOKENS = 2_500.0
#: Work of short and long prompts as long as nothing is observed, in the same tokens.
PRIOR_SHORT_WORK = 3_000.0
PRIOR_LONG_WORK = 7_000.0
#: Seconds in which observed work loses half its weight, and the time over which a steady rate of
#: work adds up to the decayed sum.
HALF_LIFE_S = 30.0
SUM_S = HALF_LIFE_S / math.log(2.0)


class _Work(Struct):
    """Decayed sums of tokens, at a local time in seconds."""

    short: float = 0.0
    long: float = 0.0
    updated_at: float = 0.0


def is_short(n_tokens: float) -> bool:
    """Return whether a prompt is short; ``n_tokens`` are weighted by the model's cost."""
    return n_tokens <= MAX_SHORT_TOKENS


class WorkSplit:
    """Work of short and of long prompts by service, as this gateway has sent it.

    Load that it answers: few prompts take the largest model seconds to read, and each one delays
    the first events and slows the streams of all others at its upstream. Both kinds get the
    upstreams that their work takes, and of the others shares as the square roots of the work, by
    which the mean wait of all prompts is shortest. All times are local, in seconds.
    """

    def __init__(self) -> None:
        self._work: dict[ServiceName, _Work] = {}

    def record(self, service: ServiceName, n_tokens: float, n_unread: float, now: float) -> None:
        """Record a prompt that is sent, and what of it the upstream has to read."""
        work = self._decay(service, now)
        if is_short(n_tokens):
            work.short += n_unread
        else:
            work.long += n_unread

    def count_short_upstreams(
        self, service: ServiceName, n_upstreams: int, n_gateways: int, now: float
    ) -> int:
        """Return the number of upstreams that are left to short prompts.

        Parameters
        ----------
        n_upstreams : int
            Upstreams of the service that accept requests.
        n_gateways : int
            Gateways that send requests; each is taken to send as much as this one.
        """
        work = self._decay(service, now)
        scale = n_gateways / (SUM_S * DEFAULT_TOKENS_PER_S)
        short = scale * (PRIOR_SHORT_WORK + work.short)
        long = scale * (PRIOR_LONG_WORK + work.long)
        spare = n_upstreams - short - long
        if spare <= 0.0:
            return round(n_upstreams * short / (short + long))
        root = math.sqrt(short) / (math.sqrt(short) + math.sqrt(long))
        return round(short + spare * root)

    def _decay(self, service: ServiceName, now: float) -> _Work:
        work = self._work.setdefault(service, _Work(updated_at=now))
        factor = 0.5 ** (max(0.0, now - work.updated_at) / HALF_LIFE_S)
        work.short *= factor
        work.long *= factor
        work.updated_at = now
        return work
