"""Runtime of an entry: executes the core's commands and feeds it events."""

import logging
from collections.abc import Awaitable, Callable

import trio
from msgspec.structs import replace

from crocusvalve.base import AttemptId, Command, RequestId, VersionRef
from crocusvalve.billing import BillOutbox
from crocusvalve.entry._attempts import AttemptRunner
from crocusvalve.entry._commands import (
    AnswerSummary,
    CancelAttempt,
    Deliver,
    Finish,
    RateAnswer,
    Refuse,
    ReportInvariantError,
    ResumeAttempt,
    SampleAnswer,
    ShareQuarantine,
    StartAttempt,
)
from crocusvalve.entry._core import EntryCore
from crocusvalve.entry._guarded import run_once_guarded
from crocusvalve.entry._handle import AnswerPart, RequestHandle
from crocusvalve.entry._observe import RequestObserver
from crocusvalve.entry._order_manager import OrderManager
from crocusvalve.entry._raters import Rater
from crocusvalve.exceptions import CrocusvalveError, InvariantError
from crocusvalve.model import RequestRow
from crocusvalve.orders import OrderRunner
from crocusvalve.rpc import BillRecord, RunEvent
from crocusvalve.utils import Clock

__all__ = ["EntryRuntime", "make_bill"]

logger = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.05


