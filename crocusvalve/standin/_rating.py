"""Rating of the stand-in engine's answers by the stand-in platform."""

import msgspec

from crocusvalve.standin._engine_server import ChatMessage, make_prompt
from crocusvalve.standin._engine_text import compute_prompt_digest, read_quality_mark

__all__ = ["rate_answer"]

#: Score of an answer to a prompt other than the one it is rated with.
MISMATCH_SCORE = 0.05


def rate_answer(prompt: str, answer: str) -> float | None:
    """Return the quality in [0, 1] from the quality mark of an answer.

    Parameters
    ----------
    prompt : str
        Messages of the chat as JSON; any other text is not compared with the mark.
    answer : str
        Text of the answer.

    Returns
    -------
    float or None
        None if the answer has no mark; ``MISMATCH_SCORE`` if it belongs to another prompt.
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
