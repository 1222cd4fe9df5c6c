"""Abstract parts of an entry."""

from abc import ABC, abstractmethod

from msgspec import Struct

from crocusvalve.base import CustomerId, RequestId
from crocusvalve.config import CustomerView, DocumentView
from crocusvalve.entry._handle import RequestHandle
from crocusvalve.model import RequestRow
from crocusvalve.sessions import SessionClaim

__all__ = ["DurableStatus", "EntryService"]


class DurableStatus(Struct, frozen=True, kw_only=True):
    """What a caller is told of a durable request.

    ``state`` is ``open``, ``done`` or ``failed``; ``body`` is the answer or the error once it has
    ended, with its content type and HTTP status.
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
    """What the callers' HTTP interface needs of an entry."""

    @abstractmethod
    def now(self) -> float:
        """Return Unix time in seconds."""

    @abstractmethod
    def view(self) -> DocumentView:
        """Return the revision in force."""

    @abstractmethod
    def make_request_id(self) -> RequestId:
        """Make a new request id."""

    @abstractmethod
    def find_customer(self, key: str) -> CustomerView:
        """Return the customer of a bearer key; raises ``BAD_KEY``."""

    @abstractmethod
    def submit(self, req: RequestRow) -> RequestHandle:
        """Take a request; raises ``RefusedError`` where it is refused at once."""

    @abstractmethod
    def abandon(self, request_id: RequestId) -> None:
        """The caller has gone: cancel what runs for it."""

    @abstractmethod
    async def accept_durable(self, req: RequestRow) -> DurableStatus:
        """Keep a durable request in the platform's service; raises ``RefusedError``."""

    @abstractmethod
    async def find_durable(self, customer_id: CustomerId, request_id: RequestId) -> DurableStatus:
        """Return the state of a durable request; raises ``UNKNOWN_REQUEST``."""

    @abstractmethod
    def open_session(self, token: str, customer_id: CustomerId) -> SessionClaim | None:
        """Verify a session's token; raises a coded error where it is forged."""

    @abstractmethod
    def pin_session(self, req: RequestRow, claim: SessionClaim) -> None:
        """Pin a request to its session's version; raises a coded error where it is withdrawn."""

    @abstractmethod
    def sign_session(self, claim: SessionClaim) -> str:
        """Sign a session's token."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Tell whether the entry may take callers' requests."""
