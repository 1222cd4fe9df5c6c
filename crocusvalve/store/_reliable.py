"""Table service and object store with retries, over any implementation of them."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import msgspec

from crocusvalve.store._guard import CallGuard
from crocusvalve.store.base import ObjectStore, Row, TableService, Write, WriteResult, WriteState

__all__ = ["ReliableObjects", "ReliableTables"]


class ReliableTables(TableService):
    """Adds timeouts, retries, a write budget and a circuit breaker to a table service.

    A transaction whose answer was lost is sent again unchanged: if the rows already carry its
    write ids, the service reports the writes as applied.

    Parameters
    ----------
    inner : TableService
        Makes single attempts.
    guard : CallGuard
        Retries and limits, shared by all calls to the same service.
    """

    def __init__(self, inner: TableService, guard: CallGuard):
        self.inner = inner
        self.guard = guard

    async def transact(self, writes: Sequence[Write]) -> list[WriteResult]:
        """Apply all writes or none of them."""

        async def attempt() -> list[WriteResult]:
            return await self.inner.transact(writes)

        reply = await self.guard.run("transact", attempt, n_writes=len(writes))
        if reply.n_unknown:
            return [_mark_uncertain(result) for result in reply.value]
        return reply.value

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""
        return await _run(self.guard, "get", lambda: self.inner.get(table, key))

    async def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return up to ``limit`` rows with a key prefix, in key order, after the key ``after``."""
        return await _run(
            self.guard,
            "scan",
            lambda: self.inner.scan(table, prefix=prefix, after=after, limit=limit),
        )


class ReliableObjects(ObjectStore):
    """Adds timeouts, retries, a write budget and a circuit breaker to an object store."""

    def __init__(self, inner: ObjectStore, guard: CallGuard):
        self.inner = inner
        self.guard = guard

    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""

        async def attempt() -> None:
            await self.inner.put_object(name, data)

        await self.guard.run("put_object", attempt, n_writes=1)

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist."""
        return await _run(self.guard, "get_object", lambda: self.inner.get_object(name))


async def _run(guard: CallGuard, step: str, call: Callable[[], Awaitable[Any]]) -> Any:
    reply = await guard.run(step, call)
    return reply.value


def _mark_uncertain(result: WriteResult) -> WriteResult:
    if result.state is WriteState.APPLIED:
        return result
    return msgspec.structs.replace(result, is_certain=False)
