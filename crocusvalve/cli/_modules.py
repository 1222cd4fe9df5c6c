"""Import of a package at the time that a command needs it."""

from importlib import import_module
from typing import Any

from crocusvalve.exceptions import CrocusvalveError, ErrorCode

__all__ = ["load_module"]


def load_module(name: str) -> Any:
    """Import a package of this program.

    Raises
    ------
    CrocusvalveError
        ``INTERNAL`` if the package is not installed.
    """
    try:
        return import_module(name)
    except ModuleNotFoundError as exc:
        message = f"{name} is not part of this installation"
        raise CrocusvalveError(ErrorCode.INTERNAL, message, step="import", peer=name) from exc
