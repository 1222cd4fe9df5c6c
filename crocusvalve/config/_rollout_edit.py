"""Changes of a document by which operators start roll-outs and withdraw versions."""

import msgspec
from msgspec import Struct

from crocusvalve.base import MemberId, RolloutState, VersionState
from crocusvalve.config._document import Document, MemberConfig, RolloutConfig
from crocusvalve.exceptions import CrocusvalveError, ErrorCode

__all__ = ["RolloutStart", "start_rollout", "withdraw_version"]


class RolloutStart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Request to start a roll-out; empty or zero fields take the defaults of ``RolloutConfig``."""

    model: str
    version: str
    stages: tuple[float, ...] = ()
    stage_s: float = 0.0
    policy: str = ""

    @property
    def name(self) -> str:
        """Name of the roll-out in the member's section."""
        return f"{self.model}-{self.version}"


def start_rollout(document: Document, member: MemberId, start: RolloutStart) -> Document:
    """Return the document with a running roll-out; one of the same name is restarted.

    Parameters
    ----------
    document : Document
        The document in force.
    member : MemberId
        Owner of the model.
    start : RolloutStart
        The roll-out; its values are not validated here.
    """
    section = _get_section(document, member)
    given = {
        name: getattr(start, name)
        for name in ("stages", "stage_s", "policy")
        if getattr(start, name)
    }
    cfg = RolloutConfig(model=start.model, version=start.version, **given)
    rollouts = {**section.rollouts, start.name: cfg}
    return _put_section(document, member, msgspec.structs.replace(section, rollouts=rollouts))


def withdraw_version(document: Document, member: MemberId, version: str) -> Document:
    """Return the document with a version and its roll-outs withdrawn.

    Parameters
    ----------
    document : Document
        The document in force.
    member : MemberId
        Owner of the model.
    version : str
        ``model@version`` or ``member/model@version``.

    Raises
    ------
    CrocusvalveError
        ``forbidden`` for another member's version, ``not_found`` for an unknown one or if the
        member has no section.
    """
    section = _get_section(document, member)
    owner, _, local = version.rpartition("/")
    if owner not in ("", member):
        raise _make_error(ErrorCode.FORBIDDEN, f"{version!r} is another member's version", member)
    model, _, name = local.partition("@")
    cfg = section.models.get(model)
    if cfg is None or name not in cfg.versions:
        raise _make_error(ErrorCode.NOT_FOUND, f"there is no version {version!r}", member)
    changed = msgspec.structs.replace(cfg.versions[name], state=VersionState.WITHDRAWN)
    cfg = msgspec.structs.replace(cfg, versions={**cfg.versions, name: changed})
    section = msgspec.structs.replace(
        section,
        models={**section.models, model: cfg},
        rollouts=_end_rollouts(section, model, name),
    )
    return _put_section(document, member, section)


def _end_rollouts(section: MemberConfig, model: str, version: str) -> dict[str, RolloutConfig]:
    return {
        name: (
            msgspec.structs.replace(rollout, state=RolloutState.WITHDRAWN)
            if (rollout.model, rollout.version) == (model, version)
            else rollout
        )
        for name, rollout in section.rollouts.items()
    }


def _get_section(document: Document, member: MemberId) -> MemberConfig:
    section = document.members.get(member)
    if section is None:
        raise _make_error(ErrorCode.NOT_FOUND, f"there is no member {member!r}", member)
    return section


def _put_section(document: Document, member: MemberId, section: MemberConfig) -> Document:
    return msgspec.structs.replace(document, members={**document.members, member: section})


def _make_error(code: ErrorCode, message: str, member: str) -> CrocusvalveError:
    return CrocusvalveError(code, message, step="edit_document", peer=member)
