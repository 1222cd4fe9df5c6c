"""Executes the commands of an order's flow: calls the store and the agents."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing

import trio
from msgspec.structs import replace

from crocusvalve.answers import AnswerAssembler
from crocusvalve.base import ClassKind, Command, UpstreamId
from crocusvalve.exceptions import CrocusvalveError, InvariantError, PlatformError
from crocusvalve.orders import _events as ev
from crocusvalve.orders._claim import AttemptRecord, ClaimStore, OrderAnswer
from crocusvalve.orders._flow import OrderFlow
from crocusvalve.orders._settler import ClaimSettler
from crocusvalve.orders._spec import OrderSpec
from crocusvalve.rpc import (
    AgentService,
    ConnectError,
    FenceRequest,
    Final,
    Frame,
    Refused,
    ResumeRequest,
    RpcError,
    RunEvent,
    RunRequest,
)
from crocusvalve.utils import Clock

__all__ = ["OrderRunner"]

STORE_TIMEOUT_S = 1.5

#: Chooses an upstream outside a set and creates an attempt on it; None if no upstream is left.
#: The second argument is the current time in Unix seconds.
PlaceOrder = Callable[[frozenset[UpstreamId], float], Awaitable[AttemptRecord | None]]
#: Makes the request that is sent to the agent for an attempt.
MakeRequest = Callable[[AttemptRecord], RunRequest]


class OrderRunner:
    """Runs the orders of one entry.

    Parameters
    ----------
    store : ClaimStore
        Store of the claims.
    settler : ClaimSettler
        Writes claims later that the store did not confirm during the call.
    get_agent : callable
        Returns the client of an attempt's agent.
    clock : Clock
        Source of the current time.
    store_timeout_s : float
        Longest wait for one call of the store, in seconds. An order whose claim isn't confirmed in
        this time is refused as not run.
    """

    def __init__(
        self,
        *,
        store: ClaimStore,
        settler: ClaimSettler,
        get_agent: Callable[[AttemptRecord], AgentService],
        clock: Clock,
        store_timeout_s: float = STORE_TIMEOUT_S,
    ):
        self.store = store
        self.settler = settler
        self.get_agent = get_agent
        self.clock = clock
        self.store_timeout_s = store_timeout_s

    async def run(
        self, spec: OrderSpec, *, place: PlaceOrder, make_request: MakeRequest
    ) -> ev.OrderOutcome:
        """Run one order and return the outcome for its caller; failures don't raise."""
        flow = OrderFlow(spec)
        call = _Call(self, spec, place, make_request)
        command = flow.start(self.clock.now())
        while not isinstance(command, ev.Reply):
            event: ev.OrderEvent = ev.DeadlinePassed()
            with trio.move_on_after(max(0.0, spec.deadline - self.clock.now())):
                event = await call.perform(command)
            command = flow.handle(event, self.clock.now())
        if command.unwritten_claim is not None:
            self.settler.add(command.unwritten_claim)
        return command.outcome


class _Call:
    """Executes the commands of one flow; retains the partly received answer between them."""

    def __init__(
        self, runner: OrderRunner, spec: OrderSpec, place: PlaceOrder, make_request: MakeRequest
    ):
        self._runner = runner
        self._spec = spec
        self._place = place
        self._make_request = make_request
        self._assembler: AnswerAssembler | None = None
        self._frame_data: list[bytes] = []

    async def perform(self, command: Command) -> ev.OrderEvent:
        """Execute a command and return the event that results from it."""
        match command:
            case ev.PlaceAttempt():
                return ev.AttemptPlaced(await self._place(command.avoid, self._runner.clock.now()))
            case ev.SendAttempt():
                return await self._send(command.attempt)
            case ev.ResumeAttempt():
                return await self._resume(command.attempt)
            case ev.FenceAttempt():
                await trio.sleep(command.delay_s)
                return await self._fence(command.attempt)
        return await self._call_store(command)

    async def _call_store(self, command: Command) -> ev.OrderEvent:
        store = self._runner.store
        spec = self._spec
        with trio.move_on_after(self._runner.store_timeout_s):
            try:
                match command:
                    case ev.FindClaim():
                        return ev.ClaimFound(await store.find(spec.customer_id, spec.key))
                    case ev.InsertClaim():
                        return ev.ClaimWritten(await store.insert(command.claim))
                    case ev.UpdateClaim():
                        result = await store.update(command.claim, command.version)
                        return ev.ClaimWritten(result)
            except PlatformError:
                return ev.StoreFailed()
            raise InvariantError(f"unexpected command {command!r}", step="order")
        return ev.StoreFailed()

    async def _send(self, attempt: AttemptRecord) -> ev.OrderEvent:
        self._reset_assembly(attempt)
        agent = self._runner.get_agent(attempt)
        req = replace(
            self._make_request(attempt),
            attempt_id=attempt.attempt_id,
            upstream_id=attempt.upstream_id,
            boot_id=attempt.boot_id,
            deadline=attempt.deadline,
            kind=ClassKind.ORDER,
        )
        try:
            return await self._collect(attempt, agent.run(req))
        except ConnectError:
            return ev.AttemptNotSent()

    async def _resume(self, attempt: AttemptRecord) -> ev.OrderEvent:
        if self._assembler is None or self._assembler.attempt_id != attempt.attempt_id:
            self._reset_assembly(attempt)
        agent = self._runner.get_agent(attempt)
        req = ResumeRequest(attempt.attempt_id, self._assembler.next_seq)
        try:
            return await self._collect(attempt, agent.resume(req))
        except ConnectError:
            return ev.AttemptInterrupted()

    async def _fence(self, attempt: AttemptRecord) -> ev.OrderEvent:
        agent = self._runner.get_agent(attempt)
        req = FenceRequest(attempt.attempt_id, attempt.boot_id, attempt.deadline)
        try:
            reply = await agent.fence(req)
        except RpcError:
            return ev.FenceFailed()
        return ev.FenceAnswered(reply)

    def _reset_assembly(self, attempt: AttemptRecord) -> None:
        self._assembler = AnswerAssembler(attempt.attempt_id, peer=attempt.upstream_id)
        self._frame_data = []

    async def _collect(
        self, attempt: AttemptRecord, events: AsyncIterator[RunEvent]
    ) -> ev.OrderEvent:
        try:
            async with aclosing(events):
                async for event in events:
                    accepted = self._assembler.accept(event)
                    if isinstance(accepted, Frame):
                        self._frame_data.append(accepted.data)
                    elif isinstance(accepted, Final):
                        return ev.AnswerArrived(self._make_answer(attempt, accepted))
                    elif isinstance(accepted, Refused):
                        return ev.AttemptRefused(accepted)
        except ConnectError:
            raise
        except RpcError:
            return ev.AttemptInterrupted()
        except CrocusvalveError:
            self._reset_assembly(attempt)
        return ev.AttemptInterrupted()

    def _make_answer(self, attempt: AttemptRecord, final: Final) -> OrderAnswer:
        return OrderAnswer(
            upstream_id=attempt.upstream_id,
            status=final.status,
            content_type=final.content_type,
            body=b"".join(self._frame_data),
            usage=final.usage,
            finish_reason=final.finish_reason,
        )
