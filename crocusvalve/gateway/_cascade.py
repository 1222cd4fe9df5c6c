"""Choice of a model by cost, and of a larger one where the model doubts its answer."""

from collections.abc import Callable, Sequence

__all__ = ["choose_larger_model"]

#: Confidence, of 100, from which a smaller model's answer is passed on.
MIN_CONFIDENCE = 55.0
#: The same where the larger model's answer would come late: a fair answer in time is worth more.
MIN_CONFIDENCE_LATE = 30.0


def choose_larger_model(
    models: Sequence[str],
    model: str,
    confidence: float | None,
    n_attempts_left: int,
    *,
    is_in_time: Callable[[], bool],
) -> str | None:
    """Return the model to ask instead, or None where the answer is passed on.

    Parameters
    ----------
    models : sequence of str
        Models of the route, cheapest first.
    model : str
        Model that answers.
    confidence : float or None
        Its opinion of its answer, 0 to 100; None where it tells none.
    n_attempts_left : int
        Attempts that the request may still make.
    is_in_time : callable
        Tells whether the larger model's first event is expected within the goal; asked only where
        the answer depends on it.
    """
    if confidence is None or n_attempts_left < 1 or model not in models or model == models[-1]:
        return None
    if confidence >= MIN_CONFIDENCE:
        return None
    if confidence >= MIN_CONFIDENCE_LATE and not is_in_time():
        return None
    return models[-1]
