"""HTTP endpoints for the metrics and the health of an agent."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry
from quart import Response
from quart_trio import QuartTrio

from crocusvalve.agent._tables import AgentTables
from crocusvalve.base import Revision
from crocusvalve.metrics import AgentMetrics, render_metrics

__all__ = ["make_metrics_app", "update_gauges"]

TEXT = "text/plain"


def update_gauges(metrics: AgentMetrics, tables: AgentTables) -> None:
    """Set the gauges to the current values in the agent's tables."""
    limiter = tables.limiter
    metrics.set_load(in_flight=limiter.in_flight, limit=limiter.limit, queued=0, state=tables.state)
    metrics.set_named_limit(tables.named_limit.rate_per_s)
    metrics.set_revision(tables.view.revision if tables.view else Revision(0))
    metrics.set_undelivered_bills(len(tables.bills))


def make_metrics_app(
    registry: CollectorRegistry, update: Callable[[], None], is_ready: Callable[[], bool]
) -> QuartTrio:
    """Create the application that serves an agent's metrics and health.

    Parameters
    ----------
    registry : CollectorRegistry
        Metrics of the process.
    update : callable
        Called to set the gauges before each response with metrics.
    is_ready : callable
        Returns whether the agent has a configuration revision.
    """
    app = QuartTrio("crocusvalve.agent")

    @app.get("/metrics")
    async def get_metrics() -> Response:
        update()
        rendered = render_metrics(registry)
        return Response(rendered.body, content_type=rendered.content_type)

    @app.get("/healthz")
    async def get_health() -> Response:
        return Response("ok\n", content_type=TEXT)

    @app.get("/readyz")
    async def get_ready() -> Response:
        status = 200 if is_ready() else 503
        return Response("ready\n" if status == 200 else "not ready\n", status, content_type=TEXT)

    return app
