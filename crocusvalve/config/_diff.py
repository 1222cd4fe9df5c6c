"""Differences between two documents, with a warning where a change is dangerous."""

from collections.abc import Iterator
from typing import Any

import msgspec
from msgspec import Struct

from crocusvalve.config._document import Document
from crocusvalve.config._fields import list_fields
from crocusvalve.config._warnings import find_warning

__all__ = ["Change", "diff_documents"]


class Change(Struct, frozen=True):
    """One difference; ``old`` or ``new`` is None where an entry was added or removed.

    Attributes
    ----------
    path : str
        Dotted key.
    old, new : object
        Values as plain data; hashes of keys are hidden.
    warning : str
        Why the change is dangerous, or an empty string.
    """

    path: str
    old: Any
    new: Any
    warning: str = ""

    @property
    def is_dangerous(self) -> bool:
        """Whether the change carries a warning."""
        return bool(self.warning)


def diff_documents(old: Document, new: Document) -> list[Change]:
    """Return what a new document changes.

    Parameters
    ----------
    old, new : Document
        Documents of the right types.

    Returns
    -------
    list of Change
        In the order of the old document, then of the new one.
    """
    changes = []
    for path, before, after in _iterate_differences((), old, new):
        warning = find_warning(path, before, after, old)
        shown = [_to_builtins(path, value) for value in (before, after)]
        changes.append(Change(".".join(path), *shown, warning))
    return changes


def _iterate_differences(
    path: tuple[str, ...], old: Any, new: Any
) -> Iterator[tuple[tuple[str, ...], Any, Any]]:
    if old == new:
        return
    if isinstance(old, Struct) and isinstance(new, Struct):
        for field in list_fields(type(old)):
            name = field.name
            yield from _iterate_differences((*path, name), getattr(old, name), getattr(new, name))
    elif isinstance(old, dict) and isinstance(new, dict):
        for name in [*old, *(name for name in new if name not in old)]:
            yield from _iterate_differences((*path, name), old.get(name), new.get(name))
    else:
        yield path, old, new


def _to_builtins(path: tuple[str, ...], value: Any) -> Any:
    if path[-1] == "key_sha256":
        return "(hidden)"
    return _hide_hashes(msgspec.to_builtins(value))


def _hide_hashes(value: Any) -> Any:
    if isinstance(value, dict):
        return {
            name: "(hidden)" if name == "key_sha256" else _hide_hashes(item)
            for name, item in value.items()
        }
    return value
