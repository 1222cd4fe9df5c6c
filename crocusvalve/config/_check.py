"""Validation of a complete document: names, ranges, sizes and references."""

import re
from collections.abc import Iterator

from crocusvalve.base import MemberId
from crocusvalve.config._document import Document, MemberConfig
from crocusvalve.config._limits import (
    MAX_ENTRIES,
    MAX_MEMBERS,
    NUMBER_RANGES,
)
from crocusvalve.config._problems import Problem, show_value
from crocusvalve.config._ranges import MAX_TEXT_CHARS, list_value_problems
from crocusvalve.config._references import list_key_problems, list_reference_problems
from crocusvalve.utils.validation import NAME_PATTERN

__all__ = ["check_document", "list_problems"]

ENVIRONMENT_PATTERN = re.compile(r"[a-z][a-z0-9-]{0,30}")
#: Without dots, so that the dotted key of one member is never a prefix of another member's.
MEMBER_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,30}")


def check_document(document: Document) -> list[str]:
    """Return every problem of a document; the list is empty if it is valid.

    Parameters
    ----------
    document : Document
        A document whose fields have the declared types; its values are checked here.

    Returns
    -------
    list of str
        One message per problem, with key, value and allowed range.
    """
    return [str(problem) for problem in list_problems(document)]


def list_problems(document: Document, *, only: MemberId | None = None) -> list[Problem]:
    """Return the problems of a document as ``Problem`` objects.

    Parameters
    ----------
    document : Document
        A document whose fields have the declared types.
    only : MemberId or None
        If set, check only this member's section: its values, its references, and its key hashes
        against those of all other members. Problems of the document as a whole, such as its
        environment, are returned too.
    """
    problems = []
    if not ENVIRONMENT_PATTERN.fullmatch(document.environment):
        shown = show_value("environment", document.environment)
        problems.append(Problem("environment", shown, f"text like {ENVIRONMENT_PATTERN.pattern}"))
    if len(document.members) > MAX_MEMBERS:
        shown = f"{len(document.members)} members"
        problems.append(Problem("members", shown, f"at most {MAX_MEMBERS} members"))
    for member, section in document.members.items():
        if only not in (None, member):
            continue
        key = f"members.{member}"
        if not MEMBER_PATTERN.fullmatch(member):
            problems.append(
                Problem(key[:80], repr(member)[:80], f"a name like {MEMBER_PATTERN.pattern}")
            )
        problems.extend(_check_entries(key, section))
        problems.extend(list_value_problems(key, section, NUMBER_RANGES))
    problems.extend(list_reference_problems(document, only=only))
    problems.extend(list_key_problems(document))
    if only is None:
        return problems
    prefix = f"members.{only}."
    return [prob for prob in problems if prob.key.startswith(prefix) or _is_global(prob)]


def _is_global(problem: Problem) -> bool:
    return not problem.key.startswith("members.")


def _check_entries(key: str, section: MemberConfig) -> Iterator[Problem]:
    for table, limit in MAX_ENTRIES.items():
        entries = getattr(section, table)
        if len(entries) > limit:
            yield Problem(f"{key}.{table}", f"{len(entries)} entries", f"at most {limit} entries")
        for name in entries:
            yield from _check_name(f"{key}.{table}.{name}", name)


def _check_name(key: str, name: str) -> Iterator[Problem]:
    if not NAME_PATTERN.fullmatch(name):
        yield Problem(key[:MAX_TEXT_CHARS], repr(name)[:80], f"a name like {NAME_PATTERN.pattern}")
