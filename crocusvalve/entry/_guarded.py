"""Keeps a fault of one task from ending the process."""

import logging
from collections.abc import Awaitable, Callable

import trio

__all__ = ["run_guarded", "run_once_guarded"]

logger = logging.getLogger(__name__)

RESTART_DELAY_S = 1.0

#: Told the name of a task that failed.
FailureCallback = Callable[[str], None]


async def run_once_guarded(
    name: str, on_failure: FailureCallback, task: Callable[..., Awaitable[None]], *args
) -> None:
    """Run a task; a fault is logged and counted, and ends the task alone.

    Parameters
    ----------
    name : str
        Name of the task in the log.
    on_failure : callable
        Counts the failure.
    task : callable
        Coroutine function.
    *args : object
        Arguments of the task.
    """
    try:
        await task(*args)
    except* Exception as group:
        logger.error("task %s failed", name, exc_info=group)
        on_failure(name)


async def run_guarded(
    name: str, on_failure: FailureCallback, task: Callable[[], Awaitable[None]]
) -> None:
    """Run a periodic task until cancelled; after a fault it is started again."""
    while True:
        await run_once_guarded(name, on_failure, task)
        await trio.sleep(RESTART_DELAY_S)
