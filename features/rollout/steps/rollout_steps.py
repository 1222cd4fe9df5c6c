"""Steps about roll-outs: choice of versions, policies, counts and the controller's system."""

import random

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from msgspec import structs

from crocusvalve.base import (
    BootId,
    CustomerId,
    MemberId,
    ModelRef,
    NodeId,
    Revision,
    RolloutState,
    VersionRef,
    VersionState,
)
from crocusvalve.config import (
    CustomerConfig,
    Document,
    DocumentView,
    MemberConfig,
    ModelConfig,
    RolloutConfig,
    VersionConfig,
)
from crocusvalve.exceptions import RefusedError
from crocusvalve.model import EntryTables
from crocusvalve.rollout import (
    CompleteRollout,
    RolloutAction,
    RolloutCounts,
    RolloutLedger,
    RolloutSystem,
    SaveRollout,
    WithdrawVersion,
    aggregate,
    apply_rollout_row,
    choose_version,
    is_valid_successor,
    make_rollout_policy,
)

MODEL = ModelRef("delta/assess")
NEW, OLD = VersionRef("delta/assess@v2"), VersionRef("delta/assess@v1")
STAGE_S = 60.0
N_STAGES = 5


def make_view(revision=1, current="v1", is_withdrawn=False):
    state = VersionState.WITHDRAWN if is_withdrawn else VersionState.ACTIVE
    section = MemberConfig(
        models={
            "assess": ModelConfig(
                current, {"v1": VersionConfig(), "v2": VersionConfig(state=state)}
            )
        },
        customers={
            "coop": CustomerConfig("k1", ("assess",), ("chat",)),
            # This customer may use only v1.
            "bound": CustomerConfig("k2", ("assess@v1",), ("chat",)),
        },
        rollouts={"summer": RolloutConfig("assess", "v2", stage_s=STAGE_S)},
    )
    return DocumentView(Document("trial", {MemberId("delta"): section}), Revision(revision))


class RolloutSubject:
    """A stored roll-out row, a configuration document and the controller that holds the lease."""

    def __init__(self):
        self.tables = EntryTables(make_view())
        self.stored = None
        #: Number of the newest controller's lease.
        self.lease = 0
        self.n_refused = 0
        self.now = 1000.0
        self.rng = random.Random(3)
        self.ledger = RolloutLedger(node_id=NodeId("e1"), boot_id=BootId("b1"))

    def make_controller(self):
        """Return the system of a new controller, which holds the next lease number."""
        self.lease += 1
        return RolloutSystem(node_id=NodeId(f"c{self.lease}"), lease_number=self.lease)

    def write(self, row):
        """Store a row if it is a valid successor; return whether it was stored."""
        if not is_valid_successor(self.stored, row):
            self.n_refused += 1
            return False
        self.stored = row
        return True

    def start(self, state, stage):
        """Put a roll-out in a state, of which "notified" means: withdrawn by a notice alone."""
        (command,) = self.make_controller().run(self.tables, self.now)
        assert self.write(command.row)
        self.stored = structs.replace(
            self.stored,
            stage=stage,
            is_paused=state == "paused",
            state=RolloutState(state if state in ("complete", "withdrawn") else "running"),
        )
        apply_rollout_row(self.tables, self.stored)
        if state == "notified":
            self.tables.withdrawn_versions.add(NEW)

    def publish(self, command):
        """Publish the revision of a command that withdraws or completes."""
        current = "v2" if isinstance(command, CompleteRollout) else "v1"
        is_withdrawn = isinstance(command, WithdrawVersion)
        view = make_view(self.tables.view.revision + 1, current, is_withdrawn)
        self.tables.apply_view(view)

    def count_answers(self, bad_rate, n):
        """Count ``n`` rated answers of each version, of the new one a fraction ``bad_rate`` bad."""
        for _ in range(n):
            self.ledger.count_contact("delta/summer")
            is_good = self.rng.random() >= bad_rate
            self.ledger.count_answer("delta/summer", is_new=True, is_good=is_good)
            is_good = self.rng.random() >= 0.04
            self.ledger.count_answer("delta/summer", is_new=False, is_good=is_good)

    def read_row(self):
        """Read the row and the reports as a controller does at the start of each pass."""
        if self.stored is not None:
            apply_rollout_row(self.tables, aggregate(self.stored, self.ledger.list_reports()))

    def is_ended(self):
        """Return whether the roll-out ended and a new controller has nothing left to do."""
        if self.stored is None or self.stored.state is RolloutState.RUNNING:
            return False
        self.read_row()
        return not self.make_controller().run(self.tables, self.now)


