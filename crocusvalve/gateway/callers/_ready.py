"""HTTP listener for the load balancer's readiness probe and the metrics."""

from collections.abc import Callable

import h11
import trio
from prometheus_client import CollectorRegistry

from crocusvalve.metrics import render_metrics

__all__ = ["ReadyListener"]

READ_BYTES = 8192
IDLE_TIMEOUT_S = 10.0


class ReadyListener:
    """Answers ``GET /readyz`` and ``GET /metrics``.

    Parameters
    ----------
    is_ready : callable
        Returns whether this gateway accepts new connections.
    registry : CollectorRegistry
        Registry of the metrics.
    """

    def __init__(self, is_ready: Callable[[], bool], registry: CollectorRegistry):
        self.is_ready = is_ready
        self.registry = registry

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer the requests of one connection until it ends or is idle for ``IDLE_TIMEOUT_S``."""
        conn = h11.Connection(h11.SERVER)
        async with stream:
            with trio.move_on_after(IDLE_TIMEOUT_S) as scope:
                try:
                    while await self._serve_request(stream, conn):
                        scope.deadline = trio.current_time() + IDLE_TIMEOUT_S
                except (h11.ProtocolError, trio.BrokenResourceError, OSError):
                    return

    async def _serve_request(self, stream: trio.SocketStream, conn: h11.Connection) -> bool:
        target = b""
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await stream.receive_some(READ_BYTES))
            elif isinstance(event, h11.Request):
                target = event.target
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
        status, content_type, body = self._answer(target)
        headers = [(b"content-type", content_type), (b"content-length", b"%d" % len(body))]
        data = conn.send(h11.Response(status_code=status, headers=headers))
        data += conn.send(h11.Data(body)) + conn.send(h11.EndOfMessage())
        await stream.send_all(data)
        if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
            return False
        conn.start_next_cycle()
        return True

    def _answer(self, target: bytes) -> tuple[int, bytes, bytes]:
        path = target.split(b"?", 1)[0]
        if path == b"/metrics":
            rendered = render_metrics(self.registry)
            return 200, rendered.content_type.encode(), rendered.body
        if path != b"/readyz":
            return 404, b"text/plain", b"not found\n"
        if self.is_ready():
            return 200, b"text/plain", b"ready\n"
        return 503, b"text/plain", b"not ready\n"
