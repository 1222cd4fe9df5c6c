"""Log lines and metrics of upstreams' crashes and of what is refused because of them."""

import logging
from collections.abc import Iterable
from enum import Enum

from prometheus_client import CollectorRegistry, Counter, Gauge

from crocusvalve.gateway.base import Upstream

__all__ = ["CrashCheck", "CrashObserver"]

logger = logging.getLogger("crocusvalve.gateway")


class CrashCheck(Enum):
    """Result of the check of an upstream whose connection broke."""

    #: The upstream has crashed, and its request may be the cause.
    CRASHED = "crashed"
    #: The upstream has crashed after the request's answer had gone on.
    ANSWER_WENT_ON = "answer_went_on"
    #: The upstream has crashed, and the same request was answered shortly before.
    ANSWERED = "answered"
    #: Its address accepts connections and its entry is of the same run.
    ALIVE = "alive"
    #: No connection could be opened, and none was refused.
    UNREACHABLE = "unreachable"


class CrashObserver:
    """Records crashes of upstreams, and requests and parts of prompts that cause them.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics.
    """

    def __init__(self, registry: CollectorRegistry):
        self._checks = Counter(
            "crocusvalve_gateway_crash_checks",
            "Checks of upstreams whose connections broke, by result",
            ("result",),
            registry=registry,
        )
        self._banned_requests = Gauge(
            "crocusvalve_gateway_banned_requests",
            "Requests that are refused since they crash upstreams",
            registry=registry,
        )

    def record_check(
        self, row: Upstream, digest: str, result: CrashCheck, n_crashes: int = 0
    ) -> None:
        """Record the result of a check, and the known crashes of the request that was lost."""
        self._checks.labels(result.value).inc()
        fields = {"digest": digest, "crashes": n_crashes, "result": result.value}
        if result is CrashCheck.CRASHED:
            logger.warning("upstream %s crashed", row.upstream_id, extra={"fields": fields})
        else:
            logger.info(
                "crash of upstream %s not counted", row.upstream_id, extra={"fields": fields}
            )

    def record_banned_requests(
        self, digests: Iterable[str], n_banned: int, reporter: str = ""
    ) -> None:
        """Record requests that are refused from now on.

        Parameters
        ----------
        n_banned : int
            Number of all requests that are refused.
        reporter : str
            Gateway that has reported the last crash; empty for this one.
        """
        self._banned_requests.set(n_banned)
        for digest in digests:
            fields = {"digest": digest, "reporter": reporter}
            logger.warning("a request crashes upstreams and is refused", extra={"fields": fields})

    def record_released_requests(
        self, digests: Iterable[str], n_banned: int, reporter: str = ""
    ) -> None:
        """Record requests that are no longer refused, since they have been answered.

        Parameters
        ----------
        n_banned : int
            Number of all requests that are refused.
        reporter : str
            Gateway that has reported the answer; empty for this one.
        """
        self._banned_requests.set(n_banned)
        for digest in digests:
            fields = {"digest": digest, "reporter": reporter}
            logger.info("an answered request is no longer refused", extra={"fields": fields})

    def record_banned_parts(self, part_ids: Iterable[str]) -> None:
        """Log parts of prompts that crash upstreams, so that prompts with them are refused."""
        for part_id in part_ids:
            logger.warning("prompts with part %s crash upstreams and are refused", part_id)
