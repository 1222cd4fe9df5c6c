"""How the stand-in platform rates an answer of the stand-in engine."""

import msgspec

from crocusvalve.standin._engine_server import ChatMessage, make_prompt
from crocusvalve.standin._engine_text import compute_prompt_digest, read_quality_mark

__all__ = ["rate_answer"]

#: Score of an answer to another prompt than the one it is rated with.
MISMATCH_SCORE = 0.05


def rate_answer(prompt: str, answer: str) -> float | None:
    """Return the quality that an answer is marked with, in [0, 1].

    Parameters
    ----------
    prompt : str
        Messages of the chat as JSON.
    answer : str
        Text of the answer.

    Returns
    -------
    float or None
        None where the answer bears no mark; ``MISMATCH_SCORE`` where it belongs to another prompt.
    """
    mark = read_quality_mark(answer)
    if mark is None:
        return None
    try:
        messages = msgspec.json.decode(prompt, type=list[ChatMessage])
    except msgspec.DecodeError:
        return mark.quality
    if compute_prompt_digest(make_prompt(messages)) != mark.prompt_digest:
        return MISMATCH_SCORE
    return mark.quality
