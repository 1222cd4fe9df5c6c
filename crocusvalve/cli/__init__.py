"""Command line: operators' commands, daemons and trials."""

from crocusvalve.cli._exit import ExitCode
from crocusvalve.cli._main import main, make_app

__all__ = ["ExitCode", "main", "make_app"]
