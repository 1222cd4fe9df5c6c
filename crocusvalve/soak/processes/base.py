"""Types of a soak of gateway processes."""

from enum import Enum

from msgspec import Struct, field

from crocusvalve.standin import CallerAnswer, CallerRequest, UpstreamFault

__all__ = [
    "SOUND_FAULTS",
    "Attempt",
    "CallKind",
    "Guarantee",
    "SoakBounds",
    "UpstreamRun",
    "Violation",
]

#: Values of ``UpstreamFault`` with which an answer is complete and good.
SOUND_FAULTS = (UpstreamFault.NONE, UpstreamFault.SILENT, UpstreamFault.SILENT_FIRST)


class SoakBounds(Struct, frozen=True, kw_only=True):
    """Time bounds of the users' requirements, in seconds; the values are from the users' settings.

    ``contact_s`` is how long a component must be undisrupted before time bounds apply to it.
    """

    contact_s: float = 3.0
    #: Time after which a draining or removed upstream gets no more requests.
    drain_s: float = 2.0
    #: Time after which a changed configuration is in force.
    config_s: float = 2.0
    #: Time after which the upstreams of an evacuated failure domain get no more requests.
    evacuate_s: float = 5.0
    #: Extra time for a change that the store acknowledged while it was disrupted.
    outer_s: float = 5.0
    #: Time within which a gateway process ends after SIGTERM.
    grace_s: float = 8.0
    #: Time within which requests are served again after the last fault.
    recover_s: float = 12.0
    #: The deadline sent to an upstream may be later than the caller's by this much.
    deadline_slack_s: float = 0.5
    #: The answer must be complete at most this long after the caller's deadline.
    answer_slack_s: float = 0.5
    #: Time after which an upstream's wish for no more requests is followed.
    closure_s: float = 0.5
    #: An upstream gets at most ``limit_factor`` times its limit and ``limit_slack`` requests in any
    #: ``limit_span_s``, from gateways that got an answer with it ``limit_known_s`` before.
    limit_factor: float = 1.5
    limit_slack: int = 5
    limit_span_s: float = 4.0
    limit_known_s: float = 0.5
    #: Time after which a gateway that has used a change does not return to the state before.
    revert_s: float = 0.25
    #: A request may reach an upstream up to this long after its caller left.
    leave_slack_s: float = 0.5
    #: A request whose connection ends later than this after its last byte counts as read.
    loss_slack_s: float = 0.2
    #: A stopping gateway may cut a request after this fraction of ``grace_s``, if the request was
    #: sent at most ``accept_s`` after SIGTERM.
    stop_fraction: float = 5 / 6
    accept_s: float = 3.0
    #: Delay of the soak's own tasks above which bounds on time can't be checked.
    wakeup_s: float = 0.3
    #: A gateway may give up this long before a request's time is over, to tell its caller in time.
    return_margin_s: float = 0.1


class CallKind(Enum):
    """Kind of a caller's request; the value is also the name of its route."""

    #: A request that may be repeated at another upstream.
    SAFE = "safe"
    #: A request that may run at most once.
    UNSAFE = "unsafe"
    #: A stream that may be resumed at another upstream.
    STREAM = "stream"
    #: A stream that may run at most once.
    ONCE = "once"

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream."""
        return self in (CallKind.STREAM, CallKind.ONCE)

    @property
    def max_runs(self) -> int:
        """Most upstreams that may run one attempt."""
        return {CallKind.SAFE: 2, CallKind.STREAM: 3}.get(self, 1)


class Guarantee(Enum):
    """Guarantees to callers and upstreams, each with a short name for the report.

    Most names describe a broken guarantee: "twice" is reported for a request that ran twice.
    """

    #: An answer is the complete, unchanged answer of an upstream that ran the request.
    MIXED = "mixed"
    #: An upstream runs only what a caller sent, unchanged and as the caller's own customer.
    UNASKED = "unasked"
    #: A request that may not be repeated runs at most once.
    TWICE = "twice"
    #: A refused request has not run and never will.
    REFUSED = "refused"
    #: A valid request gets no redirect or client error other than a refusal.
    DENIED = "denied"
    #: A request runs on no more upstreams and with no more time than its caller allowed.
    BUDGET = "budget"
    #: An upstream gets no more requests than the rate that it names allows.
    LIMIT = "limit"
    #: A request runs only on services that its route was ever configured for.
    ROUTE = "route"
    #: A changed configuration is in force in time, and a request is answered by its deadline.
    CONFIG = "config"
    #: A draining or removed upstream gets no more requests after a bound.
    DRAIN = "drain"
    #: The upstreams of an evacuated failure domain get no more requests after a bound.
    EVACUATION = "evacuation"
    #: A request whose caller left reaches no upstream after a bound.
    GONE = "gone"
    #: A request that a gateway has read is answered in its time, with the complete answer of a
    #: sound upstream that ran it.
    LOST = "lost"
    #: A stream has each event exactly once and in order.
    ORDER = "order"
    #: An upgrade to a bad version is not completed.
    UPGRADE = "upgrade"
    #: Requests are served again in time after the last fault.
    RECOVERY = "recovery"
    #: A process becomes ready, ends only when requested and in time, and logs no errors.
    PROCESS = "process"


class Violation(Struct, frozen=True):
    """A broken guarantee, a description and the time on the soak's clock; part of the report."""

    promise: Guarantee
    what: str
    at_s: float


class UpstreamRun(Struct, frozen=True):
    """The start of a request at an upstream, with its time on the soak's clock.

    ``is_sound`` is whether the upstream injects no fault into the answer, except a silence.
    """

    upstream: str
    started_at: float
    is_sound: bool = True


class Attempt(Struct, kw_only=True):
    """A caller's request with its outcome; times are those of the soak's clock, in seconds.

    ``whole_at`` is when the last byte was sent, ``left_at`` is when the caller closed its
    connection before the answer had ended.
    """

    req: CallerRequest
    kind: CallKind
    customer: str
    gateway: str
    sent_at: float
    whole_at: float | None = None
    left_at: float | None = None
    ended_at: float | None = None
    answer: CallerAnswer = field(default_factory=CallerAnswer)
    runs: list[UpstreamRun] = field(default_factory=list)
    #: Deadline that was sent to the first upstream.
    upstream_deadline_at: float | None = None

    def describe(self) -> str:
        """Return what happened to the request, without bodies, for the report."""
        times = (self.sent_at, self.whole_at, self.left_at, self.ended_at)
        sent, whole, left, ended = ("-" if at is None else f"{at:.3f}" for at in times)
        runs = ", ".join(
            f"{run.upstream} at {run.started_at:.3f}{'' if run.is_sound else ' with a fault'}"
            for run in self.runs
        )
        answer = f"status {self.answer.status}, {len(self.answer.body)} bytes"
        return (
            f"{self.kind.value} at {self.gateway}, sent {sent} to {whole}, left {left}, "
            f"ended {ended}, {answer}, runs: {runs or 'none'}"
        )
