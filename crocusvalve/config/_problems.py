"""Faults of a document or a settings file, each with key, value and allowed range."""

from typing import Any

from msgspec import Struct

__all__ = ["Problem", "show_value"]

MAX_SHOWN_CHARS = 80
SECRET_WORDS = ("key", "token", "secret")


class Problem(Struct, frozen=True):
    """A fault: where it stands, the value found, shown as text, and what is allowed.

    ``is_foreign`` marks a reference to another member's model that does not resolve.
    """

    key: str
    value: str
    allowed: str
    is_foreign: bool = False

    def __str__(self) -> str:
        return f"{self.key} = {self.value}: must be {self.allowed}"


def show_value(key: str, value: Any) -> str:
    """Return a value as text for a message.

    Parameters
    ----------
    key : str
        Dotted key of the value; texts under a key that may hold a secret are hidden.
    value : object
        The value; ``None`` stands for a missing one.

    Returns
    -------
    str
        At most ``MAX_SHOWN_CHARS`` characters.
    """
    if value is None:
        return "(missing)"
    last = key.rpartition(".")[2]
    if isinstance(value, str) and any(word in last for word in SECRET_WORDS):
        return "(hidden)"
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARS else text[: MAX_SHOWN_CHARS - 3] + "..."
