"""Checks of the heads of upstreams' replies beyond those of the HTTP parser."""

import re
from collections.abc import Iterable

__all__ = ["find_head_fault"]

#: Largest status code of HTTP. The parser takes any three digits, 1xx aside.
MAX_STATUS = 599
#: Major version of HTTP that upstreams speak. The parser takes any two digits with a dot.
MAJOR_VERSION = b"1."
#: Control bytes that no field's value may have. The parser refuses those that end a line.
CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
#: Fields that must not come together: intermediaries may take either for the end of the body.
TWO_FRAMINGS = {b"content-length", b"transfer-encoding"}


def find_head_fault(status: int, version: bytes, headers: Iterable[tuple[bytes, bytes]]) -> str:
    """Return why a parsed head can't be that of an answer; empty if it can.

    Parameters
    ----------
    status : int
        Status code.
    version : bytes
        Version in the status line, such as ``b"1.1"``.
    headers : iterable of tuple
        Names and values of the fields.
    """
    if status > MAX_STATUS:
        return f"{status} is no status of HTTP"
    if not version.startswith(MAJOR_VERSION):
        return f"the reply is one of HTTP/{version.decode('latin-1')}"
    fields = list(headers)
    names = {name.lower() for name, _ in fields}
    if names >= TWO_FRAMINGS:
        return "the reply has both a Content-Length and a Transfer-Encoding"
    for name, value in fields:
        if CONTROL_BYTE.search(value):
            return f"the value of the field {name.decode('latin-1')} has a control byte"
    return ""
