"""Trust in the rating service, measured by control answers that are known to be wrong."""

from collections import deque

__all__ = ["RatingTrust"]


class RatingTrust:
    """Decides whether ratings are trusted, by comparing real answers with controls.

    A control is a prompt that is rated together with the answer to another prompt. If a rating
    service scores controls as high as real answers, its scores are meaningless, whatever their
    level.

    Parameters
    ----------
    control_share : float
        Share of ratings that are accompanied by a control.
    min_gap : float
        Smallest difference between the mean scores of real answers and controls at which ratings
        are trusted.
    n_controls, n_real : int
        Number of the latest ratings in the mean of controls and of real answers.
    stale_s : float
        Time in seconds since the last rating above which ratings are no longer live.
    max_missing : int
        Number of consecutive answers without a rating from which ratings are no longer live.

    Attributes
    ----------
    control_scores_, real_scores_ : deque of float
        Latest scores of controls and real answers.
    rated_at_ : float
        Unix time of the last rating of a real answer in seconds.
    control_credit_ : float
        Sum of ``control_share`` over the ratings since the last control.
    n_missing_ : int
        Consecutive answers without a rating.
    """

    def __init__(
        self,
        *,
        control_share: float = 0.05,
        min_gap: float = 0.2,
        n_controls: int = 3,
        n_real: int = 16,
        stale_s: float = 120.0,
        max_missing: int = 5,
    ):
        self.control_share = control_share
        self.min_gap = min_gap
        self.stale_s = stale_s
        self.max_missing = max_missing
        self.n_controls = n_controls
        self.control_scores_: deque[float] = deque(maxlen=n_controls)
        self.real_scores_: deque[float] = deque(maxlen=n_real)
        self.rated_at_ = float("-inf")
        self.control_credit_ = 0.0
        self.n_missing_ = 0

    def is_control_due(self) -> bool:
        """Return whether to accompany the next rating by a control; call once per rating.

        Until ``n_controls`` controls are recorded, each rating is accompanied by one.
        """
        self.control_credit_ += self.control_share
        if len(self.control_scores_) >= self.n_controls and self.control_credit_ < 1.0:
            return False
        self.control_credit_ = 0.0
        return True

    def record_real_rating(self, score: float, now: float) -> None:
        """Record the score of a real answer, in [0, 1]."""
        self.real_scores_.append(score)
        self.rated_at_ = now
        self.n_missing_ = 0

    def count_missing_rating(self) -> None:
        """Count an answer whose rating was requested but not received."""
        self.n_missing_ += 1

    def record_control_rating(self, score: float) -> None:
        """Record the score of a control, in [0, 1]."""
        self.control_scores_.append(score)

    def is_trusted(self) -> bool:
        """Return whether the service distinguishes controls from real answers; True if unknown."""
        if len(self.control_scores_) < self.n_controls or not self.real_scores_:
            return True
        gap = sum(self.real_scores_) / len(self.real_scores_) - sum(self.control_scores_) / len(
            self.control_scores_
        )
        return gap >= self.min_gap

    def is_live(self, now: float) -> bool:
        """Return whether ratings are live: received recently, and trusted."""
        is_recent = self.n_missing_ < self.max_missing and now - self.rated_at_ <= self.stale_s
        return is_recent and self.is_trusted()
