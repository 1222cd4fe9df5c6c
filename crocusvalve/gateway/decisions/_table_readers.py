"""Which gateways of a failure domain follow the store's tables, and which ones copy them."""

import math
from collections.abc import Iterable, Sequence
from enum import Enum
from hashlib import blake2b

from msgspec import Struct

from crocusvalve.base import DomainId, NodeId

__all__ = ["DomainMember", "ReadingReason", "TableReaders", "choose_readers"]

#: A reader that was not heard for this long is not relied on: two and a half rounds of gossip.
READER_TIMEOUT_S = 1.0
#: Longest time for which a gateway that copies may lack a change before it asks the store.
MAX_MISSING_S = 1.0
#: A gateway copies only after it has heard from readers for this long without a break, so that a
#: link with losses doesn't make it change to and fro.
HEARD_BEFORE_COPY_S = 2.0
#: In a failure domain with at most this number of gateways, each one follows the tables.
MAX_ALL_READ = 2


class ReadingReason(Enum):
    """Why a gateway follows the store's tables itself, or doesn't."""

    SWITCHED_OFF = "readers are switched off"
    FEW_GATEWAYS = "the failure domain has few gateways"
    CHOSEN = "chosen as a reader of the failure domain"
    NO_READER = "no reader of the failure domain is heard"
    NO_STORE = "the readers of the failure domain don't reach the store"
    RETAINS = "a reader retains entries after an outage of the store"
    MISSING = "a change is missing for too long"
    WAITS = "readers were not heard for long enough to rely on them"
    READERS_HEARD = "readers of the failure domain are heard"


class DomainMember(Struct, frozen=True, kw_only=True):
    """Another live gateway of the same failure domain.

    Attributes
    ----------
    heard_at : float
        Local time in seconds of its last message to this gateway; ``-inf`` without one.
    is_reading : bool
        Whether it reported then that it follows all tables and the store answers it.
    has_lost_store : bool
        Whether it reported then that it follows the tables and the store fails.
    answered_at : float
        Local time in seconds of the store's last answer to it, as reported then.
    is_settled : bool
        Whether its tables could be copied then.
    """

    node_id: NodeId
    has_store: bool
    is_leaving: bool
    heard_at: float = float("-inf")
    is_reading: bool = False
    has_lost_store: bool = False
    answered_at: float = float("-inf")
    is_settled: bool = True


def choose_readers(domain: DomainId, node_ids: Iterable[NodeId], n_readers: int) -> set[NodeId]:
    """Return the readers of a failure domain by rendezvous hashing.

    Gateways with different views of which ones are alive agree on most readers, and a gateway that
    joins or ends changes at most one.
    """
    return set(sorted(node_ids, key=lambda node_id: _rank(domain, node_id))[:n_readers])


def _rank(domain: DomainId, node_id: NodeId) -> bytes:
    return blake2b(f"{domain}\0{node_id}".encode(), digest_size=8).digest()


