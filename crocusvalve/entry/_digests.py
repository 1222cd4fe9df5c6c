"""Digest that distinguishes a repeated request from another under the same idempotency key."""

from crocusvalve.model import RequestRow
from crocusvalve.utils import compute_digest

__all__ = ["compute_request_digest"]

SEPARATOR = b"\0"


def compute_request_digest(req: RequestRow) -> str:
    """Return the digest of a request's service, class, method, path and body."""
    head = "\0".join((req.service, req.class_name, req.method, req.path)).encode()
    return compute_digest(head, SEPARATOR, req.body)
