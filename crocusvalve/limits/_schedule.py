"""Weighted fair order between customers within one priority, by start tags of virtual time."""

import heapq
from collections import OrderedDict
from collections.abc import Callable

from msgspec import Struct, field

from crocusvalve.base import CustomerId, RequestId
from crocusvalve.model import RequestRow

__all__ = ["FairSchedule", "FlowKey", "make_flow_key"]

CanPlace = Callable[[RequestRow], bool]


class FlowKey(Struct, frozen=True):
    """Requests of one customer that need the same upstreams, served first in, first out."""

    class_name: str
    target: str


def make_flow_key(req: RequestRow) -> FlowKey:
    """Return the flow of a request."""
    target = req.service or req.pinned_version
    if not target:
        target = req.steps[req.step] if req.step < len(req.steps) else req.version
    return FlowKey(req.class_name, target)


class CustomerQueue(Struct, kw_only=True):
    """Requests of one customer at one priority; ``start_tag`` is its next start in virtual time."""

    weight: float
    start_tag: float
    flows: dict[FlowKey, OrderedDict[RequestId, RequestRow]] = field(default_factory=dict)


class FairSchedule:
    """Start-time fair queueing between the customers of one priority.

    A customer's virtual time moves on by ``1 / weight`` with each request that it is served, so a
    backlog of one customer can't delay the others by more than one request each.
    """

    def __init__(self):
        self.customers: dict[CustomerId, CustomerQueue] = {}
        self.virtual_time = 0.0

    def add(self, req: RequestRow, weight: float) -> None:
        """Add a request; one that was tried before goes to the front of its flow."""
        queue = self.customers.get(req.customer_id)
        if queue is None:
            queue = CustomerQueue(weight=weight, start_tag=self.virtual_time)
            self.customers[req.customer_id] = queue
        queue.weight = weight
        if not queue.flows:
            queue.start_tag = max(queue.start_tag, self.virtual_time)
        flow = queue.flows.setdefault(make_flow_key(req), OrderedDict())
        flow[req.request_id] = req
        if req.n_attempts:
            flow.move_to_end(req.request_id, last=False)

    def remove(self, req: RequestRow) -> None:
        """Remove a request; a customer without requests is kept until its tag is overtaken."""
        queue = self.customers[req.customer_id]
        key = make_flow_key(req)
        del queue.flows[key][req.request_id]
        if not queue.flows[key]:
            del queue.flows[key]

    def start_pass(self) -> "SchedulePass":
        """Start a pass over all customers, and forget the idle ones."""
        for customer_id, queue in list(self.customers.items()):
            if not queue.flows and queue.start_tag <= self.virtual_time:
                del self.customers[customer_id]
        return SchedulePass(self)

    def charge(self, queue: CustomerQueue) -> None:
        """Move virtual time on for a customer that was served one request."""
        self.virtual_time = max(self.virtual_time, queue.start_tag)
        queue.start_tag += 1.0 / queue.weight


class SchedulePass:
    """One pass over a schedule; a flow whose head can't be placed is skipped until the next."""

    def __init__(self, schedule: FairSchedule):
        self.schedule = schedule
        self._blocked: set[tuple[CustomerId, FlowKey]] = set()
        self._heap = [
            (queue.start_tag, customer_id)
            for customer_id, queue in schedule.customers.items()
            if queue.flows
        ]
        heapq.heapify(self._heap)

    def find_next(self, can_place: CanPlace) -> RequestRow | None:
        """Return the next request that can be placed, charged to its customer, or None."""
        while self._heap:
            customer_id = self._heap[0][1]
            queue = self.schedule.customers.get(customer_id)
            head = self._find_head(customer_id, queue, can_place) if queue else None
            if head is None:
                heapq.heappop(self._heap)
                continue
            self.schedule.charge(queue)
            heapq.heapreplace(self._heap, (queue.start_tag, customer_id))
            return head
        return None

    def _find_head(
        self, customer_id: CustomerId, queue: CustomerQueue, can_place: CanPlace
    ) -> RequestRow | None:
        heads = [
            (next(iter(flow.values())), key)
            for key, flow in queue.flows.items()
            if (customer_id, key) not in self._blocked
        ]
        heads.sort(key=lambda item: item[0].arrived_at)
        for head, key in heads:
            if can_place(head):
                return head
            self._blocked.add((customer_id, key))
        return None
