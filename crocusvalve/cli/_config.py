"""Commands of the configuration."""

import re
from pathlib import Path
from typing import Annotated

import trio
from cyclopts import App, Parameter

from crocusvalve.admin import AdminClient, ConfigChange, ConfigReply, HistoryReply, PlanReply
from crocusvalve.base import MemberId, Revision
from crocusvalve.cli._commands import add_command
from crocusvalve.cli._options import (
    AdminOptions,
    JsonFlag,
    OptionsError,
    open_client,
    read_key,
)
from crocusvalve.cli._output import (
    format_changes,
    format_table,
    format_time,
    print_result,
)
from crocusvalve.config import (
    Document,
    Problem,
    diff_documents,
    format_document,
    parse_document,
    promote_section,
    read_document,
)
from crocusvalve.exceptions import ConfigError

__all__ = ["make_config_app"]

TARGET_KEY_VARIABLE = "CROCUSVALVE_TARGET_KEY"
TARGET_URL_VARIABLE = "CROCUSVALVE_TARGET_URL"
DEFAULT_OPTIONS = AdminOptions()
#: First line that ``config show`` writes.
HEADER_PATTERN = re.compile(
    r"# revision (?P<revision>\d{1,18}) for \S+, section (?P<digest>[0-9a-f]+)\n"
)


def make_config_app() -> App:
    """Make the commands under ``config``."""
    app = App(name="config", help="Check, compare and change the document of an environment.")
    for command in (check, diff, apply, promote, history, show):
        add_command(app, command)
    return app


def check(file: str, *, json: JsonFlag = False) -> None:
    """Check a document without asking anybody; all faults are told.

    Examples
    --------
    crocusvalve config check examples/trial.toml

    Parameters
    ----------
    file
        A whole document in TOML.
    """
    document = parse_document(read_text(file), source=file)
    lines = [f"{file}: valid, environment {document.environment!r}"]
    for member, section in document.members.items():
        lines.append(
            f"  {member}: {len(section.customers)} customers, {len(section.models)} models, "
            f"{len(section.upstreams)} upstreams, {len(section.domains)} failure domains"
        )
    result = {"environment": document.environment, "members": list(document.members)}
    print_result(result, lines, as_json=json)


def diff(file: str, against: str = "", *, options: AdminOptions = DEFAULT_OPTIONS) -> None:
    """Show what a document changes, with warnings where a change is dangerous.

    Examples
    --------
    crocusvalve config diff examples/trial.toml --url http://127.0.0.1:8080

    crocusvalve config diff examples/trial.toml examples/production.toml

    Parameters
    ----------
    file
        A document in TOML; sections of other members may be left out where an entry is asked.
    against
        A second document: show what leads from the first to it, without asking an entry.
    """
    text = read_text(file)
    if against:
        old = parse_document(text, source=file)
        new = parse_document(read_text(against), source=against)
        changes = diff_documents(old, new)
        print_result(changes, format_changes(changes), as_json=options.json)
        return

    async def run() -> PlanReply:
        async with open_client(options) as client:
            reply = await client.get_config()
            return await client.check_config(make_change(reply, text, file))

    plan = trio.run(run)
    lines = [f"against revision {plan.revision}:", *format_changes(plan.changes)]
    print_result(plan, lines, as_json=options.json)


def apply(
    file: str,
    *,
    base: Annotated[int | None, Parameter(help="Revision that the file was made from.")] = None,
    yes: Annotated[bool, Parameter(help="Accept dangerous changes.")] = False,
    options: AdminOptions = DEFAULT_OPTIONS,
) -> None:
    """Put a document in force; dangerous changes need ``--yes``.

    A file written by ``config show`` begins with the revision it was made from: a change of the
    member's own section accepted since is a conflict. ``--base`` names a revision instead, and any
    newer one is a conflict. Without either the file replaces whatever is in force.

    Examples
    --------
    crocusvalve config apply trial.toml --base 12 --url http://127.0.0.1:8080

    Parameters
    ----------
    file
        A document in TOML; sections of other members may be left out.
    """
    text = read_text(file)

    async def run() -> PlanReply:
        async with open_client(options) as client:
            change = find_base(text, file, base)
            if change is None:
                change = make_change(await client.get_config(), text, file)
            return await apply_change(client, change, yes)

    print_plan(trio.run(run), options.json)


