"""Orders at an entry: non-idempotent requests, each run at most once under a stored claim."""

import logging
import math
from collections.abc import Callable

import trio

from crocusvalve.base import ExecutionStatus, NodeId, RequestId, UpstreamId, VersionRef
from crocusvalve.billing import compute_cost
from crocusvalve.config._view import get_model_ref
from crocusvalve.entry._commands import AnswerSummary, StartAttempt
from crocusvalve.entry._core import EntryCore
from crocusvalve.entry._digests import compute_request_digest
from crocusvalve.entry._handle import AnswerPart, RequestHandle
from crocusvalve.exceptions import CrocusvalveError, ErrorCode, InvariantError, RefusedError
from crocusvalve.model import RequestRow
from crocusvalve.orders import AttemptRecord, OrderOutcome, OrderRunner, OrderSpec, OutcomeKind
from crocusvalve.rpc import RunRequest
from crocusvalve.utils import Clock

__all__ = ["OrderCall", "OrderManager"]

logger = logging.getLogger(__name__)

STEP = "order"
#: Executes the commands that the core returns when an order changes its tables.
Dispatch = Callable[[list], None]


class OrderCall:
    """One run of an order: receives its placements from the core and holds its handle.

    Parameters
    ----------
    req : RequestRow
        The order's request row.
    """

    def __init__(self, req: RequestRow):
        self.req = req
        self.handle = RequestHandle(req.request_id)
        self.refusal: RefusedError | None = None
        self.run: RunRequest | None = None
        self.started_at = 0.0
        self._send, self._receive = trio.open_memory_channel[StartAttempt | None](math.inf)

    def set_placement(self, cmd: StartAttempt) -> None:
        """Pass on the placement that the core found."""
        self._send.send_nowait(cmd)

    def set_refusal(self, error: RefusedError) -> None:
        """Pass on the core's refusal: no placement will follow."""
        self.refusal = error
        self._send.send_nowait(None)

    async def wait_for_placement(self) -> StartAttempt | None:
        """Wait for the placement and return it, or None if the core refused the order."""
        return await self._receive.receive()


