"""Serves a web application by hypercorn on trio and isolates faults of single connections."""

import logging
import socket
import ssl
from functools import partial

import trio
from hypercorn.config import Config
from hypercorn.trio.lifespan import Lifespan
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from hypercorn.utils import wrap_app
from quart_trio import QuartTrio

__all__ = ["open_listener", "serve_app"]

logger = logging.getLogger(__name__)

LISTEN_BACKLOG = 512
KEEP_ALIVE_S = 75
DRAIN_S = 1.0
ASGI_MODE = "asgi"


class IsolatedConnection(TCPServer):
    """Connection handler that logs exceptions and closes that connection, not the process."""

    async def run(self) -> None:
        """Serve the connection until it is closed."""
        try:
            await super().run()
        except* Exception as group:
            logger.error("connection closed by a protocol error: %r", group.exceptions)


def open_listener(host: str, port: int) -> socket.socket:
    """Open a listening socket; port 0 picks a free one."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    return sock


def _make_config(drain_s: float) -> Config:
    cfg = Config()
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.graceful_timeout = drain_s
    cfg.keep_alive_timeout = KEEP_ALIVE_S
    return cfg


def _wrap_listener(
    sock: socket.socket, tls: ssl.SSLContext | None
) -> trio.SocketListener | trio.SSLListener:
    listener = trio.SocketListener(trio.socket.from_stdlib_socket(sock))
    if tls is None:
        return listener
    return trio.SSLListener(listener, tls, https_compatible=True)


async def serve_app(
    app: QuartTrio,
    host: str,
    port: int,
    *,
    tls: ssl.SSLContext | None = None,
    drain_s: float = DRAIN_S,
    shutdown: trio.Event | None = None,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until cancelled or until ``shutdown`` is set.

    Parameters
    ----------
    app : QuartTrio
        The application.
    host, port : str, int
        Address to listen on; port 0 picks a free one.
    tls : ssl.SSLContext or None
        Server context, which may be updated while it is in use; None serves plain HTTP.
    drain_s : float
        Time that open requests have to finish after a shutdown, in seconds.
    shutdown : trio.Event or None
        Event that starts a graceful shutdown.
    task_status : trio.TaskStatus
        Reported as started with the port in use.
    """
    sock = open_listener(host, port)
    bound = sock.getsockname()[1]
    cfg = _make_config(drain_s)
    wrapped = wrap_app(app, cfg.wsgi_max_body_size, ASGI_MODE)
    context = WorkerContext(None)
    lifespan = Lifespan(wrapped, cfg, {})
    stop = trio.Event() if shutdown is None else shutdown
    async with trio.open_nursery() as lifespan_nursery:
        await lifespan_nursery.start(lifespan.handle_lifespan)
        await lifespan.wait_for_startup()
        handler = partial(IsolatedConnection, wrapped, cfg, context, ConnectionState({}))
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as listening:
                listeners = [_wrap_listener(sock, tls)]
                listening.start_soon(
                    partial(trio.serve_listeners, handler, listeners, handler_nursery=connections)
                )
                task_status.started(bound)
                await stop.wait()
                listening.cancel_scope.cancel()
            await context.terminated.set()
            connections.cancel_scope.deadline = trio.current_time() + drain_s
        await lifespan.wait_for_shutdown()
        lifespan_nursery.cancel_scope.cancel()
