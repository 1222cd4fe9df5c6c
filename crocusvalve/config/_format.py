"""Serialisation of a document as TOML; values equal to their defaults are omitted."""

import json
import re
from collections.abc import Iterator
from enum import Enum
from typing import Any

from msgspec import NODEFAULT, Struct

from crocusvalve.config._document import Document
from crocusvalve.config._fields import list_fields

__all__ = ["format_document"]

BARE_KEY_PATTERN = re.compile(r"[A-Za-z0-9_-]+")
DELETE_CHAR = "\x7f"


def format_document(document: Document) -> str:
    """Return a document as TOML.

    Parameters
    ----------
    document : Document
        A valid document.

    Returns
    -------
    str
        TOML from which ``parse_document`` reads an equal document.
    """
    blocks = [f"environment = {_format_value(document.environment)}\n"]
    if not document.members:
        blocks.append("members = {}\n")
    for member, section in document.members.items():
        blocks.extend(_format_table(("members", member), section))
    return "\n".join(blocks)


def _format_table(path: tuple[str, ...], cfg: Struct) -> Iterator[str]:
    lines = []
    tables: list[tuple[tuple[str, ...], Struct]] = []
    for field in list_fields(type(cfg)):
        value = getattr(cfg, field.name)
        if isinstance(value, Struct):
            if value != _get_default(field):
                tables.append(((*path, field.name), value))
        elif isinstance(value, dict) and not value and field.required:
            lines.append(f"{field.name} = {{}}\n")
        elif isinstance(value, dict):
            tables.extend(((*path, field.name, name), item) for name, item in value.items())
        elif value != _get_default(field):
            lines.append(f"{field.name} = {_format_value(value)}\n")
    header = ".".join(_format_key(part) for part in path)
    yield f"[{header}]\n" + "".join(lines)
    for sub_path, table in tables:
        yield from _format_table(sub_path, table)


def _get_default(field: Any) -> Any:
    if field.default is not NODEFAULT:
        return field.default
    return field.default_factory() if field.default_factory is not NODEFAULT else NODEFAULT


def _format_key(name: str) -> str:
    return name if BARE_KEY_PATTERN.fullmatch(name) else _format_text(name)


def _format_value(value: Any) -> str:
    if isinstance(value, Enum):
        return _format_value(value.value)
    if isinstance(value, tuple):
        return "[" + ", ".join(_format_value(item) for item in value) + "]"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return _format_text(value)
    return repr(value)


def _format_text(text: str) -> str:
    # JSON escapes are valid in TOML basic strings; TOML needs the delete character escaped too.
    return json.dumps(text, ensure_ascii=False).replace(DELETE_CHAR, "\\u007f")
