"""Metrics and log lines of requests."""

import logging
from abc import ABC, abstractmethod

from crocusvalve.entry._commands import AnswerSummary
from crocusvalve.exceptions import CrocusvalveError, InvariantError
from crocusvalve.model import RequestRow

__all__ = ["LogObserver", "RequestObserver"]

logger = logging.getLogger(__name__)


class RequestObserver(ABC):
    """Is told how requests fare."""

    @abstractmethod
    def note_first_part(self, req: RequestRow, now: float) -> None:
        """A part of an answer goes to the caller."""

    @abstractmethod
    def note_answered(self, req: RequestRow, summary: AnswerSummary, now: float) -> None:
        """A request was answered whole."""

    @abstractmethod
    def note_refused(self, req: RequestRow, exc: CrocusvalveError, now: float) -> None:
        """A request was refused."""

    @abstractmethod
    def note_invariant(self, exc: InvariantError) -> None:
        """An invariant did not hold."""


class LogObserver(RequestObserver):
    """Writes a log line for each end of a request."""

    def note_first_part(self, req: RequestRow, now: float) -> None:
        """Write nothing."""

    def note_answered(self, req: RequestRow, summary: AnswerSummary, now: float) -> None:
        """Log an answer."""
        logger.info(
            "answered %s by %s on %s in %.3f s, %d attempts, cost %.6f",
            req.request_id,
            summary.version,
            summary.upstream_id,
            now - req.arrived_at,
            summary.n_attempts,
            summary.cost,
        )

    def note_refused(self, req: RequestRow, exc: CrocusvalveError, now: float) -> None:
        """Log a refusal."""
        logger.info("refused %s after %.3f s: %s", req.request_id, now - req.arrived_at, exc)

    def note_invariant(self, exc: InvariantError) -> None:
        """Log a broken invariant."""
        logger.error("invariant broken: %s", exc)