class EntryRuntime:
    """Connects the core with tasks that do I/O; ``run`` must be running.

    Parameters
    ----------
    core : EntryCore
        Decides on requests, attempts and answers.
    clock : Clock
        Source of the current time.
    runner : AttemptRunner
        Runs attempts on agents.
    outbox : BillOutbox
        Receives the bills.
    orders : OrderRunner
        Runs an order: claims it, sends its attempts and settles the claim.
    rater : Rater
        Requests ratings of answers.
    observer : RequestObserver
        Records metrics and log lines about requests.
    share_quarantine : callable
        Notifies the other entries of a request digest that crashed an upstream.
    """

    def __init__(
        self,
        *,
        core: EntryCore,
        clock: Clock,
        runner: AttemptRunner,
        outbox: BillOutbox,
        orders: OrderRunner,
        rater: Rater,
        observer: RequestObserver,
        share_quarantine: Callable[[ShareQuarantine], None],
    ):
        self.core = core
        self.clock = clock
        self.runner = runner
        self.outbox = outbox
        self.order_manager = OrderManager(
            runner=orders,
            core=core,
            dispatch=self.dispatch,
            on_answered=self._record_order_answer,
            on_refused=self._record_order_refusal,
            clock=clock,
        )
        self.rater = rater
        self.observer = observer
        self.share_quarantine = share_quarantine
        self._handles: dict[RequestId, RequestHandle] = {}
        self._rows: dict[RequestId, RequestRow] = {}
        self._nursery: trio.Nursery | None = None
        self._handlers = {
            StartAttempt: self._start,
            ResumeAttempt: self._resume,
            CancelAttempt: self._cancel,
            Deliver: self._deliver,
            Finish: self._finish,
            Refuse: self._refuse,
            RateAnswer: self._rate,
            SampleAnswer: self._sample,
            ShareQuarantine: self.share_quarantine,
            ReportInvariantError: self._report_invariant,
        }

    @property
    def n_open(self) -> int:
        """Number of requests and orders not yet ended."""
        return len(self._handles) + len(self.order_manager)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Tick the core and run attempts until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(TICK_INTERVAL_S)
                self.tick()

    def tick(self) -> None:
        """Process what is due in the core, such as deadlines; reports a violated invariant."""
        try:
            self.dispatch(self.core.tick(self.clock.now()))
        except InvariantError as exc:
            self._report_invariant(ReportInvariantError(exc))

    def submit(self, req: RequestRow) -> RequestHandle:
        """Submit a request to the core, or start the flow of an order; return its handle.

        Raises
        ------
        RefusedError
            If it is refused immediately; the refusal of an order is raised by its handle.
        """
        limits = self.core.limits
        self.core.limits = replace(limits, can_bill=not self.outbox.is_full)
        if not req.is_repeatable:
            return self._submit_order(req)
        handle = RequestHandle(req.request_id)
        self._handles[req.request_id] = handle
        self._rows[req.request_id] = req
        try:
            commands = self.core.submit(req, self.clock.now())
        except CrocusvalveError as exc:
            del self._handles[req.request_id]
            del self._rows[req.request_id]
            self.observer.record_refusal(req, exc, self.clock.now())
            raise
        self.dispatch(commands)
        return handle

    def _submit_order(self, req: RequestRow) -> RequestHandle:
        call = self.order_manager.open(req)
        self._spawn(self.order_manager.run, call)
        return call.handle

    def abandon(self, request_id: RequestId) -> None:
        """Drop a request whose caller has disconnected; orders continue."""
        if request_id not in self._handles:
            return
        self._handles.pop(request_id)
        self._rows.pop(request_id)
        self.dispatch(self.core.abandon(request_id, self.clock.now()))

    def feed(self, attempt_id: AttemptId, event: RunEvent) -> None:
        """Pass an event of an attempt to the core."""
        self.dispatch(self.core.handle_event(attempt_id, event, self.clock.now()))

    def dispatch(self, commands: list[Command]) -> None:
        """Execute commands in order."""
        for command in commands:
            self._handlers[type(command)](command)

    def _spawn(self, task: Callable[..., Awaitable[None]], *args) -> None:
        """Start a task; if it fails, only it ends, and its request ends at its deadline."""
        name = getattr(task, "__qualname__", repr(task))
        self._nursery.start_soon(run_once_guarded, name, self._record_failure, task, *args)

    def _record_failure(self, name: str) -> None:
        self.observer.record_invariant_violation(
            InvariantError(f"task {name} failed", step="runtime")
        )

    def _start(self, cmd: StartAttempt) -> None:
        call = self.order_manager.find(cmd.run.request_id)
        if call is not None:
            call.set_placement(cmd)
            return
        self._spawn(self.runner.start, cmd)

    def _resume(self, cmd: ResumeAttempt) -> None:
        self._spawn(self.runner.resume, cmd)

    def _cancel(self, cmd: CancelAttempt) -> None:
        if cmd.address:
            self._spawn(self.runner.cancel, cmd)

    def _deliver(self, cmd: Deliver) -> None:
        handle = self._handles.get(cmd.request_id)
        if handle is None:
            return
        req = self._rows[cmd.request_id]
        if req.is_stream and not handle.has_parts:
            self.observer.record_first_part(req, self.clock.now())
        handle.put(AnswerPart(cmd.version, cmd.upstream_id, cmd.data))

    def _finish(self, cmd: Finish) -> None:
        handle = self._handles.pop(cmd.request_id, None)
        if handle is None:
            return
        req = self._rows.pop(cmd.request_id)
        now = self.clock.now()
        self.outbox.add(make_bill(req, cmd.summary, now))
        self.observer.record_answer(req, cmd.summary, now)
        handle.put(cmd.summary)

    def _refuse(self, cmd: Refuse) -> None:
        call = self.order_manager.find(cmd.request_id)
        if call is not None:
            call.set_refusal(cmd.error)
            return
        handle = self._handles.pop(cmd.request_id, None)
        if handle is None:
            return
        req = self._rows.pop(cmd.request_id)
        self.observer.record_refusal(req, cmd.error, self.clock.now())
        handle.put(cmd.error)

    def _record_order_answer(
        self, req: RequestRow, summary: AnswerSummary, is_replay: bool
    ) -> None:
        now = self.clock.now()
        if not is_replay:
            self.outbox.add(make_bill(req, summary, now))
        self.observer.record_answer(req, summary, now)

    def _record_order_refusal(self, req: RequestRow, error: CrocusvalveError) -> None:
        self.observer.record_refusal(req, error, self.clock.now())

    def _rate(self, cmd: RateAnswer) -> None:
        req = self._rows.get(cmd.request_id)
        if req is not None:
            self._spawn(self._rate_and_feed, cmd, req)

    async def _rate_and_feed(self, cmd: RateAnswer, req: RequestRow) -> None:
        score = await self.rater.rate(req, cmd.version, cmd.answer)
        self._count_missing_rating(score)
        await self._rate_control(req, cmd.version, cmd.answer)
        self.dispatch(self.core.handle_rating(cmd.request_id, score, self.clock.now()))

    def _sample(self, cmd: SampleAnswer) -> None:
        self._spawn(self._sample_and_learn, cmd)

    async def _sample_and_learn(self, cmd: SampleAnswer) -> None:
        score = await self.rater.rate(cmd.req, cmd.version, cmd.answer)
        self._count_missing_rating(score)
        await self._rate_control(cmd.req, cmd.version, cmd.answer)
        if score is not None:
            self.core.learn_from_rating(cmd.req, cmd.version, score, self.clock.now())

    def _count_missing_rating(self, score: float | None) -> None:
        if score is None:
            self.core.policies.estimator.trust.count_missing_rating()

    async def _rate_control(self, req: RequestRow, version: VersionRef, answer: bytes) -> None:
        estimator = self.core.policies.estimator
        if not estimator.trust.is_control_due():
            return
        score = await self.rater.rate_control(req, version, answer)
        if score is not None:
            estimator.record_control_rating(score)

    def _report_invariant(self, cmd: ReportInvariantError) -> None:
        logger.error("invariant violated: %s", cmd.error)
        self.observer.record_invariant_violation(cmd.error)


def make_bill(req: RequestRow, summary: AnswerSummary, now: float) -> BillRecord:
    """Create the only bill of a request, which was answered completely."""
    return BillRecord(
        request_id=req.request_id,
        customer_id=req.customer_id,
        class_name=req.class_name,
        version=summary.version,
        upstream_id=summary.upstream_id,
        usage=summary.usage,
        cost=summary.cost,
        n_attempts=summary.n_attempts,
        at=now,
    )
