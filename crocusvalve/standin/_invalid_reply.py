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
    #: An earlier rejection that is sent once more: it states that another request was not executed.
    REPEATED_REJECTION = "repeated_rejection"


def make_invalid_reply(reply: InvalidReply, headers: dict[str, str]) -> bytes:
    """Return a reply's bytes.

    Parameters
    ----------
    headers : dict
        Id and signature of a valid reply.
    """
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
    body = b"id: 1\ndata: wrong bytes\n\n"
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