@given('a roll-out of "v2" over "v1" that is {state} at stage {stage:d}')
def given_rollout(context, state, stage):
    context.subject = RolloutSubject()
    context.subject.start(state, stage)


@then('of {n:d} contacts of "{customer}" between {low:d} and {high:d} get "v2"')
def then_contacts(context, n, customer, low, high):
    customer_id = CustomerId(f"delta/{customer}")
    chosen = [
        choose_version(context.subject.tables, customer_id, MODEL, f"s{index}")
        for index in range(n)
    ]
    assert low <= chosen.count(NEW) <= high, chosen.count(NEW)
    assert set(chosen) <= {NEW, OLD}


@then("contacts keep the new version through all stages")
def then_contacts_keep_version(context):
    previous = set()
    for stage in range(N_STAGES):
        context.subject.tables.rollouts[MODEL].stage = stage
        chosen = {
            key
            for key in (f"s{index}" for index in range(500))
            if choose_version(context.subject.tables, CustomerId("delta/coop"), MODEL, key) == NEW
        }
        assert previous <= chosen
        previous = chosen
    assert len(previous) == 500


@given('version "{name}" is withdrawn by a notice')
@when('version "{name}" is withdrawn by a notice')
def given_withdrawn(context, name):
    context.subject.tables.withdrawn_versions.add(VersionRef(f"{MODEL}@{name}"))


@then("a contact is refused with {code}")
def then_refused(context, code):
    try:
        choose_version(context.subject.tables, CustomerId("delta/coop"), MODEL, "s")
    except RefusedError as exc:
        assert exc.code.name == code, exc.code
    else:
        raise AssertionError("the contact was not refused")


@given("a current version with {n:d} of 100 answers bad")
def given_current(context, n):
    context.baseline_bad_rate = n / 100.0


def run_until_withdrawn(bad_rate, baseline_bad_rate, seed, n_max=2000):
    """Return the number of rated answers after which a version is withdrawn, or None.

    For each of them the current version has 5 rated answers.
    """
    rng = random.Random(seed)
    subject = RolloutSubject()
    subject.start("running", 0)
    row, policy = subject.stored, make_rollout_policy("sequential")
    for n in range(1, n_max + 1):
        name = "n_bad" if rng.random() < bad_rate else "n_good"
        setattr(row, name, getattr(row, name) + 1)
        for _ in range(5):
            name = "n_baseline_bad" if rng.random() < baseline_bad_rate else "n_baseline_good"
            setattr(row, name, getattr(row, name) + 1)
        row.n_contacts = n
        if policy.decide(row, 0.0).action is RolloutAction.WITHDRAW:
            return n
    return None


@then(
    "a version with {bad:d} of 100 answers bad is withdrawn in {n:d} of {n_runs:d} runs "
    "within {n_answers:d} answers"
)
def then_withdrawn(context, bad, n, n_runs, n_answers):
    ends = [
        run_until_withdrawn(bad / 100.0, context.baseline_bad_rate, seed) for seed in range(n_runs)
    ]
    assert sum(end is not None and end <= n_answers for end in ends) == n, ends


@then("a version with {bad:d} of 100 answers bad is withdrawn in at most {n:d} of {n_runs:d} runs")
def then_rarely_withdrawn(context, bad, n, n_runs):
    ends = [
        run_until_withdrawn(bad / 100.0, context.baseline_bad_rate, seed) for seed in range(n_runs)
    ]
    assert sum(end is not None for end in ends) <= n, ends


@when('{n:d} answers of "v2" are rated good and {n_unrated:d} are not rated')
def when_some_unrated(context, n, n_unrated):
    row = context.subject.stored
    row.n_good, row.n_contacts = n, n + n_unrated


@when('{bad:d} of {n:d} rated answers of "v2" are bad after {stages:g} times the stage\'s duration')
def when_bad_after_stages(context, bad, n, stages):
    row = context.subject.stored
    row.n_good, row.n_bad, row.n_contacts = n - bad, bad, n
    row.n_baseline_good, row.n_baseline_bad = 4800, 200
    context.subject.now += stages * STAGE_S


