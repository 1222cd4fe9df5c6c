"""Command line: operators' commands, long-running processes and tests under load."""

from crocusvalve.cli._exit import ExitCode
from crocusvalve.cli._main import main, make_app

__all__ = ["ExitCode", "main", "make_app"]
