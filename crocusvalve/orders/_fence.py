"""Fencing numbers of orders to an engine that may ignore them."""

from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.utils import check_range

__all__ = ["OrderFence"]

STEP = "order_fence"
RETRY_AFTER_S = 1.0


class OrderFence:
    """Remembers the highest number of the controller's lease that was seen.

    A new run of an agent knows none: until ``learn`` has been called with the number that stands in
    the platform's service, every order is refused.
    """

    def __init__(self):
        self._highest: int | None = None

    @property
    def highest(self) -> int | None:
        """Highest number seen, or None before the first ``learn``."""
        return self._highest

    def learn(self, number: int) -> None:
        """Take the number that stands in the platform's service; an older one is ignored."""
        check_range("number", number, low=0)
        self._highest = number if self._highest is None else max(self._highest, number)

    def check(self, number: int) -> None:
        """Admit an order of a number; the call to the engine follows without any wait.

        Raises
        ------
        RefusedError
            ``STALE_FENCE``, as ``NOT_RUN``, where a higher number was seen, or none is known yet.
        """
        if self._highest is None:
            message = "the agent has not read the controller's number yet"
            raise RefusedError(
                ErrorCode.STALE_FENCE, message, step=STEP, retry_after_s=RETRY_AFTER_S
            )
        if number < self._highest:
            message = f"number {number} is older than {self._highest}"
            raise RefusedError(ErrorCode.STALE_FENCE, message, step=STEP)
        self._highest = number
