"""Merges an agent's load report into the row of its upstream."""

from crocusvalve.entry._tables import CoreTables
from crocusvalve.routing import find_own_load
from crocusvalve.rpc import LoadReport

__all__ = ["ReportMerger"]


class ReportMerger:
    """Takes load reports."""

    def take_report(self, tables: CoreTables, report: LoadReport, now: float) -> None:
        """Put a report into its row; an older one than the last is ignored."""
        row = tables.upstreams.get(report.upstream_id)
        if row is None or report.at < row.reported_at:
            return
        row.state = report.state
        row.boot_id = report.boot_id
        row.reported_in_flight = report.in_flight
        row.reported_limit = report.limit
        row.reported_queued = report.queued
        row.reported_at = report.at
        row.heard_at = now
        row.revision = report.revision
        row.own_at_report = find_own_load(row, report.at)
