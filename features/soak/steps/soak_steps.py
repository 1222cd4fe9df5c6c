"""Steps for randomised simulations, with mechanisms removed one at a time."""

from unittest.mock import patch

from behave import given, then, when

from crocusvalve.agent import AdmissionSystem, BillHolder
from crocusvalve.answers import AnswerAssembler
from crocusvalve.config import DocumentView
from crocusvalve.entry import Policies
from crocusvalve.entry._placement import PlacementSystem
from crocusvalve.entry._timers import TimerSystem
from crocusvalve.limits._warmup import WarmupLimiter
from crocusvalve.retry import Quarantine
from crocusvalve.soak import SoakChecks, SoakFaults, run_soak
from crocusvalve.soak._agent import SoakAgent

PLACEMENT_CHECK = "crocusvalve.entry._placement.check_placement"


class SoakSubject:
    """Returns the patches that remove a mechanism from simulations."""

    @staticmethod
    def make_patches(mechanism):
        """Return the patches that remove a mechanism, by its name in the feature."""
        return {
            "the checks of withdrawn versions": SoakSubject._without_withdrawal,
            "the checks of failure domains": SoakSubject._without_domains,
            "the checks of allowed versions": SoakSubject._without_allowed,
            "the session's pinned version": SoakSubject._without_pin,
            "the combination of attempts' outcomes": SoakSubject._without_combination,
            "the checks of received answers": SoakSubject._without_answer_check,
            "the quarantine": SoakSubject._without_quarantine,
            "the warm-up limit": SoakSubject._without_warmup,
            "the refusal of banned requests": SoakSubject._without_banning,
            "the bills that agents offer": lambda: [
                patch.object(BillHolder, "list_due", _do_nothing)
            ],
            "the cancellation of bills": lambda: [patch.object(BillHolder, "cancel", _do_nothing)],
            "the refusal of cancelled attempts": lambda: [
                patch.object(SoakAgent, "_remember_cancelled", _do_nothing)
            ],
            "the deadlines of requests": lambda: [patch.object(TimerSystem, "run", _do_nothing)],
        }[mechanism]()

    @staticmethod
    def _keep_method_in_checks(method):
        """Let the invariant checks use the original of a method that is patched elsewhere."""
        original = getattr(DocumentView, method)

        def check(self, run, revision, now):
            with patch.object(DocumentView, method, original):
                original_check(self, run, revision, now)

        original_check = SoakChecks._check_in_force
        return patch.object(SoakChecks, "_check_in_force", check)

    @staticmethod
    def _without_withdrawal():
        return [
            SoakSubject._keep_method_in_checks("is_withdrawn"),
            patch.object(DocumentView, "is_withdrawn", lambda self, version: False),
        ]

    @staticmethod
    def _without_domains():
        return [
            SoakSubject._keep_method_in_checks("is_domain_out"),
            patch.object(DocumentView, "is_domain_out", lambda self, domain: False),
        ]

    @staticmethod
    def _without_allowed():
        return [
            SoakSubject._keep_method_in_checks("is_allowed"),
            patch.object(DocumentView, "is_allowed", lambda self, customer, version: True),
        ]

    @staticmethod
    def _without_pin():
        choose = Policies.choose_version

        def choose_version(self, tables, req, model):
            pinned, req.pinned_version = req.pinned_version, ""
            try:
                return choose(self, tables, req, model)
            finally:
                req.pinned_version = pinned

        return [
            patch.object(Policies, "choose_version", choose_version),
            patch(PLACEMENT_CHECK, lambda *args: None),
        ]

    @staticmethod
    def _without_combination():
        return [
            patch(
                f"crocusvalve.entry.{name}.combine_execution_status", lambda first, second: second
            )
            for name in ("_finisher", "_outcome")
        ]

    @staticmethod
    def _without_answer_check():
        return [patch.object(AnswerAssembler, "accept", lambda self, event: event)]

    @staticmethod
    def _without_quarantine():
        return [
            patch.object(Quarantine, "is_banned", lambda self, digest: False),
            patch.object(Quarantine, "record_attempt_start", _do_nothing),
            patch.object(Quarantine, "filter_candidates", lambda self, digest, rows: rows),
            patch(PLACEMENT_CHECK, lambda *args: None),
        ]

    @staticmethod
    def _without_banning():
        choose = PlacementSystem._choose
        is_banned = Quarantine.is_banned

        def choose_banned(self, tables, req, now):
            with patch.object(Quarantine, "is_banned", lambda self, digest: False):
                row = choose(self, tables, req, now)
            quarantine = self.policies.get_quarantine(tables)
            return None if is_banned(quarantine, req.digest) else row

        return [
            patch.object(PlacementSystem, "_choose", choose_banned),
            patch.object(PlacementSystem, "refuse_banned", _do_nothing),
        ]

    @staticmethod
    def _without_warmup():
        def try_start(self):
            self.in_flight += 1
            return True

        return [
            patch.object(WarmupLimiter, "try_start", try_start),
            patch.object(AdmissionSystem, "_check_limit", _do_nothing),
            patch("crocusvalve.routing._expected_wait.is_full", lambda row, now: False),
        ]


def make_harsh_faults():
    """Return faults with many broken streams and with long delays.

    A cancellation can overtake its attempt within these delays.
    """
    return SoakFaults(cut_after_send=0.1, cut_stream=0.08, caller_leaves=0.1, max_delay_s=0.25)


def _do_nothing(*args, **kwargs):
    return []


@given("simulations without {mechanism}")
def given_removed_mechanism(context, mechanism):
    for item in SoakSubject.make_patches(mechanism):
        item.start()
        context.add_cleanup(item.stop)


@when("a simulation runs with seed {seed:d} and {steps:d} steps")
def when_run(context, seed, steps):
    context.run = (seed, steps)
    context.report = run_soak(seed, steps)


@when("it runs again")
def when_run_again(context):
    context.second_report = run_soak(*context.run)


@when("a simulation with many broken streams runs with seed {seed:d} and {steps:d} steps")
def when_harsh_run(context, seed, steps):
    context.report = run_soak(seed, steps, faults=make_harsh_faults())


@when(
    "simulations of {steps:d} steps with many broken streams run with {n:d} seeds from {first:d} on"
)
def when_runs(context, steps, n, first):
    context.failures = []
    for seed in range(first, first + n):
        report = run_soak(seed, steps, faults=make_harsh_faults())
        if report.failure:
            context.failures.append(report.failure)
            return


@then("no invariant is broken")
def then_holds(context):
    assert not context.report.failure, context.report.failure


@then("at least {n:d} requests were answered")
def then_answered(context, n):
    assert context.report.n_answers >= n, context.report


@then("each kind of fault was injected")
def then_injected(context):
    expected = {"cut_before_send", "cut_after_send", "cut_stream", "repeated_message"}
    expected |= {"repeated_frame", "late_frame", "revision", "caller_leaves", "poison"}
    missing = expected - context.report.n_faults.keys()
    assert not missing, missing


@then("both reports are equal")
def then_same(context):
    assert context.report == context.second_report


@then('an invariant is broken with a message that contains "{message}"')
def then_broken(context, message):
    assert context.failures, "no invariant was broken"
    assert message in context.failures[0], context.failures[0]
