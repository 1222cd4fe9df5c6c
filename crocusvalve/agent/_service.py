"""The agent, through which all requests to its upstream pass."""

import logging
import secrets
from collections.abc import AsyncIterator
from contextlib import aclosing

import trio

from crocusvalve.agent._admission import AdmissionSystem
from crocusvalve.agent._feed import AnswerFeed
from crocusvalve.agent._order_forwarder import OrderForwarder, ReadLeaseNumber, raise_no_platform
from crocusvalve.agent._revisions import PullRevision, RevisionCache, pull_no_revision
from crocusvalve.agent._runner import AttemptRunner
from crocusvalve.agent._tables import AgentTables
from crocusvalve.agent._upstream import Upstream, UpstreamError
from crocusvalve.answers import AnswerStore
from crocusvalve.base import (
    AttemptId,
    BootId,
    DomainId,
    NodeId,
    Revision,
    UpstreamId,
)
from crocusvalve.exceptions import CrocusvalveError, ErrorCode, RefusedError
from crocusvalve.rpc import (
    AgentService,
    BillsAck,
    BillsReply,
    CancelRequest,
    ConfigAck,
    ConfigPush,
    Empty,
    FenceReply,
    FenceRequest,
    LoadReport,
    Notice,
    NoticeAck,
    Refused,
    ResumeRequest,
    RunEvent,
    RunRequest,
    UpstreamOrder,
    UpstreamOrderAction,
    UpstreamOrderReply,
)
from crocusvalve.utils import Clock

__all__ = ["Agent"]

logger = logging.getLogger(__name__)

PROBE_PERIOD_S = 0.25
EXPIRY_PERIOD_S = 2.0
DRAIN_POLL_S = 0.05
#: Time for which the cancellation of an attempt that has not arrived yet is stored.
EARLY_CANCEL_TTL_S = 60.0
PULL_TIMEOUT_S = 0.5


