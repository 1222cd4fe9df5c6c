"""Experiment ``cost``: cost at the quality target, against one fixed model for all requests."""

import random

from msgspec import Struct, structs

from crocusvalve.base import (
    ClassKind,
    CustomerId,
    ModelRef,
    Priority,
    RequestId,
    Revision,
    VersionRef,
)
from crocusvalve.bench._deployments import DEPLOYMENTS, Deployment, make_document, sample_customer
from crocusvalve.bench._report import BenchTable, Progress
from crocusvalve.cascade import (
    EscalationFacts,
    QualityEstimator,
    compute_expected_price,
    estimate_steps,
    make_cascade_policy,
    plan_steps,
)
from crocusvalve.config import DocumentView, ModelConfig, VersionConfig
from crocusvalve.model import EntryTables, RequestRow

__all__ = ["CostTrial", "run_cost"]

POLICIES = ("quality", "costliest", "cheapest")
#: Cases by the fault of the rating service after the warm-up: no fault, no more ratings, or the
#: same high rating for every answer.
CASES = ("live", "stopped", "lying")
N_REQUESTS = 8000
#: Number of first requests that are not measured; the fault of a case begins after them.
N_WARM_UP = 2000
ARRIVAL_INTERVAL_S = 0.5
DEADLINE_S = 30.0
#: Duration of one step of a cascade.
STEP_DURATION_S = 4.0
#: Fraction of the requests that are streams, which end at the first step.
STREAM_SHARE = 0.3
#: Quality targets of the customers, in turn.
QUALITY_TARGETS = (0.75, 0.8, 0.82)
#: Mean score, declared quality and price of each model, cheapest first.
MODELS = {
    "small": (0.80, 0.78, 1.0),
    "medium": (0.88, 0.86, 4.0),
    "large": (0.96, 0.95, 16.0),
}
#: Offsets of the scores of all models but the largest: for the first class and for the second.
CLASS_OFFSETS = (-0.06, 0.02)
#: Standard deviations of a request's difficulty, which all models share, of the score of a single
#: answer, and of a rating.
DIFFICULTY_DEVIATION = 0.05
ANSWER_DEVIATION = 0.03
RATING_DEVIATION = 0.03
#: Score that a lying rating service gives to every answer and control.
LIE_SCORE = 0.97
#: Score that a working rating service gives to a control, which is a wrong answer.
CONTROL_SCORE = 0.1


class CostFigures(Struct, kw_only=True):
    """Sums over the measured requests.

    Attributes
    ----------
    n_requests : int
        Number of requests.
    n_met : int
        Number of requests whose last answer met the customer's quality target.
    n_steps : int
        Number of cascade steps run.
    cost : float
        Sum of the expected prices of the steps run.
    met_by_customer : dict of str to list of int
        By customer: number of requests that met the target, and number of requests.
    """

    n_requests: int = 0
    n_met: int = 0
    n_steps: int = 0
    cost: float = 0.0
    met_by_customer: dict[str, list[int]]

    def count_customers_met(self, share: float) -> int:
        """Count the customers for whom at least this fraction of requests met the target."""
        return sum(met >= share * n for met, n in self.met_by_customer.values())


def make_tables(deployment: Deployment) -> EntryTables:
    """Build the tables of an entry with the three models and customers of different targets."""
    document = make_document(deployment)
    section = document.members[deployment.member]
    models = {
        name: ModelConfig("v1", {"v1": VersionConfig(price, price, declared)})
        for name, (_, declared, price) in MODELS.items()
    }
    customers = {
        name: structs.replace(
            cfg,
            allowed=tuple(MODELS),
            quality_target=QUALITY_TARGETS[int(name[1:]) % len(QUALITY_TARGETS)],
        )
        for name, cfg in section.customers.items()
    }
    section = structs.replace(section, models=models, customers=customers, upstreams={})
    document = structs.replace(document, members={deployment.member: section})
    return EntryTables(DocumentView(document, Revision(1)))


