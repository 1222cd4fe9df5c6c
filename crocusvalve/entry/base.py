"""Interface between the HTTP server for callers and an entry."""

from abc import ABC, abstractmethod

from msgspec import Struct

from crocusvalve.base import CustomerId, RequestId
from crocusvalve.config import CustomerView, DocumentView
from crocusvalve.entry._handle import RequestHandle
from crocusvalve.model import RequestRow
from crocusvalve.sessions import SessionClaim

__all__ = ["DurableStatus", "EntryService"]


class DurableStatus(Struct, frozen=True, kw_only=True):
    """Status of a durable request as reported to its caller.

    ``state`` is ``open``, ``done`` or ``failed``. Once the request has ended, ``body`` is the
    answer or the error, with its content type and HTTP status. ``deadline`` is in Unix seconds.
    """

    request_id: RequestId
    state: str
    deadline: float
    body: bytes = b""
    content_type: str = "application/json"
    http_status: int = 200

    @property
    def has_ended(self) -> bool:
        """Whether the request has been answered or has failed."""
        return self.state != "open"


class EntryService(ABC):
    """Operations of an entry that the HTTP server for callers uses."""

    @abstractmethod
    def now(self) -> float:
        """Return the current Unix time in seconds."""

    @abstractmethod
    def view(self) -> DocumentView:
        """Return a view of the configuration revision in force."""

    @abstractmethod
    def make_request_id(self) -> RequestId:
        """Generate a new request ID."""

    @abstractmethod
    def find_customer(self, key: str) -> CustomerView:
        """Return the customer that owns a bearer key; raises ``BAD_KEY`` for an unknown key."""

    @abstractmethod
    def submit(self, req: RequestRow) -> RequestHandle:
        """Submit a request; raises ``RefusedError`` if it is refused immediately."""

    @abstractmethod
    def abandon(self, request_id: RequestId) -> None:
        """Drop a request whose caller has disconnected and cancel its attempts."""

    @abstractmethod
    async def accept_durable(self, req: RequestRow) -> DurableStatus:
        """Store a durable request in the platform's store; raises ``RefusedError`` if refused."""

    @abstractmethod
    async def find_durable(self, customer_id: CustomerId, request_id: RequestId) -> DurableStatus:
        """Return the status of a customer's durable request; raises ``UNKNOWN_REQUEST``."""

    @abstractmethod
    def open_session(self, token: str, customer_id: CustomerId) -> SessionClaim | None:
        """Verify a session token and return its claim; raises a coded error if it is forged."""

    @abstractmethod
    def pin_session(self, req: RequestRow, claim: SessionClaim) -> None:
        """Pin a request to its session's version; raises a coded error if that is withdrawn."""

    @abstractmethod
    def sign_session(self, claim: SessionClaim) -> str:
        """Return the signed token of a session claim."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Return whether the entry is ready to accept callers' requests."""
