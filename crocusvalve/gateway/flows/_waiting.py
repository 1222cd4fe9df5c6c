"""Wakes waiting requests when the admission queue of their service has chosen them."""

import trio

from crocusvalve.base import UpstreamId
from crocusvalve.gateway._admission_observer import AdmissionObserver
from crocusvalve.gateway.base import ServiceName, Upstream
from crocusvalve.gateway.decisions._admission import PROBE_INTERVAL_S, AdmissionQueue
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.decisions._full_upstreams import FullUpstreams
from crocusvalve.gateway.decisions._tickets import (
    AdmissionRequest,
    RefusalReason,
    Ticket,
    WaitingBytes,
)
from crocusvalve.gateway.tables._tables import GatewayTables
from crocusvalve.gateway.upstreams._attempts import AttemptManager

__all__ = ["WaitingRequests", "WaitingRoom"]

#: Maximum size of the bodies of all waiting requests of a gateway. The smallest VMs have 88 MB, the
#: process takes 52 MB of them and the answers that it holds 16 MB; 8 MB are 20 of the longest
#: prompts, which have about 400 KB.
MAX_WAITING_BYTES = 8 * 1024 * 1024
#: Shortest sleep in seconds, so that rounding doesn't make a request wake in a loop.
MIN_SLEEP_S = 0.001


