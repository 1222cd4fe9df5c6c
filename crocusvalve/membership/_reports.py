"""What an entry learns of one upstream: load reports and the platform's list of VMs."""

from collections.abc import Iterable

from msgspec import Struct

from crocusvalve.base import UpstreamState
from crocusvalve.model import EntryTables, UpstreamRow
from crocusvalve.routing import find_in_flight_at, update_service_time
from crocusvalve.rpc import LoadReport

__all__ = ["VmStatus", "mark_leaving", "take_report", "take_vm_list"]

#: Former runs of an agent whose late reports are recognised.
MAX_PAST_BOOTS = 8
#: Weight of one report in the mean service time.
REPORT_GAIN = 0.2
#: ``leaving_at`` of an upstream that only a new run of its agent opens again.
UNTIL_NEW_BOOT = float("inf")


class VmStatus(Struct, frozen=True):
    """A VM in the platform's list; ``address`` is its IP number."""

    address: str
    is_leaving: bool


def take_report(tables: EntryTables, report: LoadReport, now: float) -> bool:
    """Put a load report into its upstream's row.

    Reports of one run are ordered by the agent's clock; those of former runs are dropped, whatever
    their instant. A run that said that it drains stays closed.

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
        Whether the report was news.
    """
    row = tables.upstreams.get(report.upstream_id)
    if row is None or report.boot_id in row.past_boots:
        return False
    service_time_gain = REPORT_GAIN
    if report.boot_id != row.boot_id:
        _start_boot(row, report, now)
        service_time_gain = 1.0
    elif report.at < row.reported_at:
        return False
    _copy_load(row, report, now)
    if report.ewma_service_s > 0.0:
        update_service_time(row, report.ewma_service_s, service_time_gain)
    if report.state is UpstreamState.DRAINING:
        row.drained_boot = report.boot_id
    is_drained = row.drained_boot == report.boot_id
    row.state = UpstreamState.DRAINING if is_drained else report.state
    _take_versions(tables, row, report)
    return True


def _take_versions(tables: EntryTables, row: UpstreamRow, report: LoadReport) -> None:
    row.loaded = report.loaded
    is_told = bool(report.serves) or report.loaded is not None
    if is_told and report.serves != row.serves:
        row.serves = report.serves
        tables.index_upstreams()


def _start_boot(row: UpstreamRow, report: LoadReport, now: float) -> None:
    is_replaced = row.boot_id and row.boot_id != report.boot_id
    if is_replaced:
        row.past_boots = (row.boot_id, *row.past_boots[: MAX_PAST_BOOTS - 1])
    if is_replaced or (row.drained_boot and row.drained_boot != report.boot_id):
        row.leaving, row.leaving_at = False, 0.0
    row.boot_id, row.boot_at = report.boot_id, now
    row.n_failures, row.retry_at = 0, 0.0
    row.prefixes.clear()


def _copy_load(row: UpstreamRow, report: LoadReport, now: float) -> None:
    row.reported_in_flight = report.in_flight
    row.reported_queued = report.queued
    row.reported_limit = report.limit
    row.revision = report.revision
    row.own_at_report = find_in_flight_at(row, report.at)
    row.reported_at, row.heard_at = report.at, now


def mark_leaving(row: UpstreamRow, boot_id: str) -> None:
    """Close an upstream until a new run of its agent reports.

    Parameters
    ----------
    row : UpstreamRow
        The upstream.
    boot_id : str
        Run that leaves; empty for the present one. A former run changes nothing.
    """
    if boot_id and boot_id in row.past_boots:
        return
    if boot_id and row.boot_id and boot_id != row.boot_id:
        # A run whose first report hasn't come yet, or one that was never heard of.
        if row.drained_boot != row.boot_id:
            row.drained_boot = boot_id
        return
    row.drained_boot = boot_id or row.boot_id
    row.leaving, row.leaving_at = True, UNTIL_NEW_BOOT


def take_vm_list(
    tables: EntryTables, vms: Iterable[VmStatus], listed_at: float, now: float
) -> None:
    """Merge the platform's lagging list of VMs.

    Parameters
    ----------
    tables : EntryTables
        Tables of the entry.
    vms : iterable of VmStatus
        The list. A VM that it lacks keeps its state.
    listed_at : float
        Instant of the list in Unix seconds; when it was fetched where it carries none.
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
    if is_leaving == row.leaving or listed_at <= row.leaving_at:
        return
    if is_leaving and row.past_boots and listed_at <= row.boot_at:
        # The list still tells of a VM that has been replaced.
        return
    row.leaving, row.leaving_at = is_leaving, listed_at