class Agent(AgentService):
    """Checks and runs the attempts of one upstream and stores their answers.

    ``run_tasks`` must be running while the agent serves.

    Parameters
    ----------
    node_id, upstream_id, domain : str
        The agent, its upstream and its failure domain.
    upstream : Upstream
        The upstream.
    revision_cache : RevisionCache
        Stores the newest configuration revision.
    clock : Clock
        Source of the current time.
    pull_revision : callable
        Pulls a newer revision from the entries.
    read_lease_number : callable
        Reads the number of the controller's lease from the platform's service.
    answers : AnswerStore or None
        Buffers of answers; None creates a store with the default limits.
    boot_id : BootId or None
        Identifies this run of the agent; None generates a random ID.
    probe_period_s : float
        Seconds between health probes of the upstream.
    """

    def __init__(
        self,
        *,
        node_id: NodeId,
        upstream_id: UpstreamId,
        domain: DomainId,
        upstream: Upstream,
        revision_cache: RevisionCache,
        clock: Clock,
        pull_revision: PullRevision = pull_no_revision,
        read_lease_number: ReadLeaseNumber = raise_no_platform,
        answers: AnswerStore | None = None,
        boot_id: BootId | None = None,
        probe_period_s: float = PROBE_PERIOD_S,
    ):
        self.upstream = upstream
        self.revision_cache = revision_cache
        self.clock = clock
        self.pull_revision = pull_revision
        self.probe_period_s = probe_period_s
        self.tables = AgentTables(
            node_id=node_id,
            upstream_id=upstream_id,
            domain=domain,
            boot_id=boot_id or BootId(secrets.token_hex(8)),
        )
        self.feed = AnswerFeed(self.tables, answers if answers is not None else AnswerStore())
        self._admission = AdmissionSystem()
        self._order_forwarder = OrderForwarder(upstream, read_lease_number)
        self._runners: dict[AttemptId, AttemptRunner] = {}
        self._nursery: trio.Nursery | None = None
        self.apply_view()

    async def run_tasks(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Run the attempts, probes and expiry until cancelled.

        ``task_status`` is started after the first probe of the upstream.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._probe_once()
            nursery.start_soon(self._probe_forever)
            nursery.start_soon(self._expire_forever)
            task_status.started()

    async def run(self, req: RunRequest) -> AsyncIterator[RunEvent]:
        """Run an attempt, or attach to it if it has already been started."""
        refused = await self._admit(req)
        if refused is not None:
            yield refused
            return
        async with aclosing(self.feed.follow(req.attempt_id, 0)) as events:
            async for event in events:
                yield event

    async def resume(self, req: ResumeRequest) -> AsyncIterator[RunEvent]:
        """Yield the frames of a known attempt starting at ``from_seq``, then its end."""
        async with aclosing(self.feed.follow(req.attempt_id, req.from_seq)) as events:
            async for event in events:
                yield event

    async def cancel(self, req: CancelRequest) -> Empty:
        """Cancel an attempt and the call to the upstream."""
        runner = self._runners.get(req.attempt_id)
        if runner is not None:
            runner.cancel()
        else:
            # A cancellation may arrive before the attempt itself.
            now = self.clock.now()
            self.tables.guard.refuse(req.attempt_id, deadline=now + EARLY_CANCEL_TTL_S, now=now)
        self.tables.bills.cancel(req.attempt_id)
        return Empty()

    async def fence(self, req: FenceRequest) -> FenceReply:
        """Prevent an unstarted attempt from ever starting; return whether it ran, if known."""
        guard = self.tables.guard
        ran = guard.fence(
            req.attempt_id, boot_id=req.boot_id, deadline=req.deadline, now=self.clock.now()
        )
        return FenceReply(req.attempt_id, ran, self.tables.boot_id)

    def record_rate(self, rate_per_s: float | None) -> None:
        """Record the rate of requests that an answer of the upstream names, or that it names none.

        Parameters
        ----------
        rate_per_s : float or None
            Requests per second.
        """
        if self.tables.named_limit.record_answer(rate_per_s):
            logger.info("the upstream names a limit of %s requests a second", rate_per_s)

    async def report(self, req: Empty) -> LoadReport:
        """Return the current load and state of the upstream."""
        tables = self.tables
        view = tables.view
        return LoadReport(
            upstream_id=tables.upstream_id,
            boot_id=tables.boot_id,
            state=tables.state,
            in_flight=tables.limiter.in_flight,
            limit=tables.limiter.limit,
            queued=0,
            ewma_service_s=tables.limiter.ewma_service_s,
            revision=view.revision if view else Revision(0),
            at=self.clock.now(),
            serves=tables.serves,
            loaded=tables.loaded,
            crashes=tuple(tables.crashes),
            wait_s=tables.named_limit.compute_wait_s(self.clock.now()),
        )

    async def push_config(self, req: ConfigPush) -> ConfigAck:
        """Apply a revision; an older one is ignored and the reply has the newer number."""
        ack = self.revision_cache.apply_push(req)
        self.apply_view()
        return ack

    async def pull_config(self, req: ConfigAck) -> ConfigPush:
        """Return the newest cached revision."""
        return self.revision_cache.make_push(req.revision)

    async def notify(self, req: Notice) -> NoticeAck:
        """Store a notice and return whether it was new."""
        return NoticeAck(self.tables.merge_notice(req))

    async def list_bills(self, req: Empty) -> BillsReply:
        """Return the bills whose acknowledgement is overdue, or all owed bills during a drain."""
        tables = self.tables
        return BillsReply(tables.bills.list_due(self.clock.now(), is_draining=tables.is_draining))

    async def acknowledge_bills(self, req: BillsAck) -> Empty:
        """Remove bills that are in the ledger."""
        self.tables.bills.acknowledge(req.request_ids)
        return Empty()

    async def order_upstream(self, req: UpstreamOrder) -> UpstreamOrderReply:
        """Forward an order to the engine; an order with an outdated number is refused.

        A version is not unloaded while attempts with it are running.
        """
        if req.action is UpstreamOrderAction.UNLOAD and self.tables.is_running(req.version):
            return UpstreamOrderReply(False, req.number, code=ErrorCode.NOT_READY.name)
        return await self._order_forwarder.forward_order(req)

    async def drain(self, limit_s: float) -> bool:
        """Refuse new attempts, finish the running ones and deliver the bills.

        Parameters
        ----------
        limit_s : float
            Maximum time in seconds; attempts that are still running after it are cancelled when
            the agent stops.

        Returns
        -------
        bool
            Whether all attempts were finished and all bills were acknowledged.
        """
        self.tables.is_draining = True
        with trio.move_on_after(limit_s):
            while not self._is_drained:
                await trio.sleep(DRAIN_POLL_S)
        if not self._is_drained:
            logger.warning(
                "drain timed out with %d attempts, %d readers and %d bills left",
                len(self._runners),
                self.feed.n_readers,
                len(self.tables.bills),
            )
        return self._is_drained

    @property
    def _is_drained(self) -> bool:
        return not (self._runners or self.feed.n_readers or len(self.tables.bills))

    async def _admit(self, req: RunRequest) -> Refused | None:
        try:
            await self._pull_if_behind(req)
            if self.feed.answers.get(req.attempt_id) is None:
                self._start(req)
        except RefusedError as exc:
            return self._admission.refuse(self.tables, req, exc, self.clock.now())
        return None

    async def _pull_if_behind(self, req: RunRequest) -> None:
        if not self._admission.is_behind(self.tables, req):
            return
        try:
            self._admission.check(self.tables, req)
        except RefusedError as exc:
            if exc.code is ErrorCode.STALE_REVISION:
                await self._pull_revision(req)

    async def _pull_revision(self, req: RunRequest) -> None:
        with trio.move_on_after(PULL_TIMEOUT_S):
            try:
                await self.pull_revision(req.revision)
            except CrocusvalveError as exc:
                logger.info("pulling a newer revision failed: %s", exc)
        self.apply_view()

    def _start(self, req: RunRequest) -> None:
        """Admit and start an attempt, without a trio checkpoint in between."""
        if self._nursery is None:
            raise RefusedError(ErrorCode.NOT_READY, "the agent is still starting", step="agent")
        now = self.clock.now()
        row = self._admission.admit(self.tables, req, now)
        buffer = self.feed.open(req.attempt_id)
        runner = AttemptRunner(
            tables=self.tables,
            row=row,
            buffer=buffer,
            upstream=self.upstream,
            clock=self.clock,
            wake=lambda: self.feed.wake(req.attempt_id),
        )
        buffer.on_read = runner.handle_read
        self._runners[req.attempt_id] = runner
        self._nursery.start_soon(self._run_attempt, runner)

    async def _run_attempt(self, runner: AttemptRunner) -> None:
        attempt_id = runner.row.req.attempt_id
        try:
            await runner.run()
        finally:
            del self._runners[attempt_id]
            del self.tables.runs[attempt_id]

    def apply_view(self) -> None:
        """Put the newest cached revision in force."""
        if self.revision_cache.view is not None:
            self.tables.apply_view(self.revision_cache.view)

    async def _probe_once(self) -> None:
        report = await self.upstream.probe()
        self.tables.handle_health_report(report, self.clock.now())
        if report.is_up:
            await self._update_loaded_versions()

    async def _update_loaded_versions(self) -> None:
        """Read which versions are loaded; keep the previous value if the engine does not answer."""
        try:
            is_engine = self.tables.is_engine
            self.tables.loaded = await self.upstream.list_loaded() if is_engine else None
        except UpstreamError as exc:
            logger.info("reading the loaded versions failed: %s", exc)

    async def _probe_forever(self) -> None:
        while True:
            await trio.sleep(self.probe_period_s)
            await self._probe_once()

    async def _expire_forever(self) -> None:
        while True:
            await trio.sleep(EXPIRY_PERIOD_S)
            self.expire(self.clock.now())

    def expire(self, now: float) -> None:
        """Remove answers and attempts that are too old to be requested again."""
        self.feed.expire(now)
        self.tables.guard.expire(now)
