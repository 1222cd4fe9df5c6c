"""Steps of cascade.feature."""

import random

from behave import given, then, when

from crocusvalve.base import (
    ClassKind,
    CustomerId,
    MemberId,
    ModelRef,
    Priority,
    RequestId,
    Revision,
    VersionRef,
)
from crocusvalve.cascade import (
    EscalationFacts,
    QualityEstimate,
    QualityEstimator,
    make_cascade_policy,
    plan_steps,
)
from crocusvalve.config import (
    CustomerConfig,
    Document,
    DocumentView,
    MemberConfig,
    ModelConfig,
    VersionConfig,
)
from crocusvalve.model import EntryTables, RequestRow

CUSTOMER = CustomerId("delta/coop")
CLASS = "chat"
CHEAP, COSTLY = ModelRef("delta/cheap"), ModelRef("delta/costly")
NOW = 1000.0


def make_tables(cheap_prior, costly_prior, target):
    def make_model(prior, price):
        version = VersionConfig(price, price, prior)
        return ModelConfig("v1", {"v1": version})

    section = MemberConfig(
        models={"cheap": make_model(cheap_prior, 1.0), "costly": make_model(costly_prior, 10.0)},
        customers={"coop": CustomerConfig("k", ("cheap", "costly"), (CLASS,), target)},
    )
    document = Document("trial", {MemberId("delta"): section})
    return EntryTables(DocumentView(document, Revision(1)))


def find_version(model):
    return VersionRef(f"{model}@v1")


class CascadeSubject:
    """Simulation of a cascade of two models with a rating service that may give false ratings."""

    def __init__(self, cheap_prior, costly_prior, target):
        self.tables = make_tables(cheap_prior, costly_prior, target)
        self.estimator = QualityEstimator()
        self.policy = make_cascade_policy("quality")
        self.target = target
        self.rng = random.Random(5)
        self.now = NOW
        self.n_poor = 0
        self.n_sent = 0

    def plan(self, is_stream=False):
        req = RequestRow(
            request_id=RequestId(f"r{self.n_sent}"),
            customer_id=CUSTOMER,
            member=MemberId("delta"),
            class_name=CLASS,
            kind=ClassKind.ANSWER,
            priority=Priority.NORMAL,
            arrived_at=self.now,
            deadline=self.now + 60.0,
            body=b"",
            digest="",
            is_stream=is_stream,
        )
        args = (self.policy, self.estimator, self.tables, req, (CHEAP, COSTLY), find_version)
        return plan_steps(*args, self.now)

    def rate(self, model, score):
        version = find_version(model)
        self.estimator.record_rating(self.tables, version, CUSTOMER, CLASS, score, self.now)

    def serve(self, false_score):
        """Serve a request; the true score of the cheap model reaches the target in 3 of 10 cases.

        ``false_score`` replaces the ratings of answers and controls; None rates correctly.
        """
        self.n_sent += 1
        self.now += 0.1
        for model in self.plan():
            is_good = model == COSTLY or self.rng.random() < 0.3
            score = (0.9 if is_good else 0.5) if false_score is None else false_score
            if self.estimator.trust.is_control_due():
                self.estimator.record_control_rating(0.1 if false_score is None else false_score)
            self.rate(model, score)
            trusted_score = score if self.estimator.trust.is_live(self.now) else None
            estimate = self.estimator.estimate(
                self.tables, find_version(model), CUSTOMER, CLASS, self.now, price=1.0
            )
            facts = EscalationFacts(
                score=trusted_score,
                quality_target=self.target,
                estimate=estimate,
                deadline=self.now + 60.0,
                next_step_s=1.0,
            )
            if model == COSTLY or not self.policy.should_escalate(facts, self.now):
                self.n_poor += not is_good
                return


@given("estimates {estimates} and prices {prices}")
def given_estimates(context, estimates, prices):
    means = [float(text) for text in estimates.split(",")]
    costs = [float(text) for text in prices.split(",")]
    context.steps_ = [ModelRef(f"delta/m{index}") for index in range(len(means))]
    context.estimates = {
        step: QualityEstimate(mean=mean, lower=mean, upper=mean, price=cost)
        for step, mean, cost in zip(context.steps_, means, costs, strict=True)
    }


@then('the policy "{name}" starts at step {start:d} when answers {rated}')
def then_start(context, name, start, rated):
    policy = make_cascade_policy(name)
    can_escalate = rated == "are rated"
    planned = policy.plan(context.steps_, context.estimates, can_escalate=can_escalate)
    assert planned[0] == context.steps_[start], planned


@given("an answer with rating {score} from a model with a lower bound of {lower:g}")
def given_answer(context, score, lower):
    context.score = None if score == "none" else float(score)
    context.estimate = QualityEstimate(mean=lower, lower=lower, upper=lower, price=1.0)


@when("{seconds:g} s are left for a step of 2 s and a budget of {budget:g} for a step of price 4")
def when_step_remains(context, seconds, budget):
    context.facts = EscalationFacts(
        score=context.score,
        quality_target=0.8,
        estimate=context.estimate,
        deadline=NOW + seconds,
        next_step_s=2.0,
        next_step_price=4.0,
        remaining_budget=budget,
    )


@then("it is {outcome}")
def then_outcome(context, outcome):
    escalates = make_cascade_policy("quality").should_escalate(context.facts, NOW)
    assert escalates == (outcome == "escalated")


@given(
    "a cheap model with prior {cheap:g} and a costly one with prior {costly:g} at target {target:g}"
)
def given_models(context, cheap, costly, target):
    context.subject = CascadeSubject(cheap, costly, target)


@when("the cheap model's answers are rated {score:g} for {n:d} requests")
def when_rated(context, score, n):
    for _ in range(n):
        context.subject.now += 0.1
        context.subject.rate(CHEAP, score)


@when("no rating is received for {hours:g} hours")
def when_no_ratings(context, hours):
    context.subject.now += hours * 3600.0


@when("{n:d} ratings are missing")
def when_missing(context, n):
    for _ in range(n):
        context.subject.estimator.trust.count_missing_rating()


@when("the cheap model fails {n:d} times")
def when_fails(context, n):
    subject = context.subject
    for _ in range(n):
        version = find_version(CHEAP)
        subject.estimator.record_error(subject.tables, version, CUSTOMER, CLASS, subject.now)


@when("the rating service rates correctly for {n:d} requests")
def when_correct(context, n):
    for _ in range(n):
        context.subject.serve(None)
    assert context.subject.plan()[0] == CHEAP
    context.subject.n_poor = 0


@when("then rates everything {score:g} for {n:d} requests")
def when_false(context, score, n):
    for _ in range(n):
        context.subject.serve(score)


@then("at most {n:d} poor answers of the cheap model were sent to the caller since then")
def then_few_poor_answers(context, n):
    assert context.subject.n_poor <= n, context.subject.n_poor


@then("a {kind} starts at the {model} model")
def then_starts(context, kind, model):
    planned = context.subject.plan(is_stream=kind == "stream")
    assert planned[0] == (CHEAP if model == "cheap" else COSTLY), planned
