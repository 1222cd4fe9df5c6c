"""Differences between two documents, with a warning for each dangerous change."""

from collections.abc import Iterator
from typing import Any

import msgspec
from msgspec import Struct

from crocusvalve.config._document import Document
from crocusvalve.config._fields import list_fields
from crocusvalve.config._warnings import find_warning

__all__ = ["Change", "diff_documents"]


class Change(Struct, frozen=True):
    """One difference between two documents.

    Attributes
    ----------
    path : str
        Dotted key of the changed value.
    old, new : object
        Values before and after the change as built-in types, with hashes of keys hidden; ``old``
        is None for an added entry, ``new`` for a removed one.
    warning : str
        Reason why the change is dangerous; empty for a harmless change.
    """

    path: str
    old: Any
    new: Any
    warning: str = ""

    @property
    def is_dangerous(self) -> bool:
        """Whether the change has a warning."""
        return bool(self.warning)


def diff_documents(old: Document, new: Document) -> list[Change]:
    """Return the differences between two documents.

    Parameters
    ----------
    old, new : Document
        Documents before and after the change, whose fields have the declared types.

    Returns
    -------
    list of Change
        One per changed value, in the key order of the old document, added entries after the others.
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
