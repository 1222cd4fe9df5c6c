"""Check of the fencing numbers of the controller's orders, for engines that may ignore them."""

from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.utils import check_range

__all__ = ["OrderFence"]

STEP = "order_fence"
RETRY_AFTER_S = 1.0


class OrderFence:
    """Refuses orders to an engine whose fencing number is lower than the highest one seen.

    The fencing number of an order is the number of the controller's lease under which it was sent.
    A newly started agent knows no number: until ``learn`` has been called with the number stored in
    the platform's service, every order is refused.
    """

    def __init__(self):
        self._highest: int | None = None

    @property
    def highest(self) -> int | None:
        """Highest number seen, or None before the first ``learn``."""
        return self._highest

    def learn(self, number: int) -> None:
        """Record the number stored in the platform's service, unless a higher one is known."""
        check_range("number", number, low=0)
        self._highest = number if self._highest is None else max(self._highest, number)

    def check(self, number: int) -> None:
        """Admit an order with a number; the caller must call the engine next, without any wait.

        Raises
        ------
        RefusedError
            ``STALE_FENCE``, as ``NOT_RUN``, if a higher number was seen or none is known yet.
        """
        if self._highest is None:
            message = "the agent has not read the number of the controller's lease yet"
            raise RefusedError(
                ErrorCode.STALE_FENCE, message, step=STEP, retry_after_s=RETRY_AFTER_S
            )
        if number < self._highest:
            message = f"fencing number {number} is lower than {self._highest}"
            raise RefusedError(ErrorCode.STALE_FENCE, message, step=STEP)
        self._highest = number
