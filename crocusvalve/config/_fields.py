"""Cached look-up of the fields of struct types."""

from functools import cache

import msgspec
from msgspec import Struct
from msgspec.structs import FieldInfo

__all__ = ["list_fields"]


@cache
def list_fields(struct_type: type[Struct]) -> tuple[FieldInfo, ...]:
    """Return the fields of a struct type, with their annotations resolved to types."""
    return msgspec.structs.fields(struct_type)
