"""Interface between an agent and its upstream."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from msgspec import Struct

from crocusvalve.base import ExecutionStatus, UpstreamState, VersionRef
from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.rpc import RunRequest, UpstreamOrder, UpstreamOrderReply, Usage

__all__ = ["HealthReport", "Upstream", "UpstreamEnd", "UpstreamError"]


class UpstreamError(RefusedError):
    """An attempt, a probe or an order failed at the upstream.

    Parameters
    ----------
    is_interrupted : bool
        Whether the connection was interrupted, so that the upstream may have crashed.
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
    """End of a complete answer: token usage, finish reason, HTTP status and content type."""

    usage: Usage
    finish_reason: str
    status: int = 200
    content_type: str = "application/json"


class HealthReport(Struct, frozen=True):
    """Answer to a health probe; ``state`` and ``uptime_s`` are None if not reported.

    ``engine_boot`` identifies the run of the engine; empty if it is not reported.
    """

    is_up: bool
    state: UpstreamState | None = None
    engine_boot: str = ""
    uptime_s: float | None = None


#: Called with each chunk of the answer, in order.
OnData = Callable[[bytes], Awaitable[None]]
#: Called right before the request is written to the connection; raises an error to prevent it.
OnSend = Callable[[], None]


class Upstream(ABC):
    """The upstream of an agent."""

    @abstractmethod
    async def call(self, req: RunRequest, *, on_send: OnSend, on_data: OnData) -> UpstreamEnd:
        """Run an attempt.

        Parameters
        ----------
        req : RunRequest
            The attempt.
        on_send : callable
            Called after the connection is made and right before the first byte is written, and
            again before the body; an error that it raises ends the call.
        on_data : callable
            Called with each chunk of the answer.

        Raises
        ------
        UpstreamError
            ``ran`` states whether the attempt ran; it is ``NOT_RUN`` only if nothing was written
            or the upstream reported that it did not run the request.
        """

    @abstractmethod
    async def cancel(self, req: RunRequest) -> None:
        """Notify the upstream that the result of an attempt is no longer needed."""

    @abstractmethod
    async def probe(self) -> HealthReport:
        """Probe the health of the upstream."""

    async def list_loaded(self) -> tuple[VersionRef, ...] | None:
        """Return the versions in an engine's memory, or None if it does not report them.

        Raises
        ------
        UpstreamError
            The engine did not answer.
        """
        return None

    @abstractmethod
    async def order(self, order: UpstreamOrder, *, on_send: OnSend) -> UpstreamOrderReply:
        """Send an order to an engine, such as to load a version.

        Raises
        ------
        UpstreamError
            ``ran`` states whether the engine may have executed the order.
        """
