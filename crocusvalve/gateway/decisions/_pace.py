"""Expected times of upstreams' answers, learned from the answers of all upstreams of a service."""

import math

from msgspec import Struct

from crocusvalve.gateway.base import ServiceName
from crocusvalve.gateway.decisions._answer_times import AnswerTimes

__all__ = ["PaceTable"]

#: Prompt tokens of the costliest model that an upstream processes per second, and the time from the
#: last one to the first event, as long as nothing is learned; both from the users' data sheets.
DEFAULT_TOKENS_PER_S = 18_000.0
FIRST_EVENT_S = 0.12
#: Bounds of a learned time, as multiples of the default.
MIN_FACTOR = 0.125
MAX_FACTOR = 4.0
#: Minimum weight of a new sample in a mean; the first samples count equally.
MIN_SAMPLE_WEIGHT = 0.1
#: Seconds without a sample in which a learned time loses half its distance from the default.
HALF_LIFE_S = 15.0


class _Mean(Struct):
    """Moving mean with the number of its samples and the local time of the last one."""

    value: float = 0.0
    n_samples: int = 0
    sampled_at: float = 0.0

    def add(self, sample: float, now: float) -> None:
        """Add a sample."""
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / (self.n_samples + 1))
        self.value += weight * (sample - self.value)
        self.n_samples += 1
        self.sampled_at = now


class PaceTable:
    """Mean times to first events and mean durations of streams, by service and model.

    All times are local, in seconds.

    Attributes
    ----------
    plain_times : AnswerTimes
        Times to the plain answers of each route.
    """

    def __init__(self) -> None:
        self._log_first_factors: dict[tuple[ServiceName, str], _Mean] = {}
        self._stream_s_per_token: dict[tuple[ServiceName, str], _Mean] = {}
        self._plain_s: dict[ServiceName, _Mean] = {}
        self.plain_times = AnswerTimes()

    def record_first_event(
        self, service: ServiceName, model: str, queued_tokens: float, first_s: float, now: float
    ) -> None:
        """Record the time to a first event.

        Parameters
        ----------
        queued_tokens : float
            Prompt tokens that were queued at the upstream, weighted by model cost.
        """
        factor = first_s / _compute_default_first_event_s(queued_tokens)
        mean = self._log_first_factors.setdefault((service, model), _Mean())
        mean.add(math.log(min(max(factor, MIN_FACTOR), MAX_FACTOR)), now)

    def compute_first_event_s(
        self, service: ServiceName, model: str, queued_tokens: float, now: float
    ) -> float:
        """Return the expected time to the first event after so many queued tokens."""
        default_s = _compute_default_first_event_s(queued_tokens)
        mean = self._log_first_factors.get((service, model))
        if mean is None:
            return default_s
        weight = 0.5 ** (max(0.0, now - mean.sampled_at) / HALF_LIFE_S)
        return default_s * math.exp(weight * mean.value)

    def record_stream(
        self, service: ServiceName, model: str, n_tokens: int, duration_s: float, now: float
    ) -> None:
        """Record the time from the first to the last event of a stream.

        Parameters
        ----------
        n_tokens : int
            Expected number of output tokens, as the caller stated it.
        """
        if n_tokens > 0:
            mean = self._stream_s_per_token.setdefault((service, model), _Mean())
            mean.add(duration_s / n_tokens, now)

    def record_cut_stream(
        self, service: ServiceName, model: str, n_tokens: int, duration_s: float, now: float
    ) -> None:
        """Record a stream that was cut, which would have taken longer than ``duration_s``."""
        if duration_s > self.compute_stream_s(service, model, n_tokens):
            self.record_stream(service, model, n_tokens, duration_s, now)

    def compute_stream_s(self, service: ServiceName, model: str, n_tokens: int) -> float:
        """Return the expected time from the first to the last event; 0 if nothing is learned."""
        mean = self._stream_s_per_token.get((service, model))
        return 0.0 if mean is None else mean.value * n_tokens

    def record_plain_answer(self, service: ServiceName, elapsed_s: float, now: float) -> None:
        """Record the time to a plain answer."""
        self._plain_s.setdefault(service, _Mean()).add(elapsed_s, now)

    def compute_plain_s(self, service: ServiceName) -> float | None:
        """Return the mean time to a plain answer; None if nothing is learned."""
        mean = self._plain_s.get(service)
        return None if mean is None else mean.value


def _compute_default_first_event_s(queued_tokens: float) -> float:
    return FIRST_EVENT_S + max(0.0, queued_tokens) / DEFAULT_TOKENS_PER_S
