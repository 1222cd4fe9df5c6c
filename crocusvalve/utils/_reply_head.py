"""Checks of the heads of upstreams' replies beyond those of the HTTP parser."""

__all__ = ["find_head_fault"]

#: Largest status code of HTTP. The parser takes any three digits, 1xx aside.
MAX_STATUS = 599
#: Major version of HTTP that upstreams speak. The parser takes any two digits with a dot.
MAJOR_VERSION = b"1."


def find_head_fault(status: int, version: bytes) -> str:
    """Return why a parsed head can't be that of an answer; empty if it can.

    Parameters
    ----------
    version : bytes
        Version in the status line, such as ``b"1.1"``.
    """
    if status > MAX_STATUS:
        return f"{status} is no status of HTTP"
    if not version.startswith(MAJOR_VERSION):
        return f"the reply is one of HTTP/{version.decode('latin-1')}"
    return ""
