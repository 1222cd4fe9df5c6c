"""Values of the rows that hold the configuration and the leases."""

from msgspec import Struct

from crocusvalve.base import Revision

__all__ = ["HeadRecord", "LeaseRecord", "RevisionRecord"]


class HeadRecord(Struct, frozen=True, kw_only=True):
    """The one head row: the newest revision and the snapshot to start reading from."""

    revision: Revision
    snapshot_revision: Revision
    author: str
    at: float


class RevisionRecord(Struct, frozen=True, kw_only=True):
    """An accepted revision.

    Attributes
    ----------
    delta : bytes
        Change from the revision before; empty where there was none to start from.
    snapshot : str
        Name of the object that holds the whole document, or empty.
    snapshot_revision : Revision
        Newest revision up to this one that has a snapshot.
    at : float
        When it was accepted, Unix time in seconds.
    note : str
        Remark of its author, such as the environment it was promoted from.
    """

    revision: Revision
    author: str
    at: float
    delta: bytes = b""
    snapshot: str = ""
    snapshot_revision: Revision = Revision(0)
    note: str = ""


class LeaseRecord(Struct, frozen=True, kw_only=True):
    """A lease; ``holder`` is empty where it was released."""

    holder: str
    number: int
    ttl_s: float
