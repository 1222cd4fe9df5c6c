"""Exponential backoff with equal jitter: at least half of the delay is fixed."""

import random

__all__ = ["compute_backoff_s"]


def compute_backoff_s(
    n_attempts: int, *, base_s: float, max_s: float, random_state: random.Random
) -> float:
    """Return the delay before the next attempt, in seconds.

    Parameters
    ----------
    n_attempts : int
        Attempts made so far, from 1.
    base_s, max_s : float
        Upper bound of the first delay and of all delays, in seconds.
    random_state : random.Random
        Source of randomness.

    Returns
    -------
    float
        Sampled uniformly from ``[ceiling / 2, ceiling]``; the ceiling starts at ``base_s`` and
        doubles with each attempt, up to ``max_s``.
    """
    ceiling_s = min(max_s, base_s * 2.0 ** min(max(0, n_attempts - 1), 32))
    return random_state.uniform(ceiling_s / 2.0, ceiling_s)
