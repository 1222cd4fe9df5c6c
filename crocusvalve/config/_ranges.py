"""Ranges of numbers, and a check of the values of nested structs against them."""

from collections.abc import Iterator, Mapping
from typing import Any

from msgspec import Struct

from crocusvalve.config._fields import list_fields
from crocusvalve.config._problems import Problem, show_value

__all__ = ["MAX_ITEMS", "MAX_TEXT_CHARS", "NumberRange", "RangeTable", "list_value_problems"]

#: Maximum length of a string.
MAX_TEXT_CHARS = 256
#: Maximum number of items in an array.
MAX_ITEMS = 256


class NumberRange(Struct, frozen=True):
    """A closed interval of allowed numbers and their unit."""

    low: float
    high: float
    unit: str = ""

    def contains(self, value: float) -> bool:
        """Return whether a number is in the range; NaN never is."""
        return self.low <= value <= self.high

    def __str__(self) -> str:
        unit = f" {self.unit}" if self.unit else ""
        return f"in [{self.low:g}, {self.high:g}]{unit}"


#: Allowed ranges by struct type and field name.
RangeTable = Mapping[type, Mapping[str, NumberRange]]


def list_value_problems(key: str, cfg: Struct, ranges: RangeTable) -> Iterator[Problem]:
    """Yield a problem for each number out of range and each string or array that is too long.

    Parameters
    ----------
    key : str
        Dotted key of the struct, empty for the root of the file.
    cfg : Struct
        Struct whose fields have the declared types; nested structs are checked too.
    ranges : Mapping
        Allowed ranges by struct type and field name.
    """
    ranges_of_type = ranges.get(type(cfg), {})
    for field in list_fields(type(cfg)):
        value = getattr(cfg, field.name)
        path = f"{key}.{field.name}" if key else field.name
        allowed = ranges_of_type.get(field.name)
        if allowed is not None and not allowed.contains(value):
            yield Problem(path, show_value(path, value), str(allowed))
        yield from _check_value(path, value, ranges)


def _check_value(key: str, value: Any, ranges: RangeTable) -> Iterator[Problem]:
    if isinstance(value, Struct):
        yield from list_value_problems(key, value, ranges)
    elif isinstance(value, dict):
        for name, item in value.items():
            yield from _check_value(f"{key}.{name}", item, ranges)
    elif isinstance(value, tuple):
        if len(value) > MAX_ITEMS:
            yield Problem(key, f"{len(value)} items", f"at most {MAX_ITEMS} items")
        for item in value[:MAX_ITEMS]:
            yield from _check_value(key, item, ranges)
    elif isinstance(value, str) and len(value) > MAX_TEXT_CHARS:
        yield Problem(key, f"{len(value)} characters", f"at most {MAX_TEXT_CHARS} characters")
