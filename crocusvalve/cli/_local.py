"""Commands that call no entry: ``settings`` and ``key``."""

import msgspec
from cyclopts import App

from crocusvalve.cli._commands import add_command
from crocusvalve.cli._options import JsonFlag
from crocusvalve.cli._output import print_result
from crocusvalve.security import make_key
from crocusvalve.settings import load_settings, read_role

__all__ = ["make_key_app", "make_settings_app"]


def make_settings_app() -> App:
    """Make the group of commands under ``settings``."""
    app = App(name="settings", help="Check settings files of processes.")
    add_command(app, check)
    return app


def make_key_app() -> App:
    """Make the group of commands under ``key``."""
    app = App(name="key", help="Make keys of customers and operators.")
    add_command(app, new)
    return app


def check(file: str, *, json: JsonFlag = False) -> None:
    """Check a settings file and report all problems.

    Examples
    --------
    crocusvalve settings check entry.toml

    Parameters
    ----------
    file
        Settings file of an entry, an agent or the stand-in platform; its ``role`` says which.
    """
    settings = load_settings(file, read_role(file))
    result = {"file": file, "node_id": settings.node_id, "role": settings.role.value}
    lines = [f"{file}: valid settings of {settings.role.value} {settings.node_id!r}"]
    print_result(result, lines, as_json=json)


def new(*, json: JsonFlag = False) -> None:
    """Make a key; it is shown only once, and its hash goes into the document.

    Examples
    --------
    crocusvalve key new
    """
    key = make_key()
    lines = [f"key: {key.key}", f"key_sha256: {key.sha256}"]
    print_result(msgspec.to_builtins(key), lines, as_json=json)
