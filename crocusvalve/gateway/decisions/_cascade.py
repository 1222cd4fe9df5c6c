"""Escalation to a larger model if a cheap model has little confidence in its answer.

The load that it answers: most requests are too hard for the cheapest model, and the largest one is
several times slower, so that its answers to long prompts may end after the caller's deadline. If
more requests are escalated than the largest model can process, all of them become late; so it gets
only those whose answers begin about in time. A middle model is asked first where this costs less in
the mean, its failures included.
"""

from collections.abc import Callable, Sequence

from msgspec import Struct

__all__ = ["AnswerEstimate", "choose_larger_model", "is_confident_escalation"]

#: Confidence, from 0 to 100, at or above which a smaller model's answer is forwarded.
MIN_CONFIDENCE = 55.0
#: The same limit if the larger model has much to do: a moderately confident answer is more useful
#: at once than a better one that is late.
MIN_CONFIDENCE_BUSY = 30.0
#: Expected times to the larger model's first event, as multiples of the route's goal, above which
#: a moderately confident answer and an unconfident one are forwarded. Requests beyond them would
#: be late, and make those that come after them late as well.
MAX_LATENESS_MODERATE = 0.7
MAX_LATENESS = 0.9


class AnswerEstimate(Struct, frozen=True):
    """What is expected of a model's answer, if the request is sent to it now.

    Attributes
    ----------
    lateness : float
        Time from the request's arrival to the first event, as a multiple of the route's goal.
    ends_in_time : bool
        Whether its last event arrives before the caller's deadline.
    cost : float
        Cost of the model relative to the costliest one.
    confident_share : float
        Probability that the model is confident of its answer to a request like this one.
    """

    lateness: float
    ends_in_time: bool
    cost: float = 1.0
    confident_share: float = 1.0


def is_confident_escalation(confidence: float) -> bool:
    """Return whether the answer of a model that was asked after a smaller one is forwarded.

    The limit is lower than for the first answer, since less time is left for another one.
    """
    return confidence >= MIN_CONFIDENCE_BUSY


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
    model's, or else that of the next smaller one. A middle model is asked before it if this costs
    less, though the largest model is asked as well if the middle one isn't confident.

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
    rank = models.index(model)
    if confidence >= MIN_CONFIDENCE or (rank > 0 and is_confident_escalation(confidence)):
        return None
    larger_models = models[rank + 1 :]
    expected = {larger: estimate(larger) for larger in larger_models}
    largest = next((m for m in reversed(larger_models) if expected[m].ends_in_time), None)
    if largest is None:
        return None
    for middle in larger_models[: larger_models.index(largest)]:
        answer = expected[middle]
        saves = answer.confident_share * expected[largest].cost > answer.cost
        if saves and answer.ends_in_time and answer.lateness <= MAX_LATENESS:
            return middle
    is_moderate = confidence >= MIN_CONFIDENCE_BUSY
    max_lateness = MAX_LATENESS_MODERATE if is_moderate else MAX_LATENESS
    return largest if expected[largest].lateness <= max_lateness else None
