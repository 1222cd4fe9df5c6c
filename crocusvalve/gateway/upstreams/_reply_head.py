"""Checks of the heads of replies beyond those of the parser."""

import h11

__all__ = ["find_head_fault"]

#: Largest status code of HTTP. The parser takes any three digits, 1xx aside.
MAX_STATUS = 599


def find_head_fault(head: h11.Response) -> str:
    """Return why a parsed head can't be that of an answer; empty if it can."""
    if head.status_code > MAX_STATUS:
        return f"{head.status_code} is no status of HTTP"
    return ""
