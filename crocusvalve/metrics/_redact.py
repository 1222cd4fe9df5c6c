"""Removal of keys and of requests' contents from what is logged."""

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
#: Fields of requests and answers that hold text of callers, as they stand in JSON.
CONTENT_PATTERN = re.compile(
    r"(?s)([\"'](?:messages|content|prompt|input|text|data|body|arguments)[\"']\s*:\s*).*"
)


class Redactor:
    """Hides keys and requests' contents.

    Strings that look like keys and registered secrets are replaced; so is everything from a JSON
    field that holds a caller's text on. Arguments of a log call that are neither short strings nor
    numbers nor errors of this program are replaced whole, so that no body of a request gets in.
    """

    def __init__(self) -> None:
        self._secrets: set[str] = set()

    def add_secret(self, secret: str) -> None:
        """Register a key of this process; very short ones are left out."""
        if len(secret) >= MIN_SECRET_CHARS:
            self._secrets.add(secret)

    def redact_text(self, text: str) -> str:
        """Return a text without keys and contents, at most ``MAX_MESSAGE_CHARS`` long."""
        for secret in self._secrets:
            text = text.replace(secret, HIDDEN)
        text = CONTENT_PATTERN.sub(rf"\g<1>{HIDDEN}", text)
        for pattern in SECRET_PATTERNS:
            text = pattern.sub(rf"\g<1>{HIDDEN}", text)
        return text[:MAX_MESSAGE_CHARS]

    def redact_argument(self, value: Any) -> Any:
        """Return an argument of a log call as it may be shown."""
        if value is None or isinstance(value, bool | int | float):
            return value
        if isinstance(value, BaseException):
            return describe_error(value)
        if isinstance(value, str) and len(value) <= MAX_ARGUMENT_CHARS:
            return value
        return HIDDEN


def describe_error(exc: BaseException) -> str:
    """Return an error's type, and its message where it is one of this program.

    Other libraries' messages may quote what they were given.
    """
    if isinstance(exc, CrocusvalveError):
        return f"{type(exc).__name__}: {exc}"
    return type(exc).__name__
