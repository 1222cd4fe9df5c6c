"""Sockets of callers and upstreams: options, connects with a bound, resets."""

import socket
import struct

import trio

from crocusvalve.gateway.base import Address

__all__ = ["connect", "open_listeners", "reset", "tune_socket"]

#: Unacknowledged bytes older than this end a connection.
USER_TIMEOUT_MS = 4000
#: Probes of a connection on which nothing is sent.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
BACKLOG = 1024


def tune_socket(sock: trio.socket.SocketType) -> None:
    """Send small writes at once and end the connection where the peer is silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


async def connect(address: Address, timeout_s: float) -> trio.SocketStream:
    """Open a connection.

    Raises
    ------
    OSError
        Where it is refused, or isn't open in time (``TimeoutError``).
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        tune_socket(sock)
        with trio.move_on_after(timeout_s) as scope:
            await sock.connect((address.host, address.port))
        if scope.cancelled_caught:
            raise TimeoutError(f"no connection to {address} within {timeout_s:.2f} s")
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def open_listeners(address: Address) -> list[trio.SocketListener]:
    """Listen on an address."""
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    raw = socket.socket(fileno=sock.detach())
    raw.bind((address.host, address.port))
    raw.listen(BACKLOG)
    return [trio.SocketListener(trio.socket.from_stdlib_socket(raw))]


async def reset(stream: trio.SocketStream) -> None:
    """Close a connection so that the peer sees that it broke."""
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    await trio.aclose_forcefully(stream)
