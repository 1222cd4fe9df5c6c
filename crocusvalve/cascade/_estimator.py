"""Quality estimates from ratings and errors, stored in the table of estimates."""

import math

from crocusvalve.base import CustomerId, VersionRef
from crocusvalve.cascade._trust import RatingTrust
from crocusvalve.cascade.base import QualityEstimate
from crocusvalve.model import EntryTables, EstimateRow
from crocusvalve.utils import check_range

__all__ = ["QualityEstimator", "compute_prior_probability"]

#: Concentration of the Beta distribution assumed for scores around a declared quality.
SCORE_CONCENTRATION = 20.0
#: Lower bound of a prior probability; the upper bound is 1 minus this.
MIN_PROBABILITY = 0.01


def compute_prior_probability(quality_prior: float, quality_target: float) -> float:
    """Return the prior probability that an answer's score reaches a quality target.

    Scores are assumed to be normally distributed around ``quality_prior``, with the variance of a
    Beta distribution of concentration ``SCORE_CONCENTRATION``.

    Parameters
    ----------
    quality_prior : float
        Declared mean score of the version's answers, in [0, 1].
    quality_target : float
        Score that the customer asks for, in [0, 1].

    Returns
    -------
    float
        In ``[MIN_PROBABILITY, 1 - MIN_PROBABILITY]``.
    """
    if quality_target <= 0.0:
        return 1.0 - MIN_PROBABILITY
    variance = quality_prior * (1.0 - quality_prior) / (SCORE_CONCENTRATION + 1.0)
    deviation = max(0.01, math.sqrt(variance))
    share = 0.5 * math.erfc((quality_target - quality_prior) / (deviation * math.sqrt(2.0)))
    return min(1.0 - MIN_PROBABILITY, max(MIN_PROBABILITY, share))


class QualityEstimator:
    """Estimates how often a version's answers reach a customer's quality target.

    A row of ``EntryTables.estimates`` is a Beta distribution: the prior from the version's
    ``quality_prior`` plus the ratings, whose weight decays so that the row tends to the prior. The
    influence of ratings is bounded: they raise an estimate by at most ``max_gain`` above the prior,
    and not above the prior at all while they are not live. Errors always count.

    Parameters
    ----------
    prior_weight : float
        Weight of the prior, as a number of ratings.
    half_life_s : float
        Time in seconds after which the weight of a rating has fallen to one half.
    max_gain : float
        Largest rise of an estimate above the prior by ratings, in [0, 1].
    n_deviations : float
        Standard deviations between the mean and its bounds.
    trust : RatingTrust or None
        Decides whether ratings are live; None creates one with its defaults.
    """

    def __init__(
        self,
        *,
        prior_weight: float = 10.0,
        half_life_s: float = 3600.0,
        max_gain: float = 0.5,
        n_deviations: float = 2.0,
        trust: RatingTrust | None = None,
    ):
        self.prior_weight = prior_weight
        self.half_life_s = half_life_s
        self.max_gain = max_gain
        self.n_deviations = n_deviations
        self.trust = RatingTrust() if trust is None else trust

    def record_rating(
        self,
        tables: EntryTables,
        version: VersionRef,
        customer_id: CustomerId,
        class_name: str,
        score: float,
        now: float,
    ) -> None:
        """Record the rating of an answer.

        Parameters
        ----------
        tables : EntryTables
            Tables of the entry, whose ``estimates`` are updated.
        version : VersionRef
            Version that gave the answer.
        customer_id : CustomerId
            Customer of the request; the rating counts as good if it reaches its quality target.
        class_name : str
            Class of the request.
        score : float
            Rating in [0, 1]. While the rating service isn't trusted it doesn't change the estimate.
        now : float
            Current Unix time in seconds.
        """
        check_range("score", score, low=0.0, high=1.0)
        self.trust.record_real_rating(score, now)
        if not self.trust.is_trusted():
            return
        target = self._get_target(tables, customer_id)
        self._add_observation(tables, version, customer_id, class_name, score >= target, now)

    def record_control_rating(self, score: float) -> None:
        """Record the rating of a control; see ``RatingTrust``."""
        self.trust.record_control_rating(score)

    def record_error(
        self,
        tables: EntryTables,
        version: VersionRef,
        customer_id: CustomerId,
        class_name: str,
        now: float,
    ) -> None:
        """Record a failed or corrupt answer of a version as a poor one."""
        self._add_observation(tables, version, customer_id, class_name, False, now)

    def estimate(
        self,
        tables: EntryTables,
        version: VersionRef,
        customer_id: CustomerId,
        class_name: str,
        now: float,
        *,
        price: float = 0.0,
    ) -> QualityEstimate:
        """Estimate the quality of a version's answers now, for a customer's class of requests.

        ``price`` is passed on to the estimate, in currency units.
        """
        prior = self._compute_prior(tables, version, customer_id)
        row = tables.estimates.get((version, customer_id, class_name))
        alpha, beta = self._decay(row, prior, now)
        if not self.trust.is_live(now):
            alpha = min(alpha, prior * self.prior_weight)
        n = alpha + beta
        mean = min(alpha / n, prior + self.max_gain)
        deviation = math.sqrt(mean * (1.0 - mean) / (n + 1.0))
        lower = max(0.0, mean - self.n_deviations * deviation)
        upper = min(1.0, mean + self.n_deviations * deviation)
        return QualityEstimate(mean=mean, lower=lower, upper=upper, price=price)

    def _add_observation(
        self,
        tables: EntryTables,
        version: VersionRef,
        customer_id: CustomerId,
        class_name: str,
        is_good: bool,
        now: float,
    ) -> None:
        key = (version, customer_id, class_name)
        prior = self._compute_prior(tables, version, customer_id)
        alpha, beta = self._decay(tables.estimates.get(key), prior, now)
        tables.estimates[key] = EstimateRow(
            version=version,
            customer_id=customer_id,
            class_name=class_name,
            alpha=alpha + is_good,
            beta=beta + (not is_good),
            updated_at=now,
        )

    def _decay(self, row: EstimateRow | None, prior: float, now: float) -> tuple[float, float]:
        alpha0, beta0 = prior * self.prior_weight, (1.0 - prior) * self.prior_weight
        if row is None:
            return alpha0, beta0
        weight = 0.5 ** (max(0.0, now - row.updated_at) / self.half_life_s)
        alpha = alpha0 + weight * max(0.0, row.alpha - alpha0)
        beta = beta0 + weight * max(0.0, row.beta - beta0)
        return alpha, beta

    def _compute_prior(
        self, tables: EntryTables, version: VersionRef, customer_id: CustomerId
    ) -> float:
        cfg = tables.view.versions.get(version)
        quality_prior = cfg.quality_prior if cfg else 0.0
        return compute_prior_probability(quality_prior, self._get_target(tables, customer_id))

    @staticmethod
    def _get_target(tables: EntryTables, customer_id: CustomerId) -> float:
        customer = tables.view.customers.get(customer_id)
        return customer.cfg.quality_target if customer else 1.0
