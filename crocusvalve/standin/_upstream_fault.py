"""Faults of a stand-in upstream in its answers."""

from enum import Enum

from crocusvalve.standin._endless import EndlessReply
from crocusvalve.standin._invalid_reply import InvalidReply

__all__ = ["UpstreamFault"]


class UpstreamFault(Enum):
    """Fault of an upstream in its answer to one request."""

    NONE = "none"
    #: Answers 503 and states that the request was not executed.
    FULL = "full"
    #: The same, and wants no requests for ``retry_after``.
    OVERLOADED = "overloaded"
    FAILURE = "failure"
    #: Answers 409, an error of the caller.
    CLIENT_ERROR = "client_error"
    #: Runs the request and closes the connection without an answer.
    BREAK = "break"
    #: The same after ``silence_s``.
    BREAK_LATE = "break_late"
    #: Closes the connection within the third event of a stream.
    BREAK_IN_EVENT = "break_in_event"
    #: Closes the connection before the third event of a stream.
    BREAK_BETWEEN_EVENTS = "break_between_events"
    #: Sends two events of a stream, and then a byte of the third one every 0.3 s without end.
    TRICKLE = "trickle"
    #: Runs the request and answers 503 without stating that it was not executed.
    UNAVAILABLE_AFTER_RUN = "unavailable_after_run"
    #: Sends the answer again ``silence_s`` after it, on the same connection.
    TWICE = "twice"
    #: Answers with the attempt id of another request.
    CROSSED = "crossed"
    #: Closes the connection cleanly before the declared length of the answer.
    SHORT = "short"
    ENCODED = "encoded"
    #: Answers with a part of a body without a length before it has read the request's body, and
    #: resets the connection ``reset_delay_s`` later.
    EARLY_RESET = "early_reset"
    #: The same, but the answer is whole, and its end is that of the upstream's sending side.
    EARLY_END = "early_end"
    HANG = "hang"
    #: Falls silent for ``silence_s`` after the second event of a stream, or before the head of a
    #: plain answer, and then goes on. This is no fault of the answer, which is complete.
    SILENT = "silent"
    #: Falls silent for ``silence_s`` before the head of an answer, and then goes on.
    SILENT_FIRST = "silent_first"
    #: Replies that never end; what they consist of is described at ``EndlessReply``.
    ENDLESS_HEAD = "endless_head"
    ENDLESS_GARBAGE = "endless_garbage"
    ENDLESS_INTERIM = "endless_interim"
    ENDLESS_SLOW_INTERIM = "endless_slow_interim"
    ENDLESS_CHUNK_EXTENSION = "endless_chunk_extension"
    ENDLESS_BODY = "endless_body"
    ENDLESS_TINY_CHUNKS = "endless_tiny_chunks"
    ENDLESS_SLOW_BODY = "endless_slow_body"
    ENDLESS_LONG_BODY = "endless_long_body"
    ENDLESS_COMMENTS = "endless_comments"
    ENDLESS_FAST_COMMENTS = "endless_fast_comments"
    ENDLESS_EVENT = "endless_event"
    #: Answers 503, states that the request was not executed, and sends a body without end.
    ENDLESS_REJECTION = "endless_rejection"

    #: Replies that are no answer to the request; described at ``InvalidReply``.
    INVALID_UNIDENTIFIED = "invalid_unidentified"
    INVALID_UNSIGNED = "invalid_unsigned"
    INVALID_ANONYMOUS = "invalid_anonymous"
    INVALID_UNIDENTIFIED_FAILURE = "invalid_unidentified_failure"
    INVALID_UNIDENTIFIED_REJECTION = "invalid_unidentified_rejection"
    INVALID_REPEATED_REJECTION = "invalid_repeated_rejection"
    INVALID_HEAD_CUT_IN_STATUS = "invalid_head_cut_in_status"
    INVALID_HEAD_CUT_AFTER_STATUS = "invalid_head_cut_after_status"
    INVALID_HEAD_CUT_IN_FIELD = "invalid_head_cut_in_field"
    INVALID_HEAD_CUT_BEFORE_END = "invalid_head_cut_before_end"
    INVALID_ERROR_PAGE = "invalid_error_page"
    INVALID_EMPTY = "invalid_empty"
    INVALID_ERROR_IN_STREAM = "invalid_error_in_stream"
    INVALID_ERROR_IN_CHUNKED_STREAM = "invalid_error_in_chunked_stream"
    INVALID_RESTARTED_STREAM = "invalid_restarted_stream"

    @property
    def invalid_reply(self) -> InvalidReply | None:
        """The invalid reply of a fault; None for any other fault."""
        prefix, _, name = self.name.partition("INVALID_")
        return None if prefix else InvalidReply[name]

    @property
    def endless_reply(self) -> EndlessReply | None:
        """The endless reply of a fault; None for any other fault."""
        if self is UpstreamFault.ENDLESS_REJECTION:
            return EndlessReply.SLOW_BODY
        prefix, _, name = self.name.partition("ENDLESS_")
        return None if prefix else EndlessReply[name]
