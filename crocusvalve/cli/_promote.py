"""Command that promotes a member's section from one environment to another."""

from typing import Annotated

import trio
from cyclopts import Parameter

from crocusvalve.admin import AdminClient, ConfigChange, ConfigReply, PlanReply
from crocusvalve.base import MemberId
from crocusvalve.cli._changes import apply_change, make_change, print_plan
from crocusvalve.cli._options import AdminOptions, OptionsError, open_client, read_key
from crocusvalve.config import (
    Document,
    Problem,
    format_document,
    promote_section,
    read_document,
)
from crocusvalve.exceptions import ConfigError

__all__ = ["promote"]

TARGET_KEY_VARIABLE = "CROCUSVALVE_TARGET_KEY"
TARGET_URL_VARIABLE = "CROCUSVALVE_TARGET_URL"
DEFAULT_OPTIONS = AdminOptions()


def promote(
    *,
    target_url: Annotated[
        list[str] | None,
        Parameter(env_var=TARGET_URL_VARIABLE, help="Base URL of a target's entry."),
    ] = None,
    target_key_file: Annotated[
        str, Parameter(help=f"File with the key for the target, instead of {TARGET_KEY_VARIABLE}.")
    ] = "",
    dry_run: Annotated[bool, Parameter(help="Show the changes without applying them.")] = False,
    yes: Annotated[bool, Parameter(help="Accept dangerous changes.")] = False,
    options: AdminOptions = DEFAULT_OPTIONS,
) -> None:
    """Copy the member's section from one environment to another.

    ``--url`` is an entry of the source. The parts that belong to an environment are not copied:
    operators, failure domains, upstreams and the keys of customers.

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


def make_promotion(source: ConfigReply, target: ConfigReply) -> ConfigChange:
    """Make the change that puts the source's section of a member into the target's document.

    Raises
    ------
    ConfigError
        If the keys of source and target belong to different members.
    """
    member = MemberId(source.member)
    if target.member != member:
        problem = Problem("--target-key-file", repr(target.member), f"a key of member {member!r}")
        raise ConfigError([str(problem)], step="promote")
    document = promote_section(parse_reply(source), parse_reply(target), member)
    name = f"{source.environment} revision {source.revision}"
    return make_change(target, format_document(document), name)


def parse_reply(reply: ConfigReply) -> Document:
    """Parse the document in a reply."""
    return read_document(reply.document, source=reply.environment)


def open_target(target: AdminOptions) -> AdminClient:
    """Make a client of the target's entries, with the operator's key for the target."""
    if not target.url:
        problem = Problem("--target-url", "(missing)", f"given, or {TARGET_URL_VARIABLE} set")
        raise OptionsError([str(problem)])
    key = read_key(target.key_file, TARGET_KEY_VARIABLE)
    return open_client(target, key=key)
