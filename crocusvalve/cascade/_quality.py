"""Cascade policy that plans by estimated quality and expected cost."""

from collections.abc import Mapping, Sequence

from crocusvalve.base import ModelRef
from crocusvalve.cascade.base import (
    TARGET_SHARE,
    CascadePolicy,
    EscalationFacts,
    QualityEstimate,
)
from crocusvalve.utils import check_range

__all__ = ["QualityCascade"]


class QualityCascade(CascadePolicy):
    """Chooses the first step of least expected cost among those that meet the target.

    If answers can be escalated, a poor answer costs a further step but no quality. So the first
    step of least expected cost is chosen among those from which the steps together meet the target
    as far as the best model can: all steps up to the model of the highest mean estimate. The
    expected costs use the upper bounds of the estimates, so that a model with few ratings is tried:
    a wrong guess only costs money. If answers can't be escalated, a single answer has to meet the
    target, by the lower bound of its estimate.

    Parameters
    ----------
    score_margin : float
        Margin by which a rating has to exceed the customer's quality target for the answer to be
        accepted, in [0, 1]; it compensates for noise in the ratings.
    """

    explores = True

    def __init__(self, *, score_margin: float = 0.03):
        self.score_margin = score_margin

    def plan(
        self,
        steps: Sequence[ModelRef],
        estimates: Mapping[ModelRef, QualityEstimate],
        target: float = TARGET_SHARE,
        *,
        can_escalate: bool = True,
    ) -> tuple[ModelRef, ...]:
        """Choose the steps to try; see ``CascadePolicy.plan``."""
        check_range("target", target, low=0.0, high=1.0)
        if not steps:
            raise ValueError("steps must hold at least one model, got none")
        ordered = [estimates[step] for step in steps]
        start = self._find_start(ordered, target, can_escalate)
        return tuple(steps[start:])

    def should_escalate(self, facts: EscalationFacts, now: float) -> bool:
        """Return whether an answer is poor and both budget and time allow the next step.

        An answer without a trusted rating counts as poor if the lower bound of its model's estimate
        is below ``TARGET_SHARE``.
        """
        if (
            facts.next_step_price > facts.remaining_budget
            or now + facts.next_step_s > facts.deadline
        ):
            return False
        if facts.score is None:
            return facts.estimate.lower < TARGET_SHARE
        return facts.score < min(1.0, facts.quality_target + self.score_margin)

    def _find_start(
        self, estimates: list[QualityEstimate], target: float, can_escalate: bool
    ) -> int:
        if not can_escalate:
            return self._find_single(estimates, target)
        best = max(range(len(estimates)), key=lambda i: (estimates[i].mean, -i))
        costs = compute_optimistic_costs(estimates)
        return min(range(best + 1), key=lambda i: costs[i])

    @staticmethod
    def _find_single(estimates: list[QualityEstimate], target: float) -> int:
        for index, estimate in enumerate(estimates):
            if estimate.lower >= target:
                return index
        return max(range(len(estimates)), key=lambda i: (estimates[i].mean, -i))


def compute_optimistic_costs(estimates: list[QualityEstimate]) -> list[float]:
    """Return the expected cost of the cascade from each first step, in currency units.

    It is optimistic: each step's answer is taken to be good enough with the probability at the
    upper bound of its estimate.
    """
    costs = [0.0] * (len(estimates) + 1)
    for index in reversed(range(len(estimates))):
        estimate = estimates[index]
        costs[index] = estimate.price + (1.0 - estimate.upper) * costs[index + 1]
    return costs[:-1]
