"""Steps of random_runs.feature: stateful property test of an entry's core."""

import random
from collections import Counter

from behave import given, then
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from crocusvalve.base import ClassKind, ExecutionStatus, Priority, UpstreamState
from crocusvalve.exceptions import RefusedError
from crocusvalve.limits import FairQueue, check_deadline
from crocusvalve.membership import (
    MembershipSystem,
    NoticeTable,
    VmStatus,
    merge_load_report,
    merge_vm_list,
)
from crocusvalve.retry import Quarantine, RetryAction, RetryBudget, RetryPolicy
from crocusvalve.routing import (
    check_placement,
    list_candidates,
    make_router,
    mark_full,
    record_attempt_end,
    record_attempt_start,
    record_failure,
    record_success,
)
from crocusvalve.rpc import LoadReport, Notice, NoticeKind, Refused
from features.core_builders import NOW, make_request, make_tables

N_UPSTREAMS = 6
CODES = ("UPSTREAM_FULL", "UPSTREAM_FAILED", "UPSTREAM_DOWN", "DRAINING", "BAD_REQUEST")
BUDGET_RATIO = 0.1
BUDGET_PER_S = 0.2
STATS = Counter()

STATES = [UpstreamState.WARM] * 4 + list(UpstreamState)
indexes = st.integers(0, N_UPSTREAMS - 1)
numbers = st.integers(0, 30)


