"""Ids of writes."""

import random

from crocusvalve.base import WriteId

__all__ = ["WriteIdMaker"]

N_ID_BITS = 96


class WriteIdMaker:
    """Makes unique write ids.

    Parameters
    ----------
    random_state : random.Random or None
        Source of the ids; None takes the system's.
    """

    def __init__(self, random_state: random.Random | None = None):
        self.random_state = random_state or random.SystemRandom()

    def make(self) -> WriteId:
        """Return a new id."""
        return WriteId(f"{self.random_state.getrandbits(N_ID_BITS):024x}")
