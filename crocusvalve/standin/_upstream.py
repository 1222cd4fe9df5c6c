"""Stand-in for an upstream of the users: plain answers, streams of events, faults by request."""

from enum import Enum

import trio

from crocusvalve.standin._http_server import ReceivedRequest, StandinServer

__all__ = ["N_EVENTS", "StandinUpstream", "UpstreamFault", "make_event"]

N_EVENTS = 6


class UpstreamFault(Enum):
    """What an upstream does instead of a good answer."""

    NONE = "none"
    #: It says that it did not run the request.
    FULL = "full"
    FAILURE = "failure"
    #: It runs the request and breaks the connection.
    BREAK = "break"
    #: It breaks off within the third event.
    BREAK_IN_EVENT = "break_in_event"
    #: It answers with the id of another request.
    CROSSED = "crossed"
    #: It ends as complete within an answer of a declared length.
    SHORT = "short"
    ENCODED = "encoded"
    HANG = "hang"


class StandinUpstream(StandinServer):
    """One upstream.

    Parameters
    ----------
    upstream_id : str
        Its id; requests for another one, whose name does not begin so, are turned away.

    Attributes
    ----------
    faults : list of UpstreamFault
        What to do with the next requests, in order; with none left answers are good.
    calls : list of ReceivedRequest
        Requests that it ran.
    confidence : dict
        Confidence by model.
    pause_s : float
        Pause before each event, in seconds.
    n_abandoned : int
        Requests whose caller left before the end.
    """

    def __init__(self, upstream_id: str):
        super().__init__()
        self.upstream_id = upstream_id
        self.faults: list[UpstreamFault] = []
        self.calls: list[ReceivedRequest] = []
        self.confidence: dict[str, int] = {}
        self.n_abandoned = 0
        self.pause_s = 0.0

    def make_entry(self, service: str, domain: str, **changes: object) -> dict:
        """Return the entry with which it registers."""
        return {
            "service": service,
            "address": self.address,
            "zone": domain,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        } | changes

    def choose_fault(self) -> UpstreamFault:
        """Choose what to do with the next request."""
        return self.faults.pop(0) if self.faults else UpstreamFault.NONE

    def record_run(self, call: ReceivedRequest, fault: UpstreamFault) -> None:
        """Take note of a request that it begins to run."""
        self.calls.append(call)

    async def answer(self, call: ReceivedRequest, stream: trio.SocketStream) -> bool:
        """Answer a request."""
        expected = call.headers.get("x-expect-instance", self.upstream_id)
        if not expected.startswith(self.upstream_id):
            return await self._send(stream, 421, {}, b"")
        fault = self.choose_fault()
        if fault is UpstreamFault.FULL:
            return await self._send(stream, 503, {"X-Not-Executed": "1"}, b"")
        self.record_run(call, fault)
        headers = {
            "X-Attempt-Id": call.headers.get("x-attempt-id", ""),
            "X-Response-Signature": f"signed-by-{self.upstream_id}",
        }
        if fault is UpstreamFault.FAILURE:
            return await self._send(stream, 500, headers, b"failed")
        if fault is UpstreamFault.BREAK:
            return False
        if fault is UpstreamFault.HANG:
            return await self._hang(stream)
        if fault is UpstreamFault.CROSSED:
            headers["X-Attempt-Id"] = "another"
        if fault is UpstreamFault.ENCODED:
            headers["Content-Encoding"] = "gzip"
        if call.headers.get("accept") == "text/event-stream":
            return await self._stream(call, stream, headers, fault)
        if fault is UpstreamFault.SHORT:
            await stream.send_all(_make_head(200, headers | {"Content-Length": "100"}) + b"short")
            return False
        body = f"{call.method} {call.target} {len(call.body)} by {self.upstream_id}".encode()
        return await self._send(stream, 200, headers, body)

    async def _hang(self, stream: trio.SocketStream) -> bool:
        """Wait until the caller leaves."""
        try:
            await stream.receive_some(1)
        except trio.BrokenResourceError:
            # A reset tells the same as a clean end.
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
        await stream.send_all(_make_head(200, headers))
        for number in range(int(call.headers.get("last-event-id", 0)) + 1, N_EVENTS + 1):
            await trio.sleep(self.pause_s)
            event = make_event(call.target, number)
            if fault is UpstreamFault.BREAK_IN_EVENT and number == 3:
                await stream.send_all(_make_chunk(event[:7]))
                return False
            await stream.send_all(_make_chunk(event))
        await stream.send_all(b"0\r\n\r\n")
        return True

    @staticmethod
    async def _send(stream: trio.SocketStream, status: int, headers: dict, body: bytes) -> bool:
        headers = headers | {"Content-Length": str(len(body))}
        await stream.send_all(_make_head(status, headers) + body)
        return True


def make_event(target: str, number: int) -> bytes:
    """Return an event of the stream of a target."""
    return f"id: {number}\ndata: piece {number} of {target}\n\n".encode()


def _make_head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _make_chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
