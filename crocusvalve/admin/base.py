"""Interface between the operators' API and the process that serves it."""

from abc import ABC, abstractmethod

from crocusvalve.admin._messages import Accepted, HistoryEntry, StatusReport, UsageEntry
from crocusvalve.base import DomainState, MemberId, Revision
from crocusvalve.config import Document
from crocusvalve.model import RolloutRow

__all__ = ["AdminBackend"]


class AdminBackend(ABC):
    """Access to configuration, failure domains, roll-outs, usage and status of an entry.

    The service passes only authors and members that it has authenticated and documents that it has
    validated. Times are Unix times in seconds.
    """

    @abstractmethod
    async def get_current_document(self) -> tuple[Document, Revision]:
        """Return the newest known document and its revision, without waiting for the store."""

    @abstractmethod
    async def publish(
        self, base: Revision, document: Document, author: str, now: float
    ) -> Revision:
        """Put a document in force as the successor of a base revision and return its revision.

        Raises
        ------
        ConfigConflictError
            Another change was accepted since ``base``.
        PlatformError
            The store is unavailable or the write failed.
        """

    @abstractmethod
    async def history(self, n: int) -> list[HistoryEntry]:
        """Return the last ``n`` revisions, newest first."""

    @abstractmethod
    async def set_domain(
        self, member: MemberId, domain: str, state: DomainState, author: str, now: float
    ) -> Accepted:
        """Take a failure domain out of service or back; by a notice if the store is unavailable."""

    @abstractmethod
    async def withdraw(self, member: MemberId, version: str, author: str, now: float) -> Accepted:
        """Withdraw a version, ``model@version``; by a notice if the store is unavailable."""

    @abstractmethod
    async def rollouts(self) -> list[RolloutRow]:
        """Return all known roll-outs, those of every member."""

    @abstractmethod
    async def usage(self, member: MemberId, since: float, until: float) -> list[UsageEntry]:
        """Return the usage by a member's customers in ``[since, until)``, Unix time in seconds."""

    @abstractmethod
    async def status(self, member: MemberId) -> StatusReport:
        """Return the status of this process with a member's upstreams and failure domains."""
