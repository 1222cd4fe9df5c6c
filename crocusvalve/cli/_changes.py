"""Steps shared by the commands that change the document."""

import re
from pathlib import Path

from crocusvalve.admin import AdminClient, ConfigChange, ConfigReply, PlanReply
from crocusvalve.base import Revision
from crocusvalve.cli._output import format_changes, print_result
from crocusvalve.config import Problem
from crocusvalve.exceptions import ConfigError

__all__ = ["apply_change", "find_base", "make_change", "print_plan", "read_text"]

#: First line that ``config show`` writes.
HEADER_PATTERN = re.compile(
    r"# revision (?P<revision>\d{1,18}) for \S+, section (?P<digest>[0-9a-f]+)\n"
)


def read_text(path: str) -> str:
    """Return the text of a document's file.

    Raises
    ------
    ConfigError
        Where it is not readable.
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        problem = Problem("file", repr(path), "the path of a readable text file")
        raise ConfigError([str(problem)], step="read") from exc


def make_change(reply: ConfigReply, text: str, source: str) -> ConfigChange:
    """Make a change on the revision that was shown."""
    return ConfigChange(reply.revision, text, source, reply.section_digest)


def find_base(text: str, source: str, base: int | None) -> ConfigChange | None:
    """Make a change on the revision that an option or the file's first line names."""
    if base is not None:
        return ConfigChange(Revision(base), text, source)
    header = HEADER_PATTERN.match(text)
    if header is None:
        return None
    return ConfigChange(Revision(int(header["revision"])), text, source, header["digest"])


async def apply_change(client: AdminClient, change: ConfigChange, is_confirmed: bool) -> PlanReply:
    """Apply a change; a dangerous one only where it is confirmed."""
    if not is_confirmed:
        plan = await client.check_config(change)
        dangers = [item for item in plan.changes if item.is_dangerous]
        if dangers:
            problems = [f"{item.path}: {item.warning}: confirm with --yes" for item in dangers]
            raise ConfigError(problems, step="apply")
    return await client.put_config(change)


def print_plan(plan: PlanReply, as_json: bool, *, is_plan: bool = False) -> None:
    """Print what was or would be changed."""
    verb = "would change at" if is_plan else "in force as"
    lines = [f"{verb} revision {plan.revision}:", *format_changes(plan.changes)]
    print_result(plan, lines, as_json=as_json)
