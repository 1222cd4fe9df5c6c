"""Limits on what the operators of a member may see and change in the document."""

import msgspec

from crocusvalve.base import MemberId
from crocusvalve.config._check import list_problems
from crocusvalve.config._document import Document, MemberConfig, ModelConfig
from crocusvalve.exceptions import ConfigError, CrocusvalveError, ErrorCode
from crocusvalve.utils import compute_digest

__all__ = [
    "check_author",
    "check_change",
    "compute_section_digest",
    "filter_document",
    "merge_section",
]


def check_author(old: Document, new: Document, member: MemberId) -> None:
    """Raise an error if a change touches anything outside a member's section.

    Parameters
    ----------
    old, new : Document
        The document in force and the proposed one.
    member : MemberId
        Member that the author's key is bound to.

    Raises
    ------
    CrocusvalveError
        With code ``forbidden`` if the environment or another member's section differs, or if the
        member's own section is missing in either document.
    """
    if member not in old.members:
        raise _make_forbidden(f"member {member!r} has no section", member)
    if new.environment != old.environment:
        raise _make_forbidden("the environment may not be changed", member)
    if member not in new.members:
        raise _make_forbidden("a member may not remove its own section", member)
    for other in old.members.keys() | new.members.keys():
        if other != member and old.members.get(other) != new.members.get(other):
            raise _make_forbidden("the change touches another member's section", member)


def check_change(old: Document, new: Document, member: MemberId) -> None:
    """Check that a change stays within a member's section and that this section is valid.

    Problems in other members' sections are ignored, so that no member can block another's change.
    A reference to another member's model that became invalid earlier, because its owner no longer
    shares the model, is ignored as well.

    Parameters
    ----------
    old, new : Document
        The document in force and the proposed one.
    member : MemberId
        Member that the author's key is bound to.

    Raises
    ------
    CrocusvalveError
        With code ``forbidden`` if the change touches anything outside the member's section.
    ConfigError
        With every problem of the member's section.
    """
    check_author(old, new, member)
    problems = list_problems(new, only=member)
    if any(problem.is_foreign for problem in problems):
        inherited = {problem for problem in list_problems(old, only=member) if problem.is_foreign}
        problems = [problem for problem in problems if problem not in inherited]
    if problems:
        raise ConfigError([str(problem) for problem in problems], step="check", peer=member)


def filter_document(document: Document, member: MemberId) -> Document:
    """Return the document with only a member's own section and the models shared with it."""
    members = {}
    for other, section in document.members.items():
        if other == member:
            members[other] = section
            continue
        shared = _list_shared_models(section, member)
        if shared:
            members[other] = MemberConfig(models=shared)
    return Document(document.environment, members)


def merge_section(current: Document, proposed: Document, member: MemberId) -> Document:
    """Replace a member's section in the current document by that of a proposed document.

    The proposed document may omit other members, or contain them as ``filter_document`` shows
    them to the member.

    Raises
    ------
    CrocusvalveError
        With code ``forbidden`` if the proposed document changes anything else.
    """
    visible = filter_document(current, member)
    members = dict(current.members)
    for other, section in proposed.members.items():
        if other == member or section != visible.members.get(other):
            members[other] = section
    merged = Document(proposed.environment, members)
    check_author(current, merged, member)
    return merged


def compute_section_digest(document: Document, member: MemberId) -> str:
    """Return a digest of a member's section; equal sections have equal digests."""
    section = document.members.get(member)
    return compute_digest(msgspec.msgpack.encode(section, order="deterministic"))


def _list_shared_models(section: MemberConfig, member: MemberId) -> dict[str, ModelConfig]:
    return {
        name: msgspec.structs.replace(model, shared_with=(member,))
        for name, model in section.models.items()
        if member in model.shared_with
    }


def _make_forbidden(message: str, member: str) -> CrocusvalveError:
    return CrocusvalveError(ErrorCode.FORBIDDEN, message, step="check_author", peer=member)
