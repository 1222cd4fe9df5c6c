"""Sequential test of a new version against the current one, valid at any number of checks.

The test statistic is a mixture of likelihood ratios over a grid of rates of bad answers. Under the
null hypothesis each ratio is a nonnegative supermartingale, so by Ville's inequality the
probability that it ever exceeds ``1 / alpha`` is at most ``alpha``, however often it is checked.
"""

import math

from crocusvalve.model import RolloutRow
from crocusvalve.rollout.base import RolloutAction, RolloutDecision, RolloutPolicy
from crocusvalve.utils import check_range

__all__ = ["SequentialRollout", "compute_evidence_above", "compute_evidence_below"]

#: Number of alternative rates of bad answers in the mixture.
N_GRID_POINTS = 24
#: Rate of bad answers assumed for the current version before any of its answers is rated.
BASELINE_PRIOR_BAD_RATE = 0.05
#: Number of rated answers that the assumed rate counts for.
BASELINE_PRIOR_WEIGHT = 20.0
#: Lowest rate of good answers that is tested, so that ``log(1 - rate)`` stays finite.
MIN_GOOD_RATE = 1e-3


def _compute_mixture(n_good: int, n_bad: int, bad_rate: float, grid: list[float]) -> float:
    total = 0.0
    for point in grid:
        log_ratio = n_bad * math.log(point / bad_rate) + n_good * math.log(
            (1 - point) / (1 - bad_rate)
        )
        # exp() of a float overflows above about 709.
        total += math.exp(min(log_ratio, 700.0))
    return total / len(grid)


def compute_evidence_above(n_good: int, n_bad: int, bad_rate: float) -> float:
    """Return the evidence against "the rate of bad answers is at most ``bad_rate``".

    It is a likelihood ratio, averaged over a grid of higher rates.
    """
    width = 1.0 - bad_rate
    grid = [bad_rate + width * (i + 0.5) / N_GRID_POINTS for i in range(N_GRID_POINTS)]
    return _compute_mixture(n_good, n_bad, bad_rate, grid)


def compute_evidence_below(n_good: int, n_bad: int, bad_rate: float) -> float:
    """Return the evidence against "the rate of bad answers is at least ``bad_rate``".

    It is a likelihood ratio, averaged over a grid of lower rates.
    """
    grid = [bad_rate * (i + 0.5) / N_GRID_POINTS for i in range(N_GRID_POINTS)]
    return _compute_mixture(n_good, n_bad, bad_rate, grid)


class SequentialRollout(RolloutPolicy):
    """Withdraws on evidence of harm, advances on evidence of no harm, and holds otherwise.

    A version that holds for too long is withdrawn as well; one whose answers are no longer rated is
    paused until ratings return.

    Parameters
    ----------
    tolerance : float
        Excess of the rate of bad answers over the current version's that does not count as harm,
        in [0, 1].
    first_margin, margin : float
        To advance from the first stage, or from any later one, a version's rate of bad answers must
        be shown to be below the current version's rate plus this margin, in [0, 1].
    alpha : float
        Upper bound of the probability that a harmless version is ever withdrawn.
    beta : float
        Upper bound of the probability, for each stage, that a version whose rate exceeds the margin
        advances.
    stall_stages : float
        A version that is not shown to be harmless within this many times ``stage_s`` is stalled
        and withdrawn.
    n_stall : int
        Number of rated answers below which a version does not count as stalled.
    max_unrated : int
        Number of unrated answers of the new version above which its exposure is paused.
    unrated_per_rated : float
        Number of further unrated answers allowed for each rated one.
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
        harmless_bound = self._compute_harmless_bound(row)
        if compute_evidence_above(row.n_good, row.n_bad, harmless_bound) >= 1.0 / self.alpha:
            reason = f"{row.n_bad} of {n_rated} answers bad against a bound of {harmless_bound:.3f}"
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
            return self._hold_or_withdraw_stalled(row, now)
        if row.stage + 1 < len(row.stages):
            return RolloutDecision(RolloutAction.ADVANCE, "no harm found")
        return RolloutDecision(RolloutAction.COMPLETE, "no harm found at the last stage")

    def _hold_or_withdraw_stalled(self, row: RolloutRow, now: float) -> RolloutDecision:
        n_rated = row.n_good + row.n_bad
        has_time = now - row.stage_since < self.stall_stages * row.stage_s
        if has_time or n_rated < self.n_stall:
            return RolloutDecision(RolloutAction.HOLD)
        reason = f"not shown to be harmless by {n_rated} answers, of which {row.n_bad} bad"
        return RolloutDecision(RolloutAction.WITHDRAW, reason)

    def _is_shown_harmless(self, row: RolloutRow) -> bool:
        margin = self.margin if row.stage else self.first_margin
        bound = min(1.0 - MIN_GOOD_RATE, self._compute_baseline_bad_rate(row) + margin)
        return compute_evidence_below(row.n_good, row.n_bad, bound) >= 1.0 / self.beta

    def _compute_harmless_bound(self, row: RolloutRow) -> float:
        n = row.n_baseline_good + row.n_baseline_bad + BASELINE_PRIOR_WEIGHT
        mean = self._compute_baseline_bad_rate(row)
        deviation = math.sqrt(mean * (1.0 - mean) / n)
        return min(1.0 - MIN_GOOD_RATE, mean + 2.0 * deviation + self.tolerance)

    @staticmethod
    def _compute_baseline_bad_rate(row: RolloutRow) -> float:
        n_bad = row.n_baseline_bad + BASELINE_PRIOR_BAD_RATE * BASELINE_PRIOR_WEIGHT
        return n_bad / (row.n_baseline_good + row.n_baseline_bad + BASELINE_PRIOR_WEIGHT)
