"""Contracts of the platform's service: tables, objects, list of VMs, weights and ratings."""

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

#: Most writes that one transaction may hold.
MAX_TRANSACT_WRITES = 100


class Row(Struct, frozen=True):
    """A row as it stands; ``version`` starts at 1 and ``write_id`` is that of its last write."""

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
    if_version : int or None
        Version that the row must stand at: 0 for an absent row, None for no condition. Writes
        without a condition are for rows with one writer only.
    """

    table: str
    key: str
    value: bytes | None
    write_id: WriteId
    if_version: int | None = None


class WriteState(Enum):
    """What became of a write."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    #: The write's own condition held, but another one's of the same transaction did not.
    SKIPPED = "skipped"


class WriteResult(Struct, frozen=True, kw_only=True):
    """Result of one write of a transaction.

    Attributes
    ----------
    row : Row or None
        The row as it stands after the transaction, or None where it is absent.
    is_certain : bool
        False where an earlier try of the same transaction had no answer and the row has changed
        since, so that the try may have been applied and overwritten.
    """

    write_id: WriteId
    state: WriteState
    row: Row | None = None
    is_certain: bool = True

    @property
    def is_applied(self) -> bool:
        """Whether the write is applied."""
        return self.state is WriteState.APPLIED


class TableService(ABC):
    """Transactional tables; every method raises ``PlatformError`` where the service fails."""

    @abstractmethod
    async def transact(self, writes: Sequence[Write]) -> list[WriteResult]:
        """Apply all writes or none of them.

        Writes are idempotent: one whose row carries its id is applied already. It is reported as
        applied, isn't written again and never stands in the way of the others.

        Parameters
        ----------
        writes : sequence of Write
            At most ``MAX_TRANSACT_WRITES`` writes to different rows.

        Returns
        -------
        list of WriteResult
            One a write, in order.

        Raises
        ------
        PlatformError
            ``maybe_applied`` tells whether the writes may be or become applied.
        """

    @abstractmethod
    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or None where it is absent."""

    @abstractmethod
    async def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return at most ``limit`` rows, by key, of a prefix, past the key ``after``."""


class ObjectStore(ABC):
    """Store of whole objects; an object is written once under a name of its own."""

    @abstractmethod
    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object; a repeat with the same data changes nothing."""

    @abstractmethod
    async def get_object(self, name: str) -> bytes | None:
        """Return an object, or None where it is absent."""


class VmState(Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmInfo(Struct, frozen=True):
    """A VM of the platform's list."""

    address: str
    domain: DomainId
    state: VmState = VmState.LIVE


class VmDirectory(ABC):
    """The platform's list of VMs; it lags behind the truth."""

    @abstractmethod
    async def list_vms(self) -> list[VmInfo]:
        """Return the VMs as the platform knows them."""


class RatingRequest(Struct, frozen=True, kw_only=True):
    """An answer to be rated."""

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
    """Reply to a reservation; where not granted, come back after ``retry_after_s``."""

    is_granted: bool
    retry_after_s: float = 0.0


class WeightStore(ABC):
    """Rate-limited store of model weights."""

    @abstractmethod
    async def reserve(self, version: VersionRef) -> WeightReservation:
        """Reserve one load of a version's weights."""


class FeedRow(Struct, frozen=True):
    """A row as a feed tells it; ``value`` is None where the row was deleted."""

    key: str
    value: bytes | None
    version: int


class FeedPage(Struct, frozen=True):
    """Rows of a table up to a version of the store; ``time_s`` is the store's steady clock."""

    rows: tuple[FeedRow, ...]
    version: int
    time_s: float


class HistoryLostError(PlatformError):
    """The changes asked for are no longer kept; the table is to be read whole."""


class ChangeFeed(ABC):
    """Tables that tell their changes; every method raises ``PlatformError`` on a failure."""

    @abstractmethod
    async def read_table(self, table: str) -> FeedPage:
        """Return all rows of a table."""

    @abstractmethod
    async def wait_for_changes(self, table: str, after: int, wait_s: float) -> FeedPage:
        """Return the rows changed after a version, as soon as there is one or the time is over.

        Raises
        ------
        HistoryLostError
            Where the changes are no longer kept.
        """

    @abstractmethod
    async def put_row(self, table: str, key: str, value: bytes, if_version: int) -> int | None:
        """Write a row that stands at a version, 0 for an absent one.

        Returns
        -------
        int or None
            The row's new version, or None where it stood at another one.
        """
