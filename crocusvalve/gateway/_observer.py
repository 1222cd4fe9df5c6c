"""Log lines and metrics of a gateway."""

import logging
from collections.abc import Callable

from msgspec import Struct
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from crocusvalve.base import DomainId
from crocusvalve.exceptions import CrocusvalveError, RefusedError
from crocusvalve.gateway._admission_observer import AdmissionObserver
from crocusvalve.gateway._crash_observer import CrashObserver
from crocusvalve.gateway._gossip_observer import GossipObserver
from crocusvalve.gateway._limit_observer import LimitObserver
from crocusvalve.gateway._table_observer import TableObserver
from crocusvalve.gateway.base import (
    Configuration,
    ServiceName,
    UpgradeOrder,
    UpgradeStatus,
    Upstream,
)
from crocusvalve.gateway.callers._connection_end import ConnectionEnd
from crocusvalve.gateway.decisions._health import Outcome
from crocusvalve.gateway.flows._request import GatewayRequest, RequestEnd

__all__ = ["GatewayObserver", "LineBudget"]

logger = logging.getLogger("crocusvalve.gateway")

#: Maximum log lines per second of answered requests; all other requests have a separate budget.
MAX_LINES_PER_S = 40
MAX_FAILURE_LINES_PER_S = 80
#: Upper bounds of the latency histograms, in seconds.
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0)
#: Maximum number of customers with a separate label in the metrics; all others share the label
#: ``other``.
MAX_CUSTOMER_LABELS = 64


class LineBudget(Struct):
    """Limit of the log lines per second of one kind, and a count of the suppressed lines.

    Attributes
    ----------
    per_s : int
        Maximum number of lines per second.
    second : int
        The second, in local time, that ``n_written`` belongs to.
    n_written : int
        Lines written in this second.
    n_suppressed : int
        Lines suppressed since the start.
    """

    per_s: int
    second: int = 0
    n_written: int = 0
    n_suppressed: int = 0

    def acquire(self, now: float) -> bool:
        """Return whether a line may be written at a local time, and count it."""
        if int(now) != self.second:
            self.second, self.n_written = int(now), 0
        if self.n_written >= self.per_s:
            self.n_suppressed += 1
            return False
        self.n_written += 1
        return True


