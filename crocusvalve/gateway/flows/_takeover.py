"""Takeover of a silent stream by another upstream, while the silent one may still go on."""

from abc import ABC, abstractmethod

import trio
from msgspec import Struct

from crocusvalve.gateway.upstreams._stream_attempt import AttemptEnd, StreamAttempt, StreamStep

__all__ = ["StandbySource", "Takeover", "TakeoverResult"]

#: Seconds between searches for another upstream, and the longest such time after rejections and
#: failures, each of which doubles it.
POLL_INTERVAL_S = 0.1
MAX_POLL_INTERVAL_S = 0.8
#: Longest time for which two upstreams work on one stream after the second one's reply has begun.
MAX_OVERLAP_S = 0.3


class TakeoverResult(Struct, frozen=True):
    """The attempt that goes on with the stream, and what was read of it; None for nothing yet.

    If no attempt goes on, it is the silent one, with the step that ended it.
    """

    attempt: StreamAttempt
    step: StreamStep | None


class StandbySource(ABC):
    """Provides further attempts of a request."""

    @abstractmethod
    def may_start_standby(self) -> bool:
        """Return whether the request may be sent to a further upstream."""

    @abstractmethod
    def start_standby(self, silent: StreamAttempt) -> StreamAttempt | None:
        """Return an attempt besides a silent one, or None if no upstream can accept it now."""

    @abstractmethod
    def compute_first_event_s(self, attempt: StreamAttempt) -> float:
        """Return how many seconds to wait for the first event of a new attempt."""

    @abstractmethod
    def record_failure(self, attempt: StreamAttempt, end: AttemptEnd) -> None:
        """Record that a new attempt can't go on with the stream."""


class Takeover:
    """Keeps a silent attempt open until another upstream has taken the stream over.

    Load that it answers: an upstream falls silent within an answer for a second or so, while the
    others are full or failing, so that an answer given up first would be lost.

    Parameters
    ----------
    silent : StreamAttempt
        The silent attempt.
    source : StandbySource
        Provides attempts at other upstreams.
    """

    def __init__(self, silent: StreamAttempt, source: StandbySource):
        self._silent = silent
        self._source = source
        self._silent_step: StreamStep | None = None
        self._standby_result: TakeoverResult | None = None

    async def run(self) -> TakeoverResult:
        """Wait until the silent attempt or another one goes on, or none can.

        All attempts are closed but the one that is returned.
        """
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_silent, nursery.cancel_scope)
                await self._seek_standby(nursery.cancel_scope)
        except BaseException:
            if self._standby_result is not None:
                await self._standby_result.attempt.close()
            raise
        if self._standby_result is None:
            return TakeoverResult(self._silent, self._silent_step)
        await self._silent.close()
        return self._standby_result

    async def _read_silent(self, scope: trio.CancelScope) -> None:
        self._silent_step = await self._silent.read_progress()
        if not self._silent_step.is_failure:
            scope.cancel()

    async def _seek_standby(self, scope: trio.CancelScope) -> None:
        """Start further attempts, one after the other, until one of them goes on."""
        pause_s = POLL_INTERVAL_S
        while self._silent_step is None:
            standby = (
                self._source.start_standby(self._silent)
                if self._source.may_start_standby()
                else None
            )
            if standby is None:
                await trio.sleep(pause_s)
                continue
            try:
                self._standby_result = await self._try_standby(standby)
            finally:
                if self._standby_result is None:
                    await standby.close()
            if self._standby_result is not None:
                scope.cancel()
                return
            pause_s = min(MAX_POLL_INTERVAL_S, 2.0 * pause_s)

    async def _try_standby(self, standby: StreamAttempt) -> TakeoverResult | None:
        """Return the result if the new attempt goes on with the stream, otherwise None."""
        is_late = False
        step = await standby.send()
        if step is None:
            with trio.move_on_after(self._source.compute_first_event_s(standby)) as scope:
                step = await standby.read_reply()
                if step is None:
                    scope.deadline = min(scope.deadline, trio.current_time() + MAX_OVERLAP_S)
                    step = await standby.read_progress()
            is_late = scope.cancelled_caught and standby.end is None
        if self._silent_step is not None and not self._silent_step.is_failure:
            return None
        is_ahead = standby.has_reply and not self._silent.has_reply
        if is_late and is_ahead:
            return TakeoverResult(standby, None)
        if standby.is_final and not self._silent.has_reply:
            return TakeoverResult(standby, step)
        if is_late:
            standby.record_late()
            self._source.record_failure(standby, AttemptEnd.LOST)
            return None
        if standby.has_failed:
            self._source.record_failure(standby, standby.end)
            return None
        return TakeoverResult(standby, step)
