"""Runs attempts on agents and passes the events of their streams to the core."""

import logging
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

import trio

from crocusvalve.base import AttemptId, ExecutionStatus
from crocusvalve.entry._agents import AgentPool
from crocusvalve.entry._commands import CancelAttempt, ResumeAttempt, StartAttempt
from crocusvalve.exceptions import CrocusvalveError, ErrorCode
from crocusvalve.rpc import (
    CancelRequest,
    ConnectError,
    Frame,
    Refused,
    ResumeRequest,
    RpcError,
    RunEvent,
)
from crocusvalve.utils import Clock

__all__ = ["AttemptRunner", "make_broken_stream_event"]

logger = logging.getLogger(__name__)

FeedEvent = Callable[[AttemptId, RunEvent], None]


def make_broken_stream_event(attempt_id: AttemptId, exc: RpcError) -> Refused:
    """Make the refusal that represents a stream that could not be opened or that broke.

    An attempt whose connection failed was not run; after any other error it may have run.
    """
    is_unsent = isinstance(exc, ConnectError)
    return Refused(
        attempt_id=attempt_id,
        code=ErrorCode.UPSTREAM_DOWN.name,
        message=exc.message,
        ran=ExecutionStatus.NOT_RUN if is_unsent else ExecutionStatus.UNKNOWN,
        step=exc.step,
        peer=exc.peer,
    )


class AttemptRunner:
    """Starts, resumes and cancels attempts at agents.

    Parameters
    ----------
    pool : AgentPool
        RPC clients of the agents.
    feed : callable
        Called with the ID of an attempt and each of its events.
    clock : Clock
        Source of the current time.
    """

    def __init__(self, *, pool: AgentPool, feed: FeedEvent, clock: Clock):
        self.pool = pool
        self.feed = feed
        self.clock = clock

    async def start(self, cmd: StartAttempt) -> None:
        """Run an attempt until it ends or its stream breaks; a break is passed on as a refusal."""
        attempt_id = cmd.run.attempt_id
        stream = self.pool.get(cmd.address).run(cmd.run)
        error = await self.follow(cmd.address, attempt_id, stream)
        if error is not None:
            self.feed(attempt_id, make_broken_stream_event(attempt_id, error))

    async def resume(self, cmd: ResumeAttempt) -> None:
        """Request the rest of an attempt whose stream broke."""
        await trio.sleep(max(0.0, cmd.not_before - self.clock.now()))
        req = ResumeRequest(cmd.attempt_id, cmd.from_seq)
        stream = self.pool.get(cmd.address).resume(req)
        error = await self.follow(cmd.address, cmd.attempt_id, stream)
        if error is not None:
            self.feed(cmd.attempt_id, make_broken_stream_event(cmd.attempt_id, error))

    async def cancel(self, cmd: CancelAttempt) -> None:
        """Cancel an attempt at its agent; a cancellation that does not arrive only wastes work."""
        try:
            await self.pool.get(cmd.address).cancel(CancelRequest(cmd.attempt_id))
        except CrocusvalveError as exc:
            logger.info("failed to cancel attempt %s: %s", cmd.attempt_id, exc)

    async def follow(
        self, address: str, attempt_id: AttemptId, stream: AsyncIterator[RunEvent]
    ) -> RpcError | None:
        """Feed a stream's events; return the error if it broke before the attempt's end."""
        scope = self.pool.open_scope(address)
        try:
            with scope:
                if await self._feed_all(attempt_id, stream):
                    return None
            is_silent = scope.cancelled_caught
            message = (
                "the agent stopped responding"
                if is_silent
                else "the stream ended before the attempt did"
            )
            return RpcError(message, step="run", peer=address)
        except RpcError as exc:
            return exc
        finally:
            self.pool.close_scope(address, scope)

    async def _feed_all(self, attempt_id: AttemptId, stream: AsyncIterator[RunEvent]) -> bool:
        """Feed events up to the attempt's end; return whether the end was received."""
        has_ended = False
        async with aclosing(stream) as events:
            # Reads on to the end of the stream: closing it earlier would reset it at the agent.
            async for event in events:
                if not has_ended:
                    has_ended = not isinstance(event, Frame)
                    self.feed(attempt_id, event)
        return has_ended
