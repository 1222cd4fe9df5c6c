"""State of a request on its way through the gateway."""

from enum import Enum

from msgspec import Struct, field

from crocusvalve.base import UpstreamId
from crocusvalve.gateway._placement import Placement
from crocusvalve.gateway._upgrades import VersionChoice
from crocusvalve.gateway.base import CallerRequest, Customer, Route, RouteKind, Service

__all__ = ["GatewayRequest", "RequestEnd"]

#: The rest of a caller's time that is kept for the way back, in seconds.
RETURN_MARGIN_S = 0.02


class RequestEnd(Enum):
    """How a request ended."""

    ANSWERED = "answered"
    UPSTREAM_FAILURE = "upstream_failure"
    REFUSED = "refused"
    FAILED = "failed"
    ABORTED = "cut"
    CALLER_LEFT = "caller_left"


class GatewayRequest(Struct, kw_only=True):
    """A request under way.

    Attributes
    ----------
    arrived_at, deadline : float
        Times of the gateway's clock; at the deadline the answer is given up.
    affinity : str
        What requests share that have a cached prompt in common.
    tried : set of UpstreamId
        Upstreams that are not asked again.
    n_sends : int
        Times that the request was sent, also where it was rejected.
    n_runs : int
        Times that it may have run.
    model, upstream_id : str, UpstreamId or None
        Model and upstream asked last.
    first_event_at : float or None
        Time of the first event that was passed on.
    placement : Placement or None
        The last look for an upstream.
    waited_s : float
        Time for which an upstream was waited for.
    notes : list of str
        What happened on the way, for the log.
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
    n_runs: int = 0
    model: str = ""
    upstream_id: UpstreamId | None = None
    first_event_at: float | None = None
    n_events: int = 0
    placement: Placement | None = None
    waited_s: float = 0.0
    notes: list[str] = field(default_factory=list)

    @property
    def has_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return self.n_runs > 0

    @property
    def request_id(self) -> str:
        """Id of the caller's attempt, for logs."""
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
        """Runs that the route still allows."""
        return self.route.max_attempts - self.n_runs

    def compute_left_s(self, now: float) -> float:
        """Return the time that is left, in seconds."""
        return self.deadline - now
