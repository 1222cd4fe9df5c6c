"""Cascade by estimated quality: the cheapest start that meets the target."""

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
    """Chooses the start of least expected cost among those that meet the target.

    Where answers can be escalated, a poor answer costs a further step and not quality, so that the
    start of least expected cost is chosen among those from which the steps together meet the
    target. Costs are taken at the upper bounds, so that a model of which little is known is tried:
    a wrong guess costs money only. Where answers can't be escalated, a single answer has to meet
    the target, by the lower bound of its estimate.

    Parameters
    ----------
    score_margin : float
        An answer is accepted where its rating is this much above the customer's target, in [0, 1];
        makes up for noise of the ratings.
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
        """Escalate a poor answer while money and time allow.

        An answer without a rating to trust is poor where its model does not reach the target share
        by the lower bound of its estimate.
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
    """Return the hoped-for cost of the cascade from each start, in currency units."""
    costs = [0.0] * (len(estimates) + 1)
    for index in reversed(range(len(estimates))):
        estimate = estimates[index]
        costs[index] = estimate.price + (1.0 - estimate.upper) * costs[index + 1]
    return costs[:-1]
