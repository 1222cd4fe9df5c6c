"""Which requests a stopping gateway still accepts, and when refused callers may retry."""

from msgspec import Struct

from crocusvalve.gateway.base import RouteKind

__all__ = ["StopPlan"]

#: Seconds for which a stopping gateway accepts all requests. The load balancer probes each second
#: and removes a gateway after two failed probes; until then it still sends callers here.
ACCEPT_ALL_S = 3.0
#: Seconds reserved at the end of the grace period for the process to exit.
EXIT_MARGIN_S = 0.9
#: Seconds reserved before that for the answers to requests that can't end in time.
ANSWER_MARGIN_S = 0.1
#: Minimum time left, in seconds, at which a plain request is accepted; such a request takes about a
#: tenth of a second.
MIN_PLAIN_S = 0.5
#: Seconds from the end of the process to the first answer of the next one; the platform starts it
#: half a second after the end.
RESTART_GAP_S = 0.8
#: Seconds after which a caller may retry while another gateway accepts requests.
PEER_RETRY_S = 0.05


class StopPlan(Struct, frozen=True):
    """Times of a graceful stop, in seconds of the gateway's clock.

    Parameters
    ----------
    refuses_at : float
        Time from which requests are refused that another gateway can accept.
    ends_at : float
        Time at which the process ends, even if requests are still open.
    """

    refuses_at: float
    ends_at: float

    @property
    def answers_until(self) -> float:
        """Time at which all open requests are answered, if only by an error."""
        return self.ends_at - ANSWER_MARGIN_S

    @classmethod
    def make(cls, now: float, grace_s: float) -> "StopPlan":
        """Plan a stop that begins now and must be complete within ``grace_s`` seconds."""
        return cls(now + ACCEPT_ALL_S, now + grace_s - EXIT_MARGIN_S)

    def is_accepted(self, kind: RouteKind, has_accepting_peer: bool, now: float) -> bool:
        """Return whether a new request is still accepted.

        If all gateways stop at the same time, plain requests are accepted as long as they can
        complete; streams are not, since one may last longer than the process.
        """
        if now < self.refuses_at:
            return True
        is_short = kind is not RouteKind.STREAM
        return is_short and not has_accepting_peer and now <= self.ends_at - MIN_PLAIN_S

    def compute_retry_s(self, has_accepting_peer: bool, now: float) -> float:
        """Return the seconds after which a refused caller may retry."""
        if has_accepting_peer:
            return PEER_RETRY_S
        return max(PEER_RETRY_S, self.ends_at + RESTART_GAP_S - now)
