"""Intervals of an entry's periodic work, which grow with the size of the deployment.

Each interval bounds the work per second, whatever the size of the deployment, so that control
traffic stays within its share of a node.
"""

__all__ = [
    "compute_report_interval_s",
    "compute_rollout_counts_interval_s",
    "compute_silence_timeout_s",
    "compute_vm_list_interval_s",
]

MIN_REPORT_INTERVAL_S = 0.5
MAX_REPORT_INTERVAL_S = 5.0
#: Load reports that an entry requests per second, at most; more once the interval has reached
#: ``MAX_REPORT_INTERVAL_S``.
REPORTS_PER_S = 25.0
#: Report intervals without a report after which an agent counts as unresponsive.
N_MISSED_REPORTS = 4.0
MIN_SILENCE_TIMEOUT_S = 2.5
MIN_COUNTS_INTERVAL_S = 1.0
#: Rows of roll-out counts that all entries together write per second, at most.
COUNT_ROWS_PER_S = 50.0
MIN_LIST_INTERVAL_S = 5.0
#: VMs of the list that an entry reads per second, at most.
LISTED_VMS_PER_S = 40.0


def compute_report_interval_s(n_upstreams: int) -> float:
    """Return the interval between two load reports of one agent, in seconds."""
    return min(MAX_REPORT_INTERVAL_S, max(MIN_REPORT_INTERVAL_S, n_upstreams / REPORTS_PER_S))


def compute_silence_timeout_s(report_interval_s: float) -> float:
    """Return the time without a report after which an agent's streams are closed, in seconds."""
    return max(MIN_SILENCE_TIMEOUT_S, N_MISSED_REPORTS * report_interval_s)


def compute_rollout_counts_interval_s(n_entries: int) -> float:
    """Return the interval between two writes of an entry's roll-out counts, in seconds."""
    return max(MIN_COUNTS_INTERVAL_S, n_entries / COUNT_ROWS_PER_S)


def compute_vm_list_interval_s(n_vms: int) -> float:
    """Return the interval between two reads of the VM list, in seconds."""
    return max(MIN_LIST_INTERVAL_S, n_vms / LISTED_VMS_PER_S)
