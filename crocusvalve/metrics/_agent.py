"""Metrics of an agent."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from crocusvalve.base import AttemptState, ExecutionStatus, Revision, UpstreamState
from crocusvalve.exceptions import ErrorCode

__all__ = ["AgentMetrics"]

SERVICE_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0)


class AgentMetrics:
    """Metrics of an agent, which has one upstream; names begin with ``crocusvalve_agent_``.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the process, in which the metrics are registered.
    """

    def __init__(self, registry: CollectorRegistry):
        self.registry = registry
        self._in_flight = self._make_gauge("in_flight", "Attempts under way at the upstream")
        self._limit = self._make_gauge("limit", "Concurrent attempts that the agent admits")
        self._queued = self._make_gauge("queued", "Attempts that wait for the upstream")
        self._named_limit = self._make_gauge(
            "named_limit", "Requests per second that the upstream takes; 0 without a limit"
        )
        self._revision = self._make_gauge("config_revision", "Revision in force")
        self._undelivered_bills = self._make_gauge("held_bills", "Bills not yet acknowledged")
        self._state = Gauge(
            "crocusvalve_agent_upstream_state",
            "1 for the present state of the upstream, 0 for the others",
            ["state"],
            registry=registry,
        )
        self._service = Histogram(
            "crocusvalve_agent_service_seconds",
            "Service time of an attempt at the upstream, in seconds",
            buckets=SERVICE_BUCKETS_S,
            registry=registry,
        )
        self._attempts = Counter(
            "crocusvalve_agent_attempts", "Attempts by end state", ["state"], registry=registry
        )
        self._refusals = Counter(
            "crocusvalve_agent_refusals",
            "Attempts refused, by code and whether they ran",
            ["code", "ran"],
            registry=registry,
        )
        self._violations = Counter(
            "crocusvalve_agent_invariant_violations", "Invariants found broken", registry=registry
        )

    def _make_gauge(self, name: str, documentation: str) -> Gauge:
        return Gauge(f"crocusvalve_agent_{name}", documentation, registry=self.registry)

    def set_load(self, *, in_flight: int, limit: int, queued: int, state: UpstreamState) -> None:
        """Set the current load, limit and state of the upstream."""
        self._in_flight.set(in_flight)
        self._limit.set(limit)
        self._queued.set(queued)
        for other in UpstreamState:
            self._state.labels(other.value).set(other is state)

    def set_named_limit(self, rate_per_s: float | None) -> None:
        """Set the rate of requests that the upstream has named, None for none."""
        self._named_limit.set(rate_per_s or 0.0)

    def set_revision(self, revision: Revision) -> None:
        """Set the revision in force."""
        self._revision.set(revision)

    def set_undelivered_bills(self, n_bills: int) -> None:
        """Set the number of bills not yet acknowledged."""
        self._undelivered_bills.set(n_bills)

    def observe_attempt(self, state: AttemptState, *, service_s: float) -> None:
        """Count an ended attempt; only complete ones are included in the service times."""
        self._attempts.labels(state.value).inc()
        if state is AttemptState.DONE:
            self._service.observe(service_s)

    def count_refusal(
        self, code: ErrorCode, ran: ExecutionStatus = ExecutionStatus.NOT_RUN
    ) -> None:
        """Count a refused attempt by error code and whether it ran."""
        self._refusals.labels(code.code, ran.value).inc()

    def count_violation(self) -> None:
        """Count a broken invariant."""
        self._violations.inc()
