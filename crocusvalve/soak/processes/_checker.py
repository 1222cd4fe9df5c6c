"""Checks what callers and upstreams observe against the guarantees."""

from collections.abc import Callable
from functools import partial

from msgspec import Struct

from crocusvalve.soak.processes._crash_check import CrashCheck
from crocusvalve.soak.processes._disruption_table import DisruptionTable
from crocusvalve.soak.processes._limit_check import LimitCheck
from crocusvalve.soak.processes._loss import LossCheck
from crocusvalve.soak.processes.base import (
    SOUND_FAULTS,
    Attempt,
    CallKind,
    Guarantee,
    SoakBounds,
    UpstreamRun,
    Violation,
)
from crocusvalve.standin import N_EVENTS, ReceivedRequest, UpstreamFault, make_event, split_events

__all__ = ["STORE", "Acknowledgement", "GuaranteeChecker", "ServiceHistory"]

#: Name of the store as a component.
STORE = "store"
#: Requests that may reach an overloaded upstream from one gateway before the time that it has set.
MAX_CLOSED_REQUESTS = 2
#: Requests in one soak that may reach an upstream too long after their callers left.
MAX_ABANDONED_RUNS = 3
#: Crashes under one part of prompts, and under one request, after which they are to be known.
N_PART_CRASHES = 5
N_REQUEST_CRASHES = 3


class Acknowledgement(Struct, frozen=True):
    """The store's acknowledgement of a change.

    Bounds on the change are longer if the store was disrupted at that time.
    """

    acknowledged_at: float
    is_store_quiet: bool

    def is_overdue(self, bound_s: float, bounds: SoakBounds, now: float) -> bool:
        """Return whether the time bound on the change has passed."""
        extra_s = 0.0 if self.is_store_quiet else bounds.outer_s
        return now - self.acknowledged_at > bound_s + extra_s


class _Closure(Struct):
    """Span in which an overloaded upstream wants no requests, and those that it got."""

    begins_at: float
    ends_at: float
    n_requests: int = 0


class ServiceHistory(Struct):
    """All services that a route was configured for, each with the time of its acknowledgement."""

    changes: list[tuple[float, str]]

    def list_allowed(self, sent_at: float, config_s: float) -> set[str]:
        """Return the services that a request sent at a given time may run on.

        A replaced service stays allowed for ``config_s`` after its replacement was acknowledged.
        """
        replaced_at = [*(at for at, _ in self.changes[1:]), float("inf")]
        return {
            service
            for (_, service), until in zip(self.changes, replaced_at, strict=True)
            if sent_at <= until + config_s
        }


