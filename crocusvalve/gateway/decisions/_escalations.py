"""How often larger models are confident, learned by the smaller model's confidence."""

from msgspec import Struct

from crocusvalve.gateway.base import ServiceName

__all__ = ["EscalationTable"]

#: Width of the bands of the smaller model's confidence for which the shares are learned.
BAND_WIDTH = 15.0
#: Expected share of confident answers as long as nothing is learned, where the smaller model has no
#: confidence at all, and its increase for each point of that confidence.
PRIOR_SHARE = 0.15
PRIOR_SLOPE = 0.011
MAX_PRIOR_SHARE = 0.9
#: Weight of the prior, in answers.
PRIOR_WEIGHT = 8.0
#: Seconds in which an answer loses half its weight. A model that isn't asked any more, since few of
#: its answers were confident, is tried again when the prior prevails.
HALF_LIFE_S = 60.0


class _Share(Struct):
    """Decayed numbers of answers and of confident ones, at a local time in seconds."""

    n_answers: float = 0.0
    n_confident: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the numbers by their age."""
        factor = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)
        self.n_answers *= factor
        self.n_confident *= factor
        self.updated_at = now


class EscalationTable:
    """Shares of confident answers among those of larger models, by service, model and band.

    Load that it answers: a middle model is several times cheaper than the largest one, but solves
    only those of the requests that are a little too hard for the smallest one. All times are
    local, in seconds.
    """

    def __init__(self) -> None:
        self._shares: dict[tuple[ServiceName, str, int], _Share] = {}

    def record(
        self,
        service: ServiceName,
        model: str,
        smaller_confidence: float,
        *,
        is_confident: bool,
        now: float,
    ) -> None:
        """Record an answer of a larger model.

        Parameters
        ----------
        model : str
            The larger model.
        smaller_confidence : float
            Confidence, 0 to 100, of the smaller model whose answer was given up.
        """
        key = (service, model, _find_band(smaller_confidence))
        share = self._shares.setdefault(key, _Share(updated_at=now))
        share.decay(now)
        share.n_answers += 1.0
        share.n_confident += is_confident

    def get_confident_share(
        self, service: ServiceName, model: str, smaller_confidence: float, now: float
    ) -> float:
        """Return the expected share of confident answers of a larger model."""
        prior = min(MAX_PRIOR_SHARE, PRIOR_SHARE + PRIOR_SLOPE * smaller_confidence)
        share = self._shares.get((service, model, _find_band(smaller_confidence)))
        if share is None:
            return prior
        share.decay(now)
        n_confident = PRIOR_WEIGHT * prior + share.n_confident
        return n_confident / (PRIOR_WEIGHT + share.n_answers)


def _find_band(confidence: float) -> int:
    return int(confidence // BAND_WIDTH)
