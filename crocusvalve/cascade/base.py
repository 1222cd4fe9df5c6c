"""Interfaces of cascades: quality estimates and the policies that plan steps by them."""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

from msgspec import Struct

from crocusvalve.base import ModelRef

__all__ = ["TARGET_SHARE", "CascadePolicy", "EscalationFacts", "QualityEstimate"]

#: Default share of requests whose answer must reach the customer's quality target.
TARGET_SHARE = 0.95


class QualityEstimate(Struct, frozen=True, kw_only=True):
    """Estimated quality and price of one model's answers for a customer's class of requests.

    Attributes
    ----------
    mean : float
        Probability that an answer reaches the customer's quality target.
    lower, upper : float
        Confidence bounds of that probability.
    price : float
        Expected cost of an answer, in currency units.
    """

    mean: float
    lower: float
    upper: float
    price: float


class EscalationFacts(Struct, frozen=True, kw_only=True):
    """Facts about a received answer by which a cascade policy decides whether to escalate.

    Attributes
    ----------
    score : float or None
        Rating of the answer in [0, 1]; None if there is no trusted rating.
    quality_target : float
        Score that the customer asks for, in [0, 1].
    estimate : QualityEstimate
        Estimate of the model that answered.
    next_step_price : float
        Expected cost of the next step, in currency units.
    remaining_budget : float
        Amount that may still be spent on the request, in currency units; ``inf`` if unbounded.
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
    """Decides at which step a cascade starts and whether an answer is escalated to the next one.

    Attributes
    ----------
    explores : bool
        Whether a small share of requests starts one step lower than planned.
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
            Quality estimate of each step.
        target : float
            Share of requests whose answer must reach the customer's quality target, in [0, 1].
        can_escalate : bool
            Whether answers are rated before they are sent to the caller; False for a stream and
            while ratings are not live.

        Returns
        -------
        tuple of ModelRef
            Steps to try, in order; a suffix of ``steps`` if the policy explores.
        """

    @abstractmethod
    def should_escalate(self, facts: EscalationFacts, now: float) -> bool:
        """Return whether to try the next step after an answer.

        ``now`` is the current Unix time in seconds.
        """
