"""Helpers shared by the commands that change the configuration document."""

import re
from pathlib import Path

from crocusvalve.admin import AdminClient, ConfigChange, ConfigReply, PlanReply
from crocusvalve.base import Revision
from crocusvalve.cli._output import format_changes, print_result
from crocusvalve.config import Problem
from crocusvalve.exceptions import ConfigError

__all__ = ["apply_change", "make_change_on_base", "make_change", "print_plan", "read_text"]

#: First line of the output of ``config show``: the revision and the digest of the section.
HEADER_PATTERN = re.compile(
    r"# revision (?P<revision>\d{1,18}) for \S+, section (?P<digest>[0-9a-f]+)\n"
)


def read_text(path: str) -> str:
    """Return the text of a document file.

    Raises
    ------
    ConfigError
        If the file can't be read or is not UTF-8 text.
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        problem = Problem("file", repr(path), "the path of a readable text file")
        raise ConfigError([str(problem)], step="read") from exc


def make_change(reply: ConfigReply, text: str, source: str) -> ConfigChange:
    """Make a change based on the revision and section digest of a reply."""
    return ConfigChange(reply.revision, text, source, reply.section_digest)


def make_change_on_base(text: str, source: str, base: int | None) -> ConfigChange | None:
    """Make a change based on the revision in ``base`` or in the file's first line.

    Returns
    -------
    ConfigChange or None
        None if neither names a revision.
    """
    if base is not None:
        return ConfigChange(Revision(base), text, source)
    header = HEADER_PATTERN.match(text)
    if header is None:
        return None
    return ConfigChange(Revision(int(header["revision"])), text, source, header["digest"])


async def apply_change(client: AdminClient, change: ConfigChange, is_confirmed: bool) -> PlanReply:
    """Apply a change.

    Raises
    ------
    ConfigError
        If the change is dangerous and is not confirmed.
    """
    if not is_confirmed:
        plan = await client.check_config(change)
        dangers = [item for item in plan.changes if item.is_dangerous]
        if dangers:
            problems = [f"{item.path}: {item.warning}: confirm with --yes" for item in dangers]
            raise ConfigError(problems, step="apply")
    return await client.put_config(change)


def print_plan(plan: PlanReply, as_json: bool, *, is_plan: bool = False) -> None:
    """Print the changes that were applied, or that would be with ``is_plan``."""
    verb = "would change at" if is_plan else "in force as"
    lines = [f"{verb} revision {plan.revision}:", *format_changes(plan.changes)]
    print_result(plan, lines, as_json=as_json)
