"""Context of log lines: the request, customer and step that a task works on."""

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
    """Return the log context of the current task."""
    return _CONTEXT.get(_EMPTY)


@contextmanager
def bind_log_context(**fields: str) -> Iterator[LogContext]:
    """Set fields of the log context for a block; tasks started inside inherit them.

    Parameters
    ----------
    **fields : str
        Fields of ``LogContext``; omitted fields keep their values.
    """
    context = msgspec.structs.replace(get_log_context(), **fields)
    token = _CONTEXT.set(context)
    try:
        yield context
    finally:
        _CONTEXT.reset(token)
