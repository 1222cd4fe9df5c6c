"""Fields of struct types, looked up once a type."""

from functools import cache

import msgspec
from msgspec import Struct
from msgspec.structs import FieldInfo

__all__ = ["list_fields"]


@cache
def list_fields(struct_type: type[Struct]) -> tuple[FieldInfo, ...]:
    """Return the fields of a struct type, with their evaluated types."""
    return msgspec.structs.fields(struct_type)
