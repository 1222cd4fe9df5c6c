"""Log lines and metrics of the gossip between gateways."""

import logging

from prometheus_client import CollectorRegistry, Counter

from crocusvalve.base import DomainId

__all__ = ["GossipObserver"]

logger = logging.getLogger("crocusvalve.gateway")

#: A failure domain without a message for this long counts as silent. Each gateway hears from each
#: of a few other failure domains about once a second.
SILENCE_S = 4.0


class GossipObserver:
    """Records the bytes of gossip sent, and failure domains that are heard again.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics.
    """

    def __init__(self, registry: CollectorRegistry):
        self._heard_at: dict[DomainId, float] = {}
        self._bytes = Counter(
            "crocusvalve_gateway_gossip_bytes",
            "Bytes of gossip sent within the failure domain and to other ones",
            ("path",),
            registry=registry,
        )

    def count_sent(self, n_bytes: int, *, is_inside: bool) -> None:
        """Count a message sent to a gateway inside or outside the own failure domain."""
        self._bytes.labels("within" if is_inside else "between").inc(n_bytes)

    def record_message(self, node_id: str, domain: DomainId, now: float) -> None:
        """Log the first message from a failure domain, and the first one after a silence."""
        silent_s = now - self._heard_at.get(domain, float("-inf"))
        self._heard_at[domain] = now
        if silent_s > SILENCE_S:
            fields = {"silent_s": round(silent_s, 1)} if silent_s != float("inf") else {}
            extra = {"peer": node_id, "fields": fields}
            logger.info("failure domain %s is heard", domain or "unknown", extra=extra)
