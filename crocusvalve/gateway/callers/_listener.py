"""Interface between callers' connections and the handler of their requests."""

from abc import ABC, abstractmethod
from contextlib import AbstractContextManager
from typing import TYPE_CHECKING

import h11
import msgspec

from crocusvalve.exceptions import CrocusvalveError, RefusedError
from crocusvalve.gateway.base import CallerRequest, Headers, RequestLimits

if TYPE_CHECKING:
    from crocusvalve.gateway.callers._caller_connection import CallerConnection

__all__ = [
    "AnswerAbortedError",
    "CallerLeftError",
    "Handler",
    "Responder",
    "make_error_answer",
]


class AnswerAbortedError(Exception):
    """The answer can't be completed; the connection is to be reset."""


class CallerLeftError(Exception):
    """The caller has closed its connection within a request or its answer."""


class Handler(ABC):
    """Answers callers' requests."""

    @abstractmethod
    def get_limits(self) -> RequestLimits:
        """Return the bounds in force on what callers send."""

    @abstractmethod
    def is_closing(self) -> bool:
        """Return whether connections are to be closed after the answer in progress."""

    @abstractmethod
    def count_open_request(self) -> AbstractContextManager[None]:
        """Count a request as open, from its first byte to the end of its answer."""

    @abstractmethod
    async def handle(self, req: CallerRequest, responder: "Responder") -> None:
        """Answer a request; ``AnswerAbortedError`` resets the connection."""


class Responder:
    """Sends one answer to a caller; ``status`` is 0 until its head is sent."""

    def __init__(self, connection: "CallerConnection"):
        self._connection = connection
        self.has_started = False
        self.status = 0

    async def start(self, status: int, headers: Headers, data: bytes = b"") -> None:
        """Send the head and the first bytes of the body."""
        self.has_started = True
        self.status = status
        await self._connection.send_head(status, headers, data)

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._connection.send_event(h11.Data(data))

    async def finish(self) -> None:
        """End the answer as complete."""
        await self._connection.send_event(h11.EndOfMessage())

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        self.has_started = True
        self.status = status
        await self._connection.send_complete(status, headers, body)

    async def refuse(self, exc: CrocusvalveError, status: int | None = None) -> None:
        """Send an error of the gateway as the answer; ``status`` overrides the error's own."""
        status = exc.code.http_status if status is None else status
        headers, body = make_error_answer(exc)
        await self.answer(status, headers, body)


def make_error_answer(exc: CrocusvalveError) -> tuple[list[tuple[bytes, bytes]], bytes]:
    """Return header fields and JSON body of an error."""
    error = {"code": exc.code.code, "message": exc.message, "step": exc.step}
    body = msgspec.json.encode({"error": error})
    headers = [(b"content-type", b"application/json"), (b"content-length", b"%d" % len(body))]
    retry_after_s = exc.retry_after_s if isinstance(exc, RefusedError) else None
    if retry_after_s is not None:
        headers.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
    return headers, body
