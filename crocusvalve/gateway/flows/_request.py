"""State of a request while the gateway handles it."""

from enum import Enum

from msgspec import Struct, field

from crocusvalve.base import ExecutionStatus, UpstreamId
from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.gateway.base import CallerRequest, Customer, Reply, Route, RouteKind, Service
from crocusvalve.gateway.decisions._placement import Placement
from crocusvalve.gateway.decisions._tickets import RefusalReason
from crocusvalve.gateway.decisions._upgrades import VersionChoice

__all__ = ["GatewayRequest", "RequestEnd", "check_claim"]

#: Part of the caller's time reserved for returning the answer, in seconds.
RETURN_MARGIN_S = 0.02
#: Statuses which state to a caller that its request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


def check_claim(reply: Reply, upstream_id: UpstreamId) -> None:
    """Check that an upstream's failure doesn't state that a request that may have run hasn't.

    An upstream says in a header field that it hasn't run a request; its status alone says nothing.

    Raises
    ------
    RefusedError
        If the reply can't be forwarded.
    """
    if reply.status in NOT_RUN_STATUSES and not reply.is_not_run:
        raise RefusedError(
            ErrorCode.UPSTREAM_FAILED,
            f"upstream {upstream_id} answered {reply.status}; the request may have run",
            step="answer",
            ran=ExecutionStatus.UNKNOWN,
        )


class RequestEnd(Enum):
    """How a request ended."""

    ANSWERED = "answered"
    UPSTREAM_FAILURE = "upstream_failure"
    REFUSED = "refused"
    FAILED = "failed"
    #: The answer was interrupted after a part of it had been sent.
    ABORTED = "cut"
    CALLER_LEFT = "caller_left"


class GatewayRequest(Struct, kw_only=True):
    """A request in progress.

    Attributes
    ----------
    arrived_at, deadline : float
        Times of the gateway's clock in seconds; at the deadline the request is abandoned.
    versions : VersionChoice
        Version of the service that the request must run on, or must avoid.
    affinity : str
        Key shared by requests with a cached prompt prefix in common; empty for none.
    digest : str
        Digest of target, customer and body; identifies requests that crash upstreams.
    tried : set of UpstreamId
        Upstreams to which the request is not sent again.
    n_sends : int
        Attempts to send the request, including those that were rejected or failed.
    n_arrivals : int
        Attempts that were sent on an open connection, so that they count against the budget.
    n_runs : int
        Attempts that may have run the request.
    model, upstream_id : str, UpstreamId or None
        Model and upstream of the last attempt.
    n_sent_beside : int
        This gateway's requests in flight at the upstream when it was last chosen.
    sent_at : float or None
        Time at which the last attempt was sent.
    expected_s : float
        Expected time from then to its first event, in seconds; 0 if unknown.
    first_event_at : float or None
        Time at which the first event was forwarded.
    n_events : int
        Events forwarded to the caller.
    placement : Placement or None
        Result of the last search for an upstream.
    waited_s : float
        Time spent waiting for an upstream, in seconds.
    return_at : float or None
        Time at which an upstream is expected to take the request; None if that isn't limited.
    stop_retry_s : float or None
        Seconds after which the caller may retry a request that the gateway's stop has ended; None
        for one that it hasn't.
    retry_at : float or None
        Time that the admission gave the caller of a refused request to send it again.
    queue_length : int
        Other requests in the queue of its service when it began to wait or was refused.
    held_s : float
        Part of ``waited_s`` for which it left room for more urgent requests, in seconds.
    refusal : RefusalReason or None
        Why the admission has refused it.
    is_withdrawn : bool
        Whether the request was ended because it has become known to crash upstreams.
    notes : list of str
        Retries, rejections and failures of the attempts, for the log.
    """

    caller: CallerRequest
    route: Route
    service: Service
    customer: Customer | None
    versions: VersionChoice
    arrived_at: float
    deadline: float
    affinity: str
    digest: str
    tried: set[UpstreamId] = field(default_factory=set)
    n_sends: int = 0
    n_arrivals: int = 0
    n_runs: int = 0
    model: str = ""
    upstream_id: UpstreamId | None = None
    n_sent_beside: int = 0
    sent_at: float | None = None
    expected_s: float = 0.0
    first_event_at: float | None = None
    n_events: int = 0
    placement: Placement | None = None
    waited_s: float = 0.0
    return_at: float | None = None
    stop_retry_s: float | None = None
    retry_at: float | None = None
    queue_length: int = 0
    held_s: float = 0.0
    refusal: RefusalReason | None = None
    is_withdrawn: bool = False
    notes: list[str] = field(default_factory=list)

    @property
    def has_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return self.n_runs > 0

    @property
    def request_id(self) -> str:
        """The caller's attempt id as text, for logs."""
        return self.caller.attempt_id.decode("latin-1")

    @property
    def priority(self) -> int:
        """Urgency; 0 is served first."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.route.kind is RouteKind.STREAM

    @property
    def n_attempts_left(self) -> int:
        """Number of further runs that the route allows."""
        return self.route.max_attempts - self.n_runs

    def compute_left_s(self, now: float) -> float:
        """Return the time until the deadline, in seconds."""
        return self.deadline - now
