"""What the operators' API needs of the process that serves it."""

from abc import ABC, abstractmethod

from crocusvalve.admin._messages import Accepted, HistoryEntry, StatusReport, UsageEntry
from crocusvalve.base import DomainState, MemberId, Revision
from crocusvalve.config import Document
from crocusvalve.model import RolloutRow

__all__ = ["AdminBackend"]


class AdminBackend(ABC):
    """Configuration, domains, roll-outs, usage and status, as an entry offers them.

    Authors and members are those of authenticated keys; documents passed in have been checked.
    """

    @abstractmethod
    async def get_current_document(self) -> tuple[Document, Revision]:
        """Return the newest document known and its revision, without waiting for a store."""

    @abstractmethod
    async def publish(
        self, base: Revision, document: Document, author: str, now: float
    ) -> Revision:
        """Put a document in force on a base revision.

        Raises
        ------
        ConfigConflictError
            Another change was accepted first.
        PlatformError
            The store failed.
        """

    @abstractmethod
    async def history(self, n: int) -> list[HistoryEntry]:
        """Return the last revisions, newest first."""

    @abstractmethod
    async def set_domain(
        self, member: MemberId, domain: str, state: DomainState, author: str, now: float
    ) -> Accepted:
        """Take a member's failure domain out or in; by a notice while the store is down."""

    @abstractmethod
    async def withdraw(self, member: MemberId, version: str, author: str, now: float) -> Accepted:
        """Withdraw a version, ``model@version``; by a notice while the store is down."""

    @abstractmethod
    async def rollouts(self) -> list[RolloutRow]:
        """Return all roll-outs known."""

    @abstractmethod
    async def usage(self, member: MemberId, since: float, until: float) -> list[UsageEntry]:
        """Return the usage of a member's customers within ``[since, until)``, Unix seconds."""

    @abstractmethod
    async def status(self, member: MemberId) -> StatusReport:
        """Return the state of this process with a member's upstreams and domains."""
