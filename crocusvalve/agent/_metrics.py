"""Metrics and health of an agent over HTTP."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry
from quart import Response
from quart_trio import QuartTrio

from crocusvalve.agent._tables import AgentTables
from crocusvalve.base import Revision
from crocusvalve.metrics import AgentMetrics, render_metrics

__all__ = ["make_metrics_app", "sample_metrics"]

TEXT = "text/plain"


def sample_metrics(metrics: AgentMetrics, tables: AgentTables) -> None:
    """Set the gauges from the tables."""
    limiter = tables.limiter
    metrics.set_load(in_flight=limiter.in_flight, limit=limiter.limit, queued=0, state=tables.state)
    metrics.set_revision(tables.view.revision if tables.view else Revision(0))
    metrics.set_undelivered_bills(len(tables.bills))


def make_metrics_app(
    registry: CollectorRegistry, sample: Callable[[], None], is_ready: Callable[[], bool]
) -> QuartTrio:
    """Make the application that shows an agent's metrics and health.

    Parameters
    ----------
    registry : CollectorRegistry
        Metrics of the process.
    sample : callable
        Sets the gauges right before they are shown.
    is_ready : callable
        Tells whether the agent has a revision.
    """
    app = QuartTrio("crocusvalve.agent")

    @app.get("/metrics")
    async def get_metrics() -> Response:
        sample()
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
