"""Records what upstreams say of themselves in the heads of their replies."""

from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway.base import Reply, Upstream
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.tables._tables import GatewayTables
from crocusvalve.utils import Clock

__all__ = ["ReplyRecorder"]

#: Status of a reply from another upstream at the same address, whose statements are about itself.
OTHER_INSTANCE_STATUS = 421


class ReplyRecorder:
    """Records whether an upstream leaves, is overloaded, or takes a limited rate of requests.

    Parameters
    ----------
    tables : GatewayTables
        Closures and limits of the upstreams.
    observer : GatewayObserver
        Records changes.
    clock : Clock
        Clock of this gateway.
    """

    def __init__(self, tables: GatewayTables, observer: GatewayObserver, clock: Clock):
        self.tables = tables
        self.observer = observer
        self.clock = clock

    def record(self, upstream: Upstream, reply: Reply) -> None:
        """Record how many more requests an upstream wants, by its reply."""
        closures, run, now = self.tables.closures, UpstreamRun.of(upstream), self.clock.now()
        if reply.status != OTHER_INSTANCE_STATUS:
            if reply.is_leaving and closures.mark_leaving(run):
                self.observer.record_upstream_leaving(upstream)
            self._record_limit(run, reply, now)
        if reply.retry_after_s is not None:
            if closures.close_until(upstream, now + reply.retry_after_s, now):
                self.observer.record_upstream_closure(upstream, reply.retry_after_s)

    def _record_limit(self, run: UpstreamRun, reply: Reply, now: float) -> None:
        rate_limits = self.tables.rate_limits
        if rate_limits.record_answer(run, reply.rate_limit_per_s, now):
            self.observer.limits.record_limit(
                run.upstream_id, reply.rate_limit_per_s, rate_limits.n_active
            )
