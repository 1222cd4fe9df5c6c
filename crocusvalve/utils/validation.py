"""Argument checks; every error message names the parameter, its value and the allowed range."""

import re

__all__ = ["NAME_PATTERN", "check_range"]

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")


def check_range(
    name: str, value: float, *, low: float | None = None, high: float | None = None
) -> None:
    """Check that a number is in ``[low, high]``; None leaves that side unbounded.

    Raises
    ------
    ValueError
        If the number is outside the range.
    """
    if (low is not None and value < low) or (high is not None and value > high):
        low_text = "-inf" if low is None else low
        high_text = "inf" if high is None else high
        raise ValueError(f"{name} must be in [{low_text}, {high_text}], got {value!r}")
