"""Counts of a roll-out's answers, and the merging of the reports that entries make of them."""

from collections.abc import Iterable

from msgspec import structs

from crocusvalve.base import BootId, NodeId
from crocusvalve.model import RolloutRow
from crocusvalve.rollout.base import RolloutCounts

__all__ = ["COUNT_FIELDS", "RolloutLedger", "aggregate", "merge_counts"]

#: Fields of ``RolloutCounts`` and ``RolloutRow`` that are added up.
COUNT_FIELDS = ("n_contacts", "n_good", "n_bad", "n_baseline_good", "n_baseline_bad")


def merge_counts(first: RolloutCounts, second: RolloutCounts) -> RolloutCounts:
    """Return the later state of two reports of one run of an entry.

    Counts only rise within a run, so the maximum of each field is the later value.
    """
    highest = {name: max(getattr(first, name), getattr(second, name)) for name in COUNT_FIELDS}
    return structs.replace(first, **highest)


def aggregate(row: RolloutRow, reports: Iterable[RolloutCounts]) -> RolloutRow:
    """Return a roll-out's row with its counts summed over all reports.

    Reports are cumulative for each run of each entry, so repeated, late or reordered reports give
    the same result. The row's totals never fall.

    Parameters
    ----------
    row : RolloutRow
        Row of the roll-out.
    reports : iterable of RolloutCounts
        Reports of the entries; those of other roll-outs are skipped.

    Returns
    -------
    RolloutRow
        Copy of the row with the new totals.
    """
    latest: dict[tuple[NodeId, BootId], RolloutCounts] = {}
    for report in reports:
        if report.rollout_id != row.rollout_id:
            continue
        key = (report.node_id, report.boot_id)
        previous = latest.get(key)
        latest[key] = merge_counts(previous, report) if previous else report
    totals = {
        name: max(getattr(row, name), sum(getattr(report, name) for report in latest.values()))
        for name in COUNT_FIELDS
    }
    return structs.replace(row, **totals)


class RolloutLedger:
    """Cumulative counts of one run of an entry, for each roll-out in progress.

    Parameters
    ----------
    node_id : NodeId
        Id of the entry.
    boot_id : BootId
        Id of the entry's present run.

    Attributes
    ----------
    counts_ : dict of str to RolloutCounts
        Counts by the roll-out's id.
    """

    def __init__(self, *, node_id: NodeId, boot_id: BootId):
        self.node_id = node_id
        self.boot_id = boot_id
        self.counts_: dict[str, RolloutCounts] = {}

    def count_contact(self, rollout_id: str) -> None:
        """Count an answer of the new version in ``n_contacts``, rated or not."""
        self._get_counts(rollout_id).n_contacts += 1

    def count_answer(self, rollout_id: str, *, is_new: bool, is_good: bool) -> None:
        """Count a rated or failed answer of the new version (``is_new``) or of the baseline."""
        counts = self._get_counts(rollout_id)
        name = f"n_{'' if is_new else 'baseline_'}{'good' if is_good else 'bad'}"
        setattr(counts, name, getattr(counts, name) + 1)

    def list_reports(self) -> list[RolloutCounts]:
        """Return copies of all counts; being cumulative, each may be sent any number of times."""
        return [structs.replace(counts) for counts in self.counts_.values()]

    def _get_counts(self, rollout_id: str) -> RolloutCounts:
        counts = self.counts_.get(rollout_id)
        if counts is None:
            counts = RolloutCounts(
                rollout_id=rollout_id, node_id=self.node_id, boot_id=self.boot_id
            )
            self.counts_[rollout_id] = counts
        return counts
