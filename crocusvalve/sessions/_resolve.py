"""Decides whether a session continues with its version."""

from enum import Enum

from msgspec import Struct

from crocusvalve.base import UpstreamId, VersionRef
from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.model import EntryTables
from crocusvalve.sessions._token import SessionClaim

__all__ = ["SessionAction", "SessionDecision", "resolve_session"]

STEP = "session"


class SessionAction(Enum):
    """How the next request of a session is handled."""

    KEEP = "keep"
    MOVE = "move"
    REFUSE = "refuse"


class SessionDecision(Struct, frozen=True, kw_only=True):
    """Decision about the next request of a session.

    ``preferred_upstream`` is the upstream of the session's token, or empty if it is closed to new
    work. ``error`` is set for REFUSE only.
    """

    action: SessionAction
    version: VersionRef = VersionRef("")
    preferred_upstream: UpstreamId = UpstreamId("")
    error: RefusedError | None = None


def resolve_session(
    claim: SessionClaim, tables: EntryTables, now: float, *, may_move: bool = False
) -> SessionDecision:
    """Decide whether a session keeps its version.

    Parameters
    ----------
    claim : SessionClaim
        Claim of a verified session token.
    tables : EntryTables
        Tables of the entry.
    now : float
        Present Unix time in seconds.
    may_move : bool
        Whether the caller allows another version if the session's version is withdrawn.

    Returns
    -------
    SessionDecision
        KEEP with the version, MOVE if another version must be chosen, or REFUSE with the error to
        return to the caller.
    """
    if tables.is_version_withdrawn(claim.version):
        if may_move:
            return SessionDecision(action=SessionAction.MOVE)
        return _refuse(
            ErrorCode.VERSION_WITHDRAWN, f"version {claim.version} of the session is withdrawn"
        )
    if not tables.view.is_allowed(claim.customer_id, claim.version):
        return _refuse(ErrorCode.MODEL_NOT_ALLOWED, f"version {claim.version} is no longer allowed")
    row = tables.upstreams.get(claim.preferred_upstream)
    is_open = row is not None and tables.is_upstream_open(row)
    return SessionDecision(
        action=SessionAction.KEEP,
        version=claim.version,
        preferred_upstream=claim.preferred_upstream if is_open else UpstreamId(""),
    )


def _refuse(code: ErrorCode, message: str) -> SessionDecision:
    return SessionDecision(
        action=SessionAction.REFUSE, error=RefusedError(code, message, step=STEP)
    )
