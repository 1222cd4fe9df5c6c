"""Conversion of TOML tables to structs that reports every problem, not only the first one."""

import tomllib
from collections.abc import Mapping
from enum import Enum
from types import NoneType, UnionType
from typing import Any, Union, get_args, get_origin

import msgspec
from msgspec import NODEFAULT, Struct
from msgspec.structs import FieldInfo

from crocusvalve.config._fields import list_fields
from crocusvalve.config._problems import Problem, show_value

__all__ = ["StructReader", "parse_toml"]

MAX_TOML_BYTES = 4 * 2**20


def parse_toml(text: str) -> tuple[dict[str, Any], list[Problem]]:
    """Parse TOML text.

    Parameters
    ----------
    text : str
        Contents of a file, at most ``MAX_TOML_BYTES`` in UTF-8.

    Returns
    -------
    tuple of dict and list of Problem
        The parsed tables, empty if the text is not valid TOML, and the problems found.
    """
    n_bytes = len(text.encode(errors="replace"))
    if n_bytes > MAX_TOML_BYTES:
        return {}, [Problem("file", f"{n_bytes} bytes", f"at most {MAX_TOML_BYTES} bytes")]
    try:
        return tomllib.loads(text), []
    except RecursionError:
        return {}, [Problem("file", "tables nested too deeply", "TOML of the documented structure")]
    except ValueError as exc:
        return {}, [Problem("file", str(exc), "TOML")]


class StructReader:
    """Converts parsed TOML tables to structs and collects the problems found.

    An invalid value is replaced by the field's default or an empty value, so that reading continues
    and finds the remaining problems too.

    Attributes
    ----------
    problems : list of Problem
        Problems found so far, in the order of reading.
    """

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def read(self, raw: Any, struct_type: type[Struct], key: str = "") -> Any:
        """Convert a table to a struct.

        Parameters
        ----------
        raw : object
            Value from the TOML parser; a problem is recorded if it is not a table.
        struct_type : type
            Type of the struct to build.
        key : str
            Dotted key of the table, empty for the root of the file.

        Returns
        -------
        Struct
            An instance of ``struct_type``; use it only if ``problems`` is empty.
        """
        if not isinstance(raw, Mapping):
            self._add_problem(key, raw, "a table")
            raw = {}
        fields = {field.name: field for field in list_fields(struct_type)}
        for name in raw:
            if name not in fields:
                self._add_problem(
                    _join_key(key, name), raw[name], f"one of the keys {', '.join(fields)}"
                )
        values = {}
        for name, field in fields.items():
            if name in raw:
                values[name] = self._read_value(raw[name], field, _join_key(key, name))
            elif field.required:
                self._add_problem(
                    _join_key(key, name), None, f"present, {_describe_type(field.type)}"
                )
                values[name] = _make_empty(field.type)
        return struct_type(**values)

    def _read_value(self, raw: Any, field: FieldInfo, key: str) -> Any:
        hint = field.type
        if _is_struct(hint):
            return self.read(raw, hint, key)
        if get_origin(hint) is dict and _is_struct(get_args(hint)[1]):
            return self._read_dict(raw, get_args(hint)[1], key)
        try:
            return msgspec.convert(raw, hint)
        except (msgspec.ValidationError, OverflowError):
            self._add_problem(key, raw, _describe_type(hint))
        return _make_default(field)

    def _read_dict(self, raw: Any, struct_type: type[Struct], key: str) -> dict[str, Any]:
        if not isinstance(raw, Mapping):
            self._add_problem(key, raw, "a table of tables")
            return {}
        return {
            name: self.read(value, struct_type, _join_key(key, name)) for name, value in raw.items()
        }

    def _add_problem(self, key: str, value: Any, allowed: str) -> None:
        self.problems.append(Problem(key, show_value(key, value), allowed))


def _join_key(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name


def _is_struct(hint: Any) -> bool:
    return isinstance(hint, type) and issubclass(hint, Struct)


def _describe_type(hint: Any) -> str:
    if isinstance(hint, type) and issubclass(hint, Enum):
        return "one of " + ", ".join(str(member.value) for member in hint)
    if get_origin(hint) is tuple:
        return f"an array of {_describe_type(get_args(hint)[0])}"
    if get_origin(hint) is dict or _is_struct(hint):
        return "a table"
    if get_origin(hint) in (Union, UnionType):
        return " or ".join(_describe_type(arg) for arg in get_args(hint) if arg is not NoneType)
    names = {str: "text", int: "a whole number", float: "a number", bool: "true or false"}
    return names.get(hint, str(hint))


def _make_default(field: FieldInfo) -> Any:
    if field.default is not NODEFAULT:
        return field.default
    if field.default_factory is not NODEFAULT:
        return field.default_factory()
    return _make_empty(field.type)


def _make_empty(hint: Any) -> Any:
    if isinstance(hint, type) and issubclass(hint, Enum):
        return next(iter(hint))
    if _is_struct(hint):
        required = [field for field in list_fields(hint) if field.required]
        return hint(**{field.name: _make_empty(field.type) for field in required})
    origin = get_origin(hint) or hint
    return origin() if origin in (dict, tuple, str, int, float, bool) else None
