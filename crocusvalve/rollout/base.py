"""Interface of roll-out policies, the counts that they decide on, and the resulting commands."""

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
    """Decision of a policy on a running roll-out."""

    HOLD = "hold"
    PAUSE = "pause"
    RESUME = "resume"
    ADVANCE = "advance"
    WITHDRAW = "withdraw"
    COMPLETE = "complete"


class RolloutDecision(Struct, frozen=True):
    """Decision of a policy, with its reason in one sentence; empty if there is none to state."""

    action: RolloutAction
    reason: str = ""


class RolloutCounts(Struct, kw_only=True):
    """Cumulative counts of one run of one entry, so that a repeated report adds nothing.

    ``n_contacts`` counts answers of the new version, rated or not. The other fields count answers
    whose rating reached the customer's target (good), and answers whose rating did not or that
    failed (bad), of the new version and of the baseline.
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
    """Decides on a roll-out by its counts: hold, pause, resume, advance, withdraw or complete."""

    @abstractmethod
    def decide(self, row: RolloutRow, now: float) -> RolloutDecision:
        """Return the decision on a running roll-out.

        Parameters
        ----------
        row : RolloutRow
            Row of the roll-out, with counts merged by ``aggregate``.
        now : float
            Present Unix time in seconds.

        Returns
        -------
        RolloutDecision
            Action to carry out now and its reason.
        """

    def get_share(self, row: RolloutRow) -> float:
        """Return the share of first contacts that get the new version at the row's stage.

        A contact is a session, or a request outside a session; the share is in [0, 1].
        """
        return row.stages[min(row.stage, len(row.stages) - 1)]


class SaveRollout(Command, Struct, frozen=True):
    """Command to write a row; refused unless the stored row's number is ``row.number - 1``."""

    row: RolloutRow


class AdvanceStage(SaveRollout, frozen=True):
    """Command to write a row that has moved to its next stage."""


class WithdrawVersion(Command, Struct, frozen=True):
    """Command to publish a version's withdrawal; issued again until a revision contains it."""

    rollout_id: str
    version: VersionRef
    reason: str
    lease_number: int


class CompleteRollout(Command, Struct, frozen=True):
    """Command to publish a version as its model's current one.

    Issued again until a revision contains it.
    """

    rollout_id: str
    model: ModelRef
    version: VersionRef
    lease_number: int
