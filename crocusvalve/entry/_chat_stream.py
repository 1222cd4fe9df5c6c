"""Encodes a streamed chat answer as server-sent events."""

from collections.abc import AsyncIterator

from crocusvalve.entry import _openai
from crocusvalve.entry._commands import AnswerSummary
from crocusvalve.entry._handle import AnswerPart, RequestHandle
from crocusvalve.entry._parse import ChatBody
from crocusvalve.entry.base import EntryService
from crocusvalve.exceptions import RefusedError
from crocusvalve.model import RequestRow

__all__ = ["ChatStream"]


class ChatStream:
    """Server-sent events of one streamed answer.

    Parameters
    ----------
    service : EntryService
        Entry that runs the request.
    req : RequestRow
        The request.
    handle : RequestHandle
        Source of the answer's parts and its summary.
    body : ChatBody
        Body of the request, for its stream options.
    created : int
        Unix time in seconds that every event reports.
    """

    def __init__(
        self,
        service: EntryService,
        req: RequestRow,
        handle: RequestHandle,
        body: ChatBody,
        created: int,
    ):
        self.service = service
        self.req = req
        self.handle = handle
        self.body = body
        self.created = created

    async def iterate(self, first: AnswerPart | AnswerSummary) -> AsyncIterator[bytes]:
        """Yield the encoded events; closing the iterator early abandons the request.

        Parameters
        ----------
        first : AnswerPart or AnswerSummary
            First item of the handle, which the caller of this method has already received.
        """
        request_id = self.req.request_id
        try:
            yield _openai.make_first_chunk(request_id, first.version, self.created)
            item = first
            while isinstance(item, AnswerPart):
                text = item.data.decode("utf-8", "replace")
                yield _openai.make_content_chunk(request_id, item.version, self.created, text)
                item = await self.handle.get()
            yield self._make_last_events(item)
        except RefusedError as exc:
            yield _openai.make_error_event(exc, request_id)
        finally:
            self.service.abandon(request_id)

    def _make_last_events(self, summary: AnswerSummary) -> bytes:
        request_id, version = self.req.request_id, summary.version
        end = _openai.make_last_chunk(request_id, version, self.created, summary.finish_reason)
        options = self.body.stream_options
        if options is not None and options.include_usage:
            end += _openai.make_usage_chunk(request_id, version, self.created, summary.usage)
        return end + _openai.SSE_DONE
