"""Problems found in a document or a settings file."""

from typing import Any

from msgspec import Struct

__all__ = ["Problem", "show_value"]

MAX_SHOWN_CHARS = 80
SECRET_WORDS = ("key", "token", "secret")


class Problem(Struct, frozen=True):
    """A value that is not allowed.

    Attributes
    ----------
    key : str
        Dotted key of the value.
    value : str
        The value found, as text for a message.
    allowed : str
        Description of the allowed values; it follows "must be" in the message.
    is_foreign : bool
        Whether the problem is an unresolved reference to another member's model.
    """

    key: str
    value: str
    allowed: str
    is_foreign: bool = False

    def __str__(self) -> str:
        return f"{self.key} = {self.value}: must be {self.allowed}"


def show_value(key: str, value: Any) -> str:
    """Return a value as text for an error message.

    Parameters
    ----------
    key : str
        Dotted key of the value; a string is hidden if the last part of its key contains one of
        ``SECRET_WORDS``, as it may be a secret.
    value : object
        The value, or None if it is missing.

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
