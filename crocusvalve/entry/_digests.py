"""Digest by which a repeat under an idempotency key is told from another request."""

from crocusvalve.model import RequestRow
from crocusvalve.utils import compute_digest

__all__ = ["compute_request_digest"]

SEPARATOR = b"\0"


def compute_request_digest(req: RequestRow) -> str:
    """Return the digest of all that a caller asked for: service, method, path and body."""
    head = "\0".join((req.service, req.class_name, req.method, req.path)).encode()
    return compute_digest(head, SEPARATOR, req.body)
