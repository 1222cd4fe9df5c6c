"""Roll-outs of model versions: choice at first contact, sequential test, staged exposure.

A contact is a session, or a request outside a session.
"""

from crocusvalve.rollout._baselines import FixedShareRollout
from crocusvalve.rollout._choice import choose_version, compute_share, is_version_usable
from crocusvalve.rollout._counts import RolloutLedger, aggregate, merge_counts
from crocusvalve.rollout._factory import ROLLOUT_POLICIES, make_rollout_policy
from crocusvalve.rollout._sequential import (
    SequentialRollout,
    compute_evidence_above,
    compute_evidence_below,
)
from crocusvalve.rollout._system import RolloutSystem, apply_rollout_row, is_valid_successor
from crocusvalve.rollout.base import (
    AdvanceStage,
    CompleteRollout,
    RolloutAction,
    RolloutCounts,
    RolloutDecision,
    RolloutPolicy,
    SaveRollout,
    WithdrawVersion,
)

__all__ = [
    "ROLLOUT_POLICIES",
    "AdvanceStage",
    "CompleteRollout",
    "FixedShareRollout",
    "RolloutAction",
    "RolloutCounts",
    "RolloutDecision",
    "RolloutLedger",
    "RolloutPolicy",
    "RolloutSystem",
    "SaveRollout",
    "SequentialRollout",
    "WithdrawVersion",
    "aggregate",
    "apply_rollout_row",
    "choose_version",
    "compute_evidence_above",
    "compute_evidence_below",
    "compute_share",
    "is_valid_successor",
    "is_version_usable",
    "make_rollout_policy",
    "merge_counts",
]
