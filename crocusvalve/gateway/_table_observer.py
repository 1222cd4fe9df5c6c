"""Log lines and metrics about the store's tables and who follows them."""

import logging

from prometheus_client import CollectorRegistry, Counter, Gauge

__all__ = ["TableObserver"]

logger = logging.getLogger("crocusvalve.gateway")


class TableObserver:
    """Records calls to the store, and whether this gateway follows its tables itself.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics.
    """

    def __init__(self, registry: CollectorRegistry):
        self._store_calls = Counter(
            "crocusvalve_gateway_store_calls",
            "Calls to the store for a table or its changes",
            ("table",),
            registry=registry,
        )
        self._follows_tables = Gauge(
            "crocusvalve_gateway_follows_tables",
            "Whether this gateway follows the store's tables itself",
            registry=registry,
        )

    def count_store_call(self, table: str) -> None:
        """Count a call to the store for a table or its changes."""
        self._store_calls.labels(table).inc()

    def record_row_failure(self, table: str, key: str, exc: Exception) -> None:
        """Log an unexpected exception that kept a row from being applied."""
        logger.error("row %s/%s was not applied", table, key, exc_info=exc)

    def record_reading(self, follows: bool, reason: str) -> None:
        """Log whether this gateway follows the store's tables itself now, and why."""
        self._follows_tables.set(follows)
        source = "the store" if follows else "readers of the failure domain"
        logger.info("tables are followed from %s: %s", source, reason)
