"""Metrics and log lines about the requests of an entry."""

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
    """Records the progress and the end of each request; ``now`` is Unix time in seconds."""

    @abstractmethod
    def record_first_part(self, req: RequestRow, now: float) -> None:
        """Record that the first part of a streamed answer is sent to the caller."""

    @abstractmethod
    def record_answer(self, req: RequestRow, summary: AnswerSummary, now: float) -> None:
        """Record that a request was answered completely."""

    @abstractmethod
    def record_refusal(self, req: RequestRow, exc: CrocusvalveError, now: float) -> None:
        """Record that a request was refused."""

    @abstractmethod
    def record_invariant_violation(self, exc: InvariantError) -> None:
        """Record that an invariant was violated."""


class MetricsObserver(RequestObserver):
    """Counts the ends of requests in metrics and writes a log line for each.

    Parameters
    ----------
    metrics : EntryMetrics
        Metrics of the entry.
    """

    def __init__(self, metrics: EntryMetrics):
        self.metrics = metrics

    def record_first_part(self, req: RequestRow, now: float) -> None:
        """Record the time to the first part of the answer in the metrics."""
        self.metrics.observe_first_token(
            req.customer_id, req.class_name, latency_s=now - req.arrived_at
        )

    def record_answer(self, req: RequestRow, summary: AnswerSummary, now: float) -> None:
        """Record latency and cost in the metrics and log the answer."""
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
        """Count a refusal in the metrics and log it."""
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
        """Count and log a violated invariant."""
        self.metrics.count_violation(exc.step)
        logger.error("invariant violated: %s", exc)

    def sample(self, tables: CoreTables, n_bills: int) -> None:
        """Set the gauges from the tables; ``n_bills`` is the number of bills in the outbox."""
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
