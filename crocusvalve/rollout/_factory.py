"""Roll-out policies by name."""

from crocusvalve.rollout._baselines import FixedShareRollout
from crocusvalve.rollout._sequential import SequentialRollout
from crocusvalve.rollout.base import RolloutPolicy

__all__ = ["ROLLOUT_POLICIES", "make_rollout_policy"]

ROLLOUT_POLICIES: dict[str, type[RolloutPolicy]] = {
    "sequential": SequentialRollout,
    "fixed_share": FixedShareRollout,
}


def make_rollout_policy(name: str) -> RolloutPolicy:
    """Return a new policy for a name used in the configuration document.

    Raises
    ------
    ValueError
        There is no policy of that name.
    """
    if name not in ROLLOUT_POLICIES:
        raise ValueError(f"rollout policy must be one of {sorted(ROLLOUT_POLICIES)}, got {name!r}")
    return ROLLOUT_POLICIES[name]()