class GatewayObserver:
    """Writes log lines for requests and state changes, and updates the metrics.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics.

    Attributes
    ----------
    admission : AdmissionObserver
        Records queues of waiting requests.
    crashes : CrashObserver
        Records crashes of upstreams.
    limits : LimitObserver
        Records limits that upstreams name.
    gossip : GossipObserver
        Records gossip that is sent and received.
    tables : TableObserver
        Records calls to the store and who follows its tables.
    """

    def __init__(self, registry: CollectorRegistry):
        self.admission = AdmissionObserver(registry)
        self.crashes = CrashObserver(registry)
        self.limits = LimitObserver(registry)
        self.gossip = GossipObserver(registry)
        self.tables = TableObserver(registry)
        self.registry = registry
        self._successes = LineBudget(MAX_LINES_PER_S)
        self._failures = LineBudget(MAX_FAILURE_LINES_PER_S)
        self._customers: set[str] = set()
        labels = ("customer", "route")
        self._requests = Counter(
            "crocusvalve_gateway_requests", "Requests by end", (*labels, "end"), registry=registry
        )
        self._latency = Histogram(
            "crocusvalve_gateway_latency_seconds",
            "Time from a request's arrival to the end of its answer",
            labels,
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._attempts = Counter(
            "crocusvalve_gateway_attempts", "Requests sent to upstreams", labels, registry=registry
        )
        self._first_event = Histogram(
            "crocusvalve_gateway_first_event_seconds",
            "Time from a request's arrival to its first event",
            labels,
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._wait = Histogram(
            "crocusvalve_gateway_wait_seconds",
            "Time for which requests waited for an upstream",
            labels,
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._escalations = Counter(
            "crocusvalve_gateway_escalations",
            "Answers of a smaller model that were dropped for a larger one's",
            ("route",),
            registry=registry,
        )
        self._resumes = Counter(
            "crocusvalve_gateway_resumes",
            "Streams resumed at another upstream",
            ("route",),
            registry=registry,
        )
        self._refusals = Counter(
            "crocusvalve_gateway_refusals", "Refusals by code", ("code",), registry=registry
        )
        self._connections_closed = Counter(
            "crocusvalve_gateway_connections_closed",
            "Callers' connections that ended, by reason",
            ("reason",),
            registry=registry,
        )
        self._budget_left = Gauge(
            "crocusvalve_gateway_budget_left",
            "Extra attempts that this gateway may make now",
            ("service",),
            registry=registry,
        )
        self._store_age = Gauge(
            "crocusvalve_gateway_store_age_seconds",
            "Time since the store last answered",
            registry=registry,
        )
        self._suspensions = Counter(
            "crocusvalve_gateway_suspensions",
            "Suspensions of upstreams by outcome",
            ("outcome",),
            registry=registry,
        )
        self._store_faults = Counter(
            "crocusvalve_gateway_store_faults", "Failed calls to the store", registry=registry
        )
        self._lines_suppressed = Gauge(
            "crocusvalve_gateway_log_lines_left_out", "Log lines left out", registry=registry
        )
        self._config_version = Gauge(
            "crocusvalve_gateway_config_version", "Configuration in force", registry=registry
        )
        self._peers = Gauge(
            "crocusvalve_gateway_peers", "Other gateways that are alive", registry=registry
        )

    def track_dropped_lines(self, count: Callable[[], int]) -> None:
        """Include the lines that the log writer drops in the metric of omitted lines."""
        self._lines_suppressed.set_function(
            lambda: count() + self._successes.n_suppressed + self._failures.n_suppressed
        )

    def track_store_age(self, compute_age_s: Callable[[], float]) -> None:
        """Set the function that returns the time in seconds since the store last answered."""
        self._store_age.set_function(compute_age_s)

    def count_escalation(self, route: str) -> None:
        """Count an answer that is discarded in favour of a larger model's."""
        self._escalations.labels(route).inc()

    def count_resume(self, route: str) -> None:
        """Count a stream that is resumed at another upstream."""
        self._resumes.labels(route).inc()

    def set_budget(self, service: ServiceName, n_left: float) -> None:
        """Set the number of extra attempts that a service has left."""
        self._budget_left.labels(service).set(n_left)

    def record_request_end(
        self,
        req: GatewayRequest,
        end: RequestEnd,
        status: int,
        now: float,
        exc: CrocusvalveError | None = None,
        *,
        reason: str = "",
    ) -> None:
        """Record how a request ended, in the metrics and as a log line.

        Parameters
        ----------
        status : int
            HTTP status of the answer.
        now : float
            Local time of the end, in seconds.
        exc : CrocusvalveError or None
            Error that ended the request.
        reason : str
            Reason for an aborted or interrupted answer without an error.
        """
        customer = self._get_customer_label(req.customer.name if req.customer else "")
        route = req.route.name
        self._requests.labels(customer, route, end.value).inc()
        self._attempts.labels(customer, route).inc(req.n_sends)
        elapsed_s = now - req.arrived_at
        self._latency.labels(customer, route).observe(elapsed_s)
        self._wait.labels(customer, route).observe(req.waited_s)
        if req.first_event_at is not None:
            first_s = req.first_event_at - req.arrived_at
            self._first_event.labels(customer, route).observe(first_s)
        if exc is not None:
            self._refusals.labels(exc.code.code).inc()
        is_good = end is RequestEnd.ANSWERED
        if not (self._successes if is_good else self._failures).acquire(now):
            return
        logger.info(
            "request ended: %s",
            end.value,
            extra={
                "request_id": req.request_id,
                "customer": customer,
                "class_name": route,
                "step": exc.step if exc else "",
                "fields": {
                    "status": status,
                    "elapsed_ms": round(elapsed_s * 1000),
                    "goal_ms": round(req.route.goal_s * 1000),
                    "sent_ms": _compute_elapsed_ms(req.arrived_at, req.sent_at),
                    "expected_ms": round(req.expected_s * 1000),
                    "first_event_ms": _compute_elapsed_ms(req.arrived_at, req.first_event_at),
                    "events": req.n_events,
                    "model": req.model,
                    "upstream": req.upstream_id,
                    "attempts": req.n_sends,
                    "runs": req.n_runs,
                    **_describe_placement(req),
                    "waited_ms": round(req.waited_s * 1000),
                    "held_ms": round(req.held_s * 1000),
                    "queue_length": req.queue_length,
                    "refusal": req.refusal.value if req.refusal else "",
                    "notes": req.notes,
                    "code": exc.code.code if exc else "",
                    "reason": exc.message if exc else reason,
                    "retry_after_s": exc.retry_after_s if isinstance(exc, RefusedError) else None,
                    "digest": "" if is_good else req.digest,
                },
            },
        )

    def record_early_refusal(
        self, request_id: str, exc: CrocusvalveError, config_version: int, now: float
    ) -> None:
        """Record a request that was refused before its route was determined."""
        self._requests.labels("", "", RequestEnd.REFUSED.value).inc()
        self._refusals.labels(exc.code.code).inc()
        if self._failures.acquire(now):
            fields = {"code": exc.code.code, "config_version": config_version}
            logger.info(
                "request refused: %s",
                exc.message,
                extra={"request_id": request_id, "step": exc.step, "fields": fields},
            )

    def record_connection_end(self, end: ConnectionEnd, now: float) -> None:
        """Record the end of a caller's connection; log a lost request or an unexpected error."""
        self._connections_closed.labels(end.reason.value).inc()
        if not (end.is_loss or end.error) or not self._failures.acquire(now):
            return
        logger.warning(
            "caller's connection closed: %s",
            end.reason.value,
            exc_info=end.error,
            extra={"request_id": end.request_id, "fields": {"request": end.progress.value}},
        )

    def record_unexpected_error(self, request_id: str, exc: Exception, now: float) -> None:
        """Log an unexpected exception that failed a request."""
        if self._failures.acquire(now):
            extra = {"request_id": request_id}
            logger.error("unexpected error within a request", exc_info=exc, extra=extra)

    def record_configuration(self, config: Configuration) -> None:
        """Record a configuration that has been put in force."""
        self._config_version.set(config.version)
        fields = {"version": config.version, "routes": len(config.routes)}
        logger.info("configuration in force", extra={"fields": fields})

    def record_decode_error(self, table: str, key: str, reason: str) -> None:
        """Log a record that can't be decoded and is skipped."""
        logger.warning("record %s/%s skipped: %s", table, key, reason)

    def record_upstream_counts(self, counts: dict[ServiceName, int]) -> None:
        """Log the number of upstreams per service after the first read of the table."""
        logger.info("upstreams known", extra={"fields": dict(counts)})

    def record_upstream_change(self, change: str, row: Upstream) -> None:
        """Log that an upstream has been registered, changed or removed."""
        fields = {
            "service": row.service,
            "address": str(row.address),
            "domain": row.domain,
            "version": row.version,
            "cold_left_s": row.cold_left_s,
        }
        logger.info("upstream %s: %s", row.upstream_id, change, extra={"fields": fields})

    def record_suspension(self, row: Upstream, outcome: Outcome, span_s: float) -> None:
        """Record that an upstream gets no requests for ``span_s`` seconds."""
        self._suspensions.labels(outcome.value).inc()
        logger.info(
            "upstream %s suspended after outcome %s",
            row.upstream_id,
            outcome.value,
            extra={"peer": str(row.address), "fields": {"span_s": round(span_s, 2)}},
        )

    def record_domain_state(self, domain: DomainId, is_evacuated: bool) -> None:
        """Log that a failure domain has been evacuated, or is in service again."""
        logger.info("failure domain %s: %s", domain, "out" if is_evacuated else "in")

    def record_upgrade_order(self, order: UpgradeOrder) -> None:
        """Log an operators' order to upgrade a service."""
        fields = {"version": order.version, "duration_s": order.duration_s}
        logger.info("upgrade of %s ordered", order.service, extra={"fields": fields})

    def record_upgrade_status(
        self, service: ServiceName, status: UpgradeStatus, is_local: bool
    ) -> None:
        """Log a new status of an upgrade; ``is_local`` if this gateway has written it."""
        fields = {
            "version": status.version,
            "state": status.state.value,
            "share": status.share,
            "written_here": is_local,
        }
        logger.info("upgrade of %s: %s", service, status.state.value, extra={"fields": fields})

    def record_verdict(self, service: ServiceName, version: str, verdict: str, counts: str) -> None:
        """Log the check's new verdict on a version, with its failures and answers by route."""
        level = logging.INFO if verdict == "unsure" else logging.WARNING
        fields = {"counts": counts}
        logger.log(
            level, "version %s of %s is %s", version, service, verdict, extra={"fields": fields}
        )

    def record_store_state(self, table: str, exc: CrocusvalveError | None) -> None:
        """Log that the store has become unavailable (``exc``) or available again (None)."""
        if exc is None:
            logger.info("the store answers again", extra={"fields": {"table": table}})
        else:
            logger.warning("the store fails: %s", exc, extra={"fields": {"table": table}})

    def record_table_reread(self, table: str, exc: CrocusvalveError) -> None:
        """Log why a whole table is read instead of its changes."""
        logger.info("whole table is read: %s", exc.message, extra={"fields": {"table": table}})

    def record_store_restore(self, table: str, era: int, version: int) -> None:
        """Log that a table was read again after a restore of the store from a backup."""
        fields = {"table": table, "era": era, "version": version}
        logger.warning("the store was restored from a backup", extra={"fields": fields})

    def record_upstream_leaving(self, row: Upstream) -> None:
        """Log that an upstream has said in an answer that it is about to stop."""
        self.record_upstream_change("leaving, by its own answer", row)

    def record_upstream_closure(self, row: Upstream, span_s: float) -> None:
        """Log that an overloaded upstream wants no requests for ``span_s`` seconds."""
        logger.info(
            "upstream %s wants no requests for %.2f s",
            row.upstream_id,
            span_s,
            extra={"peer": str(row.address)},
        )

    def count_store_fault(self) -> None:
        """Count a failed call to the store."""
        self._store_faults.inc()

    def record_table_copy(self, host: str, versions: dict[str, int]) -> None:
        """Log the tables that have been copied from a peer gateway, with their versions."""
        logger.info("tables copied from another gateway", extra={"peer": host, "fields": versions})

    def record_table_copy_failure(self, host: str, reason: str) -> None:
        """Log that no tables could be copied from a peer gateway."""
        logger.warning("no tables copied from another gateway: %s", reason, extra={"peer": host})

    def record_copy_not_served(self, reason: str) -> None:
        """Log that a peer gateway has requested a copy and not received it."""
        logger.info("table copy not served: %s", reason)

    def record_peer(self, node_id: str, host: str) -> None:
        """Log that a peer gateway is alive, for the first time or after a timeout."""
        logger.info("gateway %s is alive", node_id, extra={"peer": host})

    def set_peers(self, n_alive: int) -> None:
        """Set the number of peer gateways that are alive."""
        self._peers.set(n_alive)

    def record_task_failure(self, task: str, exc: BaseException) -> None:
        """Log an unexpected exception that ended a task."""
        logger.error("task %s failed", task, exc_info=exc)

    def record_process_event(self, event: str, **fields: str | int | float) -> None:
        """Log a start, a drain, a stop or a reload of the process."""
        logger.info("%s", event, extra={"fields": fields})

    def _get_customer_label(self, name: str) -> str:
        if name in self._customers or len(self._customers) < MAX_CUSTOMER_LABELS:
            self._customers.add(name)
            return name
        return "other"


def _describe_placement(req: GatewayRequest) -> dict[str, str | int]:
    placement = req.placement
    if placement is None:
        return {}
    return {"placement": placement.reason.value, "queued_tokens": round(placement.work)}


def _compute_elapsed_ms(since: float, until: float | None) -> int | None:
    return None if until is None else round((until - since) * 1000)
