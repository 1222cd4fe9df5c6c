"""Requests ratings of answers from the platform's service, with limits on time and concurrency."""

import logging

import msgspec
import trio

from crocusvalve.base import VersionRef
from crocusvalve.exceptions import CrocusvalveError
from crocusvalve.model import RequestRow
from crocusvalve.store import RatingRequest, RatingService

__all__ = ["Rater"]

logger = logging.getLogger(__name__)

RATING_TIMEOUT_S = 2.0
MAX_CONCURRENT_RATINGS = 32
#: Length to which prompts and answers are truncated for the rating service.
MAX_TEXT_CHARS = 16_384


class Rater:
    """Requests ratings of answers; a rating that fails or is late is returned as None.

    Parameters
    ----------
    service : RatingService
        The platform's rating service.
    timeout_s : float
        Timeout of one rating, in seconds.
    max_ratings : int
        Maximum number of concurrent ratings; answers beyond it are not rated.
    """

    def __init__(
        self,
        service: RatingService,
        *,
        timeout_s: float = RATING_TIMEOUT_S,
        max_ratings: int = MAX_CONCURRENT_RATINGS,
    ):
        self.service = service
        self.timeout_s = timeout_s
        self._limiter = trio.CapacityLimiter(max_ratings)
        self._previous_prompt = ""

    async def rate(self, req: RequestRow, version: VersionRef, answer: bytes) -> float | None:
        """Return the score of an answer in [0, 1], or None if it was not rated."""
        return await self._rate(req, version, answer, _read_prompt(req))

    async def rate_control(
        self, req: RequestRow, version: VersionRef, answer: bytes
    ) -> float | None:
        """Rate an answer against another request's prompt, taken from the previous control.

        This checks the service: a truthful one gives a low score. Returns None if there is no other
        prompt or no rating.
        """
        prompt = _read_prompt(req)
        other, self._previous_prompt = self._previous_prompt, prompt
        if not other or other == prompt:
            return None
        return await self._rate(req, version, answer, other)

    async def _rate(
        self, req: RequestRow, version: VersionRef, answer: bytes, prompt: str
    ) -> float | None:
        rating_req = RatingRequest(
            customer_id=req.customer_id,
            class_name=req.class_name,
            version=version,
            prompt=prompt,
            answer=answer.decode("utf-8", "replace")[:MAX_TEXT_CHARS],
        )
        try:
            self._limiter.acquire_nowait()
        except trio.WouldBlock:
            return None
        try:
            with trio.fail_after(self.timeout_s):
                return (await self.service.rate(rating_req)).score
        except (CrocusvalveError, trio.TooSlowError) as exc:
            logger.info("failed to get a rating for %s: %s", version, exc)
            return None
        finally:
            self._limiter.release()


def _read_prompt(req: RequestRow) -> str:
    try:
        messages = msgspec.json.decode(req.body)["messages"]
    except (msgspec.DecodeError, KeyError, TypeError):
        return ""
    return msgspec.json.encode(messages).decode()[:MAX_TEXT_CHARS]