@then("the policy decides to {action}")
def then_decides(context, action):
    policy = make_rollout_policy("sequential")
    decision = policy.decide(context.subject.stored, context.subject.now)
    assert decision.action is RolloutAction(action), decision


@then("the paused policy decides to {action}")
def then_paused_decides(context, action):
    context.subject.stored.is_paused = True
    then_decides(context, action)


@then("shuffled and repeated reports give the same counts in each of {n:d} examples")
def then_same_counts(context, n):
    subject = RolloutSubject()
    subject.start("running", 0)
    reports = []
    for node in ("e1", "e2"):
        for boot in ("b1", "b2"):
            for n_good in (3, 8, 20):
                counts = RolloutCounts(
                    rollout_id="delta/summer", node_id=NodeId(node), boot_id=BootId(boot)
                )
                reports.append(structs.replace(counts, n_good=n_good, n_contacts=n_good))

    @settings(derandomize=True, database=None, max_examples=n)
    @for_all(st.permutations(reports + reports))
    def check(order):
        row = subject.stored
        for report in order:
            row = aggregate(row, [report])
        assert row.n_good <= 80
        assert aggregate(row, order).n_good == 80
        assert aggregate(aggregate(row, order), order[:3]).n_good == 80

    check()


@given("a version whose answers are {quality}")
def given_version(context, quality):
    context.bad_rate = 0.5 if quality == "bad" else 0.04
    context.subject = RolloutSubject()


@when("the controller is killed after every step and another takes over")
def when_killed(context):
    """Kill controllers before a write, after it and after a revision; late writes arrive last."""
    subject = context.subject
    late_commands = []
    for step in range(400):
        subject.now += STAGE_S / 2
        subject.count_answers(context.bad_rate, 20)
        subject.read_row()
        commands = subject.make_controller().run(subject.tables, subject.now)
        for command in commands:
            is_write = isinstance(command, SaveRollout)
            if step % 2 == 0:
                late_commands.append(command)
            elif is_write:
                assert subject.write(command.row)
            else:
                subject.publish(command)
        if step % 2 == 1:
            for command in late_commands:
                if isinstance(command, SaveRollout):
                    assert not subject.write(command.row)
            late_commands.clear()
        if step % 2 == 1 and subject.is_ended():
            return
    raise AssertionError("the roll-out did not end")


@then("the roll-out ends as {state} and the configuration document agrees")
def then_rollout_ends(context, state):
    subject = context.subject
    assert subject.stored.state is RolloutState(state)
    view = subject.tables.view
    if state == "complete":
        assert subject.stored.stage == N_STAGES - 1
        assert view.models[MODEL].current == "v2"
    else:
        assert view.is_withdrawn(NEW)


@then("no write of a former controller was accepted")
def then_no_late_write(context):
    assert context.subject.n_refused > 0
    assert context.subject.stored.number <= context.subject.lease


@when("a controller with lease {new:d} takes over the roll-out from one with lease {old:d}")
def when_taken_over(context, new, old):
    subject = context.subject
    subject.lease = old - 1
    context.former_controller = subject.make_controller()
    subject.now += 2 * STAGE_S
    subject.stored.n_good = 500
    (context.late_command,) = context.former_controller.run(subject.tables, subject.now)
    (command,) = subject.make_controller().run(subject.tables, subject.now)
    assert command.row.lease_number == new and subject.write(command.row)
    context.repeated_row = command.row


@then("the former controller's late write is refused")
def then_late_write_refused(context):
    assert not context.subject.write(context.late_command.row)
    next_row = structs.replace(context.late_command.row, number=context.subject.stored.number + 1)
    assert not context.subject.write(next_row)


@then("a repeat of the present controller's last write is refused")
def then_repeat_refused(context):
    assert not context.subject.write(context.repeated_row)


@then("the former controller issues no command for the newer row")
def then_no_command(context):
    subject = context.subject
    subject.read_row()
    assert context.former_controller.run(subject.tables, subject.now + 2 * STAGE_S) == []


@then("the controller writes the row as withdrawn")
def then_row_withdrawn(context):
    (command,) = context.subject.make_controller().run(context.subject.tables, 1001.0)
    assert command.row.state is RolloutState.WITHDRAWN
