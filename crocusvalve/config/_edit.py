"""Single changes of a document that operators and the controller make."""

import msgspec

from crocusvalve.base import DomainState, MemberId, VersionState
from crocusvalve.config._document import Document, MemberConfig
from crocusvalve.exceptions import CrocusvalveError, ErrorCode

__all__ = ["set_current_version", "set_domain_state", "set_version_state"]

STEP = "edit_document"


def _get_section(document: Document, member: str) -> MemberConfig:
    section = document.members.get(MemberId(member))
    if section is None:
        raise CrocusvalveError(ErrorCode.NOT_FOUND, f"there is no member {member!r}", step=STEP)
    return section


def _put_section(document: Document, member: str, section: MemberConfig) -> Document:
    members = {**document.members, MemberId(member): section}
    return msgspec.structs.replace(document, members=members)


def set_domain_state(document: Document, member: str, name: str, state: DomainState) -> Document:
    """Return the document with the new state of a failure domain.

    Raises
    ------
    CrocusvalveError
        ``NOT_FOUND`` if the member or the failure domain does not exist.
    """
    section = _get_section(document, member)
    domain = section.domains.get(name)
    if domain is None:
        message = f"member {member!r} has no failure domain {name!r}"
        raise CrocusvalveError(ErrorCode.NOT_FOUND, message, step=STEP)
    domains = {**section.domains, name: msgspec.structs.replace(domain, state=state)}
    return _put_section(document, member, msgspec.structs.replace(section, domains=domains))


def set_version_state(
    document: Document, member: str, model: str, version: str, state: VersionState
) -> Document:
    """Return the document with the new state of a version.

    Raises
    ------
    CrocusvalveError
        ``NOT_FOUND`` if the member, the model or the version does not exist.
    """
    section = _get_section(document, member)
    cfg = section.models.get(model)
    if cfg is None or version not in cfg.versions:
        message = f"member {member!r} has no version {model}@{version}"
        raise CrocusvalveError(ErrorCode.NOT_FOUND, message, step=STEP)
    changed = msgspec.structs.replace(cfg.versions[version], state=state)
    versions = {**cfg.versions, version: changed}
    models = {**section.models, model: msgspec.structs.replace(cfg, versions=versions)}
    return _put_section(document, member, msgspec.structs.replace(section, models=models))


def set_current_version(document: Document, member: str, model: str, version: str) -> Document:
    """Return the document with a version as the current version of its model.

    Raises
    ------
    CrocusvalveError
        ``NOT_FOUND`` if the member, the model or the version does not exist.
    """
    section = _get_section(document, member)
    cfg = section.models.get(model)
    if cfg is None or version not in cfg.versions:
        message = f"member {member!r} has no version {model}@{version}"
        raise CrocusvalveError(ErrorCode.NOT_FOUND, message, step=STEP)
    models = {**section.models, model: msgspec.structs.replace(cfg, current=version)}
    return _put_section(document, member, msgspec.structs.replace(section, models=models))