class GuaranteeChecker:
    """Records requests, runs and acknowledged changes, and reports broken guarantees.

    Parameters
    ----------
    bounds : SoakBounds
        Time bounds of the users' requirements.
    clock : callable
        Returns the time of the soak in seconds.

    Attributes
    ----------
    violations : list of Violation
        Broken guarantees.
    attempts : dict
        All requests of callers, by attempt id.
    drained_upstreams : dict
        Acknowledgements of drained or removed upstreams, by upstream.
    upstream_domains : dict
        Failure domains by upstream.
    evacuated_domains : dict
        Acknowledgements of evacuations, by failure domain.
    routes : dict
        Histories of services, by the first segment of a path.
    injected_faults : dict
        Faults that upstreams injected into attempts, by attempt id.
    loss_check : LossCheck
        Decides whether a missing answer was due.
    part_check, request_check : CrashCheck
        Crashes under parts of prompts, and under requests.
    limit_check : LimitCheck
        Requests to upstreams that name a limit.
    """

    def __init__(self, bounds: SoakBounds, clock: Callable[[], float]):
        self.bounds = bounds
        self.clock = clock
        self.disruption_table = DisruptionTable(bounds.contact_s)
        self.loss_check = LossCheck(bounds, self.disruption_table, STORE)
        self.violations: list[Violation] = []
        self.attempts: dict[str, Attempt] = {}
        self.drained_upstreams: dict[str, Acknowledgement] = {}
        self.upstream_domains: dict[str, str] = {}
        self.evacuated_domains: dict[str, Acknowledgement] = {}
        self.routes: dict[str, ServiceHistory] = {}
        self.injected_faults: dict[str, set[UpstreamFault]] = {}
        self.n_abandoned_runs = 0
        self._leaving_since: dict[tuple[str, str], float] = {}
        self._closures: dict[tuple[str, str], _Closure] = {}
        self._seen_changes: dict[tuple[str, str], tuple[int, float]] = {}
        table, report_budget = self.disruption_table, partial(self.report, Guarantee.BUDGET)
        self.part_check = CrashCheck(N_PART_CRASHES, bounds, table, report_budget)
        self.request_check = CrashCheck(N_REQUEST_CRASHES, bounds, table, report_budget)
        self.limit_check = LimitCheck(bounds, table, partial(self.report, Guarantee.LIMIT))

    def make_acknowledgement(self) -> Acknowledgement:
        """Return the acknowledgement of a change that the store has just accepted."""
        now = self.clock()
        return Acknowledgement(now, self.disruption_table.is_quiet((STORE,), now))

    def report(self, guarantee: Guarantee, description: str) -> None:
        """Record a broken guarantee with a description of what was observed."""
        self.violations.append(Violation(guarantee, description, round(self.clock(), 3)))

    def record_request(self, attempt: Attempt) -> None:
        """Record a request that a caller begins to send."""
        self.attempts[attempt.req.attempt_id] = attempt

    def record_run(
        self, upstream: str, service: str, call: ReceivedRequest, fault: UpstreamFault
    ) -> None:
        """Record a request that an upstream begins to run, and check that it may."""
        now = self.clock()
        attempt = self.attempts.get(call.attempt_id)
        if attempt is None:
            self.report(Guarantee.UNASKED, f"{upstream} runs a request that nobody sent: {call}")
            return
        if fault not in SOUND_FAULTS:
            self.injected_faults.setdefault(attempt.req.attempt_id, set()).add(fault)
        self._check_unchanged(attempt, call)
        self._check_crash_causes(attempt, now)
        self._check_repeat(attempt, upstream)
        attempt.runs.append(UpstreamRun(upstream, now, fault in SOUND_FAULTS))
        self._check_route(attempt, service)
        self._check_regress(attempt, service, now)
        self._check_closures(attempt, upstream, now)
        self.limit_check.record_arrival(upstream, attempt.gateway, now)
        components = (attempt.gateway, upstream)
        if self.disruption_table.is_quiet(components, now):
            self._check_deadline(attempt, call, now)
            self._check_abandoned(attempt, now)
        if self.disruption_table.is_quiet(components, now):
            self._check_placement(attempt, upstream, now)

    def record_crash(self, cause: str) -> None:
        """Record a crash under a part of a prompt, or under a request's path."""
        check = self.request_check if cause.startswith("/") else self.part_check
        check.record_crash(cause, self.clock())

    def _check_crash_causes(self, attempt: Attempt, now: float) -> None:
        """Check that a request is not known to crash upstreams, and neither a part of its prompt.

        A gateway has to know of a part when a request comes, and of a request whenever it sends it.
        """
        for part_id in attempt.req.prompt_parts[:-1] if attempt.kind.is_stream else ():
            self.part_check.check_run(part_id, attempt, attempt.sent_at)
        self.request_check.check_run(attempt.req.path, attempt, now)

    def _may_be_refused(self, attempt: Attempt) -> bool:
        """Return whether a request, or a part of its prompt, has crashed several upstreams."""
        parts = attempt.req.prompt_parts[:-1] if attempt.kind.is_stream else ()
        is_part = any(self.part_check.may_be_refused(part_id) for part_id in parts)
        return is_part or self.request_check.may_be_refused(attempt.req.path)

    def record_rejection(self, upstream: str, call: ReceivedRequest, span_s: float) -> None:
        """Record a request that an upstream rejects; it wants no more for ``span_s`` seconds.

        The caller must pass 0 if the answer may not reach the gateway.
        """
        now = self.clock()
        attempt = self.attempts.get(call.attempt_id)
        if attempt is None:
            return
        self._check_closures(attempt, upstream, now)
        self.limit_check.record_arrival(upstream, attempt.gateway, now)
        if span_s > 0.0:
            self._closures[attempt.gateway, upstream] = _Closure(now, now + span_s)

    def record_leaving(self, upstream: str, call: ReceivedRequest) -> None:
        """Record that an upstream says in a delivered answer that it is about to stop."""
        attempt = self.attempts.get(call.attempt_id)
        if attempt is not None:
            self._leaving_since.setdefault((attempt.gateway, upstream), self.clock())

    def record_limit(self, upstream: str, call: ReceivedRequest) -> None:
        """Record that an upstream names its limit in a delivered answer."""
        attempt = self.attempts.get(call.attempt_id)
        if attempt is not None:
            self.limit_check.record_answer(upstream, attempt.gateway, self.clock())

    def forget_run(self, upstream: str) -> None:
        """Record that an upstream has started again, and knows nothing of what it has said."""
        self.limit_check.end(upstream)
        for said in (self._leaving_since, self._closures):
            for key in [key for key in said if key[1] == upstream]:
                del said[key]

    def _check_closures(self, attempt: Attempt, upstream: str, now: float) -> None:
        """Check that the upstream hasn't told this gateway to send no more requests.

        A disruption of the gateway excuses it: a process that has started again knows nothing.
        """
        table, key = self.disruption_table, (attempt.gateway, upstream)
        leaving_since = self._leaving_since.get(key)
        if leaving_since is not None and not table.is_undisrupted(attempt.gateway, leaving_since):
            del self._leaving_since[key]
        elif leaving_since is not None and attempt.sent_at > leaving_since + self.bounds.drain_s:
            description = f"reaches {upstream} {now - leaving_since:.2f} s after its announcement"
            self.report(Guarantee.DRAIN, f"{attempt.req.attempt_id} {description}")
        closure = self._closures.get(key)
        if closure is None or not closure.begins_at + self.bounds.closure_s < now < closure.ends_at:
            return
        if table.is_undisrupted(attempt.gateway, closure.begins_at):
            closure.n_requests += 1
            if closure.n_requests > MAX_CLOSED_REQUESTS:
                description = f"{closure.n_requests} requests reach {upstream} before its time"
                self.report(Guarantee.BUDGET, description)

    def _check_regress(self, attempt: Attempt, service: str, now: float) -> None:
        """Check that a gateway does not return to a service that its route was moved away from.

        Only requests sent after the gateway has used a newer service of the route are concerned.
        """
        route = attempt.req.path.split("/")[1]
        key, changes = (attempt.gateway, route), self.routes[route].changes
        index = max((i for i, change in enumerate(changes) if change[1] == service), default=0)
        seen = self._seen_changes.get(key)
        if seen is not None and not self.disruption_table.is_undisrupted(attempt.gateway, seen[1]):
            seen = None
        if seen is None or index > seen[0]:
            self._seen_changes[key] = (index, now)
        elif index < seen[0] and attempt.sent_at > seen[1] + self.bounds.revert_s:
            name = attempt.req.attempt_id
            self.report(
                Guarantee.CONFIG, f"{name} runs on {service}, which was replaced: {changes}"
            )

    def _check_unchanged(self, attempt: Attempt, call: ReceivedRequest) -> None:
        """Compare a request at an upstream with what its caller sent."""
        req = attempt.req
        sent = (req.method, req.path, req.body, attempt.customer)
        received = (call.method, call.target, call.body, call.customer)
        if sent != received:
            self.report(Guarantee.UNASKED, f"sent {sent}, an upstream runs {received}")
        leaked = call.list_leaked_headers()
        if leaked:
            self.report(Guarantee.UNASKED, f"an upstream gets the fields {leaked}")

    def _check_repeat(self, attempt: Attempt, upstream: str) -> None:
        """Check the number of runs, and that a refused request doesn't run.

        Runs on upstreams that were disrupted don't count towards the limit of repeatable requests.
        """
        name = attempt.req.attempt_id
        if attempt.kind in (CallKind.UNSAFE, CallKind.ONCE) and attempt.runs:
            self.report(Guarantee.TWICE, f"{name} runs on {attempt.runs[0].upstream}, {upstream}")
        else:
            counted_runs = [
                run
                for run in attempt.runs
                if self.disruption_table.is_quiet((run.upstream,), run.started_at)
            ]
            if len(counted_runs) >= attempt.kind.max_runs:
                self.report(Guarantee.BUDGET, f"{name} runs on {len(counted_runs) + 1} upstreams")
        if attempt.ended_at is not None and attempt.answer.is_not_executed:
            self.report(Guarantee.REFUSED, f"{name} got {attempt.answer.status} and runs later")

    def _check_route(self, attempt: Attempt, service: str) -> None:
        """Check that the route was configured for the service when the request was sent."""
        history = self.routes[attempt.req.path.split("/")[1]]
        config_s = float("inf")
        if self.disruption_table.is_quiet((attempt.gateway, STORE), attempt.sent_at):
            config_s = self.bounds.config_s
        if service not in history.list_allowed(attempt.sent_at, config_s):
            was_ever_allowed = service in {name for _, name in history.changes}
            guarantee = Guarantee.CONFIG if was_ever_allowed else Guarantee.ROUTE
            self.report(guarantee, f"{attempt.req.path} runs on {service}: {history.changes}")

    def _check_deadline(self, attempt: Attempt, call: ReceivedRequest, now: float) -> None:
        """Compare the deadline sent to an upstream with the caller's and the first upstream's."""
        name, slack_s = attempt.req.attempt_id, self.bounds.deadline_slack_s
        if attempt.upstream_deadline_at is None:
            attempt.upstream_deadline_at = now + call.deadline_s
            if call.deadline_s > attempt.req.deadline_s + slack_s:
                description = (
                    f"{name} has {attempt.req.deadline_s:.2f} s, told {call.deadline_s:.2f} s"
                )
                self.report(Guarantee.BUDGET, description)
            return
        until = max(attempt.upstream_deadline_at, attempt.sent_at + attempt.req.deadline_s)
        if now + call.deadline_s > until + slack_s:
            description = f"{name} runs again with {now + call.deadline_s - until:.2f} s too much"
            self.report(Guarantee.BUDGET, description)

    def _check_abandoned(self, attempt: Attempt, now: float) -> None:
        """Check that the caller of a request hasn't left, except for a few requests per soak."""
        left_at = attempt.left_at
        if left_at is not None and now - left_at > self.bounds.leave_slack_s:
            self.n_abandoned_runs += 1
            if self.n_abandoned_runs > MAX_ABANDONED_RUNS:
                description = (
                    f"{attempt.req.attempt_id} runs {now - left_at:.2f} s after its caller left"
                )
                self.report(Guarantee.GONE, description)

    def _check_placement(self, attempt: Attempt, upstream: str, now: float) -> None:
        """Check that the upstream is neither drained nor in an evacuated failure domain.

        While the store is disrupted, a gateway is bound only by what it must have read before.
        """
        name = attempt.req.attempt_id
        drained = self.drained_upstreams.get(upstream)
        if self._is_bound(attempt.gateway, drained, self.bounds.drain_s, now):
            self.report(
                Guarantee.DRAIN,
                f"{name} reaches {upstream} {now - drained.acknowledged_at:.2f} s after",
            )
        evacuated = self.evacuated_domains.get(self.upstream_domains[upstream])
        if self._is_bound(attempt.gateway, evacuated, self.bounds.evacuate_s, now):
            description = f"{name} reaches {upstream} {now - evacuated.acknowledged_at:.2f} s after"
            self.report(Guarantee.EVACUATION, description)

    def _is_bound(
        self, gateway: str, change: Acknowledgement | None, bound_s: float, now: float
    ) -> bool:
        """Return whether a gateway has to know a change by now."""
        if change is None:
            return False
        table = self.disruption_table
        if table.is_quiet((STORE,), now):
            return change.is_overdue(bound_s, self.bounds, now)
        return (
            change.is_store_quiet
            and table.get_began_at(STORE) - change.acknowledged_at > bound_s
            and table.is_undisrupted(gateway, change.acknowledged_at - self.bounds.contact_s)
        )

    def record_end(self, attempt: Attempt) -> None:
        """Record the end of a request, by its answer or by its caller, and check the outcome."""
        now = self.clock()
        attempt.ended_at = now
        answer = attempt.answer
        if answer.status == 0 or not answer.is_complete:
            self._check_unanswered(attempt, now)
        elif answer.status < 300:
            self._check_success(attempt)
        else:
            self._check_failure(attempt)

    def _check_unanswered(self, attempt: Attempt, now: float) -> None:
        """Report a missing or incomplete answer, unless the caller left before its deadline.

        A request without an end half a second after its deadline is excused by a disrupted
        component or an injected fault; ``LossCheck`` decides about one that has ended earlier.
        """
        description = f"{attempt.req.attempt_id} has no whole answer: {attempt.describe()}"
        if now < attempt.sent_at + attempt.req.deadline_s + self.bounds.answer_slack_s:
            if attempt.left_at is None and self.loss_check.is_answer_due(attempt, now):
                self.report(Guarantee.LOST, description)
            return
        components = (attempt.gateway, STORE, *(run.upstream for run in attempt.runs))
        if attempt.req.attempt_id in self.injected_faults:
            return
        if self.disruption_table.is_quiet(components, attempt.sent_at):
            self.report(Guarantee.CONFIG, description)

    def _check_success(self, attempt: Attempt) -> None:
        """Check that a successful answer is complete and belongs to the request."""
        answer, req = attempt.answer, attempt.req
        if answer.is_encoded or not answer.is_signed or answer.attempt_id != req.attempt_id:
            self.report(Guarantee.MIXED, f"{req.attempt_id} got an answer of another: {answer}")
            return
        if attempt.kind.is_stream:
            expected = [
                (number, make_event(req.path, number).split(b"data: ")[1].strip())
                for number in range(1, N_EVENTS + 1)
            ]
            if list(split_events(answer.body)) != expected:
                self.report(Guarantee.ORDER, f"{req.attempt_id} got {answer.body!r}")
            return
        start = f"{req.method} {req.path} {len(req.body)} by ".encode()
        runners = {run.upstream for run in attempt.runs}
        if not answer.body.startswith(start) or answer.body[len(start) :].decode() not in runners:
            self.report(Guarantee.MIXED, f"{req.attempt_id} got {answer.body!r}")

    def _check_failure(self, attempt: Attempt) -> None:
        """Check that an error status is a valid refusal, a server error or an injected fault."""
        answer, name = attempt.answer, attempt.req.attempt_id
        is_injected = UpstreamFault.FAILURE in self.injected_faults.get(name, set())
        if answer.is_signed and not (is_injected and answer.status == 500):
            self.report(Guarantee.MIXED, f"{name} got {answer.status} with a signature")
        elif answer.is_not_executed:
            if attempt.runs:
                self.report(Guarantee.REFUSED, f"{name} got {answer.status} and has run")
        elif answer.status < 500:
            self.report(Guarantee.DENIED, f"{name} got {answer.status} at {attempt.req.path}")
        elif self._may_be_refused(attempt):
            return
        elif attempt.runs and self.loss_check.is_answer_due(attempt, self.clock()):
            description = f"{name} got no success of a sound upstream: {attempt.describe()}"
            self.report(Guarantee.LOST, description)

    def check_version(self, service: str, version: str, is_good: bool, state: str) -> None:
        """Check the status of an upgrade, as the system has written it to the store."""
        if not is_good and state == "complete":
            self.report(Guarantee.UPGRADE, f"{service} moved to the bad version {version}")
