"""What a stopping gateway accepts, when it ends open requests, and when callers may retry."""

from msgspec import Struct

from crocusvalve.gateway.base import RouteKind

__all__ = ["OpenRequest", "StopPlan"]

#: Seconds for which a stopping gateway accepts all requests. The load balancer probes each second
#: and removes a gateway after two failed probes; until then it still sends callers here. Requests
#: sent 3 s after the signal or later must not be cut, so that 0.1 s are left for their arrival.
ACCEPT_ALL_S = 2.9
#: Fraction of the grace period after which a request in progress may be ended: before that, its
#: caller counts it as lost.
END_FRACTION = 5.0 / 6.0
#: Seconds by which a request is ended after that, since callers' and gateways' times of the signal
#: differ by the time that the signal takes.
SIGNAL_MARGIN_S = 0.04
#: Seconds reserved at the end of the grace period for the process to exit.
EXIT_MARGIN_S = 0.9
#: Seconds reserved before that for the answers to requests that can't end in time.
ANSWER_MARGIN_S = 0.1
#: Seconds between the last streams that are ended for another gateway and the last other requests.
SPREAD_MARGIN_S = 0.06
#: Minimum time until the last answers, in seconds, at which a plain request is accepted, as long as
#: nothing is known of its route; such a request takes about a tenth of a second.
MIN_PLAIN_S = 0.4
#: Share of a route's recent answers that must have come within the time left, by the kind of route.
#: A safe request that is cut may be repeated; the outcome of an unsafe one stays unknown.
ANSWER_SHARES = {RouteKind.SAFE: 0.5, RouteKind.UNSAFE: 0.99}
#: Fraction of the expected time left of a stream in progress that is the least it takes: one that
#: may end in time must not be cut, and durations vary by about half.
MIN_DURATION_FACTOR = 0.5
#: Seconds from the end of the process to the first answer of the next one; the platform starts it
#: half a second after the end.
RESTART_GAP_S = 0.8
#: Seconds after which a caller may retry while another gateway accepts requests.
PEER_RETRY_S = 0.05


class OpenRequest(Struct, frozen=True, kw_only=True):
    """State of a request in progress, as far as a stop depends on it.

    Attributes
    ----------
    is_resumable : bool
        Whether another gateway can go on with the stream after its last event.
    has_run : bool
        Whether an upstream may have run the request.
    first_s : float
        Expected time from now to the first event in seconds; 0 if it has been sent.
    elapsed_s : float
        Seconds since the first event; 0 before it.
    plain_s : float
        Time from a plain request's arrival within which it is expected to be answered, in seconds;
        0 if it isn't known.
    stream_s : float
        Expected time from the first event to the last one in seconds; 0 if it isn't known.
    n_events, n_tokens : int
        Events sent, and the number of output tokens that the caller has stated; 0 if it hasn't.
    position : float
        Place of the request among those ended in turn, from 0 to 1.
    """

    kind: RouteKind
    is_resumable: bool = False
    has_run: bool = False
    has_begun: bool = False
    first_s: float = 0.0
    elapsed_s: float = 0.0
    plain_s: float = 0.0
    stream_s: float = 0.0
    n_events: int = 0
    n_tokens: int = 0
    position: float = 0.0

    def compute_min_left_s(self) -> float:
        """Return the least time in seconds until a stream's last event; 0 if it isn't known.

        The duration of other streams and the rate of this one's events are both considered. An
        event may have several tokens, so that the rate can only be too low. For a stream that
        hasn't run it is the expected time, since a refusal costs its caller nothing.
        """
        left_s = self.first_s + self.stream_s - self.elapsed_s
        if self.stream_s <= 0.0 or left_s <= 0.0:
            return 0.0
        if self.n_events and self.n_tokens:
            n_left = max(0, self.n_tokens - self.n_events)
            left_s = min(left_s, self.elapsed_s * n_left / self.n_events)
        return MIN_DURATION_FACTOR * left_s if self.has_run else left_s