class EntryMachine(RuleBasedStateMachine):
    """The core of one entry, with the test's independent records of its expected state."""

    def __init__(self):
        super().__init__()
        self.tables = make_tables(N_UPSTREAMS)
        self.now = NOW
        rng = random.Random(1)
        self.budget = RetryBudget(BUDGET_RATIO)
        while self.budget.try_acquire("d", NOW):
            pass
        self.policy = RetryPolicy(budget=self.budget, random_state=rng)
        self.router = make_router("expected_wait", random_state=rng, domain="d/a", region="south")
        self.quarantine = Quarantine(self.tables.quarantine)
        self.notices = NoticeTable(quarantine=self.quarantine)
        self.system = MembershipSystem("e1")
        self.queue = FairQueue(max_per_member=30)
        self.requests, self.ended = {}, {}
        self.running = []
        self.n_retries = self.n_poison_crashes = 0
        self.notice_numbers, self.domain_out, self.withdrawn = Counter(), set(), set()
        self.document = {}

    def end(self, req, outcome):
        assert req.request_id not in self.ended, f"{req.request_id} ended twice"
        self.ended[req.request_id] = outcome
        STATS[outcome] += 1

    @rule(
        customer=st.sampled_from(["c", "one"]),
        kind=st.sampled_from(list(ClassKind)),
        priority=st.sampled_from(list(Priority)),
        version=st.sampled_from(["d/m@v1", "d/m@v2"]),
        is_poison=st.sampled_from([True, False, False]),
        left_s=st.sampled_from([1.0, 5.0, 60.0]),
        n_requests=st.integers(1, 6),
    )
    def arrive(self, n_requests, **options):
        for _ in range(n_requests):
            self.arrive_one(**options)
        if n_requests % 2:
            self.tick()

    def arrive_one(self, customer, kind, priority, version, is_poison, left_s):
        name = f"r{len(self.requests)}"
        req = make_request(
            name,
            customer,
            kind=kind,
            priority=priority,
            version=version,
            pinned_version=version,
            digest="poison" if is_poison else name,
            arrived_at=self.now,
            deadline=self.now + left_s,
            is_repeatable=kind is not ClassKind.ORDER,
        )
        self.requests[name] = req
        self.budget.count_request(req.member, self.now)
        if self.quarantine.is_banned(req.digest):
            return self.end(req, "banned")
        if check_deadline(self.queue, req, 0.1, self.now) is not None:
            return self.end(req, "refused")
        try:
            dropped = self.queue.push(req, max_queue=16)
        except RefusedError as exc:
            assert exc.ran is ExecutionStatus.NOT_RUN
            return self.end(req, "refused")
        if dropped is not None:
            self.end(dropped, "refused")

    def choose(self, req):
        rows = list_candidates(self.tables, req, req.version, self.now)
        rows = self.quarantine.filter_candidates(req.digest, rows)
        return self.router.choose(req, rows, self.now)

    @rule()
    def tick(self):
        self.system.run(self.tables, self.now)
        for req in self.queue.pop_expired(self.now):
            self.end(req, "expired")
        chosen = {}

        def can_place(req):
            chosen[req.request_id] = self.choose(req)
            return chosen[req.request_id] is not None

        for req in self.queue.drain_ready(can_place, self.now):
            self.start(req, chosen[req.request_id])

    def start(self, req, row):
        check_placement(self.tables, req, row, self.now)
        assert row.domain not in self.domain_out, f"{row.domain} is out of service"
        assert req.version not in self.withdrawn, f"{req.version} is withdrawn"
        assert req.customer_id == "d/c" or req.version == "d/m@v1", "not allowed"
        assert row.in_flight < row.reported_limit, "over the limit"
        if req.digest == "poison" and self.n_poison_crashes:
            others = [other for other, _ in self.running if other.digest == "poison"]
            assert self.n_poison_crashes < 2 and not others, "a suspect runs twice"
        self.quarantine.record_attempt_start(req.digest, row.upstream_id)
        record_attempt_start(row, self.now)
        req.n_attempts += 1
        self.running.append((req, row))
        STATS["started"] += 1

    @rule(
        i=numbers,
        code=st.sampled_from(["", "", "", *CODES]),
        ran=st.sampled_from(list(ExecutionStatus)),
    )
    def finish(self, i, code, ran):
        if not self.running:
            return
        req, row = self.running.pop(i % len(self.running))
        record_attempt_end(row, self.now)
        if req.digest == "poison" and code != "UPSTREAM_FULL":
            incident = f"b{self.n_poison_crashes}"
            self.quarantine.record_crash("poison", row.upstream_id, self.now, incident=incident)
            self.n_poison_crashes += 1
            record_failure(row, self.now, is_crash=True)
            STATS["crashed"] += 1
            return self.decide(
                req, row, Refused("a", "UPSTREAM_FAILED", "", ExecutionStatus.RAN, "", "")
            )
        self.quarantine.record_attempt_end(req.digest, row.upstream_id, is_success=not code)
        if not code:
            record_success(row, 0.5, self.now)
            return self.end(req, "done")
        if code == "UPSTREAM_FULL":
            mark_full(row, self.now)
            ran = ExecutionStatus.NOT_RUN
        self.decide(req, row, Refused("a", code, "", ran, "run", "p"))

    def decide(self, req, row, refused):
        decision = self.policy.decide(req, refused, self.now)
        if decision.action is not RetryAction.RETRY:
            return self.end(req, "refused")
        may_repeat = req.is_repeatable or refused.ran is ExecutionStatus.NOT_RUN
        assert may_repeat, "a request that may have run is sent again"
        if not decision.is_redirect and req.kind is not ClassKind.DURABLE:
            self.n_retries += 1
            STATS["retried"] += 1
        req.not_before = decision.not_before
        req.avoid.add(row.upstream_id)
        self.queue.push(req)

    @rule(out=st.sampled_from(["", "a", "b"]), withdrawn=st.sampled_from(["", "v1", "v2"]))
    def revise(self, out, withdrawn):
        revision = self.tables.view.revision + 1
        options = {"out": (out,), "withdrawn": (withdrawn,)}
        self.tables.apply_view(make_tables(N_UPSTREAMS, revision=revision, **options).view)
        self.notices.supersede_confirmed(self.tables)
        self.domain_out = {f"d/{out}"}
        self.withdrawn = {f"d/m@{withdrawn}"}

    @rule(is_out=st.booleans(), domain=st.sampled_from(["d/a", "d/b", "d/c"]), number=numbers)
    def notify_domain(self, is_out, domain, number):
        kind = NoticeKind.DOMAIN_OUT if is_out else NoticeKind.DOMAIN_IN
        self.notify(kind, domain, number)
        if is_out and number > self.notice_numbers[domain]:
            self.domain_out.add(domain)
        elif number > self.notice_numbers[domain] and not self.tables.view.is_domain_out(domain):
            self.domain_out.discard(domain)
        self.notice_numbers[domain] = max(number, self.notice_numbers[domain])

    def notify(self, kind, subject, number):
        notice = Notice(kind=kind, subject=subject, number=number, issuer="d")
        self.notices.merge_notice(notice, self.tables, self.now)

    @rule(i=indexes, boot=st.integers(0, 3), state=st.sampled_from(STATES))
    def report(self, i, boot, state):
        report = LoadReport(
            upstream_id=f"d/u{i}",
            boot_id=f"b{boot}",
            state=state,
            in_flight=self.tables.upstreams[f"d/u{i}"].in_flight,
            limit=4,
            queued=0,
            ewma_service_s=0.5,
            revision=self.tables.view.revision,
            at=self.now,
        )
        merge_load_report(self.tables, report, self.now)

    @rule(i=indexes, is_leaving=st.booleans(), age_s=numbers)
    def list_vms(self, i, is_leaving, age_s):
        vms = [VmStatus(f"10.0.0.{i}", is_leaving)]
        merge_vm_list(self.tables, vms, self.now - age_s, self.now)

    @rule(i=indexes)
    def leave(self, i):
        self.notify(NoticeKind.LEAVING, f"d/u{i}", int(self.now * 1000))

    @rule(i=numbers)
    def give_up(self, i):
        queued = [name for name in self.requests if name in self.queue]
        if queued:
            self.end(self.queue.remove(queued[i % len(queued)]), "given up")

    @rule(delay_s=st.sampled_from([0.01, 0.1, 1.0, 7.0]))
    def wait(self, delay_s):
        self.now += delay_s

    @invariant()
    def every_request_is_in_one_place(self):
        running = {req.request_id for req, _ in self.running}
        for name in self.requests:
            places = (name in self.queue) + (name in running) + (name in self.ended)
            assert places == 1, f"{name} is in {places} places"
        assert len(self.queue) + len(running) + len(self.ended) == len(self.requests)

    @invariant()
    def counts_are_right(self):
        counts = Counter(row.upstream_id for _, row in self.running)
        for row in self.tables.upstreams.values():
            assert row.in_flight == counts[row.upstream_id]
        granted = 1.0 + BUDGET_RATIO * len(self.requests)
        assert self.n_retries <= granted + BUDGET_PER_S * (self.now - NOW) + 1e-6


@given("random runs of {n_steps:d} steps, {n_runs:d} of them, without a stored example database")
def given_runs(context, n_steps, n_runs):
    context.settings = settings(
        max_examples=n_runs,
        stateful_step_count=n_steps,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )


@then("no run breaks an invariant")
def then_none(context):
    STATS.clear()
    run_state_machine_as_test(EntryMachine, settings=context.settings)
    print(dict(STATS))


@then("starts, crashes, retries, refusals and expiries all occurred")
def then_occurred(context):
    for name in ("started", "crashed", "retried", "refused", "expired", "banned", "done"):
        assert STATS[name] > 0, STATS
