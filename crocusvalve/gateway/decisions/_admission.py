"""Order in which the waiting requests of a service are sent, and which of them are refused."""

from collections import deque
from collections.abc import Callable, Hashable
from heapq import nsmallest

from crocusvalve.gateway.decisions._fair_share import FairShare
from crocusvalve.gateway.decisions._return_times import ReturnTimes
from crocusvalve.gateway.decisions._tickets import (
    AdmissionRequest,
    RefusalReason,
    Ticket,
    WaitingBytes,
)

__all__ = ["PROBE_INTERVAL_S", "AdmissionQueue"]

#: Longest time in seconds after a failed search before the kind is searched for again, if no
#: change is reported. Peers' requests end and entries appear without a report to the queue.
PROBE_INTERVAL_S = 0.05
#: Shortest such time, so that an upstream that reopens now isn't searched for in a loop.
MIN_PROBE_S = 0.002
#: Window in seconds over which the rate of starts is measured, and the part of it for which
#: requests must have waited before the rate is used. A goal is 2 s at least and 0.3 of it is
#: waited, so that a rate is known before the first of them is refused.
RATE_WINDOW_S = 2.0
MIN_RATE_SPAN_S = 0.3
#: One start in so many may go to a request of a lower rank that has waited for ``AGED_FRACTION`` of
#: its time, so that urgent load doesn't starve the others; urgent requests lose a tenth by it.
STARTS_PER_RAISE = 10
AGED_FRACTION = 0.5


