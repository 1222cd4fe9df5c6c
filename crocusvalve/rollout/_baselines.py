"""Baseline: a fixed share of first contacts, judged once at the end of a fixed time."""

from crocusvalve.model import RolloutRow
from crocusvalve.rollout.base import RolloutAction, RolloutDecision, RolloutPolicy

__all__ = ["FixedShareRollout"]


class FixedShareRollout(RolloutPolicy):
    """Gives the new version a fixed share for ``stage_s`` and then compares the shares of bad ones.

    Parameters
    ----------
    share : float
        Share of first contacts, in [0, 1].
    margin : float
        Rise of the share of bad answers at which the version is withdrawn.
    """

    def __init__(self, *, share: float = 0.1, margin: float = 0.05):
        self.share = share
        self.margin = margin

    def get_share(self, row: RolloutRow) -> float:
        """Return the fixed share, whatever the stage."""
        return self.share

    def decide(self, row: RolloutRow, now: float) -> RolloutDecision:
        """Judge once at the end of the time; see ``RolloutPolicy.decide``."""
        if now - row.stage_since < row.stage_s:
            return RolloutDecision(RolloutAction.HOLD)
        share = row.n_bad / max(1, row.n_good + row.n_bad)
        baseline = row.n_baseline_bad / max(1, row.n_baseline_good + row.n_baseline_bad)
        if share > baseline + self.margin:
            reason = f"share of bad answers {share:.3f} against {baseline:.3f}"
            return RolloutDecision(RolloutAction.WITHDRAW, reason)
        return RolloutDecision(RolloutAction.COMPLETE, "no worse at the end of the time")
