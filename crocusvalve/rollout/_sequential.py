"""Sequential test of a new version against the current one, valid at every look.

The test statistic is a mixture of likelihood ratios over a grid of shares of bad answers. Under the
hypothesis each ratio is a nonnegative supermartingale, so that by Ville's inequality the chance
that it ever passes ``1 / alpha`` is at most ``alpha``, however often it is looked at.
"""

import math

from crocusvalve.model import RolloutRow
from crocusvalve.rollout.base import RolloutAction, RolloutDecision, RolloutPolicy
from crocusvalve.utils import check_range

__all__ = ["SequentialRollout", "compute_evidence_above", "compute_evidence_below"]

N_GRID = 24
#: Share of bad answers taken for the current version before any of its answers is rated.
BASELINE_PRIOR_BAD = 0.05
BASELINE_PRIOR_WEIGHT = 20.0
MIN_SHARE = 1e-3


def _compute_mixture(n_good: int, n_bad: int, share: float, grid: list[float]) -> float:
    total = 0.0
    for point in grid:
        ratio = n_bad * math.log(point / share) + n_good * math.log((1 - point) / (1 - share))
        total += math.exp(min(ratio, 700.0))
    return total / len(grid)


def compute_evidence_above(n_good: int, n_bad: int, share: float) -> float:
    """Return the evidence against "the share of bad answers is at most ``share``"."""
    width = 1.0 - share
    grid = [share + width * (i + 0.5) / N_GRID for i in range(N_GRID)]
    return _compute_mixture(n_good, n_bad, share, grid)


def compute_evidence_below(n_good: int, n_bad: int, share: float) -> float:
    """Return the evidence against "the share of bad answers is at least ``share``"."""
    grid = [share * (i + 0.5) / N_GRID for i in range(N_GRID)]
    return _compute_mixture(n_good, n_bad, share, grid)


class SequentialRollout(RolloutPolicy):
    """Withdraws on evidence of harm, advances on evidence of none, and holds otherwise.

    Parameters
    ----------
    tolerance : float
        Share of bad answers above the current version's that is no harm.
    first_margin, margin : float
        A new version whose share of bad answers is not shown to be less than this above the current
        version's does not advance, from the first and from any later stage.
    alpha : float
        Bound of the chance that a harmless version is ever withdrawn.
    beta : float
        Bound of the chance that a version past the margin advances, for each stage.
    stall_stages : float
        A version that is not shown to be harmless within this many times ``stage_s`` is withdrawn.
    n_stall : int
        Rated answers below which a version does not count as stalled.
    max_unrated : int
        Unrated answers of the new version at which its exposure is paused.
    unrated_per_rated : float
        Further unrated answers allowed for each rated one.
    """

    def __init__(
        self,
        *,
        tolerance: float = 0.02,
        first_margin: float = 0.1,
        margin: float = 0.05,
        alpha: float = 0.01,
        beta: float = 0.1,
        stall_stages: float = 4.0,
        n_stall: int = 200,
        max_unrated: int = 20,
        unrated_per_rated: float = 4.0,
    ):
        self.tolerance = tolerance
        self.first_margin = first_margin
        self.margin = margin
        self.alpha = alpha
        self.beta = beta
        self.stall_stages = stall_stages
        self.n_stall = n_stall
        self.max_unrated = max_unrated
        self.unrated_per_rated = unrated_per_rated

    def decide(self, row: RolloutRow, now: float) -> RolloutDecision:
        """Decide on a running roll-out; see ``RolloutPolicy.decide``."""
        check_range("alpha", self.alpha, low=0.0, high=1.0)
        n_rated = row.n_good + row.n_bad
        harmless = self._compute_harmless_share(row)
        if compute_evidence_above(row.n_good, row.n_bad, harmless) >= 1.0 / self.alpha:
            reason = f"{row.n_bad} of {n_rated} answers bad against a bound of {harmless:.3f}"
            return RolloutDecision(RolloutAction.WITHDRAW, reason)
        n_unrated = row.n_contacts - n_rated
        is_unrated = n_unrated > self.max_unrated + self.unrated_per_rated * n_rated
        if is_unrated and not row.is_paused:
            return RolloutDecision(RolloutAction.PAUSE, f"{n_unrated} answers are not rated")
        if row.is_paused:
            action = RolloutAction.HOLD if is_unrated else RolloutAction.RESUME
            return RolloutDecision(action)
        if now - row.stage_since < row.stage_s:
            return RolloutDecision(RolloutAction.HOLD)
        if not self._is_shown_harmless(row):
            return self._hold_or_stall(row, now)
        if row.stage + 1 < len(row.stages):
            return RolloutDecision(RolloutAction.ADVANCE, "no harm found")
        return RolloutDecision(RolloutAction.COMPLETE, "no harm found at the last stage")

    def _hold_or_stall(self, row: RolloutRow, now: float) -> RolloutDecision:
        n_rated = row.n_good + row.n_bad
        has_time = now - row.stage_since < self.stall_stages * row.stage_s
        if has_time or n_rated < self.n_stall:
            return RolloutDecision(RolloutAction.HOLD)
        reason = f"not shown to be harmless by {n_rated} answers, of which {row.n_bad} bad"
        return RolloutDecision(RolloutAction.WITHDRAW, reason)

    def _is_shown_harmless(self, row: RolloutRow) -> bool:
        margin = self.margin if row.stage else self.first_margin
        bound = min(1.0 - MIN_SHARE, self._compute_baseline_share(row) + margin)
        return compute_evidence_below(row.n_good, row.n_bad, bound) >= 1.0 / self.beta

    def _compute_harmless_share(self, row: RolloutRow) -> float:
        n = row.n_baseline_good + row.n_baseline_bad + BASELINE_PRIOR_WEIGHT
        mean = self._compute_baseline_share(row)
        deviation = math.sqrt(mean * (1.0 - mean) / n)
        return min(1.0 - MIN_SHARE, mean + 2.0 * deviation + self.tolerance)

    @staticmethod
    def _compute_baseline_share(row: RolloutRow) -> float:
        n_bad = row.n_baseline_bad + BASELINE_PRIOR_BAD * BASELINE_PRIOR_WEIGHT
        return n_bad / (row.n_baseline_good + row.n_baseline_bad + BASELINE_PRIOR_WEIGHT)
