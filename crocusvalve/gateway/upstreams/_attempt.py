"""One attempt to run a request on an upstream: the reply, and the work queued there."""

from collections.abc import Awaitable, Callable

from crocusvalve.gateway.base import Reply, Upstream
from crocusvalve.gateway.tables._tables import UpstreamLoad
from crocusvalve.gateway.upstreams._reply_recorder import ReplyRecorder
from crocusvalve.gateway.upstreams._upstream_call import CallError, CallFailure, UpstreamCall

__all__ = ["Attempt", "PromptWork"]


class PromptWork:
    """Prompt tokens that an upstream has to process before a request's first event.

    Attributes
    ----------
    queued_tokens : float
        Tokens of the request and of all requests queued before it, weighted by model cost.
    """

    def __init__(self, load: UpstreamLoad, weighted_tokens: float):
        self._load = load
        self._weighted_tokens = weighted_tokens
        self.queued_tokens = load.pending_work + load.peer_pending_work + weighted_tokens
        load.pending_work += weighted_tokens

    def finish(self) -> None:
        """Remove the prompt from the upstream's pending work; later calls have no effect."""
        self._load.pending_work -= self._weighted_tokens
        self._weighted_tokens = 0.0


class Attempt:
    """A request that was sent to an upstream, and its reply.

    Attributes
    ----------
    work : PromptWork
        Prompt tokens that the upstream has to process first.
    reply : Reply or None
        Head of the reply, once it has been read.
    """

    def __init__(
        self,
        upstream: Upstream,
        call: UpstreamCall,
        model: str,
        work: PromptWork,
        reply_recorder: ReplyRecorder,
    ):
        self._reply_recorder = reply_recorder
        self.upstream = upstream
        self.work = work
        self.call = call
        self.model = model
        self.reply: Reply | None = None

    async def read_head(self, attempt_id: bytes) -> Reply:
        """Read the reply's head.

        Upstreams repeat the attempt's id in every reply and sign each success, so any other reply
        says nothing about the request. Of a reply to another request only the statement that the
        upstream is about to stop holds, since it doesn't depend on the time of the reply.

        Raises
        ------
        CallError
            If the reply doesn't have the attempt's id, is a success without a signature, or has a
            body with a content encoding.
        """
        reply = await self.call.read_head()
        if reply.attempt_id != attempt_id:
            message = "the reply has no attempt id"
            if reply.attempt_id:
                self._reply_recorder.record_leaving(self.upstream, reply)
                message = "the reply belongs to another request"
            raise self.make_error(message, "read_head")
        if reply.is_success and not reply.is_signed:
            raise self.make_error("the reply has no signature", "read_head")
        self.reply = reply
        self._reply_recorder.record(self.upstream, reply)
        if reply.is_encoded and not reply.is_not_run:
            message = "the reply's body was encoded between the upstream and the gateway"
            raise self.make_error(message, "read_head")
        return reply

    async def read_body(
        self, max_bytes: int, grow: Callable[[int], Awaitable[None]] | None = None
    ) -> bytearray:
        """Read the complete body.

        Parameters
        ----------
        grow : callable or None
            Called with the number of further bytes before they are kept.

        Raises
        ------
        CallError
            If the body is longer than ``max_bytes``, or not complete.
        """
        if (self.call.body_length or 0) > max_bytes:
            raise self._make_length_error(max_bytes)
        body = bytearray()
        while (part := await self.call.read_part()) is not None:
            if grow is not None:
                await grow(len(part))
            body += part
            if len(body) > max_bytes:
                raise self._make_length_error(max_bytes)
        return body

    def _make_length_error(self, max_bytes: int) -> CallError:
        return self.make_error(f"the body is longer than {max_bytes} bytes", "read_body")

    def make_error(self, message: str, step: str) -> CallError:
        """Return the error of a reply that can't be an answer to the request."""
        return CallError(CallFailure.CORRUPT, message, step=step, peer=self.call.peer)
