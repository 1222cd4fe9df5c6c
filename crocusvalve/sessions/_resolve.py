"""Whether a session may go on with its version."""

from enum import Enum

from msgspec import Struct

from crocusvalve.base import UpstreamId, VersionRef
from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.model import EntryTables
from crocusvalve.sessions._token import SessionClaim

__all__ = ["SessionAction", "SessionDecision", "resolve_session"]

STEP = "session"


class SessionAction(Enum):
    """What to do with a session's next request."""

    KEEP = "keep"
    MOVE = "move"
    REFUSE = "refuse"


class SessionDecision(Struct, frozen=True, kw_only=True):
    """Decision about a session; ``preferred_upstream`` is empty where it is no longer open."""

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
        A verified claim.
    tables : EntryTables
        Tables of the entry.
    now : float
        Present Unix time in seconds.
    may_move : bool
        Whether the caller lets the session move where its version is withdrawn.

    Returns
    -------
    SessionDecision
        KEEP with the version; MOVE where another version is to be chosen; else REFUSE with the
        error to tell the caller.
    """
    if tables.is_version_withdrawn(claim.version):
        if may_move:
            return SessionDecision(action=SessionAction.MOVE)
        return _refuse(ErrorCode.VERSION_WITHDRAWN, f"the session's {claim.version} is withdrawn")
    if not tables.view.is_allowed(claim.customer_id, claim.version):
        return _refuse(ErrorCode.MODEL_NOT_ALLOWED, f"{claim.version} is no longer allowed")
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
