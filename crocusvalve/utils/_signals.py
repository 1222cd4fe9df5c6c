"""Graceful shutdown of a process on SIGTERM or SIGINT."""

import signal
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import trio

__all__ = ["run_until_signal"]


async def run_until_signal(run: Callable[..., Awaitable[None]], *args: Any) -> None:
    """Run a coroutine function and set its ``stop`` event at the first SIGTERM or SIGINT.

    Parameters
    ----------
    run : callable
        Coroutine function with a keyword argument ``stop``, a ``trio.Event``; after the event is
        set it finishes open work and returns.
    *args : object
        Positional arguments of ``run``.
    """
    stop = trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_wait_for_signal, signals, stop)
            await partial(run, *args, stop=stop)()
            nursery.cancel_scope.cancel()


async def _wait_for_signal(signals: Any, stop: trio.Event) -> None:
    async for _ in signals:
        stop.set()
