"""Replies of a faulty upstream that are no answer to the request."""

from enum import Enum

__all__ = ["InvalidReply", "make_invalid_reply"]


class InvalidReply(Enum):
    """What is wrong with a reply; the upstream closes the connection after it."""

    #: A success without the attempt's id and without a signature.
    UNIDENTIFIED = "unidentified"
    #: A success with the attempt's id, but without a signature.
    UNSIGNED = "unsigned"
    #: A signed success without the attempt's id.
    ANONYMOUS = "anonymous"
    #: A failure without the attempt's id.
    UNIDENTIFIED_FAILURE = "unidentified_failure"
    #: States that the request was not executed, without the attempt's id.
    UNIDENTIFIED_REJECTION = "unidentified_rejection"
    #: The head of a success that ends within the status line, after it, within a field, or before
    #: the empty line.
    HEAD_CUT_IN_STATUS = "head_cut_in_status"
    HEAD_CUT_AFTER_STATUS = "head_cut_after_status"
    HEAD_CUT_IN_FIELD = "head_cut_in_field"
    HEAD_CUT_BEFORE_END = "head_cut_before_end"
    #: A signed success whose body is the text of an error.
    ERROR_PAGE = "error_page"
    #: A signed success without a body or a content type.
    EMPTY = "empty"
    #: A signed stream that begins, and goes on with the head and the text of an error.
    ERROR_IN_STREAM = "error_in_stream"
    ERROR_IN_CHUNKED_STREAM = "error_in_chunked_stream"
    #: A signed stream that begins with its first event, whatever event the request asks for.
    RESTARTED_STREAM = "restarted_stream"
    #: An earlier rejection that is sent once more: it states that another request was not executed.
    REPEATED_REJECTION = "repeated_rejection"

    @property
    def is_signed(self) -> bool:
        """Whether it is a whole, signed answer, which is invalid only within a stream."""
        return self in SIGNED_REPLIES


SIGNED_REPLIES = (
    InvalidReply.ERROR_PAGE,
    InvalidReply.EMPTY,
    InvalidReply.ERROR_IN_STREAM,
    InvalidReply.ERROR_IN_CHUNKED_STREAM,
    InvalidReply.RESTARTED_STREAM,
)
EVENTS = b"id: 1\ndata: wrong bytes\n\n"
ERROR_TEXT = b"wrong bytes: the upstream has failed\n\n"
ERROR = b"HTTP/1.1 500 X\r\nContent-Type: text/plain\r\nContent-Length: 38\r\n\r\n" + ERROR_TEXT
STREAM = {"Content-Type": "text/event-stream"}
#: Number of bytes of a cut head.
CUT_AT = {
    InvalidReply.HEAD_CUT_IN_STATUS: 10,
    InvalidReply.HEAD_CUT_AFTER_STATUS: 16,
    InvalidReply.HEAD_CUT_IN_FIELD: 24,
    InvalidReply.HEAD_CUT_BEFORE_END: -2,
}


def make_invalid_reply(reply: InvalidReply, headers: dict[str, str]) -> bytes:
    """Return a reply's bytes.

    Parameters
    ----------
    headers : dict
        Id and signature of a valid reply, in this order.
    """
    if reply in CUT_AT:
        return _make_head(200, headers | STREAM)[: CUT_AT[reply]]
    if reply is InvalidReply.ERROR_PAGE:
        return _make_head(200, headers | _make_text_fields(ERROR_TEXT)) + ERROR_TEXT
    if reply is InvalidReply.EMPTY:
        return _make_head(200, headers | {"Content-Length": "0"})
    if reply is InvalidReply.ERROR_IN_STREAM:
        return _make_head(200, headers | STREAM) + ERROR
    if reply is InvalidReply.ERROR_IN_CHUNKED_STREAM:
        return _make_head(200, headers | STREAM | {"Transfer-Encoding": "chunked"}) + ERROR
    if reply is InvalidReply.RESTARTED_STREAM:
        return _make_head(200, headers | STREAM) + EVENTS
    (id_name, _), (signature_name, _) = headers.items()
    id_field = {id_name: headers[id_name]}
    signature = {signature_name: headers[signature_name]}
    rejected = {"X-Not-Executed": "1", "Retry-After": "30"}
    status, fields = {
        InvalidReply.UNIDENTIFIED: (200, {}),
        InvalidReply.UNSIGNED: (200, id_field),
        InvalidReply.ANONYMOUS: (200, signature),
        InvalidReply.UNIDENTIFIED_FAILURE: (500, {}),
        InvalidReply.UNIDENTIFIED_REJECTION: (503, rejected),
        InvalidReply.REPEATED_REJECTION: (503, rejected | {id_name: "another"}),
    }[reply]
    return _make_head(status, fields | {"Content-Length": str(len(EVENTS))}) + EVENTS


def _make_head(status: int, fields: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _make_text_fields(text: bytes) -> dict[str, str]:
    return {"Content-Type": "text/plain", "Content-Length": str(len(text))}
