"""Stand-in for an upstream of a gateway: plain answers, event streams, and faults per request."""

import socket
import struct
from collections.abc import Callable

import trio

from crocusvalve.standin._endless import send_endlessly
from crocusvalve.standin._http_server import ReceivedRequest, StandinServer
from crocusvalve.standin._invalid_reply import make_invalid_reply
from crocusvalve.standin._upstream_fault import UpstreamFault

__all__ = ["N_EVENTS", "StandinUpstream", "make_event"]

#: Number of events of a complete stream.
N_EVENTS = 6
#: Number of the event before which a stream with the fault ``SILENT`` falls silent.
FIRST_EVENT_AFTER_SILENCE = 3
#: Pause between the bytes of a stream with the fault ``TRICKLE``, in seconds.
TRICKLE_PAUSE_S = 0.3
#: Time from the head of an answer to the crash that its prompt causes.
CRASH_DELAY_S = 0.04


class StandinUpstream(StandinServer):
    """One upstream of a gateway.

    Parameters
    ----------
    upstream_id : str
        Id of the upstream; requests for another instance, whose name does not begin with this id,
        are refused with 421.

    Attributes
    ----------
    faults : list of UpstreamFault
        Faults for the next requests, in order; once the list is empty, answers are good.
    calls : list of ReceivedRequest
        Requests that the upstream ran.
    confidence : dict of str to int
        Value of the header ``X-Confidence`` of streams, by model.
    pause_s : float
        Pause before each event, in seconds.
    silence_s : float
        Length of the silence of the faults ``SILENT``, ``SILENT_FIRST`` and ``BREAK_LATE``, in
        seconds.
    reset_delay_s : float
        Time from an answer with the fault ``EARLY_RESET`` to the reset, in seconds.
    n_padding_bytes : int
        Number of bytes that are appended to the body of a plain answer.
    n_abandoned : int
        Requests with the fault ``HANG`` whose caller disconnected.
    is_leaving : bool
        Whether its answers say that it is about to stop.
    rate_limit : str
        Requests per second that its answers say it takes from all gateways together; empty for no
        limit.
    arrived_at : list of float
        Times of all requests.
    retry_after : str
        Value of ``Retry-After`` in rejections by the fault ``OVERLOADED``.
    n_rejected : int
        Requests that were rejected by the faults ``FULL`` and ``OVERLOADED``.
    crash_part : str
        Id of a prompt part; the upstream crashes shortly after it has begun to answer a prompt with
        it. Empty for none.
    crash_target : str
        Target of a stream under which the upstream crashes in the same way. Empty for none.
    crash_cause : str
        The part or target of the last crash.
    restart_s : float
        Time from a crash to the next start, in seconds.
    n_starts : int
        Starts of the upstream.
    on_start : callable
        Called at each start after a crash.
    edit_head : callable
        Called with the head of each reply, as bytes; returns the head to send.
    """

    def __init__(self, upstream_id: str):
        super().__init__()
        self.upstream_id = upstream_id
        self.faults: list[UpstreamFault] = []
        self.calls: list[ReceivedRequest] = []
        self.confidence: dict[str, int] = {}
        self.n_abandoned = 0
        self.n_rejected = 0
        self.is_leaving = False
        self.retry_after = "1"
        self.rate_limit = ""
        self.arrived_at: list[float] = []
        self.pause_s = 0.0
        self.silence_s = 1.2
        self.reset_delay_s = 0.0
        self.n_padding_bytes = 0
        self.crash_part = ""
        self.crash_target = ""
        self.crash_cause = ""
        self.restart_s = 0.3
        self.n_starts = 0
        self.on_start: Callable[[], None] = lambda: None
        self.edit_head: Callable[[bytes], bytes] = lambda head: head
        self._run_scope = trio.CancelScope()

    async def serve(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled, and start again after each crash."""
        while True:
            self.n_starts += 1
            with trio.CancelScope() as self._run_scope:
                await super().serve(task_status=task_status)
            task_status = trio.TASK_STATUS_IGNORED
            await trio.sleep(self.restart_s)
            self.on_start()

    def crash(self) -> None:
        """Close the listener and all connections."""
        self._run_scope.cancel()

    def has_crash_part(self, call: ReceivedRequest) -> bool:
        """Return whether a request's prompt has the part that crashes the upstream."""
        parts = call.headers.get("x-prefix-hash", "").split(",")
        return bool(self.crash_part) and self.crash_part in (part.split(":")[0] for part in parts)

    def make_entry(self, service: str, domain: str, **changes: object) -> dict:
        """Return the entry with which the upstream registers; ``changes`` replace or add fields."""
        return {
            "service": service,
            "address": self.address,
            "zone": domain,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": 1,
            "born": 1_700_000_000_000 + 1000 * (max(1, self.n_starts) - 1),
        } | changes

    def choose_fault(self) -> UpstreamFault:
        """Return the fault for the next request; subclasses may choose it in another way."""
        return self.faults.pop(0) if self.faults else UpstreamFault.NONE

    def record_run(self, call: ReceivedRequest, fault: UpstreamFault) -> None:
        """Record a request that the upstream starts to run."""
        self.calls.append(call)

    def record_rejection(self, call: ReceivedRequest, fault: UpstreamFault) -> None:
        """Record a request that the upstream rejects without running it."""
        self.n_rejected += 1

    async def answer_early(self, call: ReceivedRequest, stream: trio.SocketStream) -> bool:
        """Answer a request before its body has been read, if the next fault asks for that."""
        if self.faults[:1] not in ([UpstreamFault.EARLY_RESET], [UpstreamFault.EARLY_END]):
            return False
        fault = self.choose_fault()
        self.record_run(call, fault)
        await self._send_undelimited(call, stream)
        if fault is UpstreamFault.EARLY_RESET:
            await self._reset(stream)
            return True
        await stream.send_eof()
        while await stream.receive_some():
            pass
        return True

    async def _send_undelimited(self, call: ReceivedRequest, stream: trio.SocketStream) -> None:
        """Send an answer that only the end of the connection delimits."""
        headers = {
            "X-Attempt-Id": call.attempt_id,
            "X-Response-Signature": f"signed-by-{self.upstream_id}",
        }
        body = b"begun early"
        if call.headers.get("accept") == "text/event-stream":
            headers["Content-Type"] = "text/event-stream"
            body = make_event(call.target, 1) + make_event(call.target, 2)
        await stream.send_all(self._make_head(200, headers) + body)

    async def _reset(self, stream: trio.SocketStream) -> None:
        await trio.sleep(self.reset_delay_s)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    async def answer(self, call: ReceivedRequest, stream: trio.SocketStream) -> bool:
        """Answer a request, with a fault if one is due."""
        self.arrived_at.append(trio.current_time())
        attempt = {"X-Attempt-Id": call.headers.get("x-attempt-id", "")}
        expected_instance = call.headers.get("x-expect-instance", self.upstream_id)
        if not expected_instance.startswith(self.upstream_id):
            return await self._send(stream, 421, attempt, b"")
        fault = self.choose_fault()
        if fault in (UpstreamFault.FULL, UpstreamFault.OVERLOADED):
            self.record_rejection(call, fault)
            headers = attempt | {"X-Not-Executed": "1"}
            if fault is UpstreamFault.OVERLOADED:
                headers["Retry-After"] = self.retry_after
            return await self._send(stream, 503, headers, b"")
        if fault is UpstreamFault.ENDLESS_REJECTION:
            self.record_rejection(call, fault)
            head = self._make_head(503, attempt | {"X-Not-Executed": "1"}).removesuffix(b"\r\n")
            await send_endlessly(stream, fault.endless_reply, head)
        self.record_run(call, fault)
        headers = attempt | {"X-Response-Signature": f"signed-by-{self.upstream_id}"}
        if fault.invalid_reply is not None:
            await stream.send_all(make_invalid_reply(fault.invalid_reply, headers))
            return False
        if fault is UpstreamFault.FAILURE:
            return await self._send(stream, 500, headers, b"failed")
        if fault is UpstreamFault.UNAVAILABLE_AFTER_RUN:
            return await self._send(stream, 503, headers, b"failed")
        if fault is UpstreamFault.CLIENT_ERROR:
            return await self._send(stream, 409, headers, b"conflict")
        if fault is UpstreamFault.EARLY_RESET:
            await self._send_undelimited(call, stream)
            await self._reset(stream)
            return False
        if fault is UpstreamFault.BREAK:
            return False
        if fault is UpstreamFault.BREAK_LATE:
            await trio.sleep(self.silence_s)
            return False
        if fault is UpstreamFault.HANG:
            return await self._hang(stream)
        if fault.endless_reply is not None:
            head = self._make_head(200, headers).removesuffix(b"\r\n")
            await send_endlessly(stream, fault.endless_reply, head)
        if fault is UpstreamFault.CROSSED:
            headers["X-Attempt-Id"] = "another"
        if fault is UpstreamFault.ENCODED:
            headers["Content-Encoding"] = "gzip"
        is_stream = call.headers.get("accept") == "text/event-stream"
        if fault is UpstreamFault.SILENT_FIRST or (fault is UpstreamFault.SILENT and not is_stream):
            await trio.sleep(self.silence_s)
        if is_stream:
            return await self._stream(call, stream, headers, fault)
        if fault is UpstreamFault.SHORT:
            head = self._make_head(200, headers | {"Content-Length": "100"})
            await stream.send_all(head + b"short")
            return False
        body = f"{call.method} {call.target} {len(call.body)} by {self.upstream_id}".encode()
        body += b"x" * self.n_padding_bytes
        if fault is UpstreamFault.TWICE:
            await self._send(stream, 200, headers, body)
            await trio.sleep(self.silence_s)
        return await self._send(stream, 200, headers, body)

    async def _hang(self, stream: trio.SocketStream) -> bool:
        """Wait until the caller disconnects."""
        try:
            await stream.receive_some(1)
        except trio.BrokenResourceError:
            # A reset means the same as a clean close: the caller has disconnected.
            pass
        self.n_abandoned += 1
        return False

    async def _stream(
        self, call: ReceivedRequest, stream: trio.SocketStream, headers: dict, fault: UpstreamFault
    ) -> bool:
        headers = headers | {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        model = call.headers.get("x-model", "")
        if model in self.confidence:
            headers["X-Confidence"] = str(self.confidence[model])
        await stream.send_all(self._make_head(200, headers))
        if self.has_crash_part(call) or call.target == self.crash_target:
            self.crash_cause = call.target if call.target == self.crash_target else self.crash_part
            await trio.sleep(CRASH_DELAY_S)
            self.crash()
        for number in range(int(call.headers.get("last-event-id", 0)) + 1, N_EVENTS + 1):
            await trio.sleep(self.pause_s)
            if fault is UpstreamFault.SILENT and number == FIRST_EVENT_AFTER_SILENCE:
                await trio.sleep(self.silence_s)
            event = make_event(call.target, number)
            if fault is UpstreamFault.BREAK_IN_EVENT and number == 3:
                await stream.send_all(_make_chunk(event[:7]))
                return False
            if fault is UpstreamFault.BREAK_BETWEEN_EVENTS and number == 3:
                return False
            if fault is UpstreamFault.TRICKLE and number == 3:
                await self._trickle(stream)
            await stream.send_all(_make_chunk(event))
        await stream.send_all(b"0\r\n\r\n")
        return True

    @staticmethod
    async def _trickle(stream: trio.SocketStream) -> None:
        """Send the beginning of an event byte by byte until the caller disconnects."""
        await stream.send_all(_make_chunk(b"data: "))
        while True:
            await trio.sleep(TRICKLE_PAUSE_S)
            await stream.send_all(_make_chunk(b"x"))

    async def _send(
        self, stream: trio.SocketStream, status: int, headers: dict, body: bytes
    ) -> bool:
        headers = headers | {"Content-Length": str(len(body))}
        await stream.send_all(self._make_head(status, headers) + body)
        return True

    def _make_head(self, status: int, headers: dict[str, str]) -> bytes:
        fields = headers | ({"Server-Leaving": "1"} if self.is_leaving else {})
        if self.rate_limit:
            fields["Server-Limit"] = self.rate_limit
        lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields.items())]
        return self.edit_head(("\r\n".join(lines) + "\r\n\r\n").encode())


def make_event(target: str, number: int) -> bytes:
    """Return an event, as bytes, of the stream that answers a request for ``target``."""
    return f"id: {number}\ndata: piece {number} of {target}\n\n".encode()


def _make_chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
