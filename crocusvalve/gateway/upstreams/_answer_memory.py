"""Bounds the memory of all answers that are held until they are complete and have been sent."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

__all__ = ["AnswerMemory", "HeldAnswer"]

#: Answers up to this size are neither dropped nor delayed.
SMALL_BYTES = 16 * 1024


class HeldAnswer:
    """An answer that is held in memory.

    Attributes
    ----------
    size : int
        Bytes received so far.
    is_complete : bool
        Whether the whole answer has arrived, so that it isn't dropped any more.
    is_dropped : bool
        Whether it was dropped to make room for others.
    scope : trio.CancelScope
        Cancelled when the answer is dropped; its reader runs in it.
    """

    def __init__(self) -> None:
        self.size = 0
        self.is_complete = False
        self.is_dropped = False
        self.scope = trio.CancelScope()

    def drop(self) -> None:
        """Stop reading the answer."""
        self.is_dropped = True
        self.scope.cancel()


class AnswerMemory:
    """Answers held by all requests, and the bound on the sum of their sizes.

    An answer that has grown beyond all others is the most likely one to have no end, so it is the
    one that is dropped when there is no room.

    Parameters
    ----------
    max_bytes : int
        Maximum sum of the sizes. Answers of up to ``SMALL_BYTES`` may exceed it.

    Attributes
    ----------
    n_bytes : int
        Present sum of the sizes.
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.n_bytes = 0
        self._answers: set[HeldAnswer] = set()
        self._waiting = trio.lowlevel.ParkingLot()

    @contextmanager
    def hold(self) -> Iterator[HeldAnswer]:
        """Hold an answer until the block ends."""
        answer = HeldAnswer()
        self._answers.add(answer)
        try:
            yield answer
        finally:
            self.release(answer)

    def release(self, answer: HeldAnswer) -> None:
        """Stop counting an answer; later calls have no effect."""
        if answer in self._answers:
            self._answers.remove(answer)
            self.n_bytes -= answer.size
            self._waiting.unpark_all()

    async def grow(self, answer: HeldAnswer, n_bytes: int) -> None:
        """Count further bytes of an answer; drop the largest incomplete answer if there's no room.

        If complete answers take the room, the largest incomplete one waits until they are sent.
        """
        if answer not in self._answers:
            return
        answer.size += n_bytes
        self.n_bytes += n_bytes
        while self.n_bytes > self.max_bytes and answer.size > SMALL_BYTES:
            largest = max(
                (held for held in self._answers if not held.is_complete),
                key=lambda held: held.size,
            )
            has_complete = any(held.is_complete and held.size for held in self._answers)
            if largest is answer and has_complete:
                await self._waiting.park()
                continue
            largest.drop()
            self.release(largest)
            if largest is answer:
                await trio.lowlevel.checkpoint()
                return
