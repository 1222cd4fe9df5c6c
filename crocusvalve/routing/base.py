"""Contract of the policies that choose an upstream."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from crocusvalve.model import RequestRow, UpstreamRow

__all__ = ["Router"]


class Router(ABC):
    """Chooses the upstream of one attempt among candidates that may all take it."""

    @abstractmethod
    def choose(
        self, req: RequestRow, candidates: Sequence[UpstreamRow], now: float
    ) -> UpstreamRow | None:
        """Choose an upstream.

        Parameters
        ----------
        req : RequestRow
            The request to place.
        candidates : sequence of UpstreamRow
            Rows from ``list_candidates``.
        now : float
            Present Unix time in seconds.

        Returns
        -------
        UpstreamRow or None
            None where every candidate is full by this entry's own count or a fresh report.
        """
