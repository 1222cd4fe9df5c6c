"""Authentication of operators by their keys."""

from msgspec import Struct

from crocusvalve.base import MemberId
from crocusvalve.config import Document
from crocusvalve.exceptions import CrocusvalveError, ErrorCode
from crocusvalve.security import read_bearer
from crocusvalve.utils import hash_key

__all__ = ["Operator", "authenticate_operator"]


class Operator(Struct, frozen=True):
    """An authenticated operator of one member."""

    member: MemberId
    name: str

    @property
    def author(self) -> str:
        """Author of the operator's changes in the history, ``member/operator``."""
        return f"{self.member}/{self.name}"


def authenticate_operator(document: Document, authorization: str | None) -> Operator:
    """Return the operator whose key an ``Authorization`` header contains.

    Parameters
    ----------
    document : Document
        The document in force, which contains the hashes of the operators' keys.
    authorization : str or None
        Value of the header.

    Raises
    ------
    CrocusvalveError
        ``invalid_api_key`` if the header is missing or contains no operator's key.
    """
    key = read_bearer(authorization)
    if key:
        digest = hash_key(key)
        for member, section in document.members.items():
            for name, cfg in section.operators.items():
                if cfg.key_sha256 == digest:
                    return Operator(member, name)
    message = "an operator's key is required as a bearer token"
    raise CrocusvalveError(ErrorCode.BAD_KEY, message, step="authenticate")
