"""Channel that passes the answer of one request from the runtime to the caller's task."""

import math

import trio
from msgspec import Struct

from crocusvalve.base import RequestId, UpstreamId, VersionRef
from crocusvalve.entry._commands import AnswerSummary
from crocusvalve.exceptions import InvariantError, RefusedError

__all__ = ["AnswerPart", "RequestHandle"]


class AnswerPart(Struct, frozen=True):
    """A part of an answer, with the version and the upstream that produced it."""

    version: VersionRef
    upstream_id: UpstreamId
    data: bytes


class RequestHandle:
    """Channel of the parts of an answer, ended by a summary or an error.

    Parameters
    ----------
    request_id : RequestId
        ID of the request.
    """

    def __init__(self, request_id: RequestId):
        self.request_id = request_id
        self.is_ended = False
        self.has_parts = False
        self._send, self._receive = trio.open_memory_channel[
            AnswerPart | AnswerSummary | RefusedError
        ](math.inf)

    def put(self, item: AnswerPart | AnswerSummary | RefusedError) -> None:
        """Add a part or the end; raises ``InvariantError`` for an item after the end."""
        if self.is_ended:
            raise InvariantError(
                f"request {self.request_id} got an item after its end", step="handle"
            )
        if isinstance(item, AnswerPart):
            self.has_parts = True
        else:
            self.is_ended = True
        self._send.send_nowait(item)

    async def get(self) -> AnswerPart | AnswerSummary:
        """Wait for the next part or the summary.

        Raises
        ------
        RefusedError
            If the request ended without an answer.
        """
        item = await self._receive.receive()
        if isinstance(item, RefusedError):
            raise item
        return item

    async def collect(self) -> tuple[bytes, AnswerSummary]:
        """Wait for the complete answer and return its data and its summary.

        Raises
        ------
        RefusedError
            If the request ended without an answer.
        """
        parts: list[bytes] = []
        while True:
            item = await self.get()
            if isinstance(item, AnswerSummary):
                return b"".join(parts), item
            parts.append(item.data)