class WaitingRequests:
    """Requests of one service that wait, each on an event of its own.

    One of them, the timekeeper, also wakes at the time at which the queue tries a kind again.

    Attributes
    ----------
    queue : AdmissionQueue
        Decides which of them is sent next.
    """

    def __init__(
        self,
        service: ServiceName,
        tables: GatewayTables,
        observer: AdmissionObserver,
        waiting_bytes: WaitingBytes,
    ):
        self.queue = AdmissionQueue(waiting_bytes)
        self._full = FullUpstreams()
        self._service = service
        self._tables = tables
        self._observer = observer
        self._events: dict[int, trio.Event] = {}
        self._timekeeper: Ticket | None = None
        self._probed_at = float("-inf")

    def join(self, req: AdmissionRequest, wait_until: float, now: float) -> Ticket:
        """Add a request; it is offered at once if there is a place and no other one is ahead.

        Without a known place, one in ``PROBE_INTERVAL_S`` is offered all the same, since peers'
        requests may have ended.
        """
        ticket = self.queue.join(req, wait_until, now)
        self.wake_next(now, n_min=int(now >= self._probed_at + PROBE_INTERVAL_S))
        return ticket

    def leave(self, ticket: Ticket, now: float, *, has_started: bool) -> None:
        """Remove a request, and wake the next one if there is a place for it."""
        self.queue.leave(ticket, now, has_started=has_started)
        if self._events.pop(ticket.sequence, None) is not None:
            self._observer.set_queue_length(self._service, len(self._events))
        if self._timekeeper is ticket:
            self._timekeeper = None
            for event in self._events.values():
                event.set()
                break
        if self._events:
            # The request that starts isn't counted as in flight yet.
            self.wake_next(now, n_min=0, n_starting=int(has_started))

    def record_change(self, now: float) -> None:
        """Wake the next requests, since an attempt has ended."""
        if self._events:
            self.queue.record_change()
            self.wake_next(now, n_min=1)

    def record_free_place(self, now: float) -> None:
        """Wake the next requests, since a request has found an upstream out of turn."""
        self.queue.record_change()
        self.wake_next(now, n_min=0)

    def has_place(self, now: float) -> bool:
        """Return whether there are more places than requests that are about to be sent."""
        return self.count_free(now) > self.queue.n_offered

    def wake_next(self, now: float, n_min: int, n_starting: int = 0) -> None:
        """Wake as many requests as there are free places, and at least ``n_min``."""
        n_free = self.count_free(now) - n_starting
        if n_free < n_min:
            n_free, self._probed_at = n_min, now
        self._wake(self.queue.choose_next(n_free, now))

    def block(self, ticket: Ticket, reopens_at: float | None, now: float) -> None:
        """Record that no upstream was found for an offered request, and wake the next kind."""
        self.queue.block(ticket, reopens_at, now)
        self.wake_next(now, n_min=1)

    def offer(self, ticket: Ticket) -> None:
        """Offer a request out of turn, since it has left room for others long enough."""
        self.queue.offer(ticket)

    def record_rejection(self, upstream_id: UpstreamId, n_inflight: int, now: float) -> None:
        """Record that an upstream has rejected a request that was sent beside others."""
        upstream = self._tables.upstreams.get(upstream_id)
        if upstream is not None:
            self._full.record_rejection(UpstreamRun.of(upstream), n_inflight, now)

    def find_full(self, now: float) -> set[UpstreamId]:
        """Return the upstreams that would reject a request, since they have just done so."""
        self._full.drop_old(now)
        if self._full.is_empty:
            return set()
        return {
            upstream_id
            for upstream_id, upstream in self._tables.by_service.get(self._service, {}).items()
            if self._full.is_full(UpstreamRun.of(upstream), self.count_own(upstream), now)
        }

    def count_own(self, upstream: Upstream) -> int:
        """Return the number of this gateway's requests in flight at an upstream."""
        return self._tables.get_load(upstream.upstream_id).n_inflight

    def count_inflight(self, upstream: Upstream) -> int:
        """Return the number of requests known to be in flight at an upstream."""
        load = self._tables.get_load(upstream.upstream_id)
        return load.n_inflight + load.n_peer_inflight

    def begin_wait(self, ticket: Ticket, now: float) -> None:
        """Count a request's body, and wake those that are refused for lack of memory."""
        self._wake(self.queue.begin_wait(ticket, now))

    async def sleep(self, ticket: Ticket, until: float, now: float) -> None:
        """Sleep until a request is offered or refused, or a local time in seconds."""
        event = self._events.setdefault(ticket.sequence, trio.Event())
        self._observer.set_queue_length(self._service, len(self._events))
        self._timekeeper = self._timekeeper or ticket
        is_timekeeper = self._timekeeper is ticket
        if is_timekeeper:
            until = min(until, self.queue.get_next_at())
        with trio.move_on_after(max(MIN_SLEEP_S, until - now)):
            await event.wait()
        if event.is_set():
            self._events[ticket.sequence] = trio.Event()

    def keep_time(self, ticket: Ticket, now: float) -> None:
        """As the timekeeper, try the next request again, and refuse those that would be late."""
        if self._timekeeper is ticket and now >= self.queue.get_next_at():
            self.wake_next(now, n_min=1)
            self._wake(self.queue.refuse_late(now))

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a refused request."""
        self._observer.count_refusal(self._service, reason)

    def count_free(self, now: float) -> int:
        """Return the number of slots of open upstreams in which no request is known to run."""
        n_free, full = 0, self.find_full(now)
        for upstream_id, upstream in self._tables.by_service.get(self._service, {}).items():
            if upstream_id not in full and self._tables.is_open(upstream, now):
                n_free += max(0, upstream.slots - self.count_inflight(upstream))
        return n_free

    def _wake(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            event = self._events.get(ticket.sequence)
            if event is not None:
                event.set()


class WaitingRoom:
    """Waiting requests of a gateway by service.

    Parameters
    ----------
    attempt_manager : AttemptManager
        Reports the ends of attempts.
    """

    def __init__(self, attempt_manager: AttemptManager):
        self._manager = attempt_manager
        self._bytes = WaitingBytes(MAX_WAITING_BYTES)
        self._services: dict[ServiceName, WaitingRequests] = {}
        attempt_manager.on_attempt_end = self._record_attempt_end

    def get(self, service: ServiceName) -> WaitingRequests:
        """Return the waiting requests of a service."""
        waiting = self._services.get(service)
        if waiting is None:
            observer = self._manager.observer.admission
            waiting = WaitingRequests(service, self._manager.tables, observer, self._bytes)
            self._services[service] = waiting
        return waiting

    def _record_attempt_end(self, service: ServiceName) -> None:
        waiting = self._services.get(service)
        if waiting is not None:
            waiting.record_change(self._manager.clock.now())
