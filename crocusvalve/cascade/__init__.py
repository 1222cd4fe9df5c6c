"""Cascades from cheap to expensive models, and the quality estimates that plan them."""

from crocusvalve.cascade._baselines import CheapestModelPolicy, CostliestModelPolicy
from crocusvalve.cascade._estimator import QualityEstimator, compute_prior_probability
from crocusvalve.cascade._planning import compute_expected_price, estimate_steps, plan_steps
from crocusvalve.cascade._quality import QualityCascade
from crocusvalve.cascade._trust import RatingTrust
from crocusvalve.cascade.base import (
    TARGET_SHARE,
    CascadePolicy,
    EscalationFacts,
    QualityEstimate,
)

__all__ = [
    "CASCADE_POLICIES",
    "TARGET_SHARE",
    "CascadePolicy",
    "CheapestModelPolicy",
    "CostliestModelPolicy",
    "EscalationFacts",
    "QualityCascade",
    "QualityEstimate",
    "QualityEstimator",
    "RatingTrust",
    "compute_expected_price",
    "compute_prior_probability",
    "estimate_steps",
    "make_cascade_policy",
    "plan_steps",
]

CASCADE_POLICIES: dict[str, type[CascadePolicy]] = {
    "quality": QualityCascade,
    "costliest": CostliestModelPolicy,
    "cheapest": CheapestModelPolicy,
}


def make_cascade_policy(name: str) -> CascadePolicy:
    """Build a cascade policy by its name in the configuration document.

    Raises
    ------
    ValueError
        If there is no policy of that name.
    """
    if name not in CASCADE_POLICIES:
        raise ValueError(f"cascade policy must be one of {sorted(CASCADE_POLICIES)}, got {name!r}")
    return CASCADE_POLICIES[name]()
