"""Configuration and line formats of a process's log."""

import logging
import traceback
from datetime import UTC, datetime
from typing import Any, TextIO

import msgspec

from crocusvalve.metrics._context import get_log_context
from crocusvalve.metrics._redact import Redactor, describe_error
from crocusvalve.settings import LogFormat, LogLevel

__all__ = ["setup_logging"]

#: Libraries that log headers and addresses of calls below the level WARNING.
QUIET_LOGGERS = ("httpx", "httpcore", "hpack", "h2", "hypercorn", "quart", "asyncio", "grpclib")
CONTEXT_FIELDS = ("request_id", "customer", "class", "step", "peer")


def setup_logging(level: LogLevel, format: LogFormat, stream: TextIO) -> Redactor:
    """Direct all logs of the process to a stream.

    Parameters
    ----------
    level : LogLevel
        Minimum level of logged lines.
    format : LogFormat
        One JSON object per line, or text.
    stream : TextIO
        Destination of the lines, usually standard error.

    Returns
    -------
    Redactor
        Hides keys in all lines; keys of this process are registered with ``add_secret``.
    """
    redactor = Redactor()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        JsonFormatter(redactor) if format is LogFormat.JSON else TextFormatter(redactor)
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.value.upper())
    for name in QUIET_LOGGERS:
        logger = logging.getLogger(name)
        logger.handlers = []
        logger.propagate = True
        logger.setLevel(logging.WARNING)
    return redactor


class LogLine(msgspec.Struct, rename={"class_name": "class"}, omit_defaults=True):
    """Fields of one log line; empty ones are omitted in JSON."""

    time: str
    level: str
    logger: str
    message: str
    request_id: str = ""
    customer: str = ""
    class_name: str = ""
    step: str = ""
    peer: str = ""
    error: str = ""
    fields: dict[str, Any] = {}


class _Formatter(logging.Formatter):
    """Builds redacted log lines; ``extra`` of a log call overrides fields of the log context."""

    def __init__(self, redactor: Redactor):
        super().__init__()
        self._redactor = redactor

    def _make_line(self, record: logging.LogRecord) -> LogLine:
        context = get_log_context()
        fields = {
            name: self._redactor.redact_text(str(getattr(record, name, getattr(context, name))))
            for name in context.__struct_fields__
        }
        time = datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds")
        message = self._redactor.redact_text(self._make_message(record))
        error = self._redactor.redact_text(self._format_error(record))
        return LogLine(
            time=time,
            level=record.levelname.lower(),
            logger=record.name,
            message=message,
            error=error,
            fields=getattr(record, "fields", {}),
            **fields,
        )

    def _make_message(self, record: logging.LogRecord) -> str:
        args = record.args or ()
        if not isinstance(args, tuple):
            args = (args,)
        shown = tuple(self._redactor.redact_argument(arg) for arg in args)
        template = record.msg if isinstance(record.msg, str) else "%s"
        if template is not record.msg:
            shown = (self._redactor.redact_argument(record.msg),)
        try:
            return template % shown if shown else template
        except (TypeError, ValueError):
            return template

    @staticmethod
    def _format_error(record: logging.LogRecord) -> str:
        if not record.exc_info or record.exc_info[1] is None:
            return ""
        exc = record.exc_info[1]
        frames = traceback.extract_tb(exc.__traceback__)
        positions = [f"{frame.name}:{frame.lineno}" for frame in frames]
        return f"{describe_error(exc)} at {' > '.join(positions)}"


class JsonFormatter(_Formatter):
    """Formats a log line as a JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the log record as one line of JSON."""
        return msgspec.json.encode(self._make_line(record)).decode()


class TextFormatter(_Formatter):
    """Formats a log line as text: time, level, logger, message, the fields that are set, error."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the log record as one line of text."""
        line = self._make_line(record)
        values = (line.request_id, line.customer, line.class_name, line.step, line.peer)
        pairs = zip(CONTEXT_FIELDS, values, strict=True)
        pairs = (*pairs, *line.fields.items())
        fields = " ".join(f"{name}={value}" for name, value in pairs if value)
        parts = [line.time, line.level.upper(), line.logger, line.message, fields, line.error]
        return " ".join(part for part in parts if part).replace("\n", " ")
