"""Removal of keys and of the contents of requests from log lines."""

import re
from typing import Any

from crocusvalve.exceptions import CrocusvalveError

__all__ = ["HIDDEN", "Redactor"]

HIDDEN = "(hidden)"
MAX_ARGUMENT_CHARS = 300
MAX_MESSAGE_CHARS = 2000
MIN_SECRET_CHARS = 8

SECRET_PATTERNS = (
    re.compile(r"(?i)\b(bearer\s+)[^\s\"',;]+"),
    re.compile(
        r"(?i)\b((?:x-crocusvalve-token|[a-z_-]*(?:key|token|secret|authorization))[\"']?\s*[=:]\s*"
        r"[\"']?)(?!\(hidden\)|bearer\b)[^\s\"',;]+"
    ),
    re.compile(r"()\b(?:cv|sk)-[A-Za-z0-9_-]{12,}"),
    re.compile(r"()\bdemo-[a-z0-9]+-[a-z0-9-]+"),
)
#: JSON fields of requests and answers that contain callers' text.
CONTENT_PATTERN = re.compile(
    r"(?s)([\"'](?:messages|content|prompt|input|text|data|body|arguments)[\"']\s*:\s*).*"
)


class Redactor:
    """Hides keys and the contents of requests in log lines.

    Registered secrets and strings that look like keys are replaced, and so is everything after the
    name of a JSON field that contains a caller's text. An argument of a log call that is neither a
    short string nor a number is replaced entirely, so that no body of a request is logged; an error
    is replaced by ``describe_error``.
    """

    def __init__(self) -> None:
        self._secrets: set[str] = set()

    def add_secret(self, secret: str) -> None:
        """Register a key of this process; keys shorter than ``MIN_SECRET_CHARS`` are ignored."""
        if len(secret) >= MIN_SECRET_CHARS:
            self._secrets.add(secret)

    def redact_text(self, text: str) -> str:
        """Return a text without keys and contents, truncated to ``MAX_MESSAGE_CHARS``."""
        for secret in self._secrets:
            text = text.replace(secret, HIDDEN)
        text = CONTENT_PATTERN.sub(rf"\g<1>{HIDDEN}", text)
        for pattern in SECRET_PATTERNS:
            text = pattern.sub(rf"\g<1>{HIDDEN}", text)
        return text[:MAX_MESSAGE_CHARS]

    def redact_argument(self, value: Any) -> Any:
        """Return an argument of a log call in the form that may be logged."""
        if value is None or isinstance(value, bool | int | float):
            return value
        if isinstance(value, BaseException):
            return describe_error(value)
        if isinstance(value, str) and len(value) <= MAX_ARGUMENT_CHARS:
            return value
        return HIDDEN


def describe_error(exc: BaseException) -> str:
    """Return an error's type, and its message if it is an error of this program.

    Messages of other libraries' errors may quote their input, such as a request's content.
    """
    if isinstance(exc, CrocusvalveError):
        return f"{type(exc).__name__}: {exc}"
    return type(exc).__name__