class AdmissionQueue:
    """Requests of one service that wait for an upstream.

    Load that it answers: more requests than the upstreams accept, for seconds. Were each to search
    for itself, the one that searches first would be sent, whoever is urgent or about to be late.
    All times are local, in seconds.

    Parameters
    ----------
    waiting_bytes : WaitingBytes
        Size of the waiting bodies, shared by all queues of a gateway.
    """

    def __init__(self, waiting_bytes: WaitingBytes) -> None:
        self.waiting_bytes = waiting_bytes
        self._share = FairShare()
        self._kinds: dict[Hashable, dict[int, Ticket]] = {}
        self._blocked_until: dict[Hashable, float] = {}
        self._returns = ReturnTimes()
        self._starts: deque[float] = deque()
        self._busy_since: float | None = None
        self._n_starts_since_raise = 0
        self._n_joined = 0
        self._chosen_at = float("-inf")
        self._n_offered = 0

    def __len__(self) -> int:
        return sum(len(tickets) for tickets in self._kinds.values())

    @property
    def n_offered(self) -> int:
        """Number of requests that are to be sent now, if upstreams are found."""
        return self._n_offered

    def join(self, req: AdmissionRequest, wait_until: float, now: float) -> Ticket:
        """Add a request that may wait until a local time in seconds."""
        is_repeat = self._returns.has(req.key)
        if not is_repeat and not req.was_sent:
            # Repeats of refused requests don't raise what is usual for their customer.
            self._share.record_arrival(req.customer, now)
        if req.was_rejected:
            self._share.record_start(req.customer, now, weight=-1.0)
            if self._starts:
                self._starts.pop()
        self._n_joined += 1
        ticket = Ticket(
            req=req,
            sequence=self._n_joined,
            joined_at=now,
            wait_until=wait_until,
            is_returning=req.was_sent or self._returns.is_due(req.key, now),
        )
        self._kinds.setdefault(req.kind, {})[ticket.sequence] = ticket
        return ticket

    def leave(self, ticket: Ticket, now: float, *, has_started: bool = False) -> None:
        """Remove a request that is sent, refused or abandoned by its caller."""
        tickets = self._kinds.get(ticket.req.kind, {})
        if tickets.pop(ticket.sequence, None) is None:
            return
        if not tickets:
            del self._kinds[ticket.req.kind]
            self._blocked_until.pop(ticket.req.kind, None)
        self._withdraw_offer(ticket)
        self.waiting_bytes.size -= ticket.held_bytes
        ticket.held_bytes = 0
        if has_started:
            self._returns.discard(ticket.req.key)
            self._share.record_start(ticket.req.customer, now)
            self._n_starts_since_raise += 1
            if self._busy_since is not None:
                self._starts.append(now)
        if not any(other.is_waiting and not other.is_held for other in self._list_all()):
            # Starts are limited by the arrivals from now on, not by the upstreams.
            self._busy_since = None
            self._starts.clear()

    def choose_next(self, free: int, now: float) -> list[Ticket]:
        """Return the requests to be sent now, so that ``free`` are offered in total.

        Each of them must then be blocked or leave.
        """
        self._chosen_at = now
        n_left = free - self._n_offered
        if n_left <= 0:
            return []
        candidates = [
            ticket
            for kind, tickets in self._kinds.items()
            if self._blocked_until.get(kind, now) <= now
            for ticket in tickets.values()
            if not ticket.is_offered
        ]
        chosen = candidates
        if len(candidates) > 1:
            chosen = nsmallest(n_left, candidates, key=self._make_key(now))
            raised = self._find_raised(candidates, chosen[0].req.rank, now)
            if raised is not None:
                self._n_starts_since_raise = 0
                if raised not in chosen:
                    chosen = [raised, *chosen[: n_left - 1]]
        for ticket in chosen:
            ticket.is_offered = True
        self._n_offered += len(chosen)
        return chosen

    def offer(self, ticket: Ticket) -> None:
        """Offer a request out of turn."""
        self._n_offered += not ticket.is_offered
        ticket.is_offered = True

    def block(self, ticket: Ticket, reopens_at: float | None, now: float) -> None:
        """Record that no upstream was found for a request, nor is for others of its kind.

        Parameters
        ----------
        reopens_at : float or None
            Time from which an upstream accepts it, if known.
        """
        self._withdraw_offer(ticket)
        until = now + PROBE_INTERVAL_S
        if reopens_at is not None:
            until = max(now + MIN_PROBE_S, min(until, reopens_at))
        self._blocked_until[ticket.req.kind] = until

    def record_change(self) -> None:
        """Record that an attempt has ended, so that all kinds are tried again."""
        self._blocked_until.clear()

    def get_next_at(self) -> float:
        """Return when waiting requests are to be tried again without a change."""
        probe_at = self._chosen_at + PROBE_INTERVAL_S
        times = (self._blocked_until.get(kind, probe_at) for kind in self._kinds)
        # A kind that was open at the last choice had its chance then.
        return min(
            (at if at > self._chosen_at else probe_at for at in times),
            default=probe_at,
        )

    def begin_wait(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Count a request that waits; return those that are refused for lack of memory.

        The least urgent ones are refused, perhaps the request itself.
        """
        if self._busy_since is None and not ticket.is_held:
            self._busy_since = now
        if ticket.is_waiting:
            return []
        ticket.is_waiting = True
        ticket.held_bytes = ticket.req.n_bytes
        self.waiting_bytes.size += ticket.held_bytes
        excess = self.waiting_bytes.size - self.waiting_bytes.limit
        if excess <= 0:
            return []
        evicted = []
        for candidate in sorted(self._list_all(), key=self._make_key(now), reverse=True):
            if excess <= 0:
                break
            if candidate.held_bytes and candidate.refusal is None:
                candidate.refusal = RefusalReason.MEMORY
                excess -= candidate.held_bytes
                evicted.append(candidate)
        return evicted

    def estimate(self, ticket: Ticket | None, now: float) -> float | None:
        """Return the seconds until a request starts, or all have (None), by the rate of starts.

        None if the rate isn't known yet.
        """
        interval_s = self._compute_interval_s(now)
        if interval_s is None:
            return None
        tickets = [other for other in self._list_all() if not other.is_held]
        if ticket is None:
            return len(tickets) * interval_s
        make_key = self._make_key(now)
        key = make_key(ticket)
        return interval_s * sum(make_key(other) < key for other in tickets)

    def refuse_late(self, now: float) -> list[Ticket]:
        """Return the requests that can't start in their time, which are refused now."""
        interval_s = self._compute_interval_s(now)
        if interval_s is None:
            return []
        waiting = [ticket for ticket in self._list_all() if not ticket.is_held]
        n_ahead, refused = 0, []
        for ticket in sorted(waiting, key=self._make_key(now)):
            if now + n_ahead * interval_s > ticket.wait_until and ticket.refusal is None:
                ticket.refusal = RefusalReason.TOO_LATE
                refused.append(ticket)
            else:
                n_ahead += 1
        return refused

    def book_return(self, key: str, earliest_at: float, now: float) -> float:
        """Return when the caller of a refused request is to send it again.

        Parameters
        ----------
        earliest_at : float
            Time before which no upstream is expected to accept it.
        """
        return self._returns.book(key, earliest_at, self._compute_interval_s(now), now)

    def _withdraw_offer(self, ticket: Ticket) -> None:
        self._n_offered -= ticket.is_offered
        ticket.is_offered = False

    def _list_all(self) -> list[Ticket]:
        return [ticket for tickets in self._kinds.values() for ticket in tickets.values()]

    def _make_key(self, now: float) -> Callable[[Ticket], tuple]:
        """Return the function by which requests are ordered now."""
        waiting = {ticket.req.customer for ticket in self._list_all()}
        over_share = self._share.find_over_share(waiting, now)

        def make_key(ticket: Ticket) -> tuple:
            req = ticket.req
            is_late = req.start_by < now
            is_newcomer = not ticket.is_returning
            is_over_share = req.customer in over_share
            return (req.rank, is_late, is_over_share, is_newcomer, req.start_by, ticket.sequence)

        return make_key

    def _find_raised(self, candidates: list[Ticket], rank: int, now: float) -> Ticket | None:
        """Return the request of a lower rank that is sent first by its age, or None."""
        if self._n_starts_since_raise < STARTS_PER_RAISE:
            return None
        aged = [
            ticket
            for ticket in candidates
            if ticket.req.rank > rank
            and now - ticket.joined_at >= AGED_FRACTION * (ticket.wait_until - ticket.joined_at)
        ]
        return min(aged, key=lambda ticket: ticket.sequence, default=None)

    def _compute_interval_s(self, now: float) -> float | None:
        """Return the time between two starts while requests wait; None if not known yet."""
        if self._busy_since is None:
            return None
        span_s = min(RATE_WINDOW_S, now - self._busy_since)
        while self._starts and self._starts[0] < now - RATE_WINDOW_S:
            self._starts.popleft()
        if span_s < MIN_RATE_SPAN_S:
            return None
        # One more start is counted, since the next one may be about to happen.
        return span_s / (len(self._starts) + 1)
