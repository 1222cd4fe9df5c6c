"""Commands under ``config``, for the configuration document."""

from typing import Annotated

import trio
from cyclopts import App, Parameter

from crocusvalve.admin import (
    Accepted,
    ConfigReply,
    HistoryReply,
    PlanReply,
)
from crocusvalve.base import Revision
from crocusvalve.cli._changes import (
    apply_change,
    make_change,
    make_change_on_base,
    print_plan,
    read_text,
)
from crocusvalve.cli._commands import add_command
from crocusvalve.cli._modules import load_module
from crocusvalve.cli._options import (
    AdminOptions,
    JsonFlag,
    OptionsError,
    open_client,
)
from crocusvalve.cli._output import (
    format_changes,
    format_table,
    format_time,
    print_result,
)
from crocusvalve.cli._promote import promote
from crocusvalve.config import (
    Document,
    Problem,
    diff_documents,
    is_http_url,
    parse_document,
)
from crocusvalve.utils import MonotonicClock

__all__ = ["make_config_app"]

DEFAULT_OPTIONS = AdminOptions()
#: Author of the first revision, as the history shows it.
FIRST_AUTHOR = "config init"


def make_config_app() -> App:
    """Make the group of commands under ``config``."""
    app = App(name="config", help="Check, compare and change the document of an environment.")
    for command in (check, diff, init, apply, promote, history, show):
        add_command(app, command)
    return app


def check(file: str, *, json: JsonFlag = False) -> None:
    """Check a document locally, without calling an entry, and report all problems.

    Examples
    --------
    crocusvalve config check examples/production.toml

    Parameters
    ----------
    file
        A complete document in TOML.
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
    """Show what a document would change, with a warning for each dangerous change.

    Examples
    --------
    crocusvalve config diff crocusvalve/demo/trial.toml --url http://127.0.0.1:8080

    crocusvalve config diff crocusvalve/demo/trial.toml examples/production.toml

    Parameters
    ----------
    file
        A document in TOML; sections of other members may be omitted if an entry is asked.
    against
        A second document: show the changes from the first to it, without asking an entry.
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


def init(
    file: str,
    *,
    platform_url: Annotated[str, Parameter(help="URL of the platform's service.")],
    json: JsonFlag = False,
) -> None:
    """Publish the first document of an environment to an empty store.

    Before the first document, no entry knows any operator's key; so this command calls the
    platform's service, to which only its owners have access. A store that already holds a document
    is not changed.

    Examples
    --------
    crocusvalve config init crocusvalve/demo/trial.toml --platform-url http://127.0.0.1:9000

    Parameters
    ----------
    file
        A complete document in TOML.
    """
    document = parse_document(read_text(file), source=file)
    if not is_http_url(platform_url):
        problem = Problem("--platform-url", repr(platform_url), "an http or https URL with a host")
        raise OptionsError([str(problem)])
    revision = trio.run(publish_first_document, document, platform_url)
    lines = [f"{file}: in force as revision {revision}"]
    print_result(Accepted(revision), lines, as_json=json)


def apply(
    file: str,
    *,
    base: Annotated[int | None, Parameter(help="Revision that the file was made from.")] = None,
    yes: Annotated[bool, Parameter(help="Accept dangerous changes.")] = False,
    options: AdminOptions = DEFAULT_OPTIONS,
) -> None:
    """Put a document in force; dangerous changes need ``--yes``.

    A file written by ``config show`` begins with the revision it was made from: if the member's own
    section has changed since then, the command reports a conflict. ``--base`` names a revision
    instead, and any newer revision is a conflict. Without either, the file replaces the document in
    force.

    Examples
    --------
    crocusvalve config apply trial.toml --base 12 --url http://127.0.0.1:8080

    Parameters
    ----------
    file
        A document in TOML; sections of other members may be omitted.
    """
    text = read_text(file)

    async def run() -> PlanReply:
        async with open_client(options) as client:
            change = make_change_on_base(text, file, base)
            if change is None:
                change = make_change(await client.get_config(), text, file)
            return await apply_change(client, change, yes)

    print_plan(trio.run(run), options.json)


def history(
    *,
    n: Annotated[int, Parameter(help="Number of revisions.")] = 20,
    options: AdminOptions = DEFAULT_OPTIONS,
) -> None:
    """Show the latest revisions, newest first.

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
    """Show the document in force, as far as the operator's member may see it.

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


async def publish_first_document(document: Document, platform_url: str) -> Revision:
    """Publish a document to an empty store and return its revision."""
    platform = load_module("crocusvalve.store")
    control = load_module("crocusvalve.control")
    now = MonotonicClock().now()
    async with platform.HttpPlatform(platform_url) as tables:
        store = control.ConfigStore(tables, tables)
        return await store.publish(Revision(0), document, FIRST_AUTHOR, now)
