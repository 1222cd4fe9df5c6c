"""Server-sent events of one streamed answer."""

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
    """Events of one streamed answer."""

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
        """Yield the events; leaving early abandons the request."""
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
