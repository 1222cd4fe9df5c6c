"""The agent: the only door to its upstream."""

import logging
import secrets
from collections.abc import AsyncIterator
from contextlib import aclosing

import trio

from crocusvalve.agent._admission import AdmissionSystem
from crocusvalve.agent._feed import AnswerFeed
from crocusvalve.agent._order_door import OrderDoor, ReadNumber, read_no_number
from crocusvalve.agent._revisions import LearnRevision, RevisionKeeper, learn_nothing
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
CANCEL_MEMORY_S = 60.0
LEARN_TIMEOUT_S = 0.5


class Agent(AgentService):
    """Checks, runs and remembers the attempts of one upstream.

    ``run_tasks`` must be running while the agent serves.

    Parameters
    ----------
    node_id, upstream_id, domain : str
        The agent, its upstream and its failure domain.
    upstream : Upstream
        The upstream.
    keeper : RevisionKeeper
        The newest revision.
    clock : Clock
        Source of the present time.
    learn_revision : callable
        Pulls a newer revision from the entries.
    read_number : callable
        Reads the number of the controller's lease from the platform's service.
    answers : AnswerStore or None
        Buffers of answers; None makes a store with its default bounds.
    boot_id : BootId or None
        Identity of this run; None makes a random one.
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
        keeper: RevisionKeeper,
        clock: Clock,
        learn_revision: LearnRevision = learn_nothing,
        read_number: ReadNumber = read_no_number,
        answers: AnswerStore | None = None,
        boot_id: BootId | None = None,
        probe_period_s: float = PROBE_PERIOD_S,
    ):
        self.upstream = upstream
        self.keeper = keeper
        self.clock = clock
        self.learn_revision = learn_revision
        self.probe_period_s = probe_period_s
        self.tables = AgentTables(
            node_id=node_id,
            upstream_id=upstream_id,
            domain=domain,
            boot_id=boot_id or BootId(secrets.token_hex(8)),
        )
        self.feed = AnswerFeed(self.tables, answers if answers is not None else AnswerStore())
        self._admission = AdmissionSystem()
        self._orders = OrderDoor(upstream, read_number)
        self._runners: dict[AttemptId, AttemptRunner] = {}
        self._nursery: trio.Nursery | None = None
        self.apply_view()

    async def run_tasks(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Run the attempts, probes and expiry until cancelled; started after the first probe."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._probe_once()
            nursery.start_soon(self._probe_forever)
            nursery.start_soon(self._expire_forever)
            task_status.started()

    async def run(self, req: RunRequest) -> AsyncIterator[RunEvent]:
        """Run an attempt, or attach to it where it was started before."""
        refused = await self._admit(req)
        if refused is not None:
            yield refused
            return
        async with aclosing(self.feed.follow(req.attempt_id, 0)) as events:
            async for event in events:
                yield event

    async def resume(self, req: ResumeRequest) -> AsyncIterator[RunEvent]:
        """Yield the frames of a known attempt from a sequence number on, then its end."""
        async with aclosing(self.feed.follow(req.attempt_id, req.from_seq)) as events:
            async for event in events:
                yield event

    async def cancel(self, req: CancelRequest) -> Empty:
        """Cancel an attempt and the call to the upstream."""
        runner = self._runners.get(req.attempt_id)
        if runner is not None:
            runner.cancel()
        else:
            # A cancellation may overtake the attempt itself.
            now = self.clock.now()
            self.tables.guard.refuse(req.attempt_id, deadline=now + CANCEL_MEMORY_S, now=now)
        self.tables.bills.cancel(req.attempt_id)
        return Empty()

    async def fence(self, req: FenceRequest) -> FenceReply:
        """Forbid an attempt that was not begun; tell what is known of it."""
        guard = self.tables.guard
        ran = guard.fence(
            req.attempt_id, boot_id=req.boot_id, deadline=req.deadline, now=self.clock.now()
        )
        return FenceReply(req.attempt_id, ran, self.tables.boot_id)

    async def report(self, req: Empty) -> LoadReport:
        """Return the present load."""
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
        )

    async def push_config(self, req: ConfigPush) -> ConfigAck:
        """Take a revision; an older one is ignored and the newer number is returned."""
        ack = self.keeper.apply_push(req)
        self.apply_view()
        return ack

    async def pull_config(self, req: ConfigAck) -> ConfigPush:
        """Return the newest revision known."""
        return self.keeper.make_push(req.revision)

    async def notify(self, req: Notice) -> NoticeAck:
        """Take a notice."""
        return NoticeAck(self.tables.take_notice(req))

    async def list_bills(self, req: Empty) -> BillsReply:
        """Return the bills that should have been acknowledged by now."""
        tables = self.tables
        return BillsReply(tables.bills.list_due(self.clock.now(), is_draining=tables.is_draining))

    async def acknowledge_bills(self, req: BillsAck) -> Empty:
        """Forget bills that are in the ledger."""
        self.tables.bills.acknowledge(req.request_ids)
        return Empty()

    async def order_upstream(self, req: UpstreamOrder) -> UpstreamOrderReply:
        """Pass an order to the engine; one with an older number than the newest is refused.

        A version is not unloaded under the attempts that it runs.
        """
        if req.action is UpstreamOrderAction.UNLOAD and self.tables.is_running(req.version):
            return UpstreamOrderReply(False, req.number, code=ErrorCode.NOT_READY.name)
        return await self._orders.pass_order(req)

    async def drain(self, limit_s: float) -> bool:
        """Refuse new work, finish what runs and hand over the bills.

        Parameters
        ----------
        limit_s : float
            Longest time in seconds; what still runs then is cancelled.

        Returns
        -------
        bool
            Whether all work was finished and all bills were handed over.
        """
        self.tables.is_draining = True
        with trio.move_on_after(limit_s):
            while not self._is_drained:
                await trio.sleep(DRAIN_POLL_S)
        if not self._is_drained:
            logger.warning(
                "stopped with %d attempts, %d readers and %d bills left",
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
            await self._learn_if_behind(req)
            if self.feed.answers.get(req.attempt_id) is None:
                self._start(req)
        except RefusedError as exc:
            return self._admission.refuse(self.tables, req, exc, self.clock.now())
        return None

    async def _learn_if_behind(self, req: RunRequest) -> None:
        if not self._admission.is_behind(self.tables, req):
            return
        try:
            self._admission.check(self.tables, req)
        except RefusedError as exc:
            if exc.code is ErrorCode.STALE_REVISION:
                await self._learn(req)

    async def _learn(self, req: RunRequest) -> None:
        with trio.move_on_after(LEARN_TIMEOUT_S):
            try:
                await self.learn_revision(req.revision)
            except CrocusvalveError as exc:
                logger.info("no newer revision: %s", exc)
        self.apply_view()

    def _start(self, req: RunRequest) -> None:
        """Admit and start an attempt without a checkpoint in between."""
        if self._nursery is None:
            raise RefusedError(ErrorCode.NOT_READY, "the agent is starting", step="agent")
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
        buffer.on_read = runner.note_read
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
        """Put the keeper's newest revision in force."""
        if self.keeper.view is not None:
            self.tables.apply_view(self.keeper.view)

    async def _probe_once(self) -> None:
        report = await self.upstream.probe()
        self.tables.note_health(report, self.clock.now())
        if report.is_up:
            await self._read_loaded()

    async def _read_loaded(self) -> None:
        """Read which versions are loaded; what was known stands while the engine is silent."""
        try:
            is_engine = self.tables.is_engine
            self.tables.loaded = await self.upstream.list_loaded() if is_engine else None
        except UpstreamError as exc:
            logger.info("loaded versions are not known: %s", exc)

    async def _probe_forever(self) -> None:
        while True:
            await trio.sleep(self.probe_period_s)
            await self._probe_once()

    async def _expire_forever(self) -> None:
        while True:
            await trio.sleep(EXPIRY_PERIOD_S)
            self.expire(self.clock.now())

    def expire(self, now: float) -> None:
        """Forget what is too old to be asked for."""
        self.feed.expire(now)
        self.tables.guard.expire(now)
