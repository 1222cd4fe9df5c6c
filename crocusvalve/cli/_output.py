"""Printing of results and errors, as text or as JSON."""

import json
import sys
from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any

import msgspec

from crocusvalve.config import Change
from crocusvalve.exceptions import CrocusvalveError

__all__ = [
    "format_changes",
    "format_table",
    "format_time",
    "print_error",
    "print_lines",
    "print_result",
]


def print_result(message: Any, lines: Sequence[str], *, as_json: bool) -> None:
    """Print a result as JSON or as text.

    Parameters
    ----------
    message : object
        Typed result, printed as one document if ``as_json`` is set.
    lines : sequence of str
        Lines printed otherwise.
    as_json : bool
        Whether to print JSON.
    """
    if as_json:
        print(json.dumps(msgspec.to_builtins(message), indent=2, sort_keys=True))
    else:
        print_lines(lines)


def print_lines(lines: Sequence[str]) -> None:
    """Print lines to standard output."""
    for line in lines:
        print(line)


def print_error(exc: CrocusvalveError, *, as_json: bool) -> None:
    """Print an error: as JSON to standard output, as text to standard error."""
    problems = getattr(exc, "problems", [])
    if as_json:
        error = {
            "code": exc.code.code,
            "message": exc.message,
            "step": exc.step,
            "peer": exc.peer,
            "problems": problems,
            "revision": getattr(exc, "revision", None),
            "maybe_applied": getattr(exc, "maybe_applied", False),
        }
        print(json.dumps({"error": error}, indent=2, sort_keys=True))
        return
    step = f" at {exc.step}" if exc.step else ""
    peer = f" ({exc.peer})" if exc.peer else ""
    text = f"{len(problems)} problem(s)" if problems else exc.message
    print(f"error: {exc.code.code}{step}{peer}: {text}", file=sys.stderr)
    for problem in problems:
        print(f"  {problem}", file=sys.stderr)
    if getattr(exc, "maybe_applied", False):
        print("  the change may be in force: check with `config show`", file=sys.stderr)


def format_table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> list[str]:
    """Return rows as aligned columns under a header."""
    cells = [[str(cell) for cell in row] for row in [header, *rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]


def format_changes(changes: Sequence[Change]) -> list[str]:
    """Return changes as lines of text, each change followed by its warning, if any."""
    lines = []
    for change in changes:
        lines.append(f"{change.path}: {_format_value(change.old)} -> {_format_value(change.new)}")
        if change.is_dangerous:
            lines.append(f"  warning: {change.warning}")
    return lines or ["no changes"]


def format_time(time_s: float) -> str:
    """Return Unix seconds as an ISO 8601 time in UTC."""
    return datetime.fromtimestamp(time_s, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def _format_value(value: Any) -> str:
    return "(none)" if value is None else json.dumps(value, sort_keys=True)
