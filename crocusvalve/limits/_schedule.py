"""Start-time fair queueing between the customers of one priority."""

import heapq
from collections import OrderedDict
from collections.abc import Callable

from msgspec import Struct, field

from crocusvalve.base import CustomerId, RequestId
from crocusvalve.model import RequestRow

__all__ = ["FairSchedule", "FlowKey", "make_flow_key"]

CanPlace = Callable[[RequestRow], bool]


class FlowKey(Struct, frozen=True):
    """Key of a flow: a customer's requests of one class and target, served first in, first out.

    All requests of a flow need the same upstreams. ``target`` is the plain service, the pinned
    version, the model of the current step, or else the version of the request.
    """

    class_name: str
    target: str


def make_flow_key(req: RequestRow) -> FlowKey:
    """Return the key of the flow that a request belongs to."""
    target = req.service or req.pinned_version
    if not target:
        target = req.steps[req.step] if req.step < len(req.steps) else req.version
    return FlowKey(req.class_name, target)


class CustomerQueue(Struct, kw_only=True):
    """Requests of one customer at one priority.

    ``start_tag`` is the virtual time at which the customer's next request starts service.
    """

    weight: float
    start_tag: float
    flows: dict[FlowKey, OrderedDict[RequestId, RequestRow]] = field(default_factory=dict)


class FairSchedule:
    """Start-time fair queueing between the customers of one priority.

    A customer's start tag advances by ``1 / weight`` with each of its requests that is served, so
    the backlog of one customer can't delay the others by more than one request each.
    """

    def __init__(self):
        self.customers: dict[CustomerId, CustomerQueue] = {}
        self.virtual_time = 0.0

    def add(self, req: RequestRow, weight: float) -> None:
        """Add a request; a retried one goes to the front of its flow."""
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
        """Remove a request; an idle customer stays until virtual time reaches its start tag."""
        queue = self.customers[req.customer_id]
        key = make_flow_key(req)
        del queue.flows[key][req.request_id]
        if not queue.flows[key]:
            del queue.flows[key]

    def start_pass(self) -> "SchedulePass":
        """Start a pass over all customers, and remove idle ones whose start tag has passed."""
        for customer_id, queue in list(self.customers.items()):
            if not queue.flows and queue.start_tag <= self.virtual_time:
                del self.customers[customer_id]
        return SchedulePass(self)

    def charge(self, queue: CustomerQueue) -> None:
        """Advance virtual time and a customer's start tag for one served request."""
        self.virtual_time = max(self.virtual_time, queue.start_tag)
        queue.start_tag += 1.0 / queue.weight


class SchedulePass:
    """One pass over a schedule; a flow whose head can't be placed is skipped until the next one."""

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
        """Return the next request that can be placed and charge its customer, or return None."""
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
