"""Escalation to a larger model if a cheap model has little confidence in its answer."""

from collections.abc import Callable, Sequence

__all__ = ["choose_larger_model"]

#: Confidence, from 0 to 100, at or above which a smaller model's answer is forwarded.
MIN_CONFIDENCE = 55.0
#: The same limit if the larger model's answer would miss the goal: a moderately confident answer
#: in time is worth more than a better one that is late.
MIN_CONFIDENCE_LATE = 30.0


def choose_larger_model(
    models: Sequence[str],
    model: str,
    confidence: float | None,
    n_attempts_left: int,
    *,
    is_in_time: Callable[[], bool],
) -> str | None:
    """Return the model to ask instead, or None if the answer is forwarded.

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
    is_in_time : callable
        Returns whether the larger model's first event is expected within the goal; called only
        if the choice depends on it.
    """
    if confidence is None or n_attempts_left < 1 or model not in models or model == models[-1]:
        return None
    if confidence >= MIN_CONFIDENCE:
        return None
    if confidence >= MIN_CONFIDENCE_LATE and not is_in_time():
        return None
    return models[-1]
