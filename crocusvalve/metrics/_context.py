"""What every log line tells of the work it belongs to."""

from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar

import msgspec
from msgspec import Struct

__all__ = ["LogContext", "bind_log_context", "get_log_context"]


class LogContext(Struct, frozen=True):
    """Request, customer, class, step and peer that a log line is about."""

    request_id: str = ""
    customer: str = ""
    class_name: str = ""
    step: str = ""
    peer: str = ""


_CONTEXT: ContextVar[LogContext] = ContextVar("crocusvalve_log_context")
_EMPTY = LogContext()


def get_log_context() -> LogContext:
    """Return the context of the present task."""
    return _CONTEXT.get(_EMPTY)


@contextmanager
def bind_log_context(**fields: str) -> Iterator[LogContext]:
    """Set fields of the context for a block; tasks started within inherit them.

    Parameters
    ----------
    **fields : str
        Fields of ``LogContext``; those left out keep their value.
    """
    context = msgspec.structs.replace(get_log_context(), **fields)
    token = _CONTEXT.set(context)
    try:
        yield context
    finally:
        _CONTEXT.reset(token)
