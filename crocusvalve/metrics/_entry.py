"""Metrics of an entry."""

from contextlib import suppress

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from crocusvalve.base import CustomerId, ExecutionStatus, UpstreamId
from crocusvalve.config import DocumentView
from crocusvalve.exceptions import ErrorCode
from crocusvalve.metrics._labels import OTHER, LabelSet

__all__ = ["EntryMetrics"]

MAX_CUSTOMERS = 500
MAX_CLASSES = 64
MAX_UPSTREAMS = 1000
MAX_STEPS = 64

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.9, 2.0, 5.0, 15.0, 60.0, 600.0)
COST_BUCKETS = (0.0001, 0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 5.0, 25.0)


class EntryMetrics:
    """Metrics of an entry; names begin with ``crocusvalve_``.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the process, in which the metrics are registered.
    """

    def __init__(self, registry: CollectorRegistry):
        self.registry = registry
        self._customers = LabelSet(MAX_CUSTOMERS)
        self._classes = LabelSet(MAX_CLASSES)
        self._upstreams = LabelSet(MAX_UPSTREAMS)
        self._steps: set[str] = set()
        by_class = ["customer", "class"]
        self._latency = Histogram(
            "crocusvalve_request_seconds",
            "Time from arrival to the end of the answer, in seconds",
            by_class,
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._first_token = Histogram(
            "crocusvalve_first_token_seconds",
            "Time from arrival to the first part of a streamed answer, in seconds",
            by_class,
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._cost = Histogram(
            "crocusvalve_request_cost",
            "Cost of an answered request, in currency units",
            by_class,
            buckets=COST_BUCKETS,
            registry=registry,
        )
        self._refusals = Counter(
            "crocusvalve_refusals",
            "Requests refused, by code and whether they ran",
            ["code", "ran"],
            registry=registry,
        )
        self._in_flight = Gauge(
            "crocusvalve_upstream_in_flight",
            "Attempts of this entry under way at an upstream",
            ["upstream"],
            registry=registry,
        )
        self._limit = Gauge(
            "crocusvalve_upstream_limit",
            "Concurrent requests that an upstream's agent admits",
            ["upstream"],
            registry=registry,
        )
        self._queued = Gauge(
            "crocusvalve_queued_requests", "Requests that wait for an upstream", registry=registry
        )
        self._revision = Gauge(
            "crocusvalve_config_revision", "Revision in force", registry=registry
        )
        self._outbox = Gauge(
            "crocusvalve_outbox_records", "Bills not yet in the ledger", registry=registry
        )
        self._alarms = Counter(
            "crocusvalve_durable_alarms",
            "Durable requests that came near their deadline unfinished",
            by_class,
            registry=registry,
        )
        self._violations = Counter(
            "crocusvalve_invariant_violations",
            "Invariants found broken, by step",
            ["step"],
            registry=registry,
        )

    def apply_view(self, view: DocumentView) -> None:
        """Set the label values to the customers, classes and upstreams of the revision in force.

        The time series of removed customers and upstreams are deleted.

        Parameters
        ----------
        view : DocumentView
            Index of the document; customers and classes that it does not name count as ``other``.
        """
        self._revision.set(view.revision)
        sections = view.document.members.values()
        self._classes.replace(name for section in sections for name in section.classes)
        removed = self._customers.replace(view.customers)
        for upstream in self._upstreams.replace(view.upstreams):
            for gauge in (self._in_flight, self._limit):
                with suppress(KeyError):
                    gauge.remove(upstream)
        for metric in (self._latency, self._first_token, self._cost, self._alarms):
            for labels in [key for key in metric._metrics if key[0] in removed]:
                metric.remove(*labels)

    def observe_request(
        self, customer: CustomerId, class_name: str, *, latency_s: float, cost: float
    ) -> None:
        """Count an answered request with its latency in seconds and its cost."""
        labels = self._get_labels(customer, class_name)
        self._latency.labels(*labels).observe(latency_s)
        self._cost.labels(*labels).observe(cost)

    def observe_first_token(
        self, customer: CustomerId, class_name: str, *, latency_s: float
    ) -> None:
        """Count the first part of a streamed answer with its latency in seconds."""
        self._first_token.labels(*self._get_labels(customer, class_name)).observe(latency_s)

    def count_refusal(
        self, code: ErrorCode, ran: ExecutionStatus = ExecutionStatus.NOT_RUN
    ) -> None:
        """Count a refused request by error code and whether it ran."""
        self._refusals.labels(code.code, ran.value).inc()

    def count_alarm(self, customer: CustomerId, class_name: str) -> None:
        """Count a durable request that is unfinished near its deadline."""
        self._alarms.labels(*self._get_labels(customer, class_name)).inc()

    def count_violation(self, step: str) -> None:
        """Count a broken invariant; steps after the first ``MAX_STEPS`` count as ``other``."""
        if step not in self._steps and len(self._steps) >= MAX_STEPS:
            step = OTHER
        self._steps.add(step)
        self._violations.labels(step).inc()

    def set_upstream(self, upstream: UpstreamId, *, in_flight: int, limit: int) -> None:
        """Set the load and the limit of an upstream; unknown upstreams are skipped."""
        if self._upstreams.get_label(upstream) == OTHER:
            return
        self._in_flight.labels(upstream).set(in_flight)
        self._limit.labels(upstream).set(limit)

    def set_queued(self, n_requests: int) -> None:
        """Set the number of requests that wait for an upstream."""
        self._queued.set(n_requests)

    def set_outbox(self, n_bills: int) -> None:
        """Set the number of bills not yet in the ledger."""
        self._outbox.set(n_bills)

    def _get_labels(self, customer: str, class_name: str) -> tuple[str, str]:
        return self._customers.get_label(customer), self._classes.get_label(class_name)
