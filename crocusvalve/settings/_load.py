"""Loading of a settings file and the key files that it names."""

from pathlib import Path
from typing import Any, TypeVar

import msgspec

from crocusvalve.config import Problem, StructReader, parse_toml, show_value
from crocusvalve.exceptions import SettingsError
from crocusvalve.settings._checks import MIN_KEY_CHARS, list_settings_problems
from crocusvalve.settings._settings import (
    AgentSettings,
    EntrySettings,
    PlatformSettings,
    ProcessSettings,
    SettingsRole,
)

__all__ = ["load_settings", "read_role"]

T = TypeVar("T", bound=ProcessSettings)

ROLE_BY_TYPE: dict[type[ProcessSettings], SettingsRole] = {
    EntrySettings: SettingsRole.ENTRY,
    AgentSettings: SettingsRole.AGENT,
    PlatformSettings: SettingsRole.PLATFORM,
}
TYPE_BY_ROLE = {role: settings_type for settings_type, role in ROLE_BY_TYPE.items()}


def load_settings(path: str | Path, settings_type: type[T]) -> T:
    """Load and validate a settings file and read the key files that it names.

    Parameters
    ----------
    path : str or Path
        The TOML file; relative paths in it are relative to the current directory.
    settings_type : type
        ``EntrySettings``, ``AgentSettings`` or ``PlatformSettings``.

    Returns
    -------
    ProcessSettings
        Valid settings, with the contents of the key files in ``internal_key`` and ``session_key``.

    Raises
    ------
    SettingsError
        With one entry in ``problems`` per problem: file, key, value and allowed range.
    """
    source = str(path)
    reader = StructReader()
    settings = reader.read(_read_tables(source), settings_type)
    problems = list(reader.problems)
    known = {problem.key for problem in problems}
    problems += [prob for prob in list_settings_problems(settings) if prob.key not in known]
    role = ROLE_BY_TYPE[settings_type]
    if "role" not in known and settings.role is not role:
        problems.append(Problem("role", repr(settings.role.value), role.value))
    _raise_problems(source, problems)
    return _read_keys(source, settings)


def read_role(path: str | Path) -> type[ProcessSettings]:
    """Return the type of settings for the ``role`` that a file names.

    Raises
    ------
    SettingsError
        If the file cannot be read, is not TOML or names no known role.
    """
    raw = _read_tables(str(path)).get("role")
    try:
        return TYPE_BY_ROLE[SettingsRole(raw)]
    except ValueError:
        allowed = "one of " + ", ".join(role.value for role in SettingsRole)
        problem = Problem("role", show_value("role", raw), allowed)
        raise SettingsError([f"{path}: {problem}"], step="settings") from None


def _read_tables(source: str) -> dict[str, Any]:
    try:
        text = Path(source).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError([f"{source}: cannot be read: {exc}"], step="settings") from exc
    raw, problems = parse_toml(text)
    _raise_problems(source, problems)
    return raw


def _raise_problems(source: str, problems: list[Problem]) -> None:
    if problems:
        raise SettingsError([f"{source}: {problem}" for problem in problems], step="settings")


def _read_keys(source: str, settings: T) -> T:
    changes = {}
    problems = []
    for name in ("internal_key", "session_key"):
        path = getattr(settings, f"{name}_file", "")
        if not path:
            continue
        key = _read_key_file(path)
        if len(key) < MIN_KEY_CHARS:
            allowed = f"a file with a key of at least {MIN_KEY_CHARS} characters"
            problems.append(Problem(f"{name}_file", repr(path), allowed))
        changes[name] = key
    _raise_problems(source, problems)
    return msgspec.structs.replace(settings, **changes)


def _read_key_file(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError):
        return ""
