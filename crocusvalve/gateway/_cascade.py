"""Escalation to a larger model if a cheap model has little confidence in its answer.

The load that it answers: most requests are too hard for the cheapest model, and the largest one is
several times slower, so that its answers to long prompts may end after the caller's deadline.
"""

from collections.abc import Callable, Sequence

from msgspec import Struct

__all__ = ["AnswerEstimate", "choose_larger_model"]

#: Confidence, from 0 to 100, at or above which a smaller model's answer is forwarded.
MIN_CONFIDENCE = 55.0
#: The same limit if the larger model's answer would miss the goal: a moderately confident answer
#: in time is worth more than a better one that is late.
MIN_CONFIDENCE_LATE = 30.0


class AnswerEstimate(Struct, frozen=True):
    """What is expected of a model's answer, if the request is sent to it now.

    Attributes
    ----------
    begins_in_goal : bool
        Whether its first event arrives within the route's goal.
    ends_in_time : bool
        Whether its last event arrives before the caller's deadline.
    """

    begins_in_goal: bool
    ends_in_time: bool


def choose_larger_model(
    models: Sequence[str],
    model: str,
    confidence: float | None,
    n_attempts_left: int,
    *,
    estimate: Callable[[str], AnswerEstimate],
) -> str | None:
    """Return the model to ask instead, or None if the answer is forwarded.

    An answer is only given up for one that is expected to end before the deadline: the largest
    model's, or else that of the next smaller one.

    Parameters
    ----------
    models : sequence of str
        Models of the route, cheapest first.
    model : str
        Model that answers.
    confidence : float or None
        Its own estimate of the quality of its answer, 0 to 100; None if it reports none.
    n_attempts_left : int
        Attempts that the request may still make.
    estimate : callable
        Returns what is expected of the answer of a model; called only if the choice depends on it.
    """
    if confidence is None or n_attempts_left < 1 or model not in models or model == models[-1]:
        return None
    if confidence >= MIN_CONFIDENCE:
        return None
    for larger in reversed(models[models.index(model) + 1 :]):
        expected = estimate(larger)
        if expected.ends_in_time:
            is_kept = confidence >= MIN_CONFIDENCE_LATE and not expected.begins_in_goal
            return None if is_kept else larger
    return None
