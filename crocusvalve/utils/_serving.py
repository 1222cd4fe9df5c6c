"""Serves a web application by hypercorn on trio."""

import socket

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

__all__ = ["open_listener", "serve_app"]

LISTEN_BACKLOG = 512
KEEP_ALIVE_S = 75
DRAIN_S = 1.0


def open_listener(host: str, port: int) -> socket.socket:
    """Open a listening socket; port 0 picks a free one."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    return sock


async def serve_app(
    app: QuartTrio,
    host: str,
    port: int,
    *,
    cfg: Config | None = None,
    drain_s: float = DRAIN_S,
    shutdown: trio.Event | None = None,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until cancelled or told to stop.

    Parameters
    ----------
    app : QuartTrio
        The application.
    host, port : str, int
        Address to listen on; port 0 picks a free one.
    cfg : Config or None
        Configuration to start from, such as one with TLS.
    drain_s : float
        Time that open requests have after the stop, in seconds.
    shutdown : trio.Event or None
        Set to stop gracefully.
    task_status : trio.TaskStatus
        Started with the port in use.
    """
    sock = open_listener(host, port)
    bound = sock.getsockname()[1]
    cfg = Config() if cfg is None else cfg
    cfg.bind = [f"fd://{sock.detach()}"]
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.graceful_timeout = drain_s
    cfg.keep_alive_timeout = KEEP_ALIVE_S
    stop = trio.Event() if shutdown is None else shutdown
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: serve(app, cfg, shutdown_trigger=stop.wait))
        task_status.started(bound)
