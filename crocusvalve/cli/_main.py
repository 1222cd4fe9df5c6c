"""Entry point of the command line, and the exit code of each run."""

import logging
import sys
from collections.abc import Sequence

from cyclopts import App, CycloptsError, Parameter

from crocusvalve import __version__
from crocusvalve.cli import _daemons, _operate
from crocusvalve.cli._commands import add_command
from crocusvalve.cli._config import make_config_app
from crocusvalve.cli._exit import ExitCode, find_exit_code
from crocusvalve.cli._explain import explain
from crocusvalve.cli._local import make_key_app, make_settings_app
from crocusvalve.cli._output import print_error
from crocusvalve.cli._summarize import summarize
from crocusvalve.exceptions import CrocusvalveError

__all__ = ["main", "make_app"]

HELP = """Model-aware router for versions and cascades in front of a shared pool of models.

Operators' commands take the entries' URLs from --url or CROCUSVALVE_ADMIN_URL and the operator's
key from --key-file or CROCUSVALVE_ADMIN_KEY.

Exit codes: 0 success, 1 internal error, 2 wrong usage, 3 invalid input, 4 conflict with another
change, 5 forbidden, 6 no entry reachable, 7 refused.
"""


def make_app() -> App:
    """Make the application with all commands."""
    app = App(
        name="crocusvalve",
        help=HELP,
        help_format="markdown",
        version=__version__,
        result_action="return_value",
        default_parameter=Parameter(negative=""),
    )
    for group in (
        make_config_app(),
        _operate.make_domain_app(),
        _operate.make_rollout_app(),
        make_settings_app(),
        make_key_app(),
        _daemons.make_standin_app(),
    ):
        app.command(group)
    add_command(app, _operate.status)
    add_command(app, _operate.usage)
    add_command(app, explain)
    add_command(app, summarize)
    add_command(app, _daemons.run_entry, "entry")
    add_command(app, _daemons.run_agent, "agent")
    add_command(app, _daemons.run_demo, "demo")
    add_command(app, _daemons.run_bench, "bench")
    add_command(app, _daemons.run_soak, "soak")
    return app


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code.

    Parameters
    ----------
    argv : sequence of str or None
        Arguments without the program's name; None means those of the process.

    Returns
    -------
    int
        An ``ExitCode``.
    """
    tokens = list(sys.argv[1:] if argv is None else argv)
    as_json = "--json" in tokens
    try:
        make_app()(tokens, exit_on_error=False)
    except CycloptsError:
        return ExitCode.USAGE
    except CrocusvalveError as exc:
        print_error(exc, as_json=as_json)
        return find_exit_code(exc)
    except SystemExit as exc:
        return exc.code if isinstance(exc.code, int) else ExitCode.OK
    except KeyboardInterrupt:
        return ExitCode.INTERNAL
    except Exception:
        logging.getLogger(__name__).exception("internal error")
        return ExitCode.INTERNAL
    return ExitCode.OK
