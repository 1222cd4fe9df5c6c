"""Fault switches of the stand-in platform."""

from enum import Enum

from msgspec import Struct

__all__ = ["ALL_CALLS", "PlatformFaults", "RatingFault"]

#: Value of a fault counter that applies to all subsequent calls.
ALL_CALLS = -1


class RatingFault(Enum):
    """Fault of the rating service; ``LYING`` inverts the scores."""

    NONE = "none"
    STOPPED = "stopped"
    LYING = "lying"


class PlatformFaults(Struct, kw_only=True, forbid_unknown_fields=True):
    """Active faults; with the defaults the platform is healthy.

    Attributes
    ----------
    is_down : bool
        Every call fails before it takes effect.
    delay_s : float
        Delay of every call in seconds.
    n_lost_answers : int
        Number of subsequent writes that take effect but whose answer is lost; -1 for all.
    n_lost_requests : int
        Number of subsequent writes that are lost before they take effect; callers can't distinguish
        them from writes with a lost answer. -1 for all.
    is_down_after_lost_answer : bool
        Whether the platform becomes unavailable once it has lost an answer.
    vm_list_lag_s : float
        Lag of the list of VMs in seconds.
    weight_reservations_per_s : float or None
        Rate limit of the weight store; None means that of the platform's constructor.
    ratings : RatingFault
        Fault of the rating service.
    """

    is_down: bool = False
    delay_s: float = 0.0
    n_lost_answers: int = 0
    n_lost_requests: int = 0
    is_down_after_lost_answer: bool = False
    vm_list_lag_s: float = 0.0
    weight_reservations_per_s: float | None = None
    ratings: RatingFault = RatingFault.NONE

    def consume_lost_answer(self) -> bool:
        """Return whether the current write's answer is lost, and decrement ``n_lost_answers``."""
        is_lost = self.n_lost_answers != 0
        if self.n_lost_answers > 0:
            self.n_lost_answers -= 1
        if is_lost and self.is_down_after_lost_answer:
            self.is_down = True
        return is_lost

    def consume_lost_request(self) -> bool:
        """Return whether the current write is lost, and decrement ``n_lost_requests``."""
        is_lost = self.n_lost_requests != 0
        if self.n_lost_requests > 0:
            self.n_lost_requests -= 1
        return is_lost
