"""Sessions: signed tokens that pin a session to a version of a model."""

from crocusvalve.sessions._resolve import SessionAction, SessionDecision, resolve_session
from crocusvalve.sessions._token import SessionClaim, SessionSigner

__all__ = [
    "SessionAction",
    "SessionClaim",
    "SessionDecision",
    "SessionSigner",
    "resolve_session",
]
