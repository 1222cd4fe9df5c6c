"""Contract of roll-out policies and the counts that they decide by."""

from abc import ABC, abstractmethod
from enum import Enum

from msgspec import Struct

from crocusvalve.base import BootId, Command, ModelRef, NodeId, VersionRef
from crocusvalve.model import RolloutRow

__all__ = [
    "AdvanceStage",
    "CompleteRollout",
    "RolloutAction",
    "RolloutCounts",
    "RolloutDecision",
    "RolloutPolicy",
    "SaveRollout",
    "WithdrawVersion",
]


class RolloutAction(Enum):
    """What a policy decides for a running roll-out."""

    HOLD = "hold"
    PAUSE = "pause"
    RESUME = "resume"
    ADVANCE = "advance"
    WITHDRAW = "withdraw"
    COMPLETE = "complete"


class RolloutDecision(Struct, frozen=True):
    """A decision and its reason in one sentence."""

    action: RolloutAction
    reason: str = ""


class RolloutCounts(Struct, kw_only=True):
    """Counts of one run of one entry since it began, so that a repeat adds nothing.

    ``n_contacts`` counts answers of the new version, rated or not; the others count answers whose
    rating reached the customer's target (good) or did not, or that failed (bad).
    """

    rollout_id: str
    node_id: NodeId
    boot_id: BootId
    n_contacts: int = 0
    n_good: int = 0
    n_bad: int = 0
    n_baseline_good: int = 0
    n_baseline_bad: int = 0


class RolloutPolicy(ABC):
    """Decides from a roll-out's counts whether it goes on."""

    @abstractmethod
    def decide(self, row: RolloutRow, now: float) -> RolloutDecision:
        """Decide on a running roll-out.

        Parameters
        ----------
        row : RolloutRow
            The roll-out with counts merged by ``aggregate``.
        now : float
            Present Unix time in seconds.

        Returns
        -------
        RolloutDecision
            What is to be done now.
        """

    def get_share(self, row: RolloutRow) -> float:
        """Return the share of first contacts that the new version gets at the row's stage."""
        return row.stages[min(row.stage, len(row.stages) - 1)]


class SaveRollout(Command, Struct, frozen=True):
    """Write a row; refused unless the stored number is ``row.number - 1``."""

    row: RolloutRow


class AdvanceStage(SaveRollout, frozen=True):
    """Write a row that stands at its next stage."""


class WithdrawVersion(Command, Struct, frozen=True):
    """Publish the withdrawal of a version; given again until a revision carries it."""

    rollout_id: str
    version: VersionRef
    reason: str
    lease_number: int


class CompleteRollout(Command, Struct, frozen=True):
    """Publish a version as its model's current one; given again until a revision carries it."""

    rollout_id: str
    model: ModelRef
    version: VersionRef
    lease_number: int
