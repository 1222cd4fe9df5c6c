"""Runs attempts on agents and turns what happens to a stream into events of the core."""

import logging
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

import trio

from crocusvalve.base import AttemptId, Ran
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
    """Make the event of a stream that could not be opened, or that broke."""
    is_unsent = isinstance(exc, ConnectError)
    return Refused(
        attempt_id=attempt_id,
        code=ErrorCode.UPSTREAM_DOWN.name,
        message=exc.message,
        ran=Ran.NOT_RUN if is_unsent else Ran.UNKNOWN,
        step=exc.step,
        peer=exc.peer,
    )


class AttemptRunner:
    """Carries attempts to agents.

    Parameters
    ----------
    pool : AgentPool
        Channels to the agents.
    feed : callable
        Takes the events of an attempt.
    clock : Clock
        Source of the present time.
    """

    def __init__(self, *, pool: AgentPool, feed: FeedEvent, clock: Clock):
        self.pool = pool
        self.feed = feed
        self.clock = clock

    async def start(self, cmd: StartAttempt) -> None:
        """Run an attempt until its end, or until its stream breaks."""
        attempt_id = cmd.run.attempt_id
        stream = self.pool.get(cmd.address).run(cmd.run)
        error = await self.follow(cmd.address, attempt_id, stream)
        if error is not None:
            self.feed(attempt_id, make_broken_stream_event(attempt_id, error))

    async def resume(self, cmd: ResumeAttempt) -> None:
        """Ask for the rest of an attempt whose stream broke."""
        await trio.sleep(max(0.0, cmd.not_before - self.clock.now()))
        req = ResumeRequest(cmd.attempt_id, cmd.from_seq)
        stream = self.pool.get(cmd.address).resume(req)
        error = await self.follow(cmd.address, cmd.attempt_id, stream)
        if error is not None:
            self.feed(cmd.attempt_id, make_broken_stream_event(cmd.attempt_id, error))

    async def cancel(self, cmd: CancelAttempt) -> None:
        """Cancel an attempt at its agent; a lost cancel only costs work."""
        try:
            await self.pool.get(cmd.address).cancel(CancelRequest(cmd.attempt_id))
        except CrocusvalveError as exc:
            logger.info("attempt %s could not be cancelled: %s", cmd.attempt_id, exc)

    async def follow(
        self, address: str, attempt_id: AttemptId, stream: AsyncIterator[RunEvent]
    ) -> RpcError | None:
        """Feed a stream's events; return the error where it broke before the attempt's end."""
        scope = self.pool.open_scope(address)
        try:
            with scope:
                if await self._feed_all(attempt_id, stream):
                    return None
            is_silent = scope.cancelled_caught
            message = "the agent fell silent" if is_silent else "the stream ended early"
            return RpcError(message, step="run", peer=address)
        except RpcError as exc:
            return exc
        finally:
            self.pool.close_scope(address, scope)

    async def _feed_all(self, attempt_id: AttemptId, stream: AsyncIterator[RunEvent]) -> bool:
        """Feed events up to the attempt's end; tell whether the end was there."""
        has_ended = False
        async with aclosing(stream) as events:
            # Read to the stream's own end: leaving early would reset it at the agent.
            async for event in events:
                if not has_ended:
                    has_ended = not isinstance(event, Frame)
                    self.feed(attempt_id, event)
        return has_ended
