"""Types of a soak of processes."""

from enum import Enum

from msgspec import Struct, field

from crocusvalve.standin import PageAnswer, PageRequest

__all__ = ["Attempt", "CallKind", "Guarantee", "UpstreamRun", "SoakBounds", "Violation"]


class SoakBounds(Struct, frozen=True, kw_only=True):
    """Bounds of the users' rules, in seconds, as their settings give them.

    ``contact_s`` is how long a part has to be undisturbed before bounds on time hold for it.
    """

    contact_s: float = 3.0
    drain_s: float = 2.0
    config_s: float = 2.0
    evacuate_s: float = 5.0
    #: Changes that the store takes while it is disturbed may take this much longer.
    outer_s: float = 5.0
    grace_s: float = 8.0
    recover_s: float = 12.0
    #: The time told to an upstream may be longer than the caller's by this.
    deadline_slack_s: float = 0.5
    #: An answer has to be there this long after the caller's time is over.
    answer_slack_s: float = 0.5
    #: A request may reach an upstream this long after its caller has left.
    leave_slack_s: float = 0.5


class CallKind(Enum):
    """Kind of a caller's request, by its route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    #: A stream that may be resumed at another upstream.
    STREAM = "stream"
    #: A stream that may run once.
    ONCE = "once"

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream."""
        return self in (CallKind.STREAM, CallKind.ONCE)

    @property
    def max_runs(self) -> int:
        """Upstreams to which one attempt may be sent."""
        return {CallKind.SAFE: 2, CallKind.STREAM: 3}.get(self, 1)


class Guarantee(Enum):
    """What callers and upstreams are promised."""

    #: An answer is the whole one of the request's own upstream.
    MIXED = "mixed"
    #: An upstream runs what a caller sent, unchanged, as its own customer.
    UNASKED = "unasked"
    TWICE = "twice"
    #: A refusal tells that the request has not run and never will.
    REFUSED = "refused"
    DENIED = "denied"
    BUDGET = "budget"
    ROUTE = "route"
    CONFIG = "config"
    DRAIN = "drain"
    EVACUATION = "evacuation"
    GONE = "gone"
    LOST = "lost"
    ORDER = "order"
    UPGRADE = "upgrade"
    RECOVERY = "recovery"
    #: A process ends only when it is told to, in time, and logs no fault of its own.
    PROCESS = "process"


class Violation(Struct, frozen=True):
    """A broken promise and what was seen."""

    promise: Guarantee
    what: str
    at_s: float


class UpstreamRun(Struct, frozen=True):
    """A request that an upstream began to run."""

    upstream: str
    started_at: float


class Attempt(Struct, kw_only=True):
    """A request of a caller and what became of it; times are those of the soak's clock."""

    req: PageRequest
    kind: CallKind
    customer: str
    gateway: str
    sent_at: float
    left_at: float | None = None
    ended_at: float | None = None
    answer: PageAnswer = field(default_factory=PageAnswer)
    runs: list[UpstreamRun] = field(default_factory=list)
    #: End of the time that the first upstream was told.
    upstream_deadline_at: float | None = None
