"""Rendering of metrics in the exposition format of Prometheus."""

from msgspec import Struct
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

__all__ = ["RenderedMetrics", "render_metrics"]


class RenderedMetrics(Struct, frozen=True):
    """Body and content type of the response to ``GET /metrics``."""

    body: bytes
    content_type: str


def render_metrics(registry: CollectorRegistry) -> RenderedMetrics:
    """Render all metrics of a registry for a Prometheus server."""
    return RenderedMetrics(generate_latest(registry), CONTENT_TYPE_LATEST)