class StopPlan(Struct, frozen=True):
    """Times of a graceful stop, in seconds of the gateway's clock.

    Parameters
    ----------
    refuses_at : float
        Time from which requests are refused that another gateway can accept.
    ends_at : float
        Time at which the process ends, even if requests are still open.
    ends_from : float
        Time from which requests that an upstream has run may be ended.
    """

    refuses_at: float
    ends_at: float
    ends_from: float

    @property
    def answers_until(self) -> float:
        """Time at which all open requests are answered, if only by an error."""
        return self.ends_at - ANSWER_MARGIN_S

    @classmethod
    def make(cls, now: float, grace_s: float, signalled_at: float | None = None) -> "StopPlan":
        """Plan a stop that must be complete within ``grace_s`` seconds after the signal.

        Parameters
        ----------
        signalled_at : float or None
            Earliest time at which the signal may have been sent; None for the present time.
        """
        since = now if signalled_at is None else min(now, signalled_at)
        ends_at = since + grace_s - EXIT_MARGIN_S
        ends_from = now + END_FRACTION * grace_s + SIGNAL_MARGIN_S
        return cls(since + ACCEPT_ALL_S, ends_at, min(ends_from, ends_at - ANSWER_MARGIN_S))

    def is_accepted(
        self, kind: RouteKind, has_accepting_peer: bool, now: float, plain_s: float = 0.0
    ) -> bool:
        """Return whether a new request is still accepted.

        If all gateways stop at the same time, plain requests are accepted as long as they can
        complete; streams are not, since one may last longer than the process.

        Parameters
        ----------
        plain_s : float
            Time within which a plain request is expected to be answered, in seconds; 0 if it isn't
            known.
        """
        if kind is RouteKind.STREAM:
            return now < self.refuses_at
        is_here = now < self.refuses_at or not has_accepting_peer
        return is_here and self._has_time(plain_s, now)

    def _has_time(self, plain_s: float, now: float) -> bool:
        """Return whether a plain request that begins now is expected to be answered in time."""
        return now + max(plain_s, MIN_PLAIN_S) <= self.answers_until

    def must_end(self, req: OpenRequest, has_accepting_peer: bool, now: float) -> bool:
        """Return whether a request in progress is ended now, since it can't end in time.

        Load that it answers: dozens of streams that last longer than the process. They are ended
        one after the other, so that their callers don't come back to the other gateways at once.

        A plain request that hasn't run is refused as soon as it isn't expected to end in time, a
        stream only while another gateway accepts requests; one that has run isn't
        ended before ``ends_from``, and one that may end in time, or that no other gateway can go on
        with, isn't before ``answers_until``.
        """
        if now >= self.answers_until:
            return True
        if req.kind is not RouteKind.STREAM:
            return not req.has_run and not self._has_time(req.plain_s, now)
        if now + req.compute_min_left_s() <= self.answers_until:
            return False
        if not req.has_run:
            return has_accepting_peer
        if req.has_begun and not (req.is_resumable and has_accepting_peer):
            return False
        return now >= self._compute_turn(req.position)

    def _compute_turn(self, position: float) -> float:
        """Return when the request at a position from 0 to 1 is ended."""
        last = max(self.ends_from, self.answers_until - SPREAD_MARGIN_S)
        return self.ends_from + position * (last - self.ends_from)

    def is_over(self, answered_at: float | None, now: float) -> bool:
        """Return whether the process ends now, even if requests are still open.

        Load that it answers: on a busy machine the event loop may run too late for ``ends_at``;
        the requests that are ended then need time for their answers.

        Parameters
        ----------
        answered_at : float or None
            Time at which the last open requests were ended; None if they weren't yet.
        """
        if answered_at is None:
            return False
        return now >= max(self.ends_at, answered_at + ANSWER_MARGIN_S)

    def compute_retry_s(self, has_accepting_peer: bool, now: float) -> float:
        """Return the seconds after which a refused caller may retry."""
        if has_accepting_peer:
            return PEER_RETRY_S
        return max(PEER_RETRY_S, self.ends_at + RESTART_GAP_S - now)
