"""Metrics of the requests that wait for an upstream."""

from prometheus_client import CollectorRegistry, Counter, Gauge

from crocusvalve.gateway.base import ServiceName
from crocusvalve.gateway.decisions._tickets import RefusalReason

__all__ = ["AdmissionObserver"]


class AdmissionObserver:
    """Records queues of waiting requests.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics.
    """

    def __init__(self, registry: CollectorRegistry):
        self._queue_length = Gauge(
            "crocusvalve_gateway_queue_length",
            "Requests that wait for an upstream",
            ("service",),
            registry=registry,
        )
        self._refusals = Counter(
            "crocusvalve_gateway_admission_refusals",
            "Requests refused by the admission queue, by reason",
            ("service", "reason"),
            registry=registry,
        )

    def set_queue_length(self, service: ServiceName, n_waiting: int) -> None:
        """Set the number of a service's waiting requests."""
        self._queue_length.labels(service).set(n_waiting)

    def count_refusal(self, service: ServiceName, reason: RefusalReason) -> None:
        """Count a refused request."""
        self._refusals.labels(service, reason.value).inc()
