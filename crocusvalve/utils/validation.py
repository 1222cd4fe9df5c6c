"""Checks called first thing; every message names parameter, value and range."""

import re
from typing import Any

__all__ = ["check_name", "check_range", "check_type"]

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")


def check_type(name: str, value: Any, kind: type) -> None:
    """Raise TypeError where a parameter is not of a type."""
    if not isinstance(value, kind):
        raise TypeError(f"{name} must be {kind.__name__}, got {value!r}")


def check_range(
    name: str, value: float, *, low: float | None = None, high: float | None = None
) -> None:
    """Raise ValueError where a number is outside ``[low, high]``."""
    if (low is not None and value < low) or (high is not None and value > high):
        low_text = "-inf" if low is None else low
        high_text = "inf" if high is None else high
        raise ValueError(f"{name} must be in [{low_text}, {high_text}], got {value!r}")


def check_name(name: str, value: str) -> None:
    """Raise ValueError where a text is no valid local name."""
    if not NAME_PATTERN.fullmatch(value):
        raise ValueError(f"{name} must match {NAME_PATTERN.pattern}, got {value!r}")