class OrderManager:
    """Runs orders to their end; an order continues if its caller disconnects.

    Parameters
    ----------
    runner : OrderRunner
        Runs one order: claims it in the store, sends its attempts and settles the claim.
    core : EntryCore
        Core of the entry, which places the attempts.
    dispatch : callable
        Executes the core's commands.
    on_answered, on_refused : callable
        Called when an order ends, for bills, metrics and logs. ``on_answered`` also receives
        whether the answer is a replay of a recorded one.
    clock : Clock
        Source of the current time.
    """

    def __init__(
        self,
        *,
        runner: OrderRunner,
        core: EntryCore,
        dispatch: Dispatch,
        on_answered: Callable[[RequestRow, AnswerSummary, bool], None],
        on_refused: Callable[[RequestRow, CrocusvalveError], None],
        clock: Clock,
    ):
        self.runner = runner
        self.core = core
        self.dispatch = dispatch
        self.on_answered = on_answered
        self.on_refused = on_refused
        self.clock = clock
        self._calls: dict[RequestId, OrderCall] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def open(self, req: RequestRow) -> OrderCall:
        """Create and register the call of an order; ``run`` executes it."""
        call = OrderCall(req)
        self._calls[req.request_id] = call
        return call

    def find(self, request_id: RequestId) -> OrderCall | None:
        """Return the call of an order in progress, or None."""
        return self._calls.get(request_id)

    async def run(self, call: OrderCall) -> None:
        """Run an order to its end and send the outcome to its caller."""
        req = call.req
        try:
            outcome = await self._run_flow(call)
            self._send_outcome(call, outcome)
        except CrocusvalveError as exc:
            logger.error("order %s failed: %s", req.request_id, exc)
            error = RefusedError(exc.code, exc.message, step=STEP, ran=ExecutionStatus.UNKNOWN)
            self._refuse(call, error)
        finally:
            self._calls.pop(req.request_id, None)
            self._end_attempt(call, is_success=False)
            self.core.remove_order(req.request_id, self.clock.now())
        # The caller has its outcome; once the claim is settled, a repeat with the same key gets the
        # recorded outcome.
        await self.runner.settler.settle()

    async def _run_flow(self, call: OrderCall) -> OrderOutcome:
        req = call.req
        spec = OrderSpec(
            customer_id=req.customer_id,
            key=req.idempotency_key,
            body_digest=compute_request_digest(req),
            request_id=req.request_id,
            entry_id=NodeId(self.core.node_id),
            deadline=req.deadline,
            max_attempts=req.max_attempts,
        )

        async def place(avoid: frozenset[UpstreamId], now: float) -> AttemptRecord | None:
            return await self._place(call, avoid, now)

        return await self.runner.run(
            spec, place=place, make_request=lambda attempt: self._get_run(call, attempt)
        )

    @staticmethod
    def _get_run(call: OrderCall, attempt: AttemptRecord) -> RunRequest:
        if call.run is None or call.run.attempt_id != attempt.attempt_id:
            raise InvariantError(f"attempt {attempt.attempt_id} was not placed", step=STEP)
        return call.run

    async def _place(
        self, call: OrderCall, avoid: frozenset[UpstreamId], now: float
    ) -> AttemptRecord | None:
        self._end_attempt(call, is_success=False)
        try:
            self.dispatch(self.core.place_order(call.req, avoid, now))
        except RefusedError as exc:
            call.refusal = exc
            return None
        cmd = await call.wait_for_placement()
        if cmd is None:
            return None
        call.run = cmd.run
        call.started_at = self.clock.now()
        return AttemptRecord(
            attempt_id=cmd.run.attempt_id,
            upstream_id=cmd.run.upstream_id,
            agent=cmd.address,
            boot_id=cmd.run.boot_id,
            deadline=cmd.run.deadline,
            version=cmd.run.version,
        )

    def _end_attempt(self, call: OrderCall, *, is_success: bool) -> None:
        if call.run is None:
            return
        now = self.clock.now()
        service_s = now - call.started_at if is_success else None
        self.dispatch(self.core.end_order_attempt(call.run.attempt_id, service_s, now))
        call.run = None

    def _send_outcome(self, call: OrderCall, outcome: OrderOutcome) -> None:
        if outcome.kind is not OutcomeKind.ANSWERED:
            self._refuse(call, self._make_error(call, outcome))
            return
        version = call.run.version if call.run else VersionRef("")
        summary = self._make_summary(call.req, outcome, version)
        self._end_attempt(call, is_success=True)
        self.on_answered(call.req, summary, outcome.is_replay)
        if outcome.answer.body:
            call.handle.put(AnswerPart(version, summary.upstream_id, outcome.answer.body))
        call.handle.put(summary)

    def _make_summary(
        self, req: RequestRow, outcome: OrderOutcome, version: VersionRef
    ) -> AnswerSummary:
        answer = outcome.answer
        cost = compute_cost(self.core.tables.view, version, req.service, answer.usage)
        return AnswerSummary(
            request_id=req.request_id,
            model=get_model_ref(version),
            version=version,
            upstream_id=answer.upstream_id,
            usage=answer.usage,
            cost=0.0 if outcome.is_replay else cost,
            n_attempts=req.n_attempts,
            finish_reason=answer.finish_reason or "stop",
            status=answer.status,
            content_type=answer.content_type,
        )

    @staticmethod
    def _make_error(call: OrderCall, outcome: OrderOutcome) -> RefusedError:
        if (
            outcome.ran is ExecutionStatus.NOT_RUN
            and outcome.code is ErrorCode.NO_UPSTREAM
            and call.refusal
        ):
            return call.refusal
        return RefusedError(
            outcome.code,
            outcome.message,
            step=STEP,
            peer=outcome.peer,
            ran=outcome.ran,
            retry_after_s=outcome.retry_after_s,
        )

    def _refuse(self, call: OrderCall, error: RefusedError) -> None:
        self.on_refused(call.req, error)
        call.handle.put(error)
