"""Advances roll-outs by their stored rows; run by the entry that holds the controller's lease."""

from collections.abc import Iterator

from msgspec import structs

from crocusvalve.base import Command, ModelRef, NodeId, RolloutState, System, VersionRef
from crocusvalve.config import RolloutConfig
from crocusvalve.exceptions import InvariantError
from crocusvalve.model import EntryTables, RolloutRow
from crocusvalve.rollout._factory import make_rollout_policy
from crocusvalve.rollout.base import (
    AdvanceStage,
    CompleteRollout,
    RolloutAction,
    RolloutDecision,
    SaveRollout,
    WithdrawVersion,
)

__all__ = ["RolloutSystem", "apply_rollout_row", "is_valid_successor"]

#: Value of ``step`` in the errors of this module.
STEP = "rollout"


def is_valid_successor(stored: RolloutRow | None, row: RolloutRow) -> bool:
    """Return whether a row may replace the stored one.

    Its number must be the next one, its lease number no lower and its stage no earlier; a roll-out
    that has ended stays ended, and only then may another one of the same model follow.
    """
    if stored is None:
        return row.number == 1
    if row.rollout_id != stored.rollout_id:
        return stored.state is not RolloutState.RUNNING and row.number == stored.number + 1
    if row.number != stored.number + 1 or row.lease_number < stored.lease_number:
        return False
    return stored.state is RolloutState.RUNNING and row.stage >= stored.stage


def apply_rollout_row(tables: EntryTables, row: RolloutRow) -> bool:
    """Put a roll-out's row in force at an entry; return False if the row there is newer.

    Raises
    ------
    InvariantError
        The row would move the roll-out to an earlier stage, or restart one that has ended.
    """
    current = tables.rollouts.get(row.model)
    if current is not None and row.number < current.number:
        return False
    if current is not None and current.rollout_id == row.rollout_id:
        is_reopened = (
            current.state is not RolloutState.RUNNING and row.state is RolloutState.RUNNING
        )
        if row.stage < current.stage or is_reopened:
            raise InvariantError(
                f"roll-out {row.rollout_id} returned to an earlier stage or state", step=STEP
            )
    tables.rollouts[row.model] = row
    return True


class RolloutSystem(System):
    """Emits the commands that write rows and publish revisions for roll-outs.

    A decision is first written to the row and only then carried out, and each command is derived
    from the row and the document alone. A controller may therefore stop at any step: the next one
    finds the row and issues the same command again.

    Parameters
    ----------
    node_id : NodeId
        Id of the entry that runs the system.
    lease_number : int
        Number under which it holds the controller's lease; rows written under a higher one are
        skipped.
    """

    def __init__(self, *, node_id: NodeId, lease_number: int):
        self.node_id = node_id
        self.lease_number = lease_number

    def run(self, tables: EntryTables, now: float) -> list[Command]:
        """Return the commands due for every roll-out of the document."""
        commands: list[Command] = []
        for rollout_id, cfg, model in list_rollouts(tables):
            row = tables.rollouts.get(model)
            if row is not None and row.lease_number > self.lease_number:
                continue
            if row is None or row.rollout_id != rollout_id:
                commands += self._start(tables, rollout_id, cfg, model, now)
            elif row.state is RolloutState.RUNNING:
                commands += self._advance(tables, row, cfg, now)
            else:
                commands += self._finish(tables, row)
        return commands

    def _start(
        self,
        tables: EntryTables,
        rollout_id: str,
        cfg: RolloutConfig,
        model: ModelRef,
        now: float,
    ) -> list[Command]:
        previous = tables.rollouts.get(model)
        if cfg.state is not RolloutState.RUNNING:
            return []
        if previous is not None and previous.state is RolloutState.RUNNING:
            return []
        row = RolloutRow(
            rollout_id=rollout_id,
            model=model,
            version=VersionRef(f"{model}@{cfg.version}"),
            baseline=VersionRef(f"{model}@{tables.view.models[model].current}"),
            stages=cfg.stages,
            stage_since=now,
            number=previous.number + 1 if previous else 1,
            controller=self.node_id,
            lease_number=self.lease_number,
            stage_s=cfg.stage_s,
            policy=cfg.policy,
        )
        return [SaveRollout(row)]

    def _advance(
        self, tables: EntryTables, row: RolloutRow, cfg: RolloutConfig, now: float
    ) -> list[Command]:
        if tables.is_version_withdrawn(row.version) or cfg.state is RolloutState.WITHDRAWN:
            decision = RolloutDecision(RolloutAction.WITHDRAW, "withdrawn by an operator")
        else:
            decision = make_rollout_policy(row.policy).decide(row, now)
        if decision.action is RolloutAction.HOLD:
            if row.lease_number < self.lease_number:
                return [SaveRollout(self._make_next_row(row))]
            return []
        return [self._make_command(row, decision, now)]

    def _make_command(self, row: RolloutRow, decision: RolloutDecision, now: float) -> Command:
        reason = decision.reason
        if decision.action is RolloutAction.ADVANCE:
            stage = row.stage + 1
            return AdvanceStage(
                self._make_next_row(row, stage=stage, stage_since=now, reason=reason)
            )
        changes = {
            RolloutAction.PAUSE: {"is_paused": True},
            RolloutAction.RESUME: {"is_paused": False},
            RolloutAction.WITHDRAW: {"state": RolloutState.WITHDRAWN},
            RolloutAction.COMPLETE: {"state": RolloutState.COMPLETE},
        }[decision.action]
        return SaveRollout(self._make_next_row(row, reason=reason, **changes))

    def _make_next_row(self, row: RolloutRow, **changes) -> RolloutRow:
        return structs.replace(
            row,
            number=row.number + 1,
            controller=self.node_id,
            lease_number=self.lease_number,
            **changes,
        )

    def _finish(self, tables: EntryTables, row: RolloutRow) -> list[Command]:
        if row.state is RolloutState.WITHDRAWN:
            if tables.view.is_withdrawn(row.version):
                return []
            return [WithdrawVersion(row.rollout_id, row.version, row.reason, self.lease_number)]
        current = VersionRef(f"{row.model}@{tables.view.models[row.model].current}")
        if current == row.version or tables.is_version_withdrawn(row.version):
            return []
        return [CompleteRollout(row.rollout_id, row.model, row.version, self.lease_number)]


def list_rollouts(tables: EntryTables) -> Iterator[tuple[str, RolloutConfig, ModelRef]]:
    """Yield the id, configuration and model of each roll-out in the document.

    Roll-outs of models that the document does not define are skipped.
    """
    for member, section in tables.view.document.members.items():
        for name, cfg in section.rollouts.items():
            model = ModelRef(f"{member}/{cfg.model}")
            if model in tables.view.models:
                yield f"{member}/{name}", cfg, model
