"""Exit codes by kind of failure."""

from enum import IntEnum

from crocusvalve.admin import UnreachableError
from crocusvalve.cli._options import OptionsError
from crocusvalve.exceptions import (
    ConfigConflictError,
    ConfigError,
    CrocusvalveError,
    ErrorCode,
)

__all__ = ["ExitCode", "find_exit_code"]


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    OK = 0
    #: An internal error of the program.
    INTERNAL = 1
    #: Unknown command, or a wrong or missing argument.
    USAGE = 2
    #: A document, a settings file or another input is invalid.
    INVALID = 3
    #: Another change was accepted first.
    CONFLICT = 4
    #: The key is unknown, or is not valid for the member concerned.
    FORBIDDEN = 5
    #: No entry replied.
    UNREACHABLE = 6
    #: An entry refused the call for another reason, such as an unavailable store.
    REFUSED = 7


EXIT_CODES = {
    ErrorCode.INTERNAL: ExitCode.INTERNAL,
    ErrorCode.CONFLICT: ExitCode.CONFLICT,
    ErrorCode.FORBIDDEN: ExitCode.FORBIDDEN,
    ErrorCode.BAD_KEY: ExitCode.FORBIDDEN,
    ErrorCode.BAD_REQUEST: ExitCode.INVALID,
    ErrorCode.BAD_JSON: ExitCode.INVALID,
    ErrorCode.CONFIG_INVALID: ExitCode.INVALID,
    ErrorCode.BODY_TOO_LARGE: ExitCode.INVALID,
    ErrorCode.NOT_FOUND: ExitCode.INVALID,
}


def find_exit_code(exc: CrocusvalveError) -> ExitCode:
    """Return the exit code of an error."""
    if isinstance(exc, OptionsError):
        return ExitCode.USAGE
    if isinstance(exc, UnreachableError):
        return ExitCode.UNREACHABLE
    if isinstance(exc, ConfigConflictError):
        return ExitCode.CONFLICT
    if isinstance(exc, ConfigError):
        return ExitCode.INVALID
    return EXIT_CODES.get(exc.code, ExitCode.REFUSED)
