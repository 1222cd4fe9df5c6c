"""Queue of admitted requests with priorities, customer fairness, deadlines and bounds."""

import heapq
from collections.abc import Callable, Iterator

from crocusvalve.base import ClassKind, CustomerId, Priority, RequestId
from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.limits._backlog import Backlog
from crocusvalve.limits._schedule import FairSchedule, SchedulePass
from crocusvalve.model import RequestRow

__all__ = ["FairQueue"]

#: Name of this processing step in errors and logs.
STEP = "queue"
#: Default bound on the queued requests of one member.
MAX_PER_MEMBER = 2000
#: For one in this many requests the lowest priority is searched first, so that it doesn't starve.
LOWEST_FIRST_EVERY = 8
#: Priorities from the most to the least urgent, and in reverse.
HIGHEST_FIRST = tuple(sorted(Priority))
LOWEST_FIRST = tuple(sorted(Priority, reverse=True))
#: Time in seconds after which a caller that a full queue refused may retry.
FULL_RETRY_AFTER_S = 1.0


class FairQueue:
    """Requests that wait for an upstream.

    The queue serves requests by priority, by weighted fair queueing between the customers of one
    priority, and first in, first out for each target of a customer. It is bounded per class and per
    member. If a class is full, a new request may replace the newest request of the same class and
    priority of the customer whose queue is longest for its weight.

    Parameters
    ----------
    max_per_member : int
        Largest number of queued requests of one member; members don't share the bound.

    Attributes
    ----------
    n_served_ : int
        Requests that left the queue for an upstream.
    last_drained_at_ : float
        Latest Unix time passed to ``drain_ready``, in seconds.
    """

    def __init__(self, *, max_per_member: int = MAX_PER_MEMBER):
        self.max_per_member = max_per_member
        self.n_served_ = 0
        self.last_drained_at_ = 0.0
        self._rows: dict[RequestId, RequestRow] = {}
        self._schedules = {priority: FairSchedule() for priority in Priority}
        self._backlog = Backlog()
        self._delayed: list[tuple[float, RequestId]] = []
        self._delayed_ids: set[RequestId] = set()
        self._deadlines: list[tuple[float, RequestId]] = []
        self._expired: list[RequestRow] = []

    def __len__(self) -> int:
        return len(self._rows) + len(self._expired)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._rows

    def push(
        self, req: RequestRow, *, weight: float = 1.0, max_queue: int = 200
    ) -> RequestRow | None:
        """Add a request.

        Parameters
        ----------
        req : RequestRow
            The request; it is not served before its ``not_before``. A retried or durable request is
            accepted even if the queue is full. Its ``service``, ``steps``, ``step`` and
            ``pinned_version`` must not change while it is queued.
        weight : float
            Fair-queueing weight of its customer, above 0.
        max_queue : int
            Largest number of queued requests of its class.

        Returns
        -------
        RequestRow or None
            A request that never ran and was dropped in favour of this one; the caller of ``push``
            has to end it with OVERLOADED.

        Raises
        ------
        RefusedError
            OVERLOADED if the class or the member's share of the queue is full.
        ValueError
            If the weight isn't above 0, or the request is queued already.
        """
        if weight <= 0.0:
            raise ValueError(f"weight must be in (0, inf], got {weight!r}")
        if req.request_id in self._rows:
            raise ValueError(f"request_id must be new to the queue, got {req.request_id!r}")
        dropped = None
        if _is_droppable(req):
            dropped = self._make_room(req, weight, max_queue)
        self._add(req, weight)
        return dropped

    def drain_ready(
        self, can_place: Callable[[RequestRow], bool], now: float
    ) -> Iterator[RequestRow]:
        """Remove and yield the requests that can be placed, in fair order.

        Parameters
        ----------
        can_place : callable
            Returns whether a request has a free upstream. If it returns False, the requests behind
            that request in its flow are also skipped until the next call.
        now : float
            Current Unix time in seconds.
        """
        self.last_drained_at_ = max(self.last_drained_at_, now)
        self._collect_expired(now)
        self._release_delayed(now)
        passes = {priority: schedule.start_pass() for priority, schedule in self._schedules.items()}
        while (req := self._find_next(passes, can_place)) is not None:
            self.n_served_ += 1
            self._backlog.record_departure(req, now)
            self._remove(req)
            yield req

    def pop_ready(self, can_place: Callable[[RequestRow], bool], now: float) -> RequestRow | None:
        """Remove and return the next request that can be placed, or None; see ``drain_ready``."""
        return next(self.drain_ready(can_place, now), None)

    def remove(self, request_id: RequestId) -> RequestRow | None:
        """Remove and return a request, such as a cancelled one; None if it isn't queued."""
        req = self._rows.get(request_id)
        if req is not None:
            self._remove(req)
        return req

    def pop_expired(self, now: float) -> list[RequestRow]:
        """Remove and return all requests whose deadline has passed, in order of deadline."""
        self._collect_expired(now)
        expired, self._expired = self._expired, []
        return expired

    def estimate_wait_s(self, req: RequestRow, *, weight: float = 1.0) -> float:
        """Estimate how long a request would wait in the queue, in seconds; 0 if unknown."""
        return self._backlog.estimate_wait_s(req, weight)

    def get_next_due(self) -> float | None:
        """Return the Unix time of the next deadline or end of a delay, or None."""
        due = [heap[0][0] for heap in (self._delayed, self._deadlines) if heap]
        return min(due, default=None)

    def _add(self, req: RequestRow, weight: float) -> None:
        self._rows[req.request_id] = req
        ready_at = max(req.arrived_at, req.not_before, self.last_drained_at_)
        self._backlog.add(req, weight, ready_at)
        heapq.heappush(self._deadlines, (req.deadline, req.request_id))
        if req.not_before > req.arrived_at:
            self._delayed_ids.add(req.request_id)
            heapq.heappush(self._delayed, (req.not_before, req.request_id))
            return
        self._schedules[req.priority].add(req, weight)

    def _remove(self, req: RequestRow) -> None:
        del self._rows[req.request_id]
        self._backlog.remove(req)
        if req.request_id in self._delayed_ids:
            self._delayed_ids.remove(req.request_id)
            return
        self._schedules[req.priority].remove(req)

    def _find_next(
        self, passes: dict[Priority, SchedulePass], can_place: Callable[[RequestRow], bool]
    ) -> RequestRow | None:
        is_lowest_first = (self.n_served_ + 1) % LOWEST_FIRST_EVERY == 0
        for priority in LOWEST_FIRST if is_lowest_first else HIGHEST_FIRST:
            req = passes[priority].find_next(can_place)
            if req is not None:
                return req
        return None

    def _release_delayed(self, now: float) -> None:
        while self._delayed and self._delayed[0][0] <= now:
            _, request_id = heapq.heappop(self._delayed)
            if request_id not in self._delayed_ids:
                continue
            self._delayed_ids.remove(request_id)
            req = self._rows[request_id]
            self._schedules[req.priority].add(req, self._backlog.weights[req.customer_id])

    def _collect_expired(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            deadline, request_id = heapq.heappop(self._deadlines)
            req = self._rows.get(request_id)
            if req is not None and req.deadline <= deadline:
                self._remove(req)
                self._expired.append(req)

    def _make_room(self, req: RequestRow, weight: float, max_queue: int) -> RequestRow | None:
        if self._backlog.by_member[req.member] >= self.max_per_member:
            raise _make_full_error(f"member {req.member}")
        counts = self._backlog.by_class.get((req.member, req.class_name))
        if not counts or sum(counts.values()) < max_queue:
            return None
        weights = self._backlog.weights
        longest = max(counts, key=lambda customer_id: counts[customer_id] / weights[customer_id])
        weighted_length = (counts[req.customer_id] + 1) / weight
        dropped = None
        if counts[longest] / weights[longest] > weighted_length:
            dropped = self._find_newest(req, longest)
        if dropped is None:
            raise _make_full_error(f"class {req.class_name}")
        self._remove(dropped)
        return dropped

    def _find_newest(self, req: RequestRow, customer_id: CustomerId) -> RequestRow | None:
        queue = self._schedules[req.priority].customers.get(customer_id)
        newest = None
        for key, flow in queue.flows.items() if queue else ():
            if key.class_name != req.class_name:
                continue
            last = next((row for row in reversed(flow.values()) if _is_droppable(row)), None)
            if last and (newest is None or last.arrived_at > newest.arrived_at):
                newest = last
        return newest


def _is_droppable(req: RequestRow) -> bool:
    return not req.n_attempts and req.kind is not ClassKind.DURABLE


def _make_full_error(owner: str) -> RefusedError:
    return RefusedError(
        ErrorCode.OVERLOADED,
        f"the queue of {owner} is full",
        step=STEP,
        retry_after_s=FULL_RETRY_AFTER_S,
    )
