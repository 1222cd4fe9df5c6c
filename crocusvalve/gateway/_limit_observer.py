"""Log lines and metrics of the limits that upstreams name."""

import logging

from prometheus_client import CollectorRegistry, Gauge

from crocusvalve.base import UpstreamId

__all__ = ["LimitObserver"]

logger = logging.getLogger("crocusvalve.gateway")


class LimitObserver:
    """Records limits that upstreams name.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics.
    """

    def __init__(self, registry: CollectorRegistry):
        self._limited_upstreams = Gauge(
            "crocusvalve_gateway_limited_upstreams",
            "Upstreams that take a limited rate of requests",
            registry=registry,
        )

    def record_limit(
        self,
        upstream_id: UpstreamId,
        rate_per_s: float | None,
        n_limited: int,
        reporter: str = "",
    ) -> None:
        """Record that an upstream names a limit, another one, or none any more.

        Parameters
        ----------
        rate_per_s : float or None
            Requests per second that it takes from all gateways together; None for no limit.
        n_limited : int
            Number of all upstreams with a limit.
        reporter : str
            Gateway that has reported the limit; empty for an answer to this one.
        """
        self._limited_upstreams.set(n_limited)
        fields = {"rate_per_s": rate_per_s, "reporter": reporter}
        message = "names a limit" if rate_per_s is not None else "names no limit any more"
        logger.info("upstream %s %s", upstream_id, message, extra={"fields": fields})
