"""Baseline policy: a fixed share of first contacts, evaluated once after a fixed time."""

from crocusvalve.model import RolloutRow
from crocusvalve.rollout.base import RolloutAction, RolloutDecision, RolloutPolicy

__all__ = ["FixedShareRollout"]


class FixedShareRollout(RolloutPolicy):
    """Gives the new version a fixed share of first contacts for ``stage_s``, then decides once.

    The decision compares the two versions' rates of bad answers.

    Parameters
    ----------
    share : float
        Share of first contacts (sessions, or requests outside a session) that get the new version,
        in [0, 1].
    margin : float
        The version is withdrawn if its rate of bad answers exceeds the baseline's by more than
        this, in [0, 1].
    """

    def __init__(self, *, share: float = 0.1, margin: float = 0.05):
        self.share = share
        self.margin = margin

    def get_share(self, row: RolloutRow) -> float:
        """Return the fixed share, whatever the stage."""
        return self.share

    def decide(self, row: RolloutRow, now: float) -> RolloutDecision:
        """Hold until ``stage_s`` has passed, then decide once; see ``RolloutPolicy.decide``."""
        if now - row.stage_since < row.stage_s:
            return RolloutDecision(RolloutAction.HOLD)
        bad_rate = row.n_bad / max(1, row.n_good + row.n_bad)
        baseline_bad_rate = row.n_baseline_bad / max(1, row.n_baseline_good + row.n_baseline_bad)
        if bad_rate > baseline_bad_rate + self.margin:
            reason = f"share of bad answers {bad_rate:.3f} against {baseline_bad_rate:.3f}"
            return RolloutDecision(RolloutAction.WITHDRAW, reason)
        return RolloutDecision(RolloutAction.COMPLETE, "no worse at the end of the time")
