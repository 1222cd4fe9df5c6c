"""Merges load reports, leaving notices and the platform's list of VMs into upstream rows."""

from collections.abc import Iterable

from msgspec import Struct

from crocusvalve.base import UpstreamState
from crocusvalve.model import EntryTables, UpstreamRow
from crocusvalve.routing import find_in_flight_at, update_service_time
from crocusvalve.rpc import LoadReport

__all__ = ["VmStatus", "mark_leaving", "merge_load_report", "merge_vm_list"]

#: Number of former runs of an agent that are stored to recognise their late reports.
MAX_PREVIOUS_BOOTS = 8
#: Weight of one report in the moving average of the service time.
REPORT_GAIN = 0.2
#: Value of ``leaving_updated_at`` for an upstream that only a new run of its agent reopens.
UNTIL_NEW_BOOT = float("inf")


class VmStatus(Struct, frozen=True):
    """A VM in the platform's list; ``address`` is its IP address."""

    address: str
    is_leaving: bool


def merge_load_report(tables: EntryTables, report: LoadReport, now: float) -> bool:
    """Merge a load report into the row of its upstream.

    Reports of one run of the agent are ordered by the agent's clock; reports of former runs are
    dropped, whatever their timestamp. An upstream whose run reported that it drains stays closed
    until a new run reports.

    Parameters
    ----------
    tables : EntryTables
        Tables of the entry.
    report : LoadReport
        Report of an agent.
    now : float
        Present Unix time in seconds.

    Returns
    -------
    bool
        Whether the report was new and has been merged.
    """
    row = tables.upstreams.get(report.upstream_id)
    if row is None or report.boot_id in row.previous_boot_ids:
        return False
    service_time_gain = REPORT_GAIN
    if report.boot_id != row.boot_id:
        _start_boot(row, report, now)
        service_time_gain = 1.0
    elif report.at < row.reported_at:
        return False
    _update_load(row, report, now)
    if report.wait_s > 0.0:
        row.full_until = max(row.full_until, now + report.wait_s)
    if report.ewma_service_s > 0.0:
        update_service_time(row, report.ewma_service_s, service_time_gain)
    if report.state is UpstreamState.DRAINING:
        row.draining_boot_id = report.boot_id
    is_drained = row.draining_boot_id == report.boot_id
    row.state = UpstreamState.DRAINING if is_drained else report.state
    _update_versions(tables, row, report)
    return True


def _update_versions(tables: EntryTables, row: UpstreamRow, report: LoadReport) -> None:
    row.loaded = report.loaded
    is_reported = bool(report.serves) or report.loaded is not None
    if is_reported and report.serves != row.serves:
        row.serves = report.serves
        tables.index_upstreams()


def _start_boot(row: UpstreamRow, report: LoadReport, now: float) -> None:
    is_replaced = row.boot_id and row.boot_id != report.boot_id
    if is_replaced:
        row.previous_boot_ids = (row.boot_id, *row.previous_boot_ids[: MAX_PREVIOUS_BOOTS - 1])
    if is_replaced or (row.draining_boot_id and row.draining_boot_id != report.boot_id):
        row.is_leaving, row.leaving_updated_at = False, 0.0
    row.boot_id, row.boot_seen_at = report.boot_id, now
    row.n_failures, row.retry_at = 0, 0.0
    row.prefix_hint_expiry.clear()


def _update_load(row: UpstreamRow, report: LoadReport, now: float) -> None:
    row.reported_in_flight = report.in_flight
    row.reported_queued = report.queued
    row.reported_limit = report.limit
    row.revision = report.revision
    row.local_in_flight_at_report = find_in_flight_at(row, report.at)
    row.reported_at, row.last_seen_at = report.at, now


def mark_leaving(row: UpstreamRow, boot_id: str) -> None:
    """Close an upstream to new work until a new run of its agent reports.

    Parameters
    ----------
    row : UpstreamRow
        The upstream.
    boot_id : str
        Run that is leaving; empty for the present one. A former run changes nothing.
    """
    if boot_id and boot_id in row.previous_boot_ids:
        return
    if boot_id and row.boot_id and boot_id != row.boot_id:
        # A run whose first report has not arrived yet, or a run that never reported.
        if row.draining_boot_id != row.boot_id:
            row.draining_boot_id = boot_id
        return
    row.draining_boot_id = boot_id or row.boot_id
    row.is_leaving, row.leaving_updated_at = True, UNTIL_NEW_BOOT


def merge_vm_list(
    tables: EntryTables, vms: Iterable[VmStatus], listed_at: float, now: float
) -> None:
    """Merge the platform's list of VMs, which lags behind the VMs' state.

    Parameters
    ----------
    tables : EntryTables
        Tables of the entry.
    vms : iterable of VmStatus
        The list. The state of a VM that is missing from it does not change.
    listed_at : float
        Timestamp of the list in Unix seconds, or the time of its retrieval if it has none.
    now : float
        Present Unix time in seconds.
    """
    rows_by_host: dict[str, list[UpstreamRow]] = {}
    for row in tables.upstreams.values():
        rows_by_host.setdefault(row.agent.rpartition(":")[0], []).append(row)
    for vm in vms:
        for row in rows_by_host.get(vm.address, ()):
            _merge_listing(row, vm.is_leaving, min(listed_at, now))


def _merge_listing(row: UpstreamRow, is_leaving: bool, listed_at: float) -> None:
    if is_leaving == row.is_leaving or listed_at <= row.leaving_updated_at:
        return
    if is_leaving and row.previous_boot_ids and listed_at <= row.boot_seen_at:
        # The list still refers to a VM that has been replaced.
        return
    row.is_leaving, row.leaving_updated_at = is_leaving, listed_at
