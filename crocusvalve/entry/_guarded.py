"""Runs tasks such that an exception in one of them does not end the process."""

import logging
from collections.abc import Awaitable, Callable

import trio

__all__ = ["run_guarded", "run_once_guarded"]

logger = logging.getLogger(__name__)

RESTART_DELAY_S = 1.0

#: Called with the name of a task that failed.
FailureCallback = Callable[[str], None]


async def run_once_guarded(
    name: str, on_failure: FailureCallback, task: Callable[..., Awaitable[None]], *args
) -> None:
    """Run a task; an exception is logged and reported, and ends only this task.

    Parameters
    ----------
    name : str
        Name of the task in log lines and metrics.
    on_failure : callable
        Called with the name of the task if it failed.
    task : callable
        Coroutine function.
    *args : object
        Positional arguments of the task.
    """
    try:
        await task(*args)
    except* Exception as group:
        logger.error("task %s failed", name, exc_info=group)
        on_failure(name)


async def run_guarded(
    name: str, on_failure: FailureCallback, task: Callable[[], Awaitable[None]]
) -> None:
    """Run a task until cancelled, restarting it ``RESTART_DELAY_S`` after it fails or returns."""
    while True:
        await run_once_guarded(name, on_failure, task)
        await trio.sleep(RESTART_DELAY_S)
