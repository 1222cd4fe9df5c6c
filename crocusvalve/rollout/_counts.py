"""Merging of the counts that entries report on a roll-out."""

from collections.abc import Iterable

from msgspec import structs

from crocusvalve.base import BootId, NodeId
from crocusvalve.model import RolloutRow
from crocusvalve.rollout.base import RolloutCounts

__all__ = ["COUNT_FIELDS", "RolloutLedger", "aggregate", "merge_counts"]

COUNT_FIELDS = ("n_contacts", "n_good", "n_bad", "n_baseline_good", "n_baseline_bad")


def merge_counts(first: RolloutCounts, second: RolloutCounts) -> RolloutCounts:
    """Return the later of two reports of one run of an entry: counts only rise."""
    highest = {name: max(getattr(first, name), getattr(second, name)) for name in COUNT_FIELDS}
    return structs.replace(first, **highest)


def aggregate(row: RolloutRow, reports: Iterable[RolloutCounts]) -> RolloutRow:
    """Return a row with the counts of all reports.

    Reports are cumulative for each run of each entry, so that repeats, late ones and any order
    give the same result. Totals of the row never fall.

    Parameters
    ----------
    row : RolloutRow
        The roll-out.
    reports : iterable of RolloutCounts
        Reports; those on other roll-outs are left out.

    Returns
    -------
    RolloutRow
        A copy.
    """
    latest: dict[tuple[NodeId, BootId], RolloutCounts] = {}
    for report in reports:
        if report.rollout_id != row.rollout_id:
            continue
        key = (report.node_id, report.boot_id)
        known = latest.get(key)
        latest[key] = merge_counts(known, report) if known else report
    totals = {
        name: max(getattr(row, name), sum(getattr(report, name) for report in latest.values()))
        for name in COUNT_FIELDS
    }
    return structs.replace(row, **totals)


class RolloutLedger:
    """An entry's own cumulative counts of the roll-outs under way.

    Parameters
    ----------
    node_id : NodeId
        The entry.
    boot_id : BootId
        Its present run.
    """

    def __init__(self, *, node_id: NodeId, boot_id: BootId):
        self.node_id = node_id
        self.boot_id = boot_id
        self.counts_: dict[str, RolloutCounts] = {}

    def count_contact(self, rollout_id: str) -> None:
        """Count an answer of the new version, before it is rated."""
        self._get(rollout_id).n_contacts += 1

    def count_answer(self, rollout_id: str, *, is_new: bool, is_good: bool) -> None:
        """Count a rated or failed answer of the new or the current version."""
        counts = self._get(rollout_id)
        name = f"n_{'' if is_new else 'baseline_'}{'good' if is_good else 'bad'}"
        setattr(counts, name, getattr(counts, name) + 1)

    def list_reports(self) -> list[RolloutCounts]:
        """Return a copy of all counts, to be written or sent as often as wanted."""
        return [structs.replace(counts) for counts in self.counts_.values()]

    def _get(self, rollout_id: str) -> RolloutCounts:
        counts = self.counts_.get(rollout_id)
        if counts is None:
            counts = RolloutCounts(
                rollout_id=rollout_id, node_id=self.node_id, boot_id=self.boot_id
            )
            self.counts_[rollout_id] = counts
        return counts
