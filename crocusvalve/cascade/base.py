"""Contracts of cascades: estimates of quality and the policies that plan steps by them."""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

from msgspec import Struct

from crocusvalve.base import ModelRef

__all__ = ["TARGET_SHARE", "CascadePolicy", "EscalationFacts", "QualityEstimate"]

#: Share of requests whose answer must reach the customer's quality target.
TARGET_SHARE = 0.95


class QualityEstimate(Struct, frozen=True, kw_only=True):
    """What is expected of one model for a customer and class.

    Attributes
    ----------
    mean : float
        Probability that an answer reaches the customer's quality target.
    lower, upper : float
        Bounds of that probability.
    price : float
        Expected cost of an answer, in currency units.
    """

    mean: float
    lower: float
    upper: float
    price: float


class EscalationFacts(Struct, frozen=True, kw_only=True):
    """What is known when an answer has come back.

    Attributes
    ----------
    score : float or None
        Rating of the answer; None where there is none to trust.
    quality_target : float
        Score that the customer asks for.
    estimate : QualityEstimate
        Estimate of the model that answered.
    next_step_price : float
        Expected cost of the next step.
    remaining_budget : float
        What may still be spent on the request; ``inf`` where it is unbounded.
    deadline : float
        Deadline of the request, in Unix seconds.
    next_step_s : float
        Expected time of the next step in seconds.
    """

    score: float | None
    quality_target: float
    estimate: QualityEstimate
    deadline: float
    next_step_s: float
    next_step_price: float = 0.0
    remaining_budget: float = float("inf")


class CascadePolicy(ABC):
    """Decides where a cascade starts and when it goes on.

    Attributes
    ----------
    explores : bool
        Whether a small share of requests starts a step lower than planned.
    """

    explores: bool = False

    @abstractmethod
    def plan(
        self,
        steps: Sequence[ModelRef],
        estimates: Mapping[ModelRef, QualityEstimate],
        target: float = TARGET_SHARE,
        *,
        can_escalate: bool = True,
    ) -> tuple[ModelRef, ...]:
        """Choose the steps to try, in order.

        Parameters
        ----------
        steps : sequence of ModelRef
            Models that the request may use, cheapest first; must not be empty.
        estimates : mapping of ModelRef to QualityEstimate
            One for each step.
        target : float
            Share of requests whose answer must reach the customer's quality target, in [0, 1].
        can_escalate : bool
            Whether answers are rated before they are handed over; False for a stream and while
            ratings are not trusted.

        Returns
        -------
        tuple of ModelRef
            A suffix of ``steps``.
        """

    @abstractmethod
    def should_escalate(self, facts: EscalationFacts, now: float) -> bool:
        """Tell whether the next step is to be tried after an answer."""
