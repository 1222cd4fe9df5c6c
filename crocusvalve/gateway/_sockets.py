"""Sockets of callers and upstreams: options, connecting with a timeout, resets."""

import select
import socket
import struct

import trio

from crocusvalve.gateway.base import Address

__all__ = [
    "CONNECT_TIMEOUT_S",
    "connect",
    "has_broken",
    "is_readable",
    "open_listeners",
    "reset",
    "tune_socket",
    "wait_until_closed",
]

#: Connecting normally takes about a millisecond; TCP retransmits a lost packet only after a second.
CONNECT_TIMEOUT_S = 0.4
#: Sent bytes that are not acknowledged within this time end a connection.
USER_TIMEOUT_MS = 4000
#: TCP keepalive of an idle connection: time before the first probe, time between probes, and number
#: of unanswered probes that end the connection.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
#: Connections that may wait to be accepted.
BACKLOG = 1024
#: Interval at which a connection with unread bytes is checked for its close.
CLOSE_POLL_INTERVAL_S = 0.1


def tune_socket(sock: trio.socket.SocketType) -> None:
    """Send small writes without delay, and end the connection if the peer stops responding."""
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
        If the connection is refused, or isn't open within ``timeout_s`` (``TimeoutError``).
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
    """Open listening sockets on an address."""
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    raw = socket.socket(fileno=sock.detach())
    raw.bind((address.host, address.port))
    raw.listen(BACKLOG)
    return [trio.SocketListener(trio.socket.from_stdlib_socket(raw))]


async def reset(stream: trio.SocketStream) -> None:
    """Close a connection by a TCP reset, so that the peer sees it as broken."""
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    await trio.aclose_forcefully(stream)


def is_readable(sock: trio.socket.SocketType) -> bool:
    """Return whether bytes, the peer's close or an error have arrived."""
    return bool(_poll(sock, select.POLLIN))


def has_broken(sock: trio.socket.SocketType) -> bool:
    """Return whether a connection was reset or timed out, even if its error has been reported.

    A connection whose peer has only closed its sending side isn't broken.
    """
    return bool(_poll(sock, select.POLLERR | select.POLLHUP))


async def wait_until_closed(sock: trio.socket.SocketType) -> None:
    """Wait until the peer closes its sending side or the connection breaks, reading no bytes."""
    try:
        if not await sock.recv(1, socket.MSG_PEEK):
            return
    except OSError:
        # A broken connection is closed as well.
        return
    # The socket stays readable, so that only the state of the connection shows its close.
    while not _poll(sock, select.POLLRDHUP):
        await trio.sleep(CLOSE_POLL_INTERVAL_S)


def _poll(sock: trio.socket.SocketType, events: int) -> int:
    """Return those of some events that have occurred, errors included."""
    poller = select.poll()
    poller.register(sock.fileno(), events)
    occurred = poller.poll(0)
    return occurred[0][1] if occurred else 0
