"""Interface of the routers."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from crocusvalve.model import RequestRow, UpstreamRow

__all__ = ["Router"]


class Router(ABC):
    """Chooses the upstream of one attempt among candidates that are all allowed to run it."""

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
            Current Unix time in seconds.

        Returns
        -------
        UpstreamRow or None
            None if every candidate is full by this entry's own count, a recent refusal or a fresh
            report.
        """
