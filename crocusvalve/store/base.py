"""Interfaces of the platform's service: tables, objects, VM list, weights, ratings, change feed."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum

from msgspec import Struct

from crocusvalve.base import CustomerId, DomainId, VersionRef, WriteId
from crocusvalve.exceptions import PlatformError

__all__ = [
    "ChangeFeed",
    "FeedPage",
    "FeedRow",
    "HistoryLostError",
    "MAX_TRANSACT_WRITES",
    "ObjectStore",
    "Rating",
    "RatingRequest",
    "RatingService",
    "Row",
    "StorePosition",
    "TableService",
    "VmDirectory",
    "VmInfo",
    "VmState",
    "WeightReservation",
    "WeightStore",
    "Write",
    "WriteResult",
    "WriteState",
]

#: Maximum number of writes in one transaction.
MAX_TRANSACT_WRITES = 100


class Row(Struct, frozen=True):
    """Current state of a row; ``version`` starts at 1, ``write_id`` is that of the last write."""

    key: str
    version: int
    value: bytes
    write_id: WriteId


class Write(Struct, frozen=True, kw_only=True):
    """A write to one row.

    Attributes
    ----------
    value : bytes or None
        New value; None deletes the row.
    write_id : WriteId
        Unique id of the write, by which a repeat of it is recognized.
    if_version : int or None
        Version that the row must have: 0 if the row must not exist, None for no condition. Writes
        without a condition are for rows with a single writer only.
    """

    table: str
    key: str
    value: bytes | None
    write_id: WriteId
    if_version: int | None = None


class WriteState(Enum):
    """Outcome of a write."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    #: The write's own condition held, but that of another write of the transaction failed.
    SKIPPED = "skipped"


class WriteResult(Struct, frozen=True, kw_only=True):
    """Result of one write of a transaction.

    Attributes
    ----------
    row : Row or None
        The row after the transaction, or None if it does not exist.
    is_certain : bool
        False if an earlier attempt of the same transaction had no answer and this one was not
        applied: the earlier attempt may have been applied, and the row overwritten since.
    """

    write_id: WriteId
    state: WriteState
    row: Row | None = None
    is_certain: bool = True

    @property
    def is_applied(self) -> bool:
        """Whether the write took effect."""
        return self.state is WriteState.APPLIED


class TableService(ABC):
    """Transactional tables; every method raises ``PlatformError`` if the service fails."""

    @abstractmethod
    async def transact(self, writes: Sequence[Write]) -> list[WriteResult]:
        """Apply all writes or none of them.

        Writes are idempotent: a write whose id the row already carries has been applied. It is
        reported as applied, isn't written again and never prevents the other writes.

        Parameters
        ----------
        writes : sequence of Write
            At most ``MAX_TRANSACT_WRITES`` writes to different rows.

        Returns
        -------
        list of WriteResult
            One result per write, in order.

        Raises
        ------
        PlatformError
            The service failed; ``maybe_applied`` is True if the writes may have been applied or
            may still be.
        """

    @abstractmethod
    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""

    @abstractmethod
    async def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return up to ``limit`` rows with a key prefix, in key order, after the key ``after``."""


class ObjectStore(ABC):
    """Store of immutable objects, each written once under a unique name."""

    @abstractmethod
    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object; a repeat with the same data changes nothing."""

    @abstractmethod
    async def get_object(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist."""


class VmState(Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmInfo(Struct, frozen=True):
    """An entry of the platform's list of VMs."""

    address: str
    domain: DomainId
    state: VmState = VmState.LIVE


class VmDirectory(ABC):
    """The platform's list of VMs, which lags behind their actual state."""

    @abstractmethod
    async def list_vms(self) -> list[VmInfo]:
        """Return the platform's list of VMs, which may be out of date."""


class RatingRequest(Struct, frozen=True, kw_only=True):
    """An answer to be rated, with its prompt and origin."""

    customer_id: CustomerId
    class_name: str
    version: VersionRef
    prompt: str
    answer: str


class Rating(Struct, frozen=True):
    """Quality of an answer from 0 to 1."""

    score: float


class RatingService(ABC):
    """Rates answers."""

    @abstractmethod
    async def rate(self, req: RatingRequest) -> Rating:
        """Rate an answer."""


class WeightReservation(Struct, frozen=True):
    """Reply to a reservation; if not granted, it may be tried again after ``retry_after_s``."""

    is_granted: bool
    retry_after_s: float = 0.0


class WeightStore(ABC):
    """Store of model weights, which limits the rate of loads."""

    @abstractmethod
    async def reserve(self, version: VersionRef) -> WeightReservation:
        """Reserve one load of a version's weights."""


class FeedRow(Struct, frozen=True):
    """A row of a change feed; ``value`` is None if the row was deleted."""

    key: str
    value: bytes | None
    version: int


class StorePosition(Struct, frozen=True, order=True):
    """A version of the store, which is only comparable with versions of the same era.

    A new era begins when the store is restored from a backup: changes since the backup are lost and
    their versions are assigned a second time.
    """

    era: int = 0
    version: int = 0


class FeedPage(Struct, frozen=True):
    """Rows of a table up to a version of the store.

    Attributes
    ----------
    rows : tuple of FeedRow
        Rows read or changed.
    version : int
        Version of the store up to which the rows are complete.
    time_s : float
        Time of the store's monotonic clock, in seconds.
    era : int
        Era of the store that all versions of the page belong to.
    """

    rows: tuple[FeedRow, ...]
    version: int
    time_s: float
    era: int = 0


class HistoryLostError(PlatformError):
    """The requested changes are no longer stored; the whole table must be read again."""


class BacklogTooLongError(PlatformError):
    """The changes are longer than the caller wants them; it may read the whole table instead."""


#: Time within which a call's answer must begin.
DEFAULT_TIMEOUT_S = 1.0


class ChangeFeed(ABC):
    """Tables with a feed of changes; every method raises ``PlatformError`` on a failure."""

    @abstractmethod
    async def read_table(self, table: str, *, timeout_s: float = DEFAULT_TIMEOUT_S) -> FeedPage:
        """Return all rows of a table.

        Parameters
        ----------
        timeout_s : float
            Time in seconds within which each answer must begin.
        """

    @abstractmethod
    async def wait_for_changes(
        self,
        table: str,
        after: int,
        wait_s: float,
        *,
        max_bytes: int | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> FeedPage:
        """Return the rows changed after a version, waiting up to ``wait_s`` for the first change.

        Parameters
        ----------
        max_bytes : int or None
            Longest answer that is received; None for any.
        timeout_s : float
            Time in seconds within which the answer must begin, in addition to ``wait_s``.

        Raises
        ------
        HistoryLostError
            The changes are no longer stored.
        BacklogTooLongError
            The answer is longer than ``max_bytes``.
        """

    @abstractmethod
    async def put_row(
        self, table: str, key: str, value: bytes, if_version: int
    ) -> StorePosition | None:
        """Write a row if it has the version ``if_version``, where 0 means that it does not exist.

        Returns
        -------
        StorePosition or None
            Position of the written row, or None if the row had another version and was not
            written.
        """
