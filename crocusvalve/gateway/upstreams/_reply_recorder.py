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
        now = self.clock.now()
        self.record_leaving(upstream, reply)
        if reply.status != OTHER_INSTANCE_STATUS:
            self._record_limit(UpstreamRun.of(upstream), reply, now)
        if reply.retry_after_s is not None:
            if self.tables.closures.close_until(upstream, now + reply.retry_after_s, now):
                self.observer.record_upstream_closure(upstream, reply.retry_after_s)

    def record_leaving(self, upstream: Upstream, reply: Reply) -> None:
        """Record whether an upstream is about to stop, by a reply to any request."""
        if reply.status == OTHER_INSTANCE_STATUS or not reply.is_leaving:
            return
        if self.tables.closures.mark_leaving(UpstreamRun.of(upstream)):
            self.observer.record_upstream_leaving(upstream)

    def _record_limit(self, run: UpstreamRun, reply: Reply, now: float) -> None:
        rate_limits = self.tables.rate_limits
        if rate_limits.record_answer(run, reply.rate_limit_per_s, now):
            self.observer.limits.record_limit(
                run.upstream_id, reply.rate_limit_per_s, rate_limits.n_active
            )
