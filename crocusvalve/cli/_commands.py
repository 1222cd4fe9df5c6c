"""Registration of commands; the examples of a docstring become part of the command's help."""

import inspect
import re
from collections.abc import Callable

from cyclopts import App

__all__ = ["add_command"]

EXAMPLES_PATTERN = re.compile(r"Examples\n-+\n(.*?)(?:\n\n\w+\n-+\n|\Z)", re.DOTALL)


def add_command(app: App, function: Callable[..., None], name: str = "") -> None:
    """Add a command to a group; its help ends with the examples from the function's docstring.

    Parameters
    ----------
    app : App
        Group that the command is added to.
    function : callable
        Function that runs the command; its parameters become the arguments and flags.
    name : str
        Name of the command; if empty, the name of the function.
    """
    doc = inspect.getdoc(function) or ""
    found = EXAMPLES_PATTERN.search(doc)
    lines = found.group(1).split("\n") if found else []
    epilogue = "\n\n".join(f"    {line}" for line in lines if line)
    app.command(
        function,
        name=name or function.__name__,
        help_epilogue=f"Examples:\n\n{epilogue}" if epilogue else None,
    )
