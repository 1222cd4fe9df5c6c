"""Generator of write ids, which make writes idempotent."""

import random

from crocusvalve.base import WriteId

__all__ = ["WriteIdMaker"]

N_ID_BITS = 96


class WriteIdMaker:
    """Generates unique write ids.

    Parameters
    ----------
    random_state : random.Random or None
        Random source of the ids; None means the random source of the operating system.
    """

    def __init__(self, random_state: random.Random | None = None):
        self.random_state = random_state or random.SystemRandom()

    def make(self) -> WriteId:
        """Return a new id."""
        return WriteId(f"{self.random_state.getrandbits(N_ID_BITS):024x}")
