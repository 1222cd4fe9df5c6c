"""Trust in the rating service, from control answers that are known to be wrong."""

from collections import deque

__all__ = ["RatingTrust"]


class RatingTrust:
    """Compares ratings of real answers with those of controls.

    A control is a prompt rated together with the answer to another prompt. A service that scores
    controls as high as real answers tells nothing, whatever the level of its scores.

    Parameters
    ----------
    control_share : float
        Share of ratings that are accompanied by a control.
    min_gap : float
        Least difference of the mean scores of real answers and controls.
    n_controls, n_real : int
        Ratings in each mean.
    stale_s : float
        Ratings older than this, in seconds, do not count as live.
    max_missing : int
        Answers in a row left without a rating at which ratings do not count as live.
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
        """Tell whether the next rating is to be accompanied by a control."""
        self.control_credit_ += self.control_share
        if len(self.control_scores_) >= self.n_controls and self.control_credit_ < 1.0:
            return False
        self.control_credit_ = 0.0
        return True

    def record_real_rating(self, score: float, now: float) -> None:
        """Take the rating of a real answer."""
        self.real_scores_.append(score)
        self.rated_at_ = now
        self.n_missing_ = 0

    def count_missing_rating(self) -> None:
        """Count an answer whose rating was asked for and did not come."""
        self.n_missing_ += 1

    def record_control_rating(self, score: float) -> None:
        """Take the rating of a control."""
        self.control_scores_.append(score)

    def is_trusted(self) -> bool:
        """Tell whether the service tells controls from real answers; True until it is known."""
        if len(self.control_scores_) < self.n_controls or not self.real_scores_:
            return True
        gap = sum(self.real_scores_) / len(self.real_scores_) - sum(self.control_scores_) / len(
            self.control_scores_
        )
        return gap >= self.min_gap

    def is_live(self, now: float) -> bool:
        """Tell whether ratings come and may be believed."""
        is_coming = self.n_missing_ < self.max_missing and now - self.rated_at_ <= self.stale_s
        return is_coming and self.is_trusted()
