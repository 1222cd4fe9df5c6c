"""Metrics and log lines of requests."""

import logging
from abc import ABC, abstractmethod

from crocusvalve.base import ExecutionStatus
from crocusvalve.entry._commands import AnswerSummary
from crocusvalve.entry._tables import CoreTables
from crocusvalve.exceptions import CrocusvalveError, InvariantError
from crocusvalve.metrics import EntryMetrics, bind_log_context
from crocusvalve.model import RequestRow

__all__ = ["MetricsObserver", "RequestObserver"]

logger = logging.getLogger(__name__)


class RequestObserver(ABC):
    """Is told how requests fare."""

    @abstractmethod
    def record_first_part(self, req: RequestRow, now: float) -> None:
        """The first part of a streamed answer goes to the caller."""

    @abstractmethod
    def record_answer(self, req: RequestRow, summary: AnswerSummary, now: float) -> None:
        """A request was answered whole."""

    @abstractmethod
    def record_refusal(self, req: RequestRow, exc: CrocusvalveError, now: float) -> None:
        """A request was refused."""

    @abstractmethod
    def record_invariant_violation(self, exc: InvariantError) -> None:
        """An invariant did not hold."""


class MetricsObserver(RequestObserver):
    """Counts ends of requests and writes a log line for each.

    Parameters
    ----------
    metrics : EntryMetrics
        Metrics of the entry.
    """

    def __init__(self, metrics: EntryMetrics):
        self.metrics = metrics

    def record_first_part(self, req: RequestRow, now: float) -> None:
        """Observe the time to the first part."""
        self.metrics.observe_first_token(
            req.customer_id, req.class_name, latency_s=now - req.arrived_at
        )

    def record_answer(self, req: RequestRow, summary: AnswerSummary, now: float) -> None:
        """Observe latency and cost."""
        latency_s = now - req.arrived_at
        self.metrics.observe_request(
            req.customer_id, req.class_name, latency_s=latency_s, cost=summary.cost
        )
        with _bind_request(req, step="answer", peer=summary.upstream_id):
            logger.info(
                "answered by %s in %.3f s, %d attempts, cost %.6f",
                summary.version or req.service,
                latency_s,
                summary.n_attempts,
                summary.cost,
            )

    def record_refusal(self, req: RequestRow, exc: CrocusvalveError, now: float) -> None:
        """Count a refusal."""
        ran = getattr(exc, "ran", ExecutionStatus.UNKNOWN)
        self.metrics.count_refusal(exc.code, ran)
        with _bind_request(req, step=exc.step, peer=exc.peer):
            logger.info(
                "refused after %.3f s: %s (%s): %s",
                now - req.arrived_at,
                exc.code.code,
                ran.value,
                exc.message,
            )

    def record_invariant_violation(self, exc: InvariantError) -> None:
        """Count and log a broken invariant."""
        self.metrics.count_violation(exc.step)
        logger.error("invariant broken: %s", exc)

    def sample(self, tables: CoreTables, n_bills: int) -> None:
        """Set the gauges from the tables."""
        for upstream_id, row in tables.upstreams.items():
            self.metrics.set_upstream(
                upstream_id, in_flight=row.in_flight, limit=row.reported_limit
            )
        self.metrics.set_queued(len(tables.queue))
        self.metrics.set_outbox(n_bills)


def _bind_request(req: RequestRow, *, step: str, peer: str):
    return bind_log_context(
        request_id=req.request_id,
        customer=req.customer_id,
        class_name=req.class_name,
        step=step,
        peer=peer,
    )
