"""What a gateway that was told to stop still takes, and when refused callers may come back."""

from msgspec import Struct

from crocusvalve.gateway.base import RouteKind

__all__ = ["StopPlan"]

#: The balancer probes each second and takes a gateway out after two misses; callers that it still
#: sends are served for this long.
ACCEPT_ALL_S = 3.0
#: Time kept at the end of the grace for the process to end.
EXIT_MARGIN_S = 0.9
#: Time that a plain request should have at least; it runs for about a tenth of a second.
MIN_PLAIN_S = 0.5
#: From the end of a process to the next one's first answer; the platform starts it half a second
#: after the end.
RESTART_GAP_S = 0.8
#: When a caller may come back while another gateway takes requests.
PEER_RETRY_S = 0.05


class StopPlan(Struct, frozen=True):
    """Times of a stop, in seconds of the gateway's clock.

    Parameters
    ----------
    refuses_at : float
        From here on requests are refused that another gateway can take.
    ends_at : float
        The process ends, whatever is open.
    """

    refuses_at: float
    ends_at: float

    @classmethod
    def make(cls, now: float, grace_s: float) -> "StopPlan":
        """Plan a stop that begins now and must be over within the grace."""
        return cls(now + ACCEPT_ALL_S, now + grace_s - EXIT_MARGIN_S)

    def is_accepted(self, kind: RouteKind, has_open_peer: bool, now: float) -> bool:
        """Tell whether a new request is still taken.

        Where all gateways stop at the same time, plain requests are taken as long as they can end;
        a stream may last longer than the process.
        """
        if now < self.refuses_at:
            return True
        is_short = kind is not RouteKind.STREAM
        return is_short and not has_open_peer and now <= self.ends_at - MIN_PLAIN_S

    def compute_retry_s(self, has_open_peer: bool, now: float) -> float:
        """Return when a refused caller may come back."""
        if has_open_peer:
            return PEER_RETRY_S
        return max(PEER_RETRY_S, self.ends_at + RESTART_GAP_S - now)
