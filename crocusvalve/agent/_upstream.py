"""Abstract upstream as an agent sees it."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from msgspec import Struct

from crocusvalve.base import ExecutionStatus, UpstreamState, VersionRef
from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.rpc import RunRequest, UpstreamOrder, UpstreamOrderReply, Usage

__all__ = ["HealthReport", "Upstream", "UpstreamEnd", "UpstreamError"]


class UpstreamError(RefusedError):
    """The upstream failed an attempt.

    Parameters
    ----------
    is_interrupted : bool
        The connection ended in the middle, so the upstream may have crashed.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        ran: ExecutionStatus,
        is_interrupted: bool = False,
        step: str = "upstream",
        retry_after_s: float | None = None,
    ):
        super().__init__(code, message, step=step, ran=ran, retry_after_s=retry_after_s)
        self.is_interrupted = is_interrupted


class UpstreamEnd(Struct, frozen=True):
    """End of a whole answer."""

    usage: Usage
    finish_reason: str
    status: int = 200
    content_type: str = "application/json"


class HealthReport(Struct, frozen=True):
    """Answer to a health probe; ``state`` is None where the upstream does not tell it."""

    is_up: bool
    state: UpstreamState | None = None
    engine_boot: str = ""
    uptime_s: float | None = None


#: Called with each part of the answer, in order.
OnData = Callable[[bytes], Awaitable[None]]
#: Called right before the request is written to the connection; raises to forbid it.
OnSend = Callable[[], None]


class Upstream(ABC):
    """The upstream beside the agent."""

    @abstractmethod
    async def call(self, req: RunRequest, *, on_send: OnSend, on_data: OnData) -> UpstreamEnd:
        """Run an attempt.

        Parameters
        ----------
        req : RunRequest
            The attempt.
        on_send : callable
            Called after the connection is made and right before the first byte is written, and
            again before the body; what it raises ends the call.
        on_data : callable
            Called with each part of the answer.

        Raises
        ------
        UpstreamError
            Tells whether the attempt ran; ``NOT_RUN`` only where nothing was written or the
            upstream said so.
        """

    @abstractmethod
    async def cancel(self, req: RunRequest) -> None:
        """Tell the upstream that an attempt is no longer wanted."""

    @abstractmethod
    async def probe(self) -> HealthReport:
        """Probe the health of the upstream."""

    async def list_loaded(self) -> tuple[VersionRef, ...] | None:
        """Return the versions in an engine's memory, None where it does not tell them.

        Raises
        ------
        UpstreamError
            The engine did not answer.
        """
        return None

    @abstractmethod
    async def order(self, order: UpstreamOrder, *, on_send: OnSend) -> UpstreamOrderReply:
        """Give an engine an order, such as to load a version.

        Raises
        ------
        UpstreamError
            Tells whether the engine may have carried it out.
        """
