"""Command line: operators' commands, long-running processes, demo, benchmarks and soak runs."""

from crocusvalve.cli._exit import ExitCode
from crocusvalve.cli._main import main, make_app

__all__ = ["ExitCode", "main", "make_app"]