def promote(
    *,
    target_url: Annotated[
        list[str] | None,
        Parameter(env_var=TARGET_URL_VARIABLE, help="Entry of the target."),
    ] = None,
    target_key_file: Annotated[
        str, Parameter(help=f"Operator's key there, in place of {TARGET_KEY_VARIABLE}.")
    ] = "",
    dry_run: Annotated[bool, Parameter(help="Only show the changes.")] = False,
    yes: Annotated[bool, Parameter(help="Accept dangerous changes.")] = False,
    options: AdminOptions = DEFAULT_OPTIONS,
) -> None:
    """Take the member's section over from one environment to another.

    ``--url`` is an entry of the source. What belongs to an environment stays as it is: operators,
    failure domains, upstreams and the keys of customers.

    Examples
    --------
    crocusvalve config promote --url http://trial:8080 --target-url http://production:8080
    """
    target = AdminOptions(target_url, target_key_file, options.ca, options.timeout_s)

    async def run() -> PlanReply:
        async with open_client(options) as client:
            source = await client.get_config()
        async with open_target(target) as client:
            reply = await client.get_config()
            change = make_promotion(source, reply)
            if dry_run:
                return await client.check_config(change)
            return await apply_change(client, change, yes)

    print_plan(trio.run(run), options.json, is_plan=dry_run)


def history(
    *,
    n: Annotated[int, Parameter(help="Number of revisions.")] = 20,
    options: AdminOptions = DEFAULT_OPTIONS,
) -> None:
    """Show the last revisions, newest first.

    Examples
    --------
    crocusvalve config history --n 5 --url http://127.0.0.1:8080
    """

    async def run() -> HistoryReply:
        async with open_client(options) as client:
            return await client.get_history(n)

    reply = trio.run(run)
    rows = [(item.revision, format_time(item.at), item.author, item.note) for item in reply.entries]
    lines = format_table(("REVISION", "AT", "AUTHOR", "NOTE"), rows)
    print_result(reply, lines, as_json=options.json)


def show(*, options: AdminOptions = DEFAULT_OPTIONS) -> None:
    """Show the document in force, as the operator's member sees it.

    Examples
    --------
    crocusvalve config show --url http://127.0.0.1:8080 > trial.toml
    """

    async def run() -> ConfigReply:
        async with open_client(options) as client:
            return await client.get_config()

    reply = trio.run(run)
    header = f"# revision {reply.revision} for {reply.member}, section {reply.section_digest}"
    lines = [header, reply.document.rstrip()]
    print_result(reply, lines, as_json=options.json)


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


def make_promotion(source: ConfigReply, target: ConfigReply) -> ConfigChange:
    """Make the change that promotes a member's section."""
    member = MemberId(source.member)
    if target.member != member:
        problem = Problem("--target-key-file", repr(target.member), f"a key of member {member!r}")
        raise ConfigError([str(problem)], step="promote")
    document = promote_section(read_reply(source), read_reply(target), member)
    name = f"{source.environment} revision {source.revision}"
    return make_change(target, format_document(document), name)


def read_reply(reply: ConfigReply) -> Document:
    """Read the document of a reply."""
    return read_document(reply.document, source=reply.environment)


def open_target(target: AdminOptions) -> AdminClient:
    """Make a client of the target's entries, with a key of its own."""
    if not target.url:
        problem = Problem("--target-url", "(missing)", f"given, or {TARGET_URL_VARIABLE} set")
        raise OptionsError([str(problem)])
    key = read_key(target.key_file, TARGET_KEY_VARIABLE)
    return open_client(target, key=key)


def print_plan(plan: PlanReply, as_json: bool, *, is_plan: bool = False) -> None:
    """Print what was or would be changed."""
    verb = "would change at" if is_plan else "in force as"
    lines = [f"{verb} revision {plan.revision}:", *format_changes(plan.changes)]
    print_result(plan, lines, as_json=as_json)
