"""Encoded values of the store's rows for the configuration and the leases."""

from msgspec import Struct

from crocusvalve.base import Revision

__all__ = ["HeadRecord", "LeaseRecord", "RevisionRecord"]


class HeadRecord(Struct, frozen=True, kw_only=True):
    """Value of an environment's head row.

    Attributes
    ----------
    revision : Revision
        Newest revision.
    snapshot_revision : Revision
        Newest revision that has a snapshot, from which reading starts.
    author : str
        Operator who published the newest revision.
    at : float
        When it was published, Unix time in seconds.
    """

    revision: Revision
    snapshot_revision: Revision
    author: str
    at: float


class RevisionRecord(Struct, frozen=True, kw_only=True):
    """Value of a history row: one published revision.

    Attributes
    ----------
    delta : bytes
        Encoded change from the previous revision; empty for the first revision and for a repair.
    snapshot : str
        Name of the object that holds the full document; empty if there is none.
    snapshot_revision : Revision
        Newest revision up to this one that has a snapshot.
    at : float
        When it was published, Unix time in seconds.
    note : str
        Remark of its author, such as the environment that it was promoted from.
    """

    revision: Revision
    author: str
    at: float
    delta: bytes = b""
    snapshot: str = ""
    snapshot_revision: Revision = Revision(0)
    note: str = ""


class LeaseRecord(Struct, frozen=True, kw_only=True):
    """Value of a lease's row.

    Attributes
    ----------
    holder : str
        Id of the holder's process and of its run; empty if the lease was released.
    number : int
        Fencing number, which increases with each holder.
    ttl_s : float
        Lifetime of the lease after a renewal, in seconds.
    """

    holder: str
    number: int
    ttl_s: float