class TableReaders:
    """Decides whether a gateway follows the store's tables itself.

    Load that it answers: with dozens of gateways, the calls by which each one follows tables that
    change all the time are most of the calls to the store, which are scarce and charged.

    Parameters
    ----------
    node_id : NodeId
        Identifier of this gateway.
    domain : DomainId
        Its failure domain; if it is empty, the gateway follows the tables.
    n_readers : int
        Number of readers per failure domain; 0 if all gateways follow the tables.

    Attributes
    ----------
    reason : ReadingReason
        Reason of the last decision.
    outage_since, outage_until : float or None
        Outage of the store that readers have reported since this gateway last ceased to copy: the
        store's last answer to them, and the last report of the outage, as local times in seconds;
        None without one.
    """

    def __init__(self, node_id: NodeId, domain: DomainId, n_readers: int):
        self.node_id = node_id
        self.domain = domain
        self.n_readers = n_readers
        self.reason = ReadingReason.WAITS
        self.outage_since: float | None = None
        self.outage_until: float | None = None
        self._heard_since: float | None = None

    @property
    def must_read(self) -> bool:
        """Whether this gateway follows the tables itself, as last decided."""
        return self.reason is not ReadingReason.READERS_HEARD

    def update(
        self,
        members: Sequence[DomainMember],
        *,
        has_store: bool,
        is_leaving: bool,
        missing_s: float,
        now: float,
    ) -> bool:
        """Decide anew; return whether this gateway follows the tables itself.

        Parameters
        ----------
        members : sequence of DomainMember
            Other live gateways of the failure domain.
        has_store : bool
            Whether this gateway reaches the store, as far as it knows.
        is_leaving : bool
            Whether this gateway is stopping.
        missing_s : float
            Seconds for which this gateway is known to lack a change; 0 if it lacks none.
        now : float
            Local time in seconds.
        """
        recent = [member for member in members if now - member.heard_at <= READER_TIMEOUT_S]
        has_reader = any(member.is_reading for member in recent)
        if not has_reader or missing_s > MAX_MISSING_S:
            self._heard_since = None
        elif self._heard_since is None:
            self._heard_since = now
        was_copying = not self.must_read
        self.reason = self._decide(members, recent, has_store, is_leaving, missing_s, now)
        if was_copying and self.must_read:
            self.outage_since = self.outage_until = None
        if self.must_read and self.reason is not ReadingReason.FEW_GATEWAYS:
            self._record_outage(recent)
        return self.must_read

    def _record_outage(self, recent: Sequence[DomainMember]) -> None:
        """Record the outage that readers report, which this gateway may not see by itself.

        Entries of upstreams that expired in it must be retained here as well.
        """
        lost = [member for member in recent if member.has_lost_store]
        retaining = [member for member in recent if member.is_reading and not member.is_settled]
        if lost or retaining:
            self.outage_until = max(member.heard_at for member in (*lost, *retaining))
            since = max(member.answered_at for member in lost) if lost else -math.inf
            self.outage_since = since

    def _decide(
        self,
        members: Sequence[DomainMember],
        recent: Sequence[DomainMember],
        has_store: bool,
        is_leaving: bool,
        missing_s: float,
        now: float,
    ) -> ReadingReason:
        if self.n_readers <= 0:
            return ReadingReason.SWITCHED_OFF
        if not self.domain or len(members) < MAX_ALL_READ:
            return ReadingReason.FEW_GATEWAYS
        if self._is_chosen(members, has_store, is_leaving):
            return ReadingReason.CHOSEN
        if not self.must_read:
            return self._check_readers(recent, missing_s)
        if self._heard_since is None or now - self._heard_since < HEARD_BEFORE_COPY_S:
            return self.reason if self.reason in _FALLBACKS else ReadingReason.WAITS
        return self._check_readers(recent, missing_s)

    def _check_readers(self, recent: Sequence[DomainMember], missing_s: float) -> ReadingReason:
        """Return whether a gateway that copies may go on, or the reason why not."""
        readers = [member for member in recent if member.is_reading]
        if not readers:
            has_lost_store = any(member.has_lost_store for member in recent)
            return ReadingReason.NO_STORE if has_lost_store else ReadingReason.NO_READER
        if not all(reader.is_settled for reader in readers):
            return ReadingReason.RETAINS
        return ReadingReason.MISSING if missing_s > MAX_MISSING_S else ReadingReason.READERS_HEARD

    def _is_chosen(
        self, members: Sequence[DomainMember], has_store: bool, is_leaving: bool
    ) -> bool:
        eligible = [m.node_id for m in members if m.has_store and not m.is_leaving]
        if has_store and not is_leaving:
            eligible.append(self.node_id)
        return self.node_id in choose_readers(self.domain, eligible, self.n_readers)


#: Reasons for which a gateway that copied follows the tables for a while.
_FALLBACKS = frozenset(
    (
        ReadingReason.NO_READER,
        ReadingReason.NO_STORE,
        ReadingReason.RETAINS,
        ReadingReason.MISSING,
    )
)
