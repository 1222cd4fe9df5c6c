"""Command-line entry points of the stand-ins; each serves until SIGTERM or SIGINT."""

import signal
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from crocusvalve.base import VersionRef
from crocusvalve.standin._engine import StandinEngine
from crocusvalve.standin._engine_server import serve_engine
from crocusvalve.standin._engine_types import EngineSpec, VersionSpec
from crocusvalve.standin._plain import StandinPlainService, serve_plain
from crocusvalve.utils import MonotonicClock, check_range

__all__ = ["run_engine", "run_plain", "run_platform"]

DEFAULT_QUALITY = 0.8


def run_engine(
    *,
    versions: list[str],
    host: str = "127.0.0.1",
    port: int = 0,
    qualities: list[float] | None = None,
    seed: int = 0,
    is_cold: bool = False,
    spec: EngineSpec | None = None,
) -> None:
    """Serve a stand-in engine until a signal.

    Parameters
    ----------
    versions : list of str
        Versions in memory, each ``member/model@version``.
    host, port : str, int
        Address to listen on; port 0 picks a free port, which is printed.
    qualities : list of float or None
        Quality of each version, in [0, 1]; None means ``DEFAULT_QUALITY`` for all.
    seed : int
        Seed of answer texts and boot ids.
    is_cold : bool
        Whether the engine starts cold, at the start of its warm-up.
    spec : EngineSpec or None
        Speed and capacity of the engine; None means the defaults.
    """
    check_range("port", port, low=0, high=65535)
    qualities = qualities or [DEFAULT_QUALITY] * len(versions)
    if len(qualities) != len(versions):
        raise ValueError(f"qualities must have {len(versions)} values, got {len(qualities)}")
    specs = {
        VersionRef(version): VersionSpec(quality=quality)
        for version, quality in zip(versions, qualities, strict=True)
    }
    clock = MonotonicClock()
    engine = StandinEngine(
        specs, spec=spec, random_state=seed, starts_warm=not is_cold, now=clock.now()
    )
    trio.run(_serve_until_signal, serve_engine, engine, host, port, "engine")


def run_plain(*, host: str = "127.0.0.1", port: int = 0) -> None:
    """Serve a stand-in plain HTTP service until a signal."""
    check_range("port", port, low=0, high=65535)
    trio.run(_serve_until_signal, serve_plain, StandinPlainService(), host, port, "plain service")


def run_platform(*, host: str = "127.0.0.1", port: int = 0) -> None:
    """Serve the stand-in of the platform's service until a signal."""
    from crocusvalve.standin import MemoryPlatform, serve_platform

    check_range("port", port, low=0, high=65535)
    trio.run(_serve_until_signal, serve_platform, MemoryPlatform(), host, port, "platform")


async def _serve_until_signal(
    serve: Callable[..., Awaitable[None]], target: Any, host: str, port: int, name: str
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            bound = await nursery.start(serve, target, host, port)
            print(f"stand-in {name} listens on http://{host}:{bound}", flush=True)
            await anext(signals)
            nursery.cancel_scope.cancel()