class CostTrial:
    """Simulates a cascade of models under one policy, with a rating service.

    Parameters
    ----------
    deployment : Deployment
        Source of the customers and of the classes, of which it uses durable requests and answers.
    policy : str
        Name of the cascade policy.
    case : str
        One of ``CASES``.
    seed : int
        Seed of the requests and scores.
    """

    def __init__(self, deployment: Deployment, policy: str, case: str, seed: int):
        self.deployment = deployment
        self.case = case
        self.rng = random.Random(seed)
        self.tables = make_tables(deployment)
        self.policy = make_cascade_policy(policy)
        self.estimator = QualityEstimator()
        self.steps = tuple(ModelRef(f"{deployment.member}/{name}") for name in MODELS)
        self.figures = CostFigures(met_by_customer={})
        self.now = 1000.0
        self.n_sent = 0
        self.classes = [
            item
            for item in deployment.traffic
            if item.kind in (ClassKind.DURABLE, ClassKind.ANSWER)
        ]

    def run(self, n_requests: int = N_REQUESTS) -> CostFigures:
        """Answer requests until ``n_requests`` are sent, and return the figures."""
        while self.n_sent < n_requests:
            self.now += ARRIVAL_INTERVAL_S
            self.n_sent += 1
            self._answer(self._make_request())
        return self.figures

    def _make_request(self) -> RequestRow:
        traffic = self.rng.choice(self.classes)
        member = self.deployment.member
        return RequestRow(
            request_id=RequestId(f"r{self.n_sent}"),
            customer_id=CustomerId(f"{member}/{sample_customer(self.rng)}"),
            member=member,
            class_name=traffic.class_name,
            kind=traffic.kind,
            priority=Priority.NORMAL,
            arrived_at=self.now,
            deadline=self.now + DEADLINE_S,
            body=b"",
            digest="",
            is_stream=self.rng.random() < STREAM_SHARE,
        )

    def _answer(self, req: RequestRow) -> None:
        scores = self._sample_scores(req)
        args = (self.estimator, self.tables, req, self.steps, get_version, self.now)
        estimates = estimate_steps(*args)
        planned = plan_steps(self.policy, *args)
        target = self.tables.view.customers[req.customer_id].cfg.quality_target
        cost, now = 0.0, self.now
        for index, model in enumerate(planned):
            cost += compute_expected_price(self.tables, get_version(model))
            now += STEP_DURATION_S
            score = self._rate(req, model, scores[model], now)
            if index + 1 == len(planned) or req.is_stream:
                break
            facts = EscalationFacts(
                score=score,
                quality_target=target,
                estimate=estimates[model],
                deadline=req.deadline,
                next_step_s=STEP_DURATION_S,
                next_step_price=estimates[planned[index + 1]].price,
            )
            if not self.policy.should_escalate(facts, now):
                break
        self._count_request(req, cost, index + 1, scores[model] >= target)

    def _sample_scores(self, req: RequestRow) -> dict[ModelRef, float]:
        """Sample the true score of each model's answer; every policy sees the same samples."""
        difficulty = self.rng.gauss(0.0, DIFFICULTY_DEVIATION)
        is_first = req.class_name == self.classes[0].class_name
        scores = {}
        for model, (mean, _, _) in zip(self.steps, MODELS.values(), strict=True):
            offset = 0.0 if model == self.steps[-1] else CLASS_OFFSETS[not is_first]
            score = mean + offset - difficulty + self.rng.gauss(0.0, ANSWER_DEVIATION)
            scores[model] = min(1.0, max(0.0, score))
        return scores

    def _rate(self, req: RequestRow, model: ModelRef, score: float, now: float) -> float | None:
        """Rate an answer; return None if there is no rating or ratings are not trusted."""
        noise = random.Random(f"{req.request_id}/{model}").gauss(0.0, RATING_DEVIATION)
        is_faulty = self.n_sent > N_WARM_UP
        if self.case == "stopped" and is_faulty:
            self.estimator.trust.count_missing_rating()
            return None
        is_lying = self.case == "lying" and is_faulty
        rated = LIE_SCORE if is_lying else min(1.0, max(0.0, score + noise))
        trust = self.estimator.trust
        if trust.is_control_due():
            self.estimator.record_control_rating(LIE_SCORE if is_lying else CONTROL_SCORE)
        version = get_version(model)
        self.estimator.record_rating(
            self.tables, version, req.customer_id, req.class_name, rated, now
        )
        return rated if trust.is_live(now) else None

    def _count_request(self, req: RequestRow, cost: float, n_steps: int, is_met: bool) -> None:
        if self.n_sent <= N_WARM_UP:
            return
        figures = self.figures
        figures.n_requests += 1
        figures.n_met += is_met
        figures.n_steps += n_steps
        figures.cost += cost
        counts = figures.met_by_customer.setdefault(req.customer_id, [0, 0])
        counts[0] += is_met
        counts[1] += 1


def get_version(model: ModelRef) -> VersionRef:
    """Return the only version of a model."""
    return VersionRef(f"{model}@v1")


def run_cost(seed: int, sizes: tuple[str, ...]) -> list[BenchTable]:
    """Compare cascade policies by cost and by the fraction of requests that meet the target."""
    table = BenchTable(
        name="cost",
        seed=seed,
        columns=(
            "size",
            "ratings",
            "policy",
            "target met",
            "customers at 95 %",
            "cost",
            "of costliest",
            "steps",
        ),
        plot_y="of costliest",
        plot_group=("size", "ratings", "policy"),
    )
    progress = Progress(len(sizes) * len(CASES) * len(POLICIES))
    for size in sizes:
        for case in CASES:
            results = {}
            for policy in POLICIES:
                results[policy] = CostTrial(DEPLOYMENTS[size], policy, case, seed).run()
                progress.advance(f"cost {size} {case} {policy}")
            for policy, figures in results.items():
                cells = _summarise(figures, results["costliest"].cost)
                table.rows.append((size, case, policy, *cells))
    return [table]


def _summarise(figures: CostFigures, costliest: float) -> tuple:
    n = figures.n_requests
    n_customers = len(figures.met_by_customer)
    return (
        figures.n_met / n,
        f"{figures.count_customers_met(0.95)}/{n_customers}",
        figures.cost / n,
        figures.cost / costliest,
        figures.n_steps / n,
    )
