"""Baseline policies that use one fixed model for every request."""

from collections.abc import Mapping, Sequence

from crocusvalve.base import ModelRef
from crocusvalve.cascade.base import (
    TARGET_SHARE,
    CascadePolicy,
    EscalationFacts,
    QualityEstimate,
)

__all__ = ["CheapestModelPolicy", "CostliestModelPolicy"]


class CheapestModelPolicy(CascadePolicy):
    """Answers with the cheapest model, regardless of its quality."""

    def plan(
        self,
        steps: Sequence[ModelRef],
        estimates: Mapping[ModelRef, QualityEstimate],
        target: float = TARGET_SHARE,
        *,
        can_escalate: bool = True,
    ) -> tuple[ModelRef, ...]:
        """Choose the first step only."""
        return (steps[0],)

    def should_escalate(self, facts: EscalationFacts, now: float) -> bool:
        """Never escalate."""
        return False


class CostliestModelPolicy(CascadePolicy):
    """Answers with the most expensive model."""

    def plan(
        self,
        steps: Sequence[ModelRef],
        estimates: Mapping[ModelRef, QualityEstimate],
        target: float = TARGET_SHARE,
        *,
        can_escalate: bool = True,
    ) -> tuple[ModelRef, ...]:
        """Choose the last step only."""
        return (steps[-1],)

    def should_escalate(self, facts: EscalationFacts, now: float) -> bool:
        """Never escalate."""
        return False
